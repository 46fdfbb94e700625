package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

// Guards against a wrong choice between two free targets with 4 slots each.
var _ = DescribeTable("choice of a target by the Fair policy",
	func(prepare func(p *testPool), req structs.AssignRequest, want string) {
		p := newTestPool(NewFair(), 2, 4, 4)
		prepare(p)
		req.Org = "o"
		p.enqueue(req)
		s := p.assignNext()
		Expect(s).NotTo(BeNil())
		Expect(s.Target.Name).To(Equal(want))
	},
	Entry("the target that has the program in its cache",
		completeOnTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000}),
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t1"),
	Entry("the target that has the prefix of the parent program in its cache",
		completeOnTarget("t1", structs.AssignRequest{
			Program: "parent", PromptTokens: 5000, Prefix: []uint64{7, 9}, PrefixTokens: []int64{800, 5000},
		}),
		structs.AssignRequest{
			Program: "child", PromptTokens: 5200, Prefix: []uint64{7, 9, 11}, PrefixTokens: []int64{800, 5000, 5200}, Zone: "z0",
		}, "t1"),
	Entry("the less loaded target if none has the prompt cached, even in another availability zone",
		occupy("t0", 2), structs.AssignRequest{PromptTokens: 500, Zone: "z0"}, "t1"),
	Entry("the target in the entry's availability zone if estimates are equal",
		func(*testPool) {}, structs.AssignRequest{PromptTokens: 500, Zone: "z1"}, "t1"),
	Entry("not a target that has already failed this request",
		completeOnTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000}),
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Exclude: []string{"t1"}}, "t0"),
	Entry("not a target of another software version than the one that began the answer",
		func(p *testPool) {
			p.SetTargets(p.now, []TargetSpec{{Name: "t0", Slots: 8, Software: "v1"}, {Name: "t1", Slots: 8, Software: "v2"}})
		},
		structs.AssignRequest{PromptTokens: 500, Software: "v2", Zone: "z0"}, "t1"),
	Entry("not a target that has evicted the program from its cache",
		func(p *testPool) {
			completeOnTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000})(p)
			p.ApplyCacheEvents("t1", false, []CacheEvent{{Program: "p", Tokens: 5020}})
		},
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t0"),
	Entry("not a target whose cache is too small to still hold the prompt",
		func(p *testPool) {
			p.ApplyLoadReport(p.now, "t1", LoadReport{MeasuredAt: p.now, KVTotal: 6000})
			completeOnTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000})(p)
			completeOnTarget("t1", structs.AssignRequest{Program: "q", PromptTokens: 5000})(p)
		},
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t0"),
)

// completeOnTarget assigns a request to the named target and finishes it.
func completeOnTarget(name string, req structs.AssignRequest) func(p *testPool) {
	return func(p *testPool) {
		req.Org = "o"
		for _, t := range p.Targets() {
			if t.Name != name {
				req.Exclude = append(req.Exclude, t.Name)
			}
		}
		p.enqueue(req)
		p.finish(p.assignNext(), structs.OutcomeOK)
	}
}

// occupy assigns n requests to the named target.
func occupy(name string, n int) func(p *testPool) {
	return func(p *testPool) {
		for range n {
			p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 500, Exclude: otherTargets(p, name)})
			p.assignNext()
		}
	}
}

// otherTargets returns the names of all targets but the named one.
func otherTargets(p *testPool, name string) []string {
	var out []string
	for _, t := range p.Targets() {
		if t.Name != name {
			out = append(out, t.Name)
		}
	}
	return out
}

