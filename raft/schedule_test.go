package raft

import (
	"flag"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	seedFlag  = flag.Int64("raft.seed", 0, "run only the schedule with this seed (0: all schedules)")
	countFlag = flag.Int64("raft.schedules", 200, "number of schedules to run")
)

// driveLeader acts as the clients and the operator if n is a leader: it proposes commands, reads,
// changes the membership or transfers the leadership at random.
func (s *sim) driveLeader(n *simNode) {
	if n.core.BriefStatus().Role != Leader {
		return
	}
	now := s.clock(n)
	if s.faultsEnded {
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
		n.readMinIndex[uint64(s.nextCmd)] = s.lastCommitted
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

// changeMembers proposes a membership change for a random member: add it as a learner, promote it
// to a voter in place of its previous incarnation, or rarely remove it.
func (s *sim) changeMembers(n *simNode, st Status) {
	candidate := s.nodes[s.rng.Intn(simMembers)]
	m, present := st.Config.Find(candidate.peer)
	cfg := st.Config
	switch {
	case !present:
		cfg = cfg.With(candidate.peer, false)
	case !m.Voter && st.Progress[candidate.peer].Match+20 >= st.LastIndex:
		cfg = cfg.With(candidate.peer, true)
		for _, old := range st.Config.Members {
			if old.Peer.ID == candidate.peer.ID && old.Peer != candidate.peer {
				cfg = st.Config.Without(old.Peer)
			}
		}
	case len(cfg.Voters()) > 3 && s.rng.Intn(20) == 0 && !s.faultsEnded:
		cfg = cfg.Without(candidate.peer)
	default:
		return
	}
	if n.core.ProposeConfig(s.clock(n), cfg) == nil {
		s.counts["membership changes"]++
	}
}

// compact stores a snapshot of the member's state and compacts its log.
func (s *sim) compact(n *simNode) {
	meta, ok := n.core.SnapshotAt(n.applied)
	if !ok {
		return
	}
	// The record of the snapshot follows all earlier records in the write-ahead log, so storing
	// it makes them durable as well.
	for _, w := range n.writes {
		n.disk.write(&w.out)
		s.sendAll(n, w.out.AfterSync)
	}
	n.writes = nil
	n.disk.storeSnapshot(meta, n.stateDigest)
	n.core.Compact(meta, uint64(s.rng.Intn(20)))
}

// allDisksIntact reports whether all members are up and each of them sees at least three voters,
// all of which still have their data directories. Otherwise the loss of another disk could mean
// the loss of a majority.
func (s *sim) allDisksIntact() bool {
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

// injectFault causes a random fault or ends the blocking of links.
func (s *sim) injectFault() {
	n := s.nodes[s.rng.Intn(simMembers)]
	if !n.up {
		return
	}
	switch s.rng.Intn(12) {
	case 0, 1:
		s.crash(n)
	case 2:
		n.pausedUntil = s.now + time.Duration(s.rng.Intn(1500))*time.Millisecond
	case 3:
		s.partitionMembers()
	case 4:
		s.blockRandomLinks()
	case 5, 6:
		s.blockedLinks = map[[2]string]bool{}
	case 7, 8:
		s.compact(n)
	case 9:
		if s.allDisksIntact() {
			s.counts["wiped"]++
			s.wipe(n)
		}
	case 10:
		d := n.disk
		n.backup = &d
		s.crashesSinceBackup = 0
	case 11:
		s.rollBack(n)
	}
}

// partitionMembers splits the members at random into two sides that cannot reach each other.
func (s *sim) partitionMembers() {
	side := map[string]int{}
	for _, n := range s.nodes {
		side[n.peer.ID] = s.rng.Intn(2)
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.blockedLinks[[2]string{a.peer.ID, b.peer.ID}] = side[a.peer.ID] != side[b.peer.ID]
		}
	}
}

// blockRandomLinks blocks some links at random, each in one direction only.
func (s *sim) blockRandomLinks() {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.blockedLinks[[2]string{a.peer.ID, b.peer.ID}] = a != b && s.rng.Intn(3) == 0
		}
	}
}

// rollBack restarts a member with an older state of its disk. The other members detect this by
// their volatile records of its acknowledgements, so no member may have crashed since the
// backup.
func (s *sim) rollBack(n *simNode) {
	if n.backup == nil || s.crashesSinceBackup > 0 || !s.allDisksIntact() {
		return
	}
	s.counts["rolled back"]++
	n.disk, n.backup = *n.backup, nil
	s.start(n, n.disk.hard == HardState{} && n.disk.snapshotMeta.Index == 0)
}

// run executes the schedule with faults, and then checks that the group recovers without faults
// and keeps all committed entries.
func (s *sim) run() error {
	for s.now < simFaultPeriod && s.err == nil {
		if s.rng.Intn(20) == 0 {
			s.injectFault()
		}
		s.step()
	}
	s.blockedLinks, s.lossRate, s.faultsEnded = map[[2]string]bool{}, 0, true
	want := s.lastCommitted
	for s.err == nil && !s.recovered(want) {
		s.step()
		if s.now > simFaultPeriod+simRecoveryLimit {
			s.fail("no recovery after the faults have ended: the last committed entry was %d, now %d", want, s.lastCommitted)
		}
	}
	return s.err
}

// recovered reports whether an entry after want is committed and all members have applied an
// entry after want.
func (s *sim) recovered(want uint64) bool {
	for _, n := range s.nodes {
		if n.applied <= want {
			return false
		}
	}
	return s.lastCommitted > want
}

// runSeed runs the schedule of a seed. A panic is returned as an error.
func runSeed(seed int64) (s *sim, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	s = newSim(seed)
	return s, s.run()
}

var _ = ginkgo.Describe("randomised schedules with faults", func() {
	// Guards against violations of the safety properties and against groups that do not recover.
	ginkgo.It("keep one leader per term, all committed entries, equal states, linearizable reads, at most one lease and a log time that never decreases", func() {
		first, last := int64(1), *countFlag
		if *seedFlag != 0 {
			first, last = *seedFlag, *seedFlag
		}
		counts := map[string]int{}
		for seed := first; seed <= last; seed++ {
			s, err := runSeed(seed)
			Expect(err).NotTo(HaveOccurred(), "reproduce with: go test ./raft -raft.seed=%d", seed)
			counts["schedules"]++
			counts["committed entries"] += int(s.lastCommitted)
			counts["terms with a leader"] += len(s.leaders)
			for k, v := range s.counts {
				counts[k] += v
			}
		}
		ginkgo.GinkgoWriter.Println(counts)
	})

	// Guards against failures that cannot be reproduced from their seed.
	ginkgo.It("are deterministic for a given seed", func() {
		a, errA := runSeed(7)
		b, errB := runSeed(7)
		Expect(errA).To(BeNil())
		Expect(errB).To(BeNil())
		Expect(a.traceHash).To(Equal(b.traceHash))
	})
})
