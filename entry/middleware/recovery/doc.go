// Package recovery turns a panic of a handler into an internal error for the caller
// and a log line.
package recovery
