// Package recovery is the middleware that recovers from panics of handlers: it logs the
// panic and responds with an internal error.
package recovery
