// Package server holds what all stand-ins share: an HTTP server that can crash and come
// back on its address, counters of what it was sent, and injected faults. It uses
// net/http and not go-zero's rest, because a crash has to cut the connections at the
// listener.
package server
