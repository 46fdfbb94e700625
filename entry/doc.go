// Package entry is figlb's HTTP side: it checks callers' keys against the confirmed
// configuration, runs the turns of programs on model engines and the calls to plain
// services, and streams the answers.
//
// A turn or call runs in a goroutine of its own, apart from the caller's connection:
// a caller that leaves does not end it, and its outcome is always recorded. Answers
// reach callers through an event log that any number of readers can follow.
package entry
