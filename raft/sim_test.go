package raft

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

const (
	simStep          = 10 * time.Millisecond
	simFaultPeriod   = 8 * time.Second  // duration of the schedule with faults
	simRecoveryLimit = 15 * time.Second // longest recovery after the faults
	simMembers       = 5
	chunkBytes       = 16
)

// simDisk is the durable state of a member.
type simDisk struct {
	hard         HardState
	snapshotMeta SnapshotMeta
	snapshotData string
	entries      []Entry
}

// simWrite is a write that is not synced yet. It is synced at due.
type simWrite struct {
	out Output
	due time.Duration
}

// simNode is a simulated member. Its clock has its own offset and rate.
type simNode struct {
	peer         Peer
	core         *Core
	disk         simDisk
	backup       *simDisk // older state of the disk, for rollBack
	writes       []simWrite
	up           bool
	pausedUntil  time.Duration // the member handles nothing before this time
	restartAt    time.Duration
	clockOffset  time.Duration
	clockRate    float64
	applied      uint64
	stateDigest  string            // the state machine's state: a digest of the applied commands, in order
	readMinIndex map[uint64]uint64 // by read request: highest index committed before it
}

// simMessage is a message that arrives at due.
type simMessage struct {
	m   *Message
	due time.Duration
}

// sim simulates a group with one seeded schedule of faults and checks its safety properties.
type sim struct {
	rng                *rand.Rand
	now                time.Duration
	nodes              []*simNode
	net                []simMessage
	blockedLinks       map[[2]string]bool // links that drop all messages, by sender and receiver
	leaders            map[uint64]Peer    // by term
	committed          map[uint64]Entry   // by index
	lastCommitted      uint64             // highest committed index
	states             map[uint64]string  // state digests by index
	nextCmd            int
	crashesSinceBackup int            // of all members, since the last backup of a disk
	counts             map[string]int // events, by name
	lossRate           float64        // probability that a message is lost, delayed or duplicated
	maxSyncMillis      int            // bound of the sync time
	faultsEnded        bool           // the schedule with faults is over
	err                error
	traceHash          uint64 // of the applied entries of all members
}

func newSim(seed int64) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), blockedLinks: map[[2]string]bool{}, leaders: map[uint64]Peer{},
		committed: map[uint64]Entry{}, states: map[uint64]string{}, counts: map[string]int{},
	}
	s.lossRate = []float64{0, 0.02, 0.2}[s.rng.Intn(3)]
	s.maxSyncMillis = []int{20, 20, 500}[s.rng.Intn(3)]
	for i := range simMembers {
		n := &simNode{peer: Peer{ID: fmt.Sprint("m", i), Incarnation: s.rng.Uint64()}}
		n.clockOffset = time.Duration(s.rng.Intn(1000)) * time.Second
		n.clockRate = 0.98 + 0.04*s.rng.Float64()
		if i == 0 {
			n.disk = simDisk{snapshotMeta: Bootstrap(n.peer), hard: HardState{Term: 1, Commit: 1}}
		}
		s.nodes = append(s.nodes, n)
		s.start(n, true)
	}
	return s
}

// fail records the first violation.
func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.now}, args...)...)
	}
}

// clock returns the member's local time.
func (s *sim) clock(n *simNode) Time {
	return n.clockOffset + time.Duration(float64(s.now)*n.clockRate)
}

// start starts a member from its disk.
func (s *sim) start(n *simNode, verified bool) {
	n.up, n.writes, n.readMinIndex = true, nil, map[uint64]uint64{}
	n.applied, n.stateDigest = n.disk.snapshotMeta.Index, n.disk.snapshotData
	n.core = New(s.clock(n), Options{
		Self: n.peer, Rand: rand.New(rand.NewSource(s.rng.Int63())), Heartbeat: 50 * time.Millisecond,
		ElectionMin: 300 * time.Millisecond, ElectionMax: 600 * time.Millisecond, LeaseMargin: 30 * time.Millisecond,
		MaxAppendBytes: 30, Verified: verified, Hard: n.disk.hard, Snapshot: n.disk.snapshotMeta,
		Entries: slices.Clone(n.disk.entries),
	})
	s.carryOut(n)
}

