package replica

import (
	"context"
	"time"
)

// StateMachine is the deterministic state of a group. Its methods are called by one
// goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command at a log time and returns its encoded reply.
	Apply(index uint64, logTime time.Duration, cmd []byte) (reply []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Node gives access to the groups of a member.
type Node interface {
	// Propose appends a command to a group's log and returns the state machine's reply
	// once it is committed and applied. It fails with errs.NotLeader if this member does
	// not lead the group: the command was not appended. It fails with errs.Uncertain if
	// the command may or may not be committed.
	Propose(ctx context.Context, group uint32, cmd []byte) (reply []byte, err error)
	// ReadIndex returns nil once the applied state of the group includes each command
	// committed before the call. It fails with errs.NotLeader.
	ReadIndex(ctx context.Context, group uint32) error
	// Leader returns the id of the group's leader, empty if unknown, and the term.
	Leader(group uint32) (member string, term uint64)
	// IsLeader reports whether this member leads the group under an unexpired lease.
	IsLeader(group uint32) bool
	// LogTime returns the group's log time now. It is meaningful on the leader.
	LogTime(group uint32) time.Duration
}
