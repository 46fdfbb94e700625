// Package reply writes JSON answers and typed errors to callers.
package reply