// verify simulates the exchange with which package replica verifies the data directory of a
// restarted member before it may vote.
func (s *sim) verify(n *simNode) {
	if !n.up || n.core.BriefStatus().Verified {
		return
	}
	st := n.core.Status()
	others, term, committed := 0, uint64(0), Position{}
	for _, other := range s.nodes {
		if other == n || !other.up {
			continue
		}
		otherStatus := other.core.Status()
		if otherStatus.Role == Leader && otherStatus.Term >= st.Term && otherStatus.Progress[n.peer].Match > st.LastIndex {
			s.counts["stale by hello"]++
			s.wipe(n)
			return
		}
		if st.Config.IsVoter(other.peer) {
			others++
		}
		term = max(term, otherStatus.Term)
		if c := (Position{Term: otherStatus.CommitTerm, Index: otherStatus.Commit}); committed.Before(c) {
			committed = c
		}
	}
	if others >= st.Config.Quorum()-1 {
		n.core.SetVerified(s.clock(n), term, committed)
	}
}

func (s *sim) crash(n *simNode) {
	s.crashesSinceBackup++
	// Some of the writes that were not synced may have reached the disk.
	for range s.rng.Intn(len(n.writes) + 1) {
		n.disk.write(&n.writes[0].out)
		n.writes = n.writes[1:]
	}
	n.up, n.writes = false, nil
	n.restartAt = s.now + time.Duration(s.rng.Intn(2000))*time.Millisecond
}

// wipe replaces a member's disk by an empty one and restarts the member as a new incarnation.
func (s *sim) wipe(n *simNode) {
	n.peer.Incarnation = s.rng.Uint64()
	n.disk, n.backup = simDisk{}, nil
	s.start(n, true)
}

// write stores an output on the disk, as package wal does.
func (d *simDisk) write(out *Output) {
	if out.Hard != nil {
		d.hard = *out.Hard
	}
	if install := out.Install; install != nil {
		d.storeSnapshot(install.Meta, string(install.Data))
	}
	for _, e := range out.Entries {
		if e.Index > d.snapshotMeta.Index {
			keep := e.Index - d.snapshotMeta.Index - 1
			if keep < uint64(len(d.entries)) {
				d.entries = slices.Clone(d.entries[:keep])
			}
			d.entries = append(d.entries, e)
		}
	}
}

// storeSnapshot stores a snapshot and drops the entries up to it, or all of them if they do not
// include its last one.
func (d *simDisk) storeSnapshot(snapshotMeta SnapshotMeta, snapshotData string) {
	if snapshotMeta.Index <= d.snapshotMeta.Index {
		return
	}
	i := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index == snapshotMeta.Index && e.Term == snapshotMeta.Term })
	if i < 0 {
		d.entries = nil
	} else {
		d.entries = slices.Clone(d.entries[i+1:])
	}
	d.snapshotMeta, d.snapshotData = snapshotMeta, snapshotData
}

// carryOut processes the output of a member's core, as the driver does.
func (s *sim) carryOut(n *simNode) {
	out := n.core.TakeOutput()
	st := n.core.BriefStatus()
	if st.Role == Leader {
		if p, ok := s.leaders[st.Term]; ok && p != n.peer {
			s.fail("term %d has leaders %v and %v", st.Term, p, n.peer)
		}
		s.leaders[st.Term] = n.peer
	}
	if out.Stale {
		s.counts["stale by heartbeat"]++
		s.wipe(n)
		return
	}
	s.sendAll(n, out.Send)
	if out.Install != nil {
		s.counts["snapshots installed"]++
		n.applied, n.stateDigest = out.Install.Meta.Index, string(out.Install.Data)
		s.checkState(n)
	}
	if out.Hard != nil || len(out.AfterSync) > 0 || out.Sync {
		due := s.now + time.Duration(s.rng.Intn(s.maxSyncMillis))*time.Millisecond
		if k := len(n.writes); k > 0 {
			due = max(due, n.writes[k-1].due)
		}
		n.writes = append(n.writes, simWrite{out: out, due: due})
	}
	for _, e := range out.Committed {
		s.apply(n, e)
	}
	for _, r := range out.Reads {
		if r.Index < n.readMinIndex[r.ID] {
			s.fail("%v: a read is served at index %d, but index %d was committed before the request", n.peer, r.Index, n.readMinIndex[r.ID])
		}
	}
}

// apply applies a committed entry and checks it against what other members have applied.
func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.fail("%v applies entry %d after entry %d", n.peer, e.Index, n.applied)
	}
	if c, ok := s.committed[e.Index]; ok && (c.Term != e.Term || string(c.Data) != string(e.Data)) {
		s.fail("committed entry %d changed from term %d to %d", e.Index, c.Term, e.Term)
	}
	if prev, ok := s.committed[e.Index-1]; ok && e.Stamp < prev.Stamp {
		s.fail("log time decreased at entry %d", e.Index)
	}
	s.committed[e.Index] = e
	s.lastCommitted = max(s.lastCommitted, e.Index)
	n.applied = e.Index
	n.stateDigest = nextDigest(n.stateDigest, e.Data)
	s.checkState(n)
	s.traceHash = s.traceHash*31 + e.Index*7 + e.Term
}

