package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

const (
	ok        = structs.OutcomeOK
	errored   = structs.OutcomeError
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

// Guards against a slot limit that overloads a target or leaves its slots unused.
var _ = DescribeTable("slot limit of a target with 8 slots, 2 when cold",
	func(outcomes []structs.Outcome, wantLimit int, wantState State) {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.now += firstReportWait // so that the target is taken for one without load reports
		for _, o := range outcomes {
			p.enqueue(structs.AssignRequest{Org: "o"})
			s := p.assignNext()
			Expect(s).NotTo(BeNil())
			p.finish(s, o)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(wantLimit))
		Expect(p.target(0).State()).To(Equal(wantState))
	},
	Entry("starts cold", nil, 2, Cold),
	Entry("grows after as many successful responses as the limit", repeat(ok, 2), 3, Cold),
	Entry("grows up to the number of slots", repeat(ok, 40), 8, Warm),
	Entry("halves after an error response", append(repeat(ok, 40), errored), 4, Cold),
	Entry("is the cold limit after a crash", append(repeat(ok, 40), crash), 2, Cold),
	Entry("is the cold limit after a refused connection", append(repeat(ok, 40), refused), 2, Cold),
	Entry("is 0 after three failures in a row, as the target is down", append(repeat(ok, 40), repeat(crash, 3)...), 0, Down),
	Entry("a successful response resets the count of failures", []structs.Outcome{errored, errored, ok, errored, errored}, 1, Cold),
	Entry("is not changed by cancelled requests", repeat(cancelled, 20), 2, Cold),
)

var _ = Describe("health of a target", func() {
	It("is probed by one request at a time while down, with exponential backoff", func() {
		p := newTestPool(NewFair(), 1, 8, 4)
		var slots []*Slot
		for range 4 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			slots = append(slots, p.assignNext())
		}
		for _, s := range slots {
			p.finish(s, crash)
		}
		p.enqueue(structs.AssignRequest{Org: "o"})
		p.enqueue(structs.AssignRequest{Org: "o"})
		Expect(p.assignNext()).To(BeNil())
		p.now += minProbeDelay
		probe := p.assignNext()
		Expect(probe).NotTo(BeNil(), "failures of requests assigned before the target was down must not lengthen the probe delay")
		Expect(p.assignNext()).To(BeNil())
		p.finish(probe, crash)
		p.now += minProbeDelay
		Expect(p.assignNext()).To(BeNil())
		p.now += minProbeDelay
		probe = p.assignNext()
		Expect(probe).NotTo(BeNil())
		p.finish(probe, ok)
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
	})

	It("keeps the cold limit while the target reports that it is cold, despite successful responses", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.ApplyLoadReport(p.now, "t0", LoadReport{Cold: true, MeasuredAt: p.now})
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.assignNext(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	// Guards against a new scheduler that raises the limit of a cold target because the target
	// has returned short responses before its first load report arrives.
	It("keeps the cold limit until the first report has had time to arrive", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		for range 40 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.assignNext(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("keeps the cold limit when a cold target stops sending reports", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.ApplyLoadReport(p.now, "t0", LoadReport{Cold: true, MeasuredAt: p.now})
		p.now += reportTTL + firstReportWait
		p.DropExpired(p.now)
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.assignNext(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("keeps the cold limit after a report made before the sign of a cold start", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		p.enqueue(structs.AssignRequest{Org: "o"})
		p.finish(p.assignNext(), crash)
		p.ApplyLoadReport(p.now+time.Second, "t0", LoadReport{MeasuredAt: p.now - time.Millisecond})
		for range 10 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			p.finish(p.assignNext(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(2))
	})

	It("returns to the cold limit when a first token is far later than estimated", func() {
		p := newTestPool(NewFair(), 1, 4, 1)
		p.now += firstReportWait
		for range 30 {
			p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100})
			p.finish(p.assignNext(), ok)
		}
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
		p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100})
		p.Release(p.now, p.assignNext(), &structs.ReleaseSlot{Outcome: ok, TTFT: 10 * time.Second, Duration: 11 * time.Second})
		Expect(p.target(0).Limit(p.now)).To(Equal(1))
	})
})

// Guards against a load report that cancels the count of later assignments, and against load of
// other schedulers that is missed or counted twice. The pool assigns slots at 0 s and 1 s; the
// report is applied at 2 s.
var _ = DescribeTable("slots in use after two assignments and a load report",
	func(at time.Duration, running, want int) {
		p := newTestPool(NewFair(), 1, 8, 8)
		for range 2 {
			p.enqueue(structs.AssignRequest{Org: "o"})
			Expect(p.assignNext()).NotTo(BeNil())
			p.now += time.Second
		}
		p.ApplyLoadReport(p.now, "t0", LoadReport{Running: running, MeasuredAt: startTime + at})
		Expect(p.target(0).InUse()).To(Equal(want))
	},
	Entry("report made before both assignments", -time.Second, 0, 2),
	Entry("report made between the assignments", 500*time.Millisecond, 1, 2),
	Entry("report made after both, before the target has started the requests", 2*time.Second, 0, 2),
	Entry("report made after both, with requests of others", 2*time.Second, 5, 5),
)

var _ = Describe("slots of an entry that has stopped reporting", func() {
	assign := func() (*testPool, *Slot) {
		p := newTestPool(NewFair(), 1, 1, 1)
		p.enqueue(structs.AssignRequest{Org: "o", Entry: "gone"})
		s := p.assignNext()
		p.MarkOrphans(p.now, "gone")
		return p, s
	}

	It("stay in use until a load report shows that the request has ended", func() {
		p, s := assign()
		p.ApplyLoadReport(p.now, "t0", LoadReport{MeasuredAt: p.now - time.Second})
		Expect(p.Slot(s.ID)).NotTo(BeNil(), "the report was made before the entry stopped reporting")
		p.ApplyLoadReport(p.now, "t0", LoadReport{Running: 1, MeasuredAt: p.now + time.Second})
		Expect(p.Slot(s.ID)).NotTo(BeNil())
		p.ApplyLoadReport(p.now, "t0", LoadReport{MeasuredAt: p.now + 2*time.Second})
		Expect(p.Slot(s.ID)).To(BeNil())
	})

	It("stay in use for 60 s without a load report", func() {
		p, s := assign()
		p.DropExpired(p.now + 59*time.Second)
		Expect(p.Slot(s.ID)).NotTo(BeNil())
		p.DropExpired(p.now + 60*time.Second)
		Expect(p.Slot(s.ID)).To(BeNil())
	})
})

var _ = Describe("slots assigned in an earlier term", func() {
	It("count against the cold limit and raise the limit of a target that reports that it is warm", func() {
		p := newTestPool(NewFair(), 1, 8, 2)
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(p.Adopt(p.now, "e", structs.SlotInfo{Slot: id, Target: "t0", Org: "o"})).To(BeTrue())
		}
		p.enqueue(structs.AssignRequest{Org: "o"})
		Expect(p.assignNext()).To(BeNil())
		p.ApplyLoadReport(p.now+time.Second, "t0", LoadReport{Running: 4, MeasuredAt: p.now + time.Second})
		Expect(p.target(0).Limit(p.now)).To(Equal(4))
		p.now += time.Second
		p.finish(p.Slot("a"), ok)
		Expect(p.assignNext()).NotTo(BeNil())
	})
})
