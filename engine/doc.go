// Package engine is the HTTP client for targets: model engines, which stream their
// responses as server-sent events (SSE), and plain services, which are any other HTTP
// services. It keeps one connection pool per target, sends each request at most once
// (it neither retries nor follows redirects) and classifies failures by outcome.
//
// It uses http.Transport directly instead of go-zero's httpc, because httpc adds a
// circuit breaker per service, and the scheduler already decides which targets receive
// requests.
package engine
