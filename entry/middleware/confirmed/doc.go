// Package confirmed is the middleware that refuses requests while the entry cannot confirm
// that its configuration is current.
package confirmed
