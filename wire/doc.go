// Package wire implements the RPC transport between figlb's processes:
// length-prefixed msgpack frames over TCP, optionally with mutual TLS. One
// connection carries many concurrent calls. A request frame carries the method,
// the time left until the caller's deadline and the W3C trace context, so that
// each hop gets its own span.
//
// A call that fails before its frame is passed to the connection returns an error
// caused by ErrNotSent. After any other transport failure it is unknown whether
// the peer ran the call.
package wire
