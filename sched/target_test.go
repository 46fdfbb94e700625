package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

const (
	ok        = structs.OutcomeOK
	bad       = structs.OutcomeError
	crash     = structs.OutcomeCrash
	refused   = structs.OutcomeRefused
	cancelled = structs.OutcomeCancelled
)

func repeat(o structs.Outcome, n int) []structs.Outcome {
	out := make([]structs.Outcome, n)
	for i := range out {
		out[i] = o
	}
	return out
}

// Each row guards against a limit that overloads a target or keeps it idle.
var _ = DescribeTable("limit of a target with 8 slots, 2 when cold",
	func(outcomes []structs.Outcome, wantLimit int, wantState State) {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.now += firstReportWait // a target without reports
		for _, o := range outcomes {
			p.enqueue(structs.AssignRequest{Org: "o"})
			s := p.next()
			Expect(s).NotTo(BeNil())
			p.finish(s, o)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(wantLimit))
		Expect(p.target(0).State()).To(Equal(wantState))
	},
	Entry("desc: starts cold", nil, 2, Cold),
	Entry("desc: grows after a full round of good answers", repeat(ok, 2), 3, Cold),
	Entry("desc: grows up to its slots", repeat(ok, 40), 8, Warm),
	Entry("desc: halves on an error", append(repeat(ok, 40), bad), 4, Cold),
	Entry("desc: is cold after a crash", append(repeat(ok, 40), crash), 2, Cold),
	Entry("desc: is cold after a refused connection", append(repeat(ok, 40), refused), 2, Cold),
	Entry("desc: is down after three failures", append(repeat(ok, 40), repeat(crash, 3)...), 0, Down),
	Entry("desc: a good answer ends a run of failures", []structs.Outcome{bad, bad, ok, bad, bad}, 1, Cold),
	Entry("desc: cancelled requests say nothing", repeat(cancelled, 20), 2, Cold),
)

var _ = Describe("health of a target", func() {
	It("is probed by one request at a time while down, at growing intervals", func() {
		p := newTestPool(NewFair(), 1, 8, 4)
		var slots []*Slot
		for range 4 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			slots = append(slots, p.next())
		}
		for _, s := range slots {
			p.finish(s, crash)
		}
		p.enqueue(structs.AssignRequest{Org: "o"})
		p.enqueue(structs.AssignRequest{Org: "o"})
		Expect(p.next()).To(BeNil())
		p.now += minProbeDelay
		probe := p.next()
		Expect(probe).NotTo(BeNil(), "failures of requests sent before do not lengthen the delay")
		Expect(p.next()).To(BeNil())
		p.finish(probe, crash)
		p.now += minProbeDelay
		Expect(p.next()).To(BeNil())
		p.now += minProbeDelay
		probe = p.next()
		Expect(probe).NotTo(BeNil())
		p.finish(probe, ok)
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
	})

	It("keeps to the cold limit while the target says it is cold, whatever it answers", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.Load(p.now, "t0", LoadReport{Cold: true, At: p.now})
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.next(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	// A new scheduler raised the limit of a cold target by its short answers, before the
	// target's first report had come.
	It("keeps to the cold limit until the first report may have come", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		for range 40 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.next(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("keeps to its limit when the reports of a cold target stop", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.Load(p.now, "t0", LoadReport{Cold: true, At: p.now})
		p.now += reportTTL + firstReportWait
		p.Expire(p.now)
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.next(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("does not trust a report from before the sign of a cold start", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.enqueue(structs.AssignRequest{Org: "o"})
		p.finish(p.next(), crash)
		p.Load(p.now+time.Second, "t0", LoadReport{At: p.now - time.Millisecond})
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.next(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("falls back to cold when a first token is far later than estimated", func() {
		p := newTestPool(NewFair(), 1, 4, 1)
		p.now += firstReportWait
		for range 30 {
			p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100})
			p.finish(p.next(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
		p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100})
		p.Release(p.now, p.next(), &structs.ReleaseSlot{Outcome: ok, TTFT: 10 * time.Second, Duration: 11 * time.Second})
		Expect(p.target(0).Limit(p.now)).To(Equal(1))
	})
})

// Each row guards against a load report that erases later assignments, or that hides or
// invents load. Own slots are assigned at 0 and 1 s; reports are read at 2 s.
var _ = DescribeTable("a load report read after two assignments",
	func(at time.Duration, running, want int) {
		p := newTestPool(NewFair(), 1, 8, 8)
		for range 2 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			Expect(p.next()).NotTo(BeNil())
			p.now += time.Second
		}
		p.Load(p.now, "t0", LoadReport{Running: running, At: start + at})
		Expect(p.target(0).InUse()).To(Equal(want))
	},
	Entry("desc: from before both", -time.Second, 0, 2),
	Entry("desc: from between them", 500*time.Millisecond, 1, 2),
	Entry("desc: newer, target has not begun", 2*time.Second, 0, 2),
	Entry("desc: newer, with load of others", 2*time.Second, 5, 5),
)

var _ = Describe("slots of a gone entry", func() {
	assign := func() (*testPool, *Slot) {
		p := newTestPool(NewFair(), 1, 1, 1)
		p.enqueue(structs.AssignRequest{Org: "o", Entry: "gone"})
		s := p.next()
		p.Orphan(p.now, "gone")
		return p, s
	}

	It("count until a report shows that the request has ended", func() {
		p, s := assign()
		p.Load(p.now, "t0", LoadReport{At: p.now - time.Second})
		Expect(p.Slot(s.ID)).NotTo(BeNil(), "the report is older than the loss")
		p.Load(p.now, "t0", LoadReport{Running: 1, At: p.now + time.Second})
		Expect(p.Slot(s.ID)).NotTo(BeNil())
		p.Load(p.now, "t0", LoadReport{At: p.now + 2*time.Second})
		Expect(p.Slot(s.ID)).To(BeNil())
	})

	It("count for 60 s without a report", func() {
		p, s := assign()
		p.Expire(p.now + 59*time.Second)
		Expect(p.Slot(s.ID)).NotTo(BeNil())
		p.Expire(p.now + 60*time.Second)
		Expect(p.Slot(s.ID)).To(BeNil())
	})
})

var _ = Describe("slots of an earlier term", func() {
	It("count against the cold limit, and raise the limit of a target that says it is warm", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(p.Adopt(p.now, "e", structs.SlotInfo{Slot: id, Target: "t0", Org: "o"})).To(BeTrue())
		}
		p.enqueue(structs.AssignRequest{Org: "o"})
		Expect(p.next()).To(BeNil())
		p.Load(p.now+time.Second, "t0", LoadReport{Running: 4, At: p.now + time.Second})
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
		p.now += time.Second
		p.finish(p.Slot("a"), ok)
		Expect(p.next()).NotTo(BeNil())
	})
})
