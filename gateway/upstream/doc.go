// Package upstream is the HTTP/1.1 client for targets. It never retries by itself. Its errors
// tell whether a request may have reached the target, which decides whether the caller may
// retry it. Responses that belong to another request are skipped.
package upstream
