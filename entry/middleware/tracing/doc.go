// Package tracing opens a server span for each request and makes sure that the
// request's context has a trace id, also when no exporter is installed.
package tracing
