package replica

import (
	"context"
	"time"

	"github.com/figlb/figlb/snapshot"
)

// StateMachine is the deterministic state machine of a group. Its methods are called by one
// goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command at a log time and returns its encoded reply.
	Apply(index uint64, logTime time.Duration, cmd []byte) (reply []byte)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded state that Snapshot returned.
	Restore(snapshot []byte) error
}

// ChunkedStateMachine is a StateMachine whose state is too large to be rewritten in full with
// each snapshot.
type ChunkedStateMachine interface {
	StateMachine
	// ChunkedSnapshot returns the state as a head and chunks. Snapshot returns the same state
	// as one byte slice.
	ChunkedSnapshot() (snapshot.Snapshot, error)
	// SplitSnapshot splits an encoded state into the head and the chunks of the snapshot.
	SplitSnapshot(encoded []byte) (snapshot.Snapshot, error)
}

// takeSnapshot returns a snapshot of the state machine, in chunks if the machine supports them.
func takeSnapshot(sm StateMachine) (snapshot.Snapshot, error) {
	if c, ok := sm.(ChunkedStateMachine); ok {
		return c.ChunkedSnapshot()
	}
	data, err := sm.Snapshot()
	return snapshot.Snapshot{Head: data}, err
}

// splitSnapshot returns an encoded state as the snapshot to be stored, in chunks if the machine
// supports them.
func splitSnapshot(sm StateMachine, encoded []byte) (snapshot.Snapshot, error) {
	if c, ok := sm.(ChunkedStateMachine); ok {
		return c.SplitSnapshot(encoded)
	}
	return snapshot.Snapshot{Head: encoded}, nil
}

// Node gives access to the groups of a member.
type Node interface {
	// Propose appends a command to a group's log and returns the state machine's reply
	// once the command is committed and applied. It fails with errs.NotLeader if this member
	// does not lead the group; the command was not appended then. It fails with
	// errs.Uncertain if the command may or may not have been committed.
	Propose(ctx context.Context, group uint32, cmd []byte) (reply []byte, err error)
	// ReadIndex returns nil once the applied state of the group includes each command
	// committed before the call. It fails with errs.NotLeader if this member does not lead
	// the group.
	ReadIndex(ctx context.Context, group uint32) error
	// Leader returns the id of the group's leader, empty if unknown, and the term.
	Leader(group uint32) (member string, term uint64)
	// IsLeader reports whether this member leads the group under an unexpired lease.
	IsLeader(group uint32) bool
	// LogTime returns the group's current log time. It is meaningful only on the leader.
	LogTime(group uint32) time.Duration
}
