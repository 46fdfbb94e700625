// Package testsite starts a figlb site of real processes on loopback for tests and
// measurements: state members, entries and stand-ins. It can kill, freeze and restart
// each process, wipe a member's disk, and cut connections silently through relays.
package testsite
