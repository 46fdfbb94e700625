package replica

import (
	"context"
	"sync"
	"time"
)

// Local is a Node with a single member that applies commands at once and stores nothing. It
// is for tests of state machines and of their servers.
type Local struct {
	start  time.Time
	groups map[uint32]*localGroup
}

type localGroup struct {
	mu    sync.Mutex
	sm    StateMachine
	index uint64
}

var _ Node = (*Local)(nil)

// NewLocal returns a node with the given state machines by group.
func NewLocal(machines map[uint32]StateMachine) *Local {
	l := &Local{start: time.Now(), groups: map[uint32]*localGroup{}}
	for g, sm := range machines {
		l.groups[g] = &localGroup{sm: sm}
	}
	return l
}

// Propose implements Node.
func (l *Local) Propose(_ context.Context, group uint32, cmd []byte) ([]byte, error) {
	g := l.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	return g.sm.Apply(g.index, l.LogTime(group), cmd), nil
}

// ReadIndex implements Node.
func (l *Local) ReadIndex(context.Context, uint32) error { return nil }

// Leader implements Node.
func (l *Local) Leader(uint32) (string, uint64) { return "local", 1 }

// IsLeader implements Node.
func (l *Local) IsLeader(uint32) bool { return true }

// LogTime implements Node.
func (l *Local) LogTime(uint32) time.Duration { return time.Since(l.start) }
