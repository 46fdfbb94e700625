// Package errs defines the typed errors of figlb. An Error has a stable code and a
// message, states whether the request was run, suggests a remedy and, where a retry
// can help, the delay before it. It maps to an HTTP status and can be encoded with
// msgpack, to be sent between figlb's processes.
package errs
