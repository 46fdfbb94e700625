// Package testsite starts a figlb site of real processes on loopback for tests and
// measurements: state members, entries and stand-ins for the targets. It can kill, suspend
// and restart each process, delete a member's data, and simulate silent network partitions
// with relays.
package testsite
