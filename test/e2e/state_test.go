package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

// Guards against lost or mixed histories, and against a service that does not come back,
// when state members die, freeze, lose their disk or are cut off silently.
var _ = Describe("replicated state under live load", func() {
	var (
		s *testsite.Site
		c *caller
		l *liveLoad
	)
	// newLeader is the bound for a new leader, plus one turn of the load.
	const newLeader = 2*time.Second + 3*time.Second

	start := func(members int, extra string) {
		s = startSite(testsite.Options{Members: members, Entries: 3, Engines: 3, Relays: true, StateExtra: extra})
		waitVoters(s, members, 20*time.Second)
		c, _ = grant(s, "acme")
		l = startLoad(c, s.EntryAddrs, 8)
		l.waitTurns(20, 20*time.Second)
	}

	It("serves on when the leader is killed, again and again", func() {
		start(3, "")
		for range 3 {
			i := leaderOf(s, 1)
			killed := time.Now()
			s.Members[i].Kill()
			Expect(waitNewLeader(s, 1, i, killed)).To(BeNumerically("<=", 2*time.Second))
			l.waitTurns(10, newLeader)
			Expect(s.Members[i].Start()).To(Succeed())
			l.waitTurns(10, newLeader)
			waitVoters(s, 3, 20*time.Second)
		}
		Expect(l.finish()).To(BeEmpty())
	})

	It("serves on when the leader is frozen and comes back", func() {
		start(3, "")
		i := leaderOf(s, 1)
		s.Members[i].Freeze()
		l.waitTurns(10, newLeader)
		time.Sleep(2 * time.Second)
		s.Members[i].Thaw()
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})

	It("serves on when the leader is cut off silently, and when it returns", func() {
		start(3, "")
		i := leaderOf(s, 1)
		s.CutMember(i, true)
		l.waitTurns(10, newLeader)
		time.Sleep(3 * time.Second)
		s.CutMember(i, false)
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})

	It("survives a wiped member and, right after its repair, the loss of another", func() {
		start(3, "")
		s.Members[2].Kill()
		Expect(s.WipeMember(2)).To(Succeed())
		Expect(s.Members[2].Start()).To(Succeed())
		waitVoters(s, 3, 30*time.Second)
		s.Members[0].Kill()
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})

	It("survives a zone with two of five members and then one more", func() {
		start(5, "")
		s.Members[0].Kill()
		s.Members[3].Kill() // members are spread over three zones in turn: 1 and 4 share one
		l.waitTurns(20, newLeader)
		waitVoters(s, 3, 60*time.Second)
		s.Members[1].Kill()
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})

	// Guards against one member that leads all groups, and against errors from a hand-over.
	It("spreads its leaders over the members without an error for callers", func() {
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
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})

	It("restarts all members at once without losing a turn", func() {
		start(3, "")
		for _, m := range s.Members {
			m.Kill()
		}
		for _, m := range s.Members {
			Expect(m.Start()).To(Succeed())
		}
		l.waitTurns(20, newLeader)
		Expect(l.finish()).To(BeEmpty())
	})
})
