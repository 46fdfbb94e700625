package raft

import (
	"flag"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	seedFlag  = flag.Int64("raft.seed", 0, "run only the schedule with this seed")
	countFlag = flag.Int64("raft.schedules", 200, "number of schedules")
)

// lead plays the clients and the membership manager of a leader.
func (s *sim) lead(n *simNode) {
	if n.core.Brief().Role != Leader {
		return
	}
	now := s.clock(n)
	if s.healed {
		s.changeMembers(n, n.core.Status())
	}
	switch s.rng.Intn(8) {
	case 0, 1:
		var cmds [][]byte
		for range 1 + s.rng.Intn(3) {
			s.nextCmd++
			cmds = append(cmds, fmt.Appendf(nil, "command %d", s.nextCmd))
		}
		n.core.Propose(now, cmds)
	case 2:
		s.nextCmd++
		n.read[uint64(s.nextCmd)] = s.last
		n.core.ReadIndex(now, []uint64{uint64(s.nextCmd)})
	case 3:
		s.changeMembers(n, n.core.Status())
	case 4:
		if s.rng.Intn(20) == 0 {
			n.core.Transfer(now, s.nodes[s.rng.Intn(simMembers)].peer)
		}
	}
	s.carryOut(n)
}

// changeMembers adds, promotes and replaces members, and sometimes removes one.
func (s *sim) changeMembers(n *simNode, st Status) {
	o := s.nodes[s.rng.Intn(simMembers)]
	m, in := st.Config.Find(o.peer)
	cfg := st.Config
	switch {
	case !in:
		cfg = cfg.With(o.peer, false)
	case !m.Voter && st.Progress[o.peer].Match+20 >= st.Last:
		cfg = cfg.With(o.peer, true)
		for _, old := range st.Config.Members {
			if old.Peer.ID == o.peer.ID && old.Peer != o.peer {
				cfg = st.Config.Without(old.Peer)
			}
		}
	case len(cfg.Voters()) > 3 && s.rng.Intn(20) == 0 && !s.healed:
		cfg = cfg.Without(o.peer)
	default:
		return
	}
	if n.core.ProposeConfig(s.clock(n), cfg) == nil {
		s.seen["membership changes"]++
	}
}

func (s *sim) compact(n *simNode) {
	meta, ok := n.core.SnapshotAt(n.applied)
	if !ok {
		return
	}
	// The log record of the snapshot follows all earlier ones.
	for _, w := range n.writes {
		n.disk.write(&w.out)
		s.sendAll(n, w.out.AfterSync)
	}
	n.writes = nil
	n.disk.mark(meta, n.state)
	n.core.Compact(meta, uint64(s.rng.Intn(20)))
}

// intact reports whether a group of at least three voters has all their disks, in the view
// of each member. Otherwise the loss of another disk could be the loss of a majority.
func (s *sim) intact() bool {
	for _, n := range s.nodes {
		if !n.up {
			return false
		}
		voters := n.core.Status().Config.Voters()
		if len(voters) < 3 {
			return false
		}
		for _, p := range voters {
			found := false
			for _, o := range s.nodes {
				found = found || o.peer == p
			}
			if !found {
				return false
			}
		}
	}
	return true
}

func (s *sim) fault() {
	n := s.nodes[s.rng.Intn(simMembers)]
	if !n.up {
		return
	}
	switch s.rng.Intn(12) {
	case 0, 1:
		s.crash(n)
	case 2:
		n.frozen = s.now + time.Duration(s.rng.Intn(1500))*time.Millisecond
	case 3:
		s.partition()
	case 4:
		s.cutLinks()
	case 5, 6:
		s.cut = map[[2]string]bool{}
	case 7, 8:
		s.compact(n)
	case 9:
		if s.intact() {
			s.seen["wiped"]++
			s.wipe(n)
		}
	case 10:
		d := n.disk
		n.backup = &d
		s.crashes = 0
	case 11:
		s.rollBack(n)
	}
}

// partition divides the members into two sides.
func (s *sim) partition() {
	side := map[string]int{}
	for _, n := range s.nodes {
		side[n.peer.ID] = s.rng.Intn(2)
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.cut[[2]string{a.peer.ID, b.peer.ID}] = side[a.peer.ID] != side[b.peer.ID]
		}
	}
}

// cutLinks cuts some links in one direction.
func (s *sim) cutLinks() {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.cut[[2]string{a.peer.ID, b.peer.ID}] = a != b && s.rng.Intn(3) == 0
		}
	}
}

// rollBack restarts a member with an older state of its disk. The records of the other
// members that show it are volatile, so they must not have restarted since.
func (s *sim) rollBack(n *simNode) {
	if n.backup == nil || s.crashes > 0 || !s.intact() {
		return
	}
	s.seen["rolled back"]++
	n.disk, n.backup = *n.backup, nil
	s.start(n, n.disk.hard == HardState{} && n.disk.meta.Index == 0)
}

// run executes the schedule and then checks that the group recovers with everything that
// was committed.
func (s *sim) run() error {
	for s.now < simFaults && s.err == nil {
		if s.rng.Intn(20) == 0 {
			s.fault()
		}
		s.step()
	}
	s.cut, s.loss, s.healed = map[[2]string]bool{}, 0, true
	want := s.last
	for s.err == nil && !s.recovered(want) {
		s.step()
		if s.now > simFaults+simRecovery {
			s.fail("no recovery after the faults have ended: entry %d was committed, now %d", want, s.last)
		}
	}
	return s.err
}

// recovered reports whether a new entry is committed and all members have applied
// everything that was committed before.
func (s *sim) recovered(want uint64) bool {
	for _, n := range s.nodes {
		if n.applied <= want {
			return false
		}
	}
	return s.last > want
}

func runSeed(seed int64) (s *sim, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	s = newSim(seed)
	return s, s.run()
}

var _ = ginkgo.Describe("schedules of the core with faults", func() {
	ginkgo.It("keep one leader per term, all committed entries, equal states, linearizable reads, single leases and a log time that never goes back", func() {
		first, last := int64(1), *countFlag
		if *seedFlag != 0 {
			first, last = *seedFlag, *seedFlag
		}
		seen := map[string]int{}
		for seed := first; seed <= last; seed++ {
			s, err := runSeed(seed)
			Expect(err).NotTo(HaveOccurred(), "run again: go test ./raft -raft.seed=%d", seed)
			seen["schedules"]++
			seen["committed entries"] += int(s.last)
			seen["terms with a leader"] += len(s.leaders)
			for k, v := range s.seen {
				seen[k] += v
			}
		}
		ginkgo.GinkgoWriter.Println(seen)
	})

	ginkgo.It("are the same for the same seed (guards against failures that cannot be rerun)", func() {
		a, errA := runSeed(7)
		b, errB := runSeed(7)
		Expect(errA).To(BeNil())
		Expect(errB).To(BeNil())
		Expect(a.trace).To(Equal(b.trace))
	})
})
