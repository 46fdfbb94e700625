// Package confirmed refuses requests while the entry's configuration is not confirmed.
package confirmed
