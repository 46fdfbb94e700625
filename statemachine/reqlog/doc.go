// Package reqlog keeps the replies to the most recent requests of a state machine, so that
// a resent command returns its first reply and is not applied again.
package reqlog
