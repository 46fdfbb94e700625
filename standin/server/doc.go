// Package server contains the code that all stand-ins share: an HTTP server that can crash
// and restart on the same address, counters of the received requests, and fault injection.
// It uses net/http instead of go-zero's rest package, because a crash has to close the
// listener and all its connections.
package server
