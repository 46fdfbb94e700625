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
	simStep     = 10 * time.Millisecond
	simFaults   = 8 * time.Second  // schedule with faults
	simRecovery = 15 * time.Second // the most that recovery without faults may take
	simMembers  = 5
	chunkBytes  = 16
)

// simDisk is the durable state of a member.
type simDisk struct {
	hard    HardState
	meta    SnapshotMeta
	data    string
	entries []Entry
}

// simWrite is a write that is not synced yet.
type simWrite struct {
	out Output
	due time.Duration
}

// simNode is one member. Its clock has its own offset and rate.
type simNode struct {
	peer    Peer
	core    *Core
	disk    simDisk
	backup  *simDisk // an older state of the disk
	writes  []simWrite
	up      bool
	frozen  time.Duration // until
	restart time.Duration
	offset  time.Duration
	rate    float64
	applied uint64
	state   string // digest of the applied commands, in order
	read    map[uint64]uint64
}

type simMessage struct {
	m   *Message
	due time.Duration
}

// sim runs one seeded schedule of a group and checks it.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	nodes     []*simNode
	net       []simMessage
	cut       map[[2]string]bool // links that drop everything, by sender and receiver
	leaders   map[uint64]Peer
	committed map[uint64]Entry
	last      uint64 // highest committed index
	states    map[uint64]string
	nextCmd   int
	crashes   int // since the last backup of a disk
	seen      map[string]int
	loss      float64
	maxSync   int  // longest sync, in milliseconds
	healed    bool // no more faults
	err       error
	trace     uint64
}

func newSim(seed int64) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), cut: map[[2]string]bool{}, leaders: map[uint64]Peer{},
		committed: map[uint64]Entry{}, states: map[uint64]string{}, seen: map[string]int{},
	}
	s.loss = []float64{0, 0.02, 0.2}[s.rng.Intn(3)]
	s.maxSync = []int{20, 20, 500}[s.rng.Intn(3)]
	for i := range simMembers {
		n := &simNode{peer: Peer{ID: fmt.Sprint("m", i), Incarnation: s.rng.Uint64()}}
		n.offset = time.Duration(s.rng.Intn(1000)) * time.Second
		n.rate = 0.98 + 0.04*s.rng.Float64()
		if i == 0 {
			n.disk = simDisk{meta: Bootstrap(n.peer), hard: HardState{Term: 1, Commit: 1}}
		}
		s.nodes = append(s.nodes, n)
		s.start(n, true)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.now}, args...)...)
	}
}

func (s *sim) clock(n *simNode) Time { return n.offset + time.Duration(float64(s.now)*n.rate) }

func (s *sim) start(n *simNode, verified bool) {
	n.up, n.writes, n.read = true, nil, map[uint64]uint64{}
	n.applied, n.state = n.disk.meta.Index, n.disk.data
	n.core = New(s.clock(n), Options{
		Self: n.peer, Rand: rand.New(rand.NewSource(s.rng.Int63())), Heartbeat: 50 * time.Millisecond,
		ElectionMin: 300 * time.Millisecond, ElectionMax: 600 * time.Millisecond, LeaseMargin: 30 * time.Millisecond,
		MaxAppendBytes: 30, Verified: verified, Hard: n.disk.hard, Snapshot: n.disk.meta,
		Entries: slices.Clone(n.disk.entries),
	})
	s.carryOut(n)
}

// verify does what package replica does before a restarted member votes.
func (s *sim) verify(n *simNode) {
	if !n.up || n.core.Brief().Verified {
		return
	}
	st := n.core.Status()
	others, term, floor := 0, uint64(0), Position{}
	for _, o := range s.nodes {
		if o == n || !o.up {
			continue
		}
		os := o.core.Status()
		if os.Role == Leader && os.Term >= st.Term && os.Progress[n.peer].Match > st.Last {
			s.seen["stale by hello"]++
			s.wipe(n)
			return
		}
		if st.Config.IsVoter(o.peer) {
			others++
		}
		term = max(term, os.Term)
		if c := (Position{Term: os.CommitTerm, Index: os.Commit}); floor.Before(c) {
			floor = c
		}
	}
	if others >= st.Config.Quorum()-1 {
		n.core.SetVerified(s.clock(n), term, floor)
	}
}

func (s *sim) crash(n *simNode) {
	s.crashes++
	// A part of what was not synced may have reached the disk.
	for range s.rng.Intn(len(n.writes) + 1) {
		n.disk.write(&n.writes[0].out)
		n.writes = n.writes[1:]
	}
	n.up, n.writes = false, nil
	n.restart = s.now + time.Duration(s.rng.Intn(2000))*time.Millisecond
}

func (s *sim) wipe(n *simNode) {
	n.peer.Incarnation = s.rng.Uint64()
	n.disk, n.backup = simDisk{}, nil
	s.start(n, true)
}

// write applies an output to the disk, as package wal does.
func (d *simDisk) write(out *Output) {
	if out.Hard != nil {
		d.hard = *out.Hard
	}
	if in := out.Install; in != nil {
		d.mark(in.Meta, string(in.Data))
	}
	for _, e := range out.Entries {
		if e.Index > d.meta.Index {
			keep := e.Index - d.meta.Index - 1
			if keep < uint64(len(d.entries)) {
				d.entries = slices.Clone(d.entries[:keep])
			}
			d.entries = append(d.entries, e)
		}
	}
}

