// Package closing is the middleware that asks callers to close their connections while the
// entry drains, so that no idle connections are left when the listener closes.
package closing
