// Package reqlog remembers the replies to the most recent commands of a state machine,
// so that a resent command returns its first reply and changes nothing.
package reqlog
