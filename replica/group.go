package replica

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/wal"
)

// group runs the Raft core of one group on its own goroutine. The state machine runs on
// another goroutine (type applier), so that a slow command or snapshot delays no heartbeat.
type group struct {
	id      uint32
	inc     *incarnation
	core    *raft.Core
	applier *applier

	mu      sync.Mutex
	inbox   inbox
	stopped bool
	wake    chan struct{}

	view   atomic.Pointer[view]
	status atomic.Pointer[raft.Status]

	// The following fields are accessed only by the goroutine that executes run.
	unsavedHardState *raft.HardState // a new commit index to be stored with the next record
	ledTerm          uint64          // the term led at the end of the last processInputs; 0: none
	ledSince         raft.Time       // when ledTerm last changed
	lastReadID       uint64
	pendingReads     map[uint64]*waiter
}

// view is the part of the core's state that other goroutines read. It is published after each
// batch of inputs.
type view struct {
	role       raft.Role
	term       uint64
	leader     raft.Peer
	leaseUntil raft.Time
	termStart  uint64
	logOffset  time.Duration // log time minus the replica's monotonic time
}

func newGroup(inc *incarnation, id uint32, sm StateMachine, st *wal.GroupState, verified bool) *group {
	cfg := &inc.r.cfg
	g := &group{
		id:           id,
		inc:          inc,
		wake:         make(chan struct{}, 1),
		pendingReads: map[uint64]*waiter{},
	}
	g.core = raft.New(inc.r.now(), raft.Options{
		Self:           inc.self,
		Rand:           rand.New(rand.NewSource(rand.Int63())),
		Heartbeat:      cfg.Heartbeat,
		ElectionMin:    cfg.ElectionMin,
		ElectionMax:    cfg.ElectionMax,
		LeaseMargin:    cfg.ElectionMin / leaseMarginDivisor,
		MaxAppendBytes: maxAppendBytes,
		Verified:       verified,
		Hard:           st.Hard,
		Snapshot:       st.Snapshot,
		Entries:        st.Entries,
	})
	g.applier = newApplier(g, sm, st.Snapshot.Index)
	g.applier.lastHeadBytes = uint64(st.SnapshotHeadBytes)
	g.publishView()
	return g
}

// run drives the core with inputs and ticks until ctx ends.
func (g *group) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer g.failPending()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-t.C:
			tick = true
		}
		g.processInputs(tick)
	}
}

// processInputs passes the queued inputs to the core and handles its output. The core's tick
// comes first, so that a leader whose process was suspended steps down before it handles any
// other input.
func (g *group) processInputs(tick bool) {
	g.mu.Lock()
	in := g.inbox
	g.inbox = inbox{}
	g.mu.Unlock()

	now := g.inc.r.now()
	g.core.Tick(now)
	for i := range in.messages {
		g.core.Step(now, in.messages[i])
	}
	for _, f := range in.calls {
		f(now, g.core)
	}
	g.propose(now, in.proposals)
	g.requestReads(now, in.reads)
	g.handleOutput(g.core.TakeOutput())
	if tick {
		g.publishStatus()
	}
}

// propose appends all queued commands in one batch.
func (g *group) propose(now raft.Time, proposals []proposal) {
	if len(proposals) == 0 {
		return
	}
	cmds := make([][]byte, len(proposals))
	for i := range proposals {
		cmds[i] = proposals[i].cmd
	}
	first, term, ok := g.core.Propose(now, cmds)
	if !ok {
		for i := range proposals {
			proposals[i].caller.complete(nil, g.notLeaderError())
		}
		return
	}
	g.applier.registerCommands(first, term, proposals)
}

// requestReads starts the read-index protocol for a batch of reads.
func (g *group) requestReads(now raft.Time, waiters []*waiter) {
	if len(waiters) == 0 {
		return
	}
	ids := make([]uint64, len(waiters))
	for i, caller := range waiters {
		g.lastReadID++
		ids[i] = g.lastReadID
		g.pendingReads[g.lastReadID] = caller
	}
	if !g.core.ReadIndex(now, ids) {
		g.failPendingReads()
	}
}

// failPendingReads fails all reads whose read index is not confirmed.
func (g *group) failPendingReads() {
	for id, caller := range g.pendingReads {
		caller.complete(nil, g.notLeaderError())
		delete(g.pendingReads, id)
	}
}

// handleOutput carries out an output of the core. The view is published before messages are
// sent, because a message may transfer leadership.
func (g *group) handleOutput(out raft.Output) {
	g.publishView()
	g.handleLeadershipChange()
	if out.Stale {
		g.inc.discard(g.id)
		return
	}
	g.send(out.Send)
	if out.Install != nil {
		if !g.installSnapshot(out.Install) {
			return
		}
	}
	g.persist(&out)
	if len(out.Committed) > 0 {
		g.applier.enqueue(task{entries: out.Committed})
	}
	for _, read := range out.Reads {
		if caller := g.pendingReads[read.ID]; caller != nil {
			delete(g.pendingReads, read.ID)
			g.applier.awaitApplied(read.Index, caller)
		}
	}
}

