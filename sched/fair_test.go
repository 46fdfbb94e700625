package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

// Each row guards against a wrong choice between two free targets of 4 slots.
var _ = DescribeTable("choice of a target by the fair policy",
	func(prepare func(p *testPool), req structs.AssignRequest, want string) {
		p := newTestPool(NewFair(), 2, 4, 4)
		prepare(p)
		req.Org = "o"
		p.enqueue(req)
		s := p.next()
		Expect(s).NotTo(BeNil())
		Expect(s.Target.Name).To(Equal(want))
	},
	Entry("desc: the target that holds the program's cache",
		onTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000}),
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t1"),
	Entry("desc: the target that holds the parent's prefix",
		onTarget("t1", structs.AssignRequest{
			Program: "parent", PromptTokens: 5000, Prefix: []uint64{7, 9}, PrefixTokens: []int64{800, 5000},
		}),
		structs.AssignRequest{
			Program: "child", PromptTokens: 5200, Prefix: []uint64{7, 9, 11}, PrefixTokens: []int64{800, 5000, 5200}, Zone: "z0",
		}, "t1"),
	Entry("desc: without cache, the less loaded target, though in another zone",
		busy("t0", 2), structs.AssignRequest{PromptTokens: 500, Zone: "z0"}, "t1"),
	Entry("desc: the entry's zone on a tie",
		func(*testPool) {}, structs.AssignRequest{PromptTokens: 500, Zone: "z1"}, "t1"),
	Entry("desc: not a target that has failed this request",
		onTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000}),
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Exclude: []string{"t1"}}, "t0"),
	Entry("desc: not a target whose cache was evicted",
		func(p *testPool) {
			onTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000})(p)
			p.CacheEvents("t1", false, []CacheEvent{{Program: "p", Tokens: 5020}})
		},
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t0"),
	Entry("desc: not a target whose memory is too small to have kept the prompt",
		func(p *testPool) {
			p.Load(p.now, "t1", LoadReport{At: p.now, KVTotal: 6000})
			onTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 5000})(p)
			onTarget("t1", structs.AssignRequest{Program: "q", PromptTokens: 5000})(p)
		},
		structs.AssignRequest{Program: "p", PromptTokens: 5500, Zone: "z0"}, "t0"),
)

// onTarget runs a request on the named target and finishes it.
func onTarget(name string, req structs.AssignRequest) func(p *testPool) {
	return func(p *testPool) {
		req.Org = "o"
		for _, t := range p.Targets() {
			if t.Name != name {
				req.Exclude = append(req.Exclude, t.Name)
			}
		}
		p.enqueue(req)
		p.finish(p.next(), structs.OutcomeOK)
	}
}

// busy puts n requests on the named target.
func busy(name string, n int) func(p *testPool) {
	return func(p *testPool) {
		for range n {
			p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 500, Exclude: others(p, name)})
			p.next()
		}
	}
}

func others(p *testPool, name string) []string {
	var out []string
	for _, t := range p.Targets() {
		if t.Name != name {
			out = append(out, t.Name)
		}
	}
	return out
}

var _ = Describe("wait for a full target that holds the cache", func() {
	var p *testPool
	var running *Slot
	BeforeEach(func() {
		p = newTestPool(NewFair(), 2, 1, 1)
		onTarget("t1", structs.AssignRequest{Program: "p", PromptTokens: 40000})(p)
		p.enqueue(structs.AssignRequest{Org: "o", PromptTokens: 100, MaxTokens: 20, Exclude: []string{"t0"}})
		running = p.next()
		p.enqueue(structs.AssignRequest{Org: "o", Program: "p", PromptTokens: 40100})
	})

	It("lets requests behind it use the free target and ends when the slot is free", func() {
		Expect(p.next()).To(BeNil())
		p.enqueue(structs.AssignRequest{ID: "other", Org: "o", PromptTokens: 100})
		Expect(p.next().Request).To(Equal("other"))
		p.finish(running, structs.OutcomeOK)
		Expect(p.next().Target.Name).To(Equal("t1"))
	})

	It("is bounded", func() {
		Expect(p.next()).To(BeNil())
		p.now += maxCacheWait
		Expect(p.next().Target.Name).To(Equal("t0"))
	})

	It("ends when the target is taken out", func() {
		Expect(p.next()).To(BeNil())
		s := specs(2, 1, 1)
		s[1].Out = true
		p.SetTargets(p.now, s)
		Expect(p.next().Target.Name).To(Equal("t0"))
	})

	It("is left when the request is cancelled", func() {
		Expect(p.next()).To(BeNil())
		p.Remove(firstParked(p))
		Expect(p.QueueLen()).To(BeZero())
		Expect(p.target(1).parked).To(BeZero())
	})
})