var _ = Describe("wait for a full target that has the prompt in its cache", func() {
	var p *testPool
	var running *Slot
	BeforeEach(func() {
		p = newTestPool(NewFair(), 2, 1, 1)
		completeOnTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 40000})(p)
		p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100, MaxTokens: 20, Exclude: []string{"t0"}})
		running = p.assignNext()
		p.enqueue(structs.AssignRequest{Org: "o", Program: "p", PromptTokens: 40100})
	})

	It("lets later requests use the free target and ends when a slot becomes free", func() {
		Expect(p.assignNext()).To(BeNil())
		p.enqueue(structs.AssignRequest{ID: "other", Org: "o", PromptTokens: 100})
		Expect(p.assignNext().Request).To(Equal("other"))
		p.finish(running, structs.OutcomeOK)
		Expect(p.assignNext().Target.Name).To(Equal("t1"))
	})

	It("ends after maxCacheWait", func() {
		Expect(p.assignNext()).To(BeNil())
		p.now += maxCacheWait
		Expect(p.assignNext().Target.Name).To(Equal("t0"))
	})

	It("ends when the target is taken out of service", func() {
		Expect(p.assignNext()).To(BeNil())
		s := targetSpecs(2, 1, 1)
		s[1].OutOfService = true
		p.SetTargets(p.now, s)
		Expect(p.assignNext().Target.Name).To(Equal("t0"))
	})

	// Guards against a panic at the removal of a request, and against an organisation that is left out
	// until its next request arrives, after one of its requests was skipped and the other was parked.
	Context("and the organisation's other request was skipped", func() {
		var skipped *Request
		BeforeEach(func() {
			skipped = p.enqueue(structs.AssignRequest{ID: "skipped", Org: "o", Turn: 2, Exclude: []string{"t0"}})
			Expect(p.assignNext()).To(BeNil())
			Expect(firstParked(p)).NotTo(BeNil())
		})

		It("lets the skipped request be removed", func() {
			p.Remove(skipped)
			Expect(p.QueueLen()).To(Equal(1))
		})

		It("assigns the skipped request as soon as its target has a free slot", func() {
			p.Remove(firstParked(p))
			p.finish(running, structs.OutcomeOK)
			Expect(p.assignNext().Request).To(Equal("skipped"))
		})
	})

	It("ends when the request is cancelled", func() {
		Expect(p.assignNext()).To(BeNil())
		p.Remove(firstParked(p))
		Expect(p.QueueLen()).To(BeZero())
		Expect(p.target(1).parked).To(BeZero())
	})
})

// firstParked returns a parked request, or nil if there is none.
func firstParked(p *testPool) *Request {
	for r := range p.view.Queue.parked {
		return r
	}
	return nil
}

// Guards against baseline policies that do not implement the algorithm they are named after.
var _ = DescribeTable("baseline policies on three targets with 2 slots each",
	func(policy Policy, programs []string, want []string) {
		p := newTestPool(policy, 3, 2, 2)
		var got []string
		for _, name := range programs {
			p.enqueue(structs.AssignRequest{Org: "o", Program: name})
			if s := p.assignNext(); s != nil {
				got = append(got, s.Target.Name)
			} else {
				got = append(got, "")
			}
		}
		Expect(got).To(Equal(want))
	},
	Entry("round robin", &RoundRobin{}, []string{"a", "a", "a", "a"}, []string{"t0", "t1", "t2", "t0"}),
	Entry("least outstanding", LeastOutstanding{}, []string{"a", "a", "a", "a"}, []string{"t0", "t1", "t2", "t0"}),
	Entry("session hash waits for the target of the program", &SessionHash{}, []string{"a", "a", "a"}, []string{"t0", "t0", ""}),
)

var _ = It("serves waiting requests in order of arrival with the baseline policies", func() {
	p := newTestPool(LeastOutstanding{}, 1, 1, 1)
	p.enqueue(structs.AssignRequest{ID: "r0", Org: "o"})
	s := p.assignNext()
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		r := p.enqueue(structs.AssignRequest{ID: id, Org: id})
		if id == "r2" {
			defer func() { Expect(r.fifoIndex).To(BeNumerically(">=", 0)) }()
			p.Remove(r)
		}
		p.now += time.Second
	}
	for _, want := range []string{"r1", "r3", "r4"} {
		p.finish(s, structs.OutcomeOK)
		s = p.assignNext()
		Expect(s.Request).To(Equal(want))
	}
})

// Guards against new programs of one organisation that make the caches thrash for all
// organisations, and against requests that are held back needlessly. The pool has 8 slots.
var _ = DescribeTable("new programs while caches are thrashing",
	func(thrashing bool, slots map[string]int, req structs.AssignRequest, want bool) {
		p := newTestPool(NewFair(), 2, 4, 4)
		for org, n := range slots {
			for range n {
				p.enqueue(structs.AssignRequest{Org: org, Turn: 2})
				Expect(p.assignNext()).NotTo(BeNil())
			}
		}
		for range minSamples {
			p.view.Cache.now = p.now
			p.view.Cache.recordEviction(&cachedProgram{lastUsed: p.now - time.Second})
		}
		if !thrashing {
			p.now += thrashHold
		}
		p.enqueue(req)
		Expect(p.assignNext() != nil).To(Equal(want))
	},
	Entry("are held back for an organisation far above its share",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a"}, false),
	Entry("are held back, if batch, for an organisation above its share",
		true, map[string]int{"a": 4, "b": 3}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, false),
	Entry("start for an organisation within its share",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "b", Class: structs.ClassBatch}, true),
	Entry("programs in progress are not held back",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a", Turn: 2}, true),
	Entry("start for an organisation that is alone",
		true, map[string]int{"a": 7}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, true),
	Entry("start while most slots are free",
		true, map[string]int{"a": 2, "b": 1}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, true),
	Entry("start when nothing has been evicted for thrashHold",
		false, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a"}, true),
)