// handleLeadershipChange fails the pending commands and reads of a leadership that has ended.
func (g *group) handleLeadershipChange() {
	v := g.view.Load()
	leaderTerm := uint64(0)
	if v.role == raft.Leader {
		leaderTerm = v.term
	}
	if g.ledTerm != 0 && g.ledTerm != leaderTerm {
		g.applier.failPendingCommands()
		g.failPendingReads()
	}
	if g.ledTerm != leaderTerm {
		g.ledSince = g.inc.r.now()
	}
	g.ledTerm = leaderTerm
}

// installSnapshot stores a received snapshot and queues it for the state machine.
func (g *group) installSnapshot(in *raft.Install) bool {
	s, err := splitSnapshot(g.applier.sm, in.Data)
	if err == nil {
		err = g.inc.wal.SaveSnapshot(g.id, in.Meta, s)
	}
	if err != nil {
		g.inc.r.reportFailure(err)
		return false
	}
	g.applier.enqueue(task{snapshot: in})
	return true
}

// persist appends the durable part of an output to the write-ahead log. A new commit index
// alone is not written until the next record.
func (g *group) persist(out *raft.Output) {
	if out.Hard != nil {
		g.unsavedHardState = out.Hard
	}
	if !out.Sync && len(out.AfterSync) == 0 {
		return
	}
	rec := &wal.Record{Group: g.id, Hard: g.unsavedHardState, Entries: out.Entries}
	if out.Install != nil {
		rec.Snapshot = &wal.SnapshotPosition{Index: out.Install.Meta.Index, Term: out.Install.Meta.Term}
	}
	if rec.Hard == nil && rec.Snapshot == nil && len(rec.Entries) == 0 {
		rec = nil
	}
	g.unsavedHardState = nil
	after := out.AfterSync
	g.inc.wal.Append(rec, out.Sync, func(err error) {
		if err != nil {
			g.inc.handleWALError(err)
			return
		}
		g.send(after)
	})
}

// send delivers messages to this member's core through the inbox and queues those to other
// members at their peers.
func (g *group) send(outgoing []raft.Message) {
	var toSelf []raft.Message
	for i := range outgoing {
		m := outgoing[i]
		if m.To == g.inc.self {
			toSelf = append(toSelf, m)
			continue
		}
		if m.Type == raft.MsgSnapshot && !g.loadChunk(&m) {
			continue
		}
		if p := g.inc.r.peerFor(m.To.ID); p != nil {
			p.send(groupMessage{Group: g.id, Message: m})
		}
	}
	if len(toSelf) > 0 {
		g.addInput(func(in *inbox) { in.messages = append(in.messages, toSelf...) })
	}
}

// loadChunk reads the data of a snapshot chunk into the message. If that fails, usually because
// a newer snapshot replaced the file, it makes the core restart the transfer and returns false.
func (g *group) loadChunk(m *raft.Message) bool {
	data, last, err := g.inc.wal.ReadSnapshot(g.id, m.Snap.Meta.Index, m.Snap.Offset, snapshotChunkBytes)
	if err != nil {
		g.core.ReportMissingSnapshot(m.To)
		return false
	}
	chunk := *m.Snap
	chunk.Data, chunk.Last = data, last
	m.Snap = &chunk
	return true
}

// publishView publishes the view. It publishes the status too if the role or the term has
// changed.
func (g *group) publishView() {
	now := g.inc.r.now()
	old := g.view.Load()
	st := g.core.BriefStatus()
	v := &view{
		role:       st.Role,
		term:       st.Term,
		leader:     st.Leader,
		leaseUntil: g.core.LeaseUntil(),
		termStart:  st.TermStart,
		logOffset:  g.core.LogTime(now) - now,
	}
	g.view.Store(v)
	if old == nil || old.role != v.role || old.term != v.term {
		g.publishStatus()
	}
	if old != nil && old.leader != v.leader {
		g.inc.r.log.Info("leader changed", "group", g.id, "term", v.term, "leader", v.leader.ID, "before", old.leader.ID)
	}
}

func (g *group) publishStatus() {
	st := g.core.Status()
	g.status.Store(&st)
}

// failPending rejects further inputs and fails all proposals and reads once run has ended.
func (g *group) failPending() {
	g.mu.Lock()
	g.stopped = true
	in := g.inbox
	g.inbox = inbox{}
	g.mu.Unlock()
	for _, p := range in.proposals {
		p.caller.complete(nil, g.notLeaderError())
	}
	for _, caller := range in.reads {
		caller.complete(nil, g.notLeaderError())
	}
	g.failPendingReads()
	g.applier.stop()
}

// notLeaderError returns the error for a request to a member that does not lead the group. It
// contains the address of the leader if another member is known to lead.
func (g *group) notLeaderError() error {
	v := g.view.Load()
	e := errs.New(errs.NotLeader, "send the request to the leader", "member %s does not lead group %d", g.inc.self.ID, g.id)
	if v.leader.ID != g.inc.self.ID {
		e.Leader = g.inc.r.cfg.addressOf(v.leader.ID)
	}
	return e
}

// uncertainError returns the error of a command whose outcome is unknown.
func uncertainError(group uint32, reason string) error {
	return errs.New(errs.Uncertain, "send the command again with the same request id",
		"a command of group %d may or may not have been committed: %s", group, reason).WithRun(errs.RunUnknown)
}