func (d *simDisk) mark(meta SnapshotMeta, data string) {
	if meta.Index <= d.meta.Index {
		return
	}
	i := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index == meta.Index && e.Term == meta.Term })
	if i < 0 {
		d.entries = nil
	} else {
		d.entries = slices.Clone(d.entries[i+1:])
	}
	d.meta, d.data = meta, data
}

func (s *sim) carryOut(n *simNode) {
	out := n.core.Take()
	st := n.core.Brief()
	if st.Role == Leader {
		if p, ok := s.leaders[st.Term]; ok && p != n.peer {
			s.fail("term %d has leaders %v and %v", st.Term, p, n.peer)
		}
		s.leaders[st.Term] = n.peer
	}
	if out.Stale {
		s.seen["stale by heartbeat"]++
		s.wipe(n)
		return
	}
	s.sendAll(n, out.Send)
	if out.Install != nil {
		s.seen["snapshots installed"]++
		n.applied, n.state = out.Install.Meta.Index, string(out.Install.Data)
		s.checkState(n)
	}
	if out.Hard != nil || len(out.AfterSync) > 0 || out.Sync {
		due := s.now + time.Duration(s.rng.Intn(s.maxSync))*time.Millisecond
		if k := len(n.writes); k > 0 {
			due = max(due, n.writes[k-1].due)
		}
		n.writes = append(n.writes, simWrite{out: out, due: due})
	}
	for _, e := range out.Committed {
		s.apply(n, e)
	}
	for _, r := range out.Reads {
		if r.Index < n.read[r.ID] {
			s.fail("%v: a read sees index %d, but %d was committed before it", n.peer, r.Index, n.read[r.ID])
		}
	}
}

func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.fail("%v applies %d after %d", n.peer, e.Index, n.applied)
	}
	if c, ok := s.committed[e.Index]; ok && (c.Term != e.Term || string(c.Data) != string(e.Data)) {
		s.fail("committed entry %d changed from term %d to %d", e.Index, c.Term, e.Term)
	}
	if prev, ok := s.committed[e.Index-1]; ok && e.Stamp < prev.Stamp {
		s.fail("log time went back at entry %d", e.Index)
	}
	s.committed[e.Index] = e
	s.last = max(s.last, e.Index)
	n.applied = e.Index
	n.state = digest(n.state, e.Data)
	s.checkState(n)
	s.trace = s.trace*31 + e.Index*7 + e.Term
}

// digest is long enough for a snapshot of several chunks.
func digest(state string, cmd []byte) string {
	sum := sha256.Sum256(append([]byte(state), cmd...))
	return hex.EncodeToString(sum[:])
}

func (s *sim) checkState(n *simNode) {
	if st, ok := s.states[n.applied]; ok && st != n.state {
		s.fail("%v: state at %d differs from another member's", n.peer, n.applied)
	}
	s.states[n.applied] = n.state
}

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
		for s.rng.Float64() >= s.loss {
			delay := time.Duration(s.rng.Intn(30)) * time.Millisecond
			if s.rng.Float64() < s.loss {
				delay += time.Duration(s.rng.Intn(1000)) * time.Millisecond
			}
			s.net = append(s.net, simMessage{m: m, due: s.now + delay})
			if s.rng.Float64() >= s.loss {
				break
			}
		}
	}
}

func (s *sim) fillChunk(n *simNode, m *Message) bool {
	if n.disk.meta.Index != m.Snap.Meta.Index {
		n.core.SnapshotGone(m.To)
		return false
	}
	chunk := *m.Snap
	rest := n.disk.data[min(int(chunk.Offset), len(n.disk.data)):]
	chunk.Data = []byte(rest[:min(len(rest), chunkBytes)])
	chunk.Last = len(rest) <= chunkBytes
	m.Snap = &chunk
	return true
}

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
		if i >= 0 && s.nodes[i].up && s.nodes[i].frozen > s.now {
			rest = append(rest, sm)
			continue
		}
		if i < 0 || !s.nodes[i].up || s.cut[[2]string{sm.m.From.ID, sm.m.To.ID}] {
			continue
		}
		s.nodes[i].core.Step(s.clock(s.nodes[i]), *sm.m)
		s.carryOut(s.nodes[i])
	}
	s.net = append(rest, s.net...)
}

func (s *sim) step() {
	s.now += simStep
	s.deliver()
	for _, n := range s.nodes {
		if !n.up && s.now >= n.restart {
			s.start(n, n.disk.meta.Index == 0 && len(n.disk.entries) == 0 && n.disk.hard == HardState{})
		}
		if !n.up || n.frozen > s.now {
			continue
		}
		s.syncWrites(n)
		s.verify(n)
		n.core.Tick(s.clock(n))
		s.carryOut(n)
		s.lead(n)
	}
	s.checkLeases()
}

func (s *sim) syncWrites(n *simNode) {
	for len(n.writes) > 0 && n.writes[0].due <= s.now {
		out := n.writes[0].out
		n.writes = n.writes[1:]
		n.disk.write(&out)
		s.sendAll(n, out.AfterSync)
	}
}

// checkLeases checks that at most one member believes that it leads under a lease. Frozen
// members count: they look at their clock when they continue.
func (s *sim) checkLeases() {
	var holder *simNode
	for _, n := range s.nodes {
		if !n.up || s.clock(n) >= n.core.LeaseUntil() {
			continue
		}
		if holder != nil {
			s.fail("%v and %v hold a lease", holder.peer, n.peer)
		}
		holder = n
	}
}