// nextDigest returns the digest of the state after cmd. It is longer than chunkBytes, so that a
// snapshot has several chunks.
func nextDigest(state string, cmd []byte) string {
	sum := sha256.Sum256(append([]byte(state), cmd...))
	return hex.EncodeToString(sum[:])
}

// checkState checks that all members have the same state after the same entry.
func (s *sim) checkState(n *simNode) {
	if st, ok := s.states[n.applied]; ok && st != n.stateDigest {
		s.fail("%v: state after entry %d differs from another member's", n.peer, n.applied)
	}
	s.states[n.applied] = n.stateDigest
}

// sendAll puts messages on the network, where they may be lost, delayed or duplicated.
func (s *sim) sendAll(n *simNode, ms []Message) {
	for i := range ms {
		m := &ms[i]
		if m.Type == MsgSnapshot && !s.fillChunk(n, m) {
			continue
		}
		if m.To == n.peer {
			s.net = append(s.net, simMessage{m: m, due: s.now})
			continue
		}
		for s.rng.Float64() >= s.lossRate {
			delay := time.Duration(s.rng.Intn(30)) * time.Millisecond
			if s.rng.Float64() < s.lossRate {
				delay += time.Duration(s.rng.Intn(1000)) * time.Millisecond
			}
			s.net = append(s.net, simMessage{m: m, due: s.now + delay})
			if s.rng.Float64() >= s.lossRate {
				break
			}
		}
	}
}

// fillChunk adds the data to a snapshot chunk. It returns false if the snapshot is not stored
// any more.
func (s *sim) fillChunk(n *simNode, m *Message) bool {
	if n.disk.snapshotMeta.Index != m.Snap.Meta.Index {
		n.core.ReportMissingSnapshot(m.To)
		return false
	}
	chunk := *m.Snap
	rest := n.disk.snapshotData[min(int(chunk.Offset), len(n.disk.snapshotData)):]
	chunk.Data = []byte(rest[:min(len(rest), chunkBytes)])
	chunk.Last = len(rest) <= chunkBytes
	m.Snap = &chunk
	return true
}

// deliver delivers the messages that are due. Messages to paused members wait.
func (s *sim) deliver() {
	due := s.net
	s.net = nil
	rest := due[:0]
	for _, sm := range due {
		if sm.due > s.now {
			rest = append(rest, sm)
			continue
		}
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.peer == sm.m.To })
		if i >= 0 && s.nodes[i].up && s.nodes[i].pausedUntil > s.now {
			rest = append(rest, sm)
			continue
		}
		if i < 0 || !s.nodes[i].up || s.blockedLinks[[2]string{sm.m.From.ID, sm.m.To.ID}] {
			continue
		}
		s.nodes[i].core.Step(s.clock(s.nodes[i]), *sm.m)
		s.carryOut(s.nodes[i])
	}
	s.net = append(rest, s.net...)
}

// step advances the simulation by simStep.
func (s *sim) step() {
	s.now += simStep
	s.deliver()
	for _, n := range s.nodes {
		if !n.up && s.now >= n.restartAt {
			s.start(n, n.disk.snapshotMeta.Index == 0 && len(n.disk.entries) == 0 && n.disk.hard == HardState{})
		}
		if !n.up || n.pausedUntil > s.now {
			continue
		}
		s.syncWrites(n)
		s.verify(n)
		n.core.Tick(s.clock(n))
		s.carryOut(n)
		s.driveLeader(n)
	}
	s.checkLeases()
}

// syncWrites completes the writes that are due and sends the messages that depend on them.
func (s *sim) syncWrites(n *simNode) {
	for len(n.writes) > 0 && n.writes[0].due <= s.now {
		out := n.writes[0].out
		n.writes = n.writes[1:]
		n.disk.write(&out)
		s.sendAll(n, out.AfterSync)
	}
}

// checkLeases checks that at most one member considers its lease valid. Paused members count as
// well: their clocks go on, so a lease may still be valid when they continue.
func (s *sim) checkLeases() {
	var holder *simNode
	for _, n := range s.nodes {
		if !n.up || s.clock(n) >= n.core.LeaseUntil() {
			continue
		}
		if holder != nil {
			s.fail("%v and %v hold a lease at the same time", holder.peer, n.peer)
		}
		holder = n
	}
}
