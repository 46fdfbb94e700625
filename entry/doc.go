// Package entry implements the HTTP API of figlb. It authenticates callers against the
// confirmed configuration, runs the turns of programs on model engines and the calls to
// plain services, and streams the answers.
//
// A turn or a non-repeatable call runs in its own goroutine, independently of the caller's
// connection. It continues if the caller disconnects, and its outcome is recorded in the
// replicated state. Callers read the answer of a turn from an event log, which any number
// of readers can follow.
package entry
