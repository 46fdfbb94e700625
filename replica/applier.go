package replica

import (
	"context"
	"sync"

	"github.com/figlb/figlb/raft"
)

// applier applies the committed entries of a group to its state machine. It completes
// proposals and reads once the entries that they wait for are applied.
type applier struct {
	g  *group
	sm StateMachine

	mu              sync.Mutex
	tasks           []task
	applied         uint64
	pendingCommands map[uint64]pendingCommand // by log index
	pendingReads    []pendingRead
	stopped         bool
	wake            chan struct{}

	snapshotRequested bool
	snapshotting      bool

	// The following fields are accessed only by the goroutine that executes run.
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   uint64
	lastHeadBytes        uint64 // bytes of the latest snapshot that are not in chunks, so the next one rewrites them
	diskFull             bool   // the latest snapshot did not fit on the disk
	snapshotRetryAt      raft.Time
}

// task is either a batch of committed entries to apply or a snapshot that replaces the
// state of the state machine.
type task struct {
	entries  []raft.Entry
	snapshot *raft.Install
}

// pendingCommand is a command that this member appended as leader of term. A different
// term of the entry applied at its index means that another leader replaced the command.
type pendingCommand struct {
	term   uint64
	caller *waiter
}

// pendingRead is a read that waits until the entry at index is applied.
type pendingRead struct {
	index  uint64
	caller *waiter
}

func newApplier(g *group, sm StateMachine, applied uint64) *applier {
	return &applier{
		g:               g,
		sm:              sm,
		applied:         applied,
		pendingCommands: map[uint64]pendingCommand{},
		wake:            make(chan struct{}, 1),
	}
}

func (a *applier) enqueue(t task) {
	a.mu.Lock()
	a.tasks = append(a.tasks, t)
	a.mu.Unlock()
	a.signal()
}

func (a *applier) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// registerCommands registers the callers of commands whose entries start at index first.
func (a *applier) registerCommands(first, term uint64, proposals []proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range proposals {
		a.pendingCommands[first+uint64(i)] = pendingCommand{term: term, caller: proposals[i].caller}
	}
}

// failPendingCommands fails the callers of in-flight commands with an error that says that
// the outcome is unknown.
func (a *applier) failPendingCommands() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, command := range a.pendingCommands {
		command.caller.complete(nil, uncertainError(a.g.id, "this member is no longer the leader"))
		delete(a.pendingCommands, index)
	}
}

// awaitApplied completes a read once the entry at index is applied.
func (a *applier) awaitApplied(index uint64, caller *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.stopped:
		caller.complete(nil, a.g.notLeaderError())
	case a.applied >= index:
		caller.complete(nil, nil)
	default:
		a.pendingReads = append(a.pendingReads, pendingRead{index: index, caller: caller})
	}
}

func (a *applier) appliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// stop fails all pending commands and reads, and rejects later reads.
func (a *applier) stop() {
	a.failPendingCommands()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, r := range a.pendingReads {
		r.caller.complete(nil, a.g.notLeaderError())
	}
	a.pendingReads = nil
}

func (a *applier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		if !a.runTasks(ctx) {
			return
		}
		a.maybeSnapshot()
	}
}

// runTasks executes queued tasks until none is left. It returns false if run has to end.
func (a *applier) runTasks(ctx context.Context) bool {
	for {
		a.mu.Lock()
		tasks := a.tasks
		a.tasks = nil
		a.mu.Unlock()
		if len(tasks) == 0 {
			return true
		}
		for _, t := range tasks {
			if ctx.Err() != nil {
				return false
			}
			if !a.runTask(t) {
				return false
			}
		}
	}
}

func (a *applier) runTask(t task) bool {
	if t.snapshot != nil {
		return a.restore(t.snapshot)
	}
	for i := range t.entries {
		a.apply(&t.entries[i])
	}
	a.maybeSnapshot()
	return true
}

func (a *applier) apply(e *raft.Entry) {
	var reply []byte
	if e.Kind == raft.EntryCommand {
		reply = a.sm.Apply(e.Index, e.Stamp, e.Data)
	}
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += uint64(len(e.Data)) + entryOverhead
	a.mu.Lock()
	a.applied = e.Index
	command, pending := a.pendingCommands[e.Index]
	delete(a.pendingCommands, e.Index)
	ready := a.takeReadyReads()
	a.mu.Unlock()
	if pending && command.term == e.Term {
		command.caller.complete(reply, nil)
	} else if pending {
		command.caller.complete(nil, uncertainError(a.g.id, "another leader replaced the log entry"))
	}
	for _, caller := range ready {
		caller.complete(nil, nil)
	}
}

// takeReadyReads removes and returns the reads whose index has been applied. The caller holds
// a.mu.
func (a *applier) takeReadyReads() []*waiter {
	if len(a.pendingReads) == 0 {
		return nil
	}
	var ready []*waiter
	rest := a.pendingReads[:0]
	for _, r := range a.pendingReads {
		if r.index <= a.applied {
			ready = append(ready, r.caller)
			continue
		}
		rest = append(rest, r)
	}
	a.pendingReads = rest
	return ready
}

func (a *applier) restore(in *raft.Install) bool {
	if err := a.sm.Restore(in.Data); err != nil {
		a.g.inc.r.reportFailure(err)
		return false
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.lastHeadBytes = 0, 0, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = in.Meta.Index
	return true
}
