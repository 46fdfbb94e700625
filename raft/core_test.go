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

// newCoreA returns the core of member a in a group with the voters a, b and c. Its log holds
// entries of the given terms from index 2 on.
func newCoreA(terms ...uint64) *Core {
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

// campaign takes the core through a pre-vote to an election and delivers its own durable vote.
func campaign(c *Core) {
	c.Tick(time.Second)
	c.Step(time.Second, Message{Type: MsgPreVoteReply, From: peerB, To: peerA, Term: c.term + 1})
	deliverToSelf(c)
}

// deliverToSelf delivers the messages that the core has sent to itself, as if its writes were
// synced.
func deliverToSelf(c *Core) {
	for _, m := range c.TakeOutput().AfterSync {
		if m.To == peerA {
			c.Step(time.Second, m)
		}
	}
}

// elect makes the core the leader and delivers its acknowledgement of its no-op entry.
func elect(c *Core) {
	campaign(c)
	c.Step(time.Second, Message{Type: MsgVoteReply, From: peerB, To: peerA, Term: c.term})
	Expect(c.role).To(Equal(Leader))
	deliverToSelf(c)
}

// ack delivers an acknowledgement of the entries up to index.
func ack(c *Core, from Peer, index uint64) {
	c.Step(time.Second, Message{Type: MsgAppendReply, From: from, To: peerA, Term: c.term, Index: index})
}

var _ = ginkgo.Describe("core", func() {
	ginkgo.DescribeTable("votes that decide an election", func(from Peer, reject bool, want Role) {
		c := newCoreA()
		campaign(c)
		c.Step(time.Second, Message{Type: MsgVoteReply, From: from, To: peerA, Term: c.term, Reject: reject})
		Expect(c.role).To(Equal(want))
	},
		ginkgo.Entry("a granted vote of a voter counts", peerB, false, Leader),
		ginkgo.Entry("a rejection does not count", peerB, true, Candidate),
		ginkgo.Entry("a vote of an unknown incarnation does not count, since its data directory may have been lost", Peer{ID: "b", Incarnation: 2}, false, Candidate),
		ginkgo.Entry("a vote of an unknown member does not count", Peer{ID: "d", Incarnation: 1}, false, Candidate),
	)

	// Guards against committed entries that a later leader overwrites.
	ginkgo.It("commits entries of an earlier term only together with an entry of the leader's own term", func() {
		c := newCoreA(2, 2)
		elect(c)
		ack(c, peerB, 3)
		Expect(c.commit).To(BeEquivalentTo(1))
		ack(c, peerB, 4)
		Expect(c.commit).To(BeEquivalentTo(4))
	})

	// Guards against two leaders that hold a lease at the same time.
	ginkgo.DescribeTable("does not vote within the election timeout after a leader's message",
		func(after time.Duration, m Message, granted bool) {
			c := newCoreA()
			c.Step(time.Second, Message{Type: MsgHeartbeat, From: peerB, To: peerA, Term: 3})
			c.TakeOutput()
			m.From, m.To, m.Term, m.Index, m.LogTerm = peerC, peerA, 4, 1, 1
			c.Step(time.Second+after, m)
			out := c.TakeOutput()
			replies := slices.DeleteFunc(append(out.Send, out.AfterSync...), func(m Message) bool { return m.To != peerC })
			Expect(len(replies) == 1 && !replies[0].Reject).To(Equal(granted))
		},
		ginkgo.Entry("pre-vote request immediately", 10*time.Millisecond, Message{Type: MsgPreVote}, false),
		ginkgo.Entry("vote request just before the end of the timeout", 299*time.Millisecond, Message{Type: MsgVote}, false),
		ginkgo.Entry("pre-vote request after the timeout", 301*time.Millisecond, Message{Type: MsgPreVote}, true),
		ginkgo.Entry("vote request after the timeout", 301*time.Millisecond, Message{Type: MsgVote}, true),
		ginkgo.Entry("vote request after a transfer of the leadership", 10*time.Millisecond, Message{Type: MsgVote, Transfer: true}, true),
	)

	ginkgo.It("does not count acknowledgements of an unknown incarnation", func() {
		c := newCoreA()
		elect(c)
		ack(c, Peer{ID: "b", Incarnation: 2}, 2)
		Expect(c.commit).To(BeEquivalentTo(1))
	})

	// Guards against two disjoint majorities.
	ginkgo.It("changes one voter at a time, and only after the previous change is committed", func() {
		c := newCoreA()
		elect(c)
		peerD := Peer{ID: "d", Incarnation: 1}
		Expect(c.ProposeConfig(time.Second, c.config().With(peerD, false))).To(MatchError(ErrConfigPending), "no entry of the leader's term is committed yet")
		deliverToSelf(c)
		ack(c, peerB, 2)
		swapped := c.config().Without(peerC).With(peerD, true)
		Expect(c.ProposeConfig(time.Second, swapped)).To(MatchError(ErrConfigInvalid))
		Expect(c.ProposeConfig(time.Second, c.config().With(peerD, false))).To(Succeed())
		Expect(c.ProposeConfig(time.Second, c.config().Without(peerC))).To(MatchError(ErrConfigPending))
		deliverToSelf(c)
		ack(c, peerB, 3)
		Expect(c.ProposeConfig(time.Second, c.config().Without(peerC))).To(Succeed())
	})
})
