// Package auth finds the organisation whose key was sent with a request and removes
// the key from the request.
package auth
