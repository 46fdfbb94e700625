// Package reply writes JSON responses and typed errors to callers.
package reply
