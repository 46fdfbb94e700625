// Package closing asks callers to close their connections while the entry drains, so
// that no idle connection is left when the listener closes.
package closing
