// Package engine is the HTTP and SSE client of targets: model engines and plain
// services. It keeps one connection pool per target, sends each request exactly once
// (no resend, no redirect) and reports a typed result.
//
// It uses net/http's Transport directly and not go-zero's httpc, because httpc puts a
// breaker in front of each service, and the scheduler already decides which targets
// get requests.
package engine
