// Package tracing is the middleware that starts a server span for each request. It ensures
// that the context of the request has a trace ID, even if no exporter is configured.
package tracing
