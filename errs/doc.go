// Package errs defines the typed errors of figlb. An Error has a stable code,
// states whether the request was run, names the remedy and, where a retry can
// help, when to come back. It has an HTTP form and travels over the wire.
package errs
