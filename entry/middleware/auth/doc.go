// Package auth is the middleware that authenticates requests by their API key. It stores the
// identity of the caller in the request's context and removes the key from the request.
package auth