func firstParked(p *testPool) *Request {
	for r := range p.view.Queue.parked {
		return r
	}
	return nil
}

// Guards against baselines that differ from what they are named after.
var _ = DescribeTable("baselines on three targets of 2 slots",
	func(policy Policy, programs []string, want []string) {
		p := newTestPool(policy, 3, 2, 2)
		var got []string
		for _, name := range programs {
			p.enqueue(structs.AssignRequest{Org: "o", Program: name})
			if s := p.next(); s != nil {
				got = append(got, s.Target.Name)
			} else {
				got = append(got, "")
			}
		}
		Expect(got).To(Equal(want))
	},
	Entry("desc: round robin", &RoundRobin{}, []string{"a", "a", "a", "a"}, []string{"t0", "t1", "t2", "t0"}),
	Entry("desc: least outstanding", LeastOutstanding{}, []string{"a", "a", "a", "a"}, []string{"t0", "t1", "t2", "t0"}),
	Entry("desc: session hash waits for its target", &SessionHash{}, []string{"a", "a", "a"}, []string{"t0", "t0", ""}),
)

var _ = It("keeps waiting requests in order of arrival for the baselines", func() {
	p := newTestPool(LeastOutstanding{}, 1, 1, 1)
	p.enqueue(structs.AssignRequest{ID: "r0", Org: "o"})
	s := p.next()
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		r := p.enqueue(structs.AssignRequest{ID: id, Org: id})
		if id == "r2" {
			defer func() { Expect(r.fifoPos).To(BeNumerically(">=", 0)) }()
			p.Remove(r)
		}
		p.now += time.Second
	}
	for _, want := range []string{"r1", "r3", "r4"} {
		p.finish(s, structs.OutcomeOK)
		s = p.next()
		Expect(s.Request).To(Equal(want))
	}
})

// Each row guards against new programs of one organisation that make the caches thrash
// for all, or against holding requests back without need. The pool has 8 slots.
var _ = DescribeTable("new programs while caches thrash",
	func(thrash bool, slots map[string]int, req structs.AssignRequest, want bool) {
		p := newTestPool(NewFair(), 2, 4, 4)
		for org, n := range slots {
			for range n {
				p.enqueue(structs.AssignRequest{Org: org, Turn: 2})
				Expect(p.next()).NotTo(BeNil())
			}
		}
		for range minSamples {
			p.view.Cache.now = p.now
			p.view.Cache.noteEviction(&item{lastUsed: p.now - time.Second})
		}
		if !thrash {
			p.now += thrashMemory
		}
		p.enqueue(req)
		Expect(p.next() != nil).To(Equal(want))
	},
	Entry("desc: of an organisation far above its share wait",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a"}, false),
	Entry("desc: of batch wait for an organisation above its share",
		true, map[string]int{"a": 4, "b": 3}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, false),
	Entry("desc: of an organisation within its share start",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "b", Class: structs.ClassBatch}, true),
	Entry("desc: programs in progress go on",
		true, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a", Turn: 2}, true),
	Entry("desc: of an organisation that is alone start",
		true, map[string]int{"a": 7}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, true),
	Entry("desc: start when most slots are free",
		true, map[string]int{"a": 2, "b": 1}, structs.AssignRequest{Org: "a", Class: structs.ClassBatch}, true),
	Entry("desc: start when nothing has been evicted for a while",
		false, map[string]int{"a": 5, "b": 1, "c": 1}, structs.AssignRequest{Org: "a"}, true),
)
