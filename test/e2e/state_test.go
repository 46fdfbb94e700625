package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

// Guards against lost or mixed histories, and against an outage that does not end, when state
// members crash, freeze, lose their disk or are partitioned without connection resets.
var _ = Describe("replicated state under load", func() {
	var (
		s *testsite.Site
		c *caller
		l *programLoad
	)
	// failoverTimeout is the time limit for the election of a new leader, plus that for one turn.
	const failoverTimeout = 2*time.Second + 3*time.Second

	start := func(members int, extra string) {
		s = startSite(testsite.Options{Members: members, Entries: 3, Engines: 3, Relays: true, StateExtra: extra})
		waitForVoters(s, members, 20*time.Second)
		c, _ = grantKey(s, "acme")
		l = startProgramLoad(c, s.EntryAddrs, 8)
		l.waitForTurns(20, 20*time.Second)
	}

	It("continues to serve when the leader is killed repeatedly", func() {
		start(3, "")
		for range 3 {
			i := leaderOf(s, 1)
			killed := time.Now()
			s.Members[i].Kill()
			Expect(waitForNewLeader(s, 1, i, killed)).To(BeNumerically("<=", 2*time.Second))
			l.waitForTurns(10, failoverTimeout)
			Expect(s.Members[i].Start()).To(Succeed())
			l.waitForTurns(10, failoverTimeout)
			waitForVoters(s, 3, 20*time.Second)
		}
		Expect(l.finish()).To(BeEmpty())
	})

	It("continues to serve when the leader is frozen and resumes", func() {
		start(3, "")
		i := leaderOf(s, 1)
		s.Members[i].Suspend()
		l.waitForTurns(10, failoverTimeout)
		time.Sleep(2 * time.Second)
		s.Members[i].Resume()
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})

	It("continues to serve when the leader is partitioned and when the partition heals", func() {
		start(3, "")
		i := leaderOf(s, 1)
		s.CutMember(i, true)
		l.waitForTurns(10, failoverTimeout)
		time.Sleep(3 * time.Second)
		s.CutMember(i, false)
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})

	It("survives the loss of a member's disk and, right after its repair, the loss of another member", func() {
		start(3, "")
		s.Members[2].Kill()
		Expect(s.WipeMember(2)).To(Succeed())
		Expect(s.Members[2].Start()).To(Succeed())
		waitForVoters(s, 3, 30*time.Second)
		s.Members[0].Kill()
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})

	It("survives the loss of an availability zone with two of five members, then of one more member", func() {
		start(5, "")
		// Members are assigned to three availability zones in turn: the first and fourth share one.
		s.Members[0].Kill()
		s.Members[3].Kill()
		l.waitForTurns(20, failoverTimeout)
		waitForVoters(s, 3, 60*time.Second)
		s.Members[1].Kill()
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})

	// Guards against one member leading all groups, and against errors during a leadership transfer.
	It("spreads the leaders over the members without errors for callers", func() {
		start(3, "spread_after = 2s")
		Expect(testsite.Within(20*time.Second, func() error {
			leaders := map[int]bool{}
			for g := range 3 {
				leaders[leaderOf(s, g)] = true
			}
			if len(leaders) < 3 {
				return fmt.Errorf("3 groups are led by %d members", len(leaders))
			}
			return nil
		})).To(Succeed())
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})

	It("loses no turn when all members restart at once", func() {
		start(3, "")
		for _, m := range s.Members {
			m.Kill()
		}
		for _, m := range s.Members {
			Expect(m.Start()).To(Succeed())
		}
		l.waitForTurns(20, failoverTimeout)
		Expect(l.finish()).To(BeEmpty())
	})
})
