package raft

import (
	"math/rand"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	peerA = Peer{ID: "a", Incarnation: 1}
	peerB = Peer{ID: "b", Incarnation: 1}
	peerC = Peer{ID: "c", Incarnation: 1}
)

// coreA returns member a of the voters a, b and c with entries of the given terms.
func coreA(terms ...uint64) *Core {
	cfg := Config{}.With(peerA, true).With(peerB, true).With(peerC, true)
	opt := Options{
		Self: peerA, Rand: rand.New(rand.NewSource(1)), Heartbeat: 50 * time.Millisecond,
		ElectionMin: 300 * time.Millisecond, ElectionMax: 600 * time.Millisecond,
		MaxAppendBytes: 1 << 20, Verified: true, Hard: HardState{Term: 2},
		Snapshot: SnapshotMeta{Index: 1, Term: 1, Config: cfg},
	}
	for i, t := range terms {
		opt.Entries = append(opt.Entries, Entry{Index: uint64(i) + 2, Term: t, Kind: EntryCommand})
	}
	return New(0, opt)
}

// campaign brings the core to a real election and delivers its own durable vote.
func campaign(c *Core) {
	c.Tick(time.Second)
	c.Step(time.Second, Message{Type: MsgPreVoteReply, From: peerB, To: peerA, Term: c.term + 1})
	loopBack(c)
}

// loopBack delivers the messages that the core has sent to itself.
func loopBack(c *Core) {
	for _, m := range c.Take().AfterSync {
		if m.To == peerA {
			c.Step(time.Second, m)
		}
	}
}

func elect(c *Core) {
	campaign(c)
	c.Step(time.Second, Message{Type: MsgVoteReply, From: peerB, To: peerA, Term: c.term})
	Expect(c.role).To(Equal(Leader))
	loopBack(c)
}

func ack(c *Core, from Peer, index uint64) {
	c.Step(time.Second, Message{Type: MsgAppendReply, From: from, To: peerA, Term: c.term, Index: index})
}

var _ = ginkgo.Describe("rules of the core", func() {
	ginkgo.DescribeTable("a vote counts only for", func(from Peer, reject bool, want Role) {
		c := coreA()
		campaign(c)
		c.Step(time.Second, Message{Type: MsgVoteReply, From: from, To: peerA, Term: c.term, Reject: reject})
		Expect(c.role).To(Equal(want))
	},
		ginkgo.Entry("a voter that grants it", peerB, false, Leader),
		ginkgo.Entry("not a rejection", peerB, true, Candidate),
		ginkgo.Entry("not an unknown incarnation (guards against votes of a lost disk)", Peer{ID: "b", Incarnation: 2}, false, Candidate),
		ginkgo.Entry("not an unknown member", Peer{ID: "d", Incarnation: 1}, false, Candidate),
	)

	ginkgo.It("entries of an earlier term are committed only with one of the leader's own (guards against committed entries that a later leader overwrites)", func() {
		c := coreA(2, 2)
		elect(c)
		ack(c, peerB, 3)
		Expect(c.commit).To(BeEquivalentTo(1))
		ack(c, peerB, 4)
		Expect(c.commit).To(BeEquivalentTo(4))
	})

	ginkgo.DescribeTable("no vote within the election timeout of a leader's message (guards against two leases)",
		func(after time.Duration, m Message, granted bool) {
			c := coreA()
			c.Step(time.Second, Message{Type: MsgHeartbeat, From: peerB, To: peerA, Term: 3})
			c.Take()
			m.From, m.To, m.Term, m.Index, m.LogTerm = peerC, peerA, 4, 1, 1
			c.Step(time.Second+after, m)
			out := c.Take()
			replies := slices.DeleteFunc(append(out.Send, out.AfterSync...), func(m Message) bool { return m.To != peerC })
			Expect(len(replies) == 1 && !replies[0].Reject).To(Equal(granted))
		},
		ginkgo.Entry("pre-vote at once", 10*time.Millisecond, Message{Type: MsgPreVote}, false),
		ginkgo.Entry("vote just before the end", 299*time.Millisecond, Message{Type: MsgVote}, false),
		ginkgo.Entry("pre-vote after it", 301*time.Millisecond, Message{Type: MsgPreVote}, true),
		ginkgo.Entry("vote after it", 301*time.Millisecond, Message{Type: MsgVote}, true),
		ginkgo.Entry("the leader has handed over", 10*time.Millisecond, Message{Type: MsgVote, Transfer: true}, true),
	)

	ginkgo.It("acknowledgements of an unknown incarnation do not count", func() {
		c := coreA()
		elect(c)
		ack(c, Peer{ID: "b", Incarnation: 2}, 2)
		Expect(c.commit).To(BeEquivalentTo(1))
	})

	ginkgo.It("membership changes are made one voter at a time, after the one before is committed (guards against two disjoint majorities)", func() {
		c := coreA()
		elect(c)
		peerD := Peer{ID: "d", Incarnation: 1}
		Expect(c.ProposeConfig(time.Second, c.config().With(peerD, false))).To(MatchError(ErrConfigPending), "no entry of the term is committed")
		loopBack(c)
		ack(c, peerB, 2)
		swapped := c.config().Without(peerC).With(peerD, true)
		Expect(c.ProposeConfig(time.Second, swapped)).To(MatchError(ErrConfigInvalid))
		Expect(c.ProposeConfig(time.Second, c.config().With(peerD, false))).To(Succeed())
		Expect(c.ProposeConfig(time.Second, c.config().Without(peerC))).To(MatchError(ErrConfigPending))
		loopBack(c)
		ack(c, peerB, 3)
		Expect(c.ProposeConfig(time.Second, c.config().Without(peerC))).To(Succeed())
	})
})
