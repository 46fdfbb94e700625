// Package wire is the RPC transport between figlb's processes: length-prefixed
// msgpack frames over TCP, optionally under mutual TLS. One connection carries
// many concurrent calls. A frame carries the method, the caller's deadline and
// the W3C trace context, so that each hop gets its own span.
//
// A call that fails before its frame has been written fails with a NotSent
// error; any other transport failure leaves open whether the peer ran the call.
package wire
