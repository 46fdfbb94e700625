package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

var _ = Describe("faults between entries and scheduler", func() {
	// Guards against a slot that stays in use, or is assigned to two requests, after a fault.
	// The only slot of the pool must be free for one request after the fault, and for one
	// only.
	DescribeTable("leave the only slot free for exactly one request",
		func(fault func(f *fleet, e *entry)) {
			f := newFleet(2, newTopology(1, 1, 1), dispatch.Options{})
			e, _ := newEntry(f, "e1")
			fault(f, e)
			a, err := e.Assign(withTimeout(10*time.Second), e.request("last"))
			Expect(err).NotTo(HaveOccurred())
			_, err = e.Assign(withTimeout(200*time.Millisecond), e.request("over"))
			Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "the only slot is in use")
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		},
		Entry("two replies to the same request are lost", func(_ *fleet, e *entry) {
			e.repliesToLose.Store(2)
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("the same request is sent by two calls", func(_ *fleet, e *entry) {
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			again, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Slot).To(Equal(a.Slot))
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("the same release is sent twice", func(_ *fleet, e *entry) {
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("a call is cancelled while its request is queued", func(_ *fleet, e *entry) {
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = e.Assign(withTimeout(50*time.Millisecond), e.request("r2"))
			Expect(err).To(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("a slot is not released but missing from its entry's reports", func(f *fleet, e *entry) {
			_, err := f.members[0].manager.Assign(withTimeout(5*time.Second), e.request("lost"))
			Expect(err).NotTo(HaveOccurred())
		}),
		Entry("the leader changes while a request waits", func(f *fleet, e *entry) {
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			waited := make(chan error, 1)
			go func() {
				b, err := e.Assign(withTimeout(10*time.Second), e.request("r2"))
				if err == nil {
					err = e.release(b, structs.OutcomeOK)
				}
				waited <- err
			}()
			f.elect(1)
			Consistently(waited, 1500*time.Millisecond).ShouldNot(Receive(), "the slot of the earlier term is in use")
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			Eventually(waited, 5*time.Second).Should(Receive(BeNil()))
		}),
	)

	It("refuses no request of 8 entries and exceeds no cold-start limit when the leader changes", func() {
		const cold, slots, numTargets = 2, 8, 3
		f := newFleet(2, newTopology(numTargets, slots, cold), dispatch.Options{})
		var mu sync.Mutex
		running, maxRunning := map[string]int{}, 0
		addRunning := func(target string, delta int) {
			mu.Lock()
			defer mu.Unlock()
			running[target] += delta
			maxRunning = max(maxRunning, running[target])
		}
		var wg sync.WaitGroup
		results := make(chan error, 1000)
		for i := range 8 {
			e, _ := newEntry(f, fmt.Sprintf("e%d", i))
			for j := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := range 4 {
						a, err := e.Assign(withTimeout(20*time.Second), e.request(fmt.Sprintf("%d-%d-%d", i, j, n)))
						if err != nil {
							results <- err
							return
						}
						addRunning(a.Target, 1)
						time.Sleep(250 * time.Millisecond)
						addRunning(a.Target, -1)
						// A cancelled request does not show that the target is warm, so the
						// cold-start limit stays in force.
						results <- e.release(a, structs.OutcomeCancelled)
					}
				}()
			}
		}
		time.Sleep(2 * time.Second)
		f.elect(1)
		wg.Wait()
		close(results)
		for err := range results {
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(maxRunning).To(BeNumerically("<=", cold))
	})

	It("keeps the slots of a dead entry in use after its reports have stopped", func() {
		f := newFleet(1, newTopology(1, 1, 1), dispatch.Options{})
		gone, kill := newEntry(f, "gone")
		_, err := gone.Assign(withTimeout(5*time.Second), gone.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		kill()
		e, _ := newEntry(f, "e1")
		_, err = e.Assign(withTimeout(4500*time.Millisecond), e.request("r2"))
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "the request of the dead entry may still be running")
	})

	It("lets a former leader assign nothing after its lease has expired", func() {
		f := newFleet(2, newTopology(1, 1, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		f.members[0].frozenTerm = 1
		f.members[0].frozen.Store(true)
		f.elect(1)
		Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		// The old leader resumes and finds that its lease has expired.
		f.members[0].frozen.Store(false)
		_, err = f.members[0].manager.Assign(withTimeout(time.Second), e.request("r2"))
		Expect(errs.Is(err, errs.NotLeader)).To(BeTrue())
		b, err := e.Assign(withTimeout(5*time.Second), e.request("r3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Term).To(BeEquivalentTo(2))
	})

	It("assigns a request through the new leader while connections to the old one stay open without replies", func() {
		f := newFleet(2, newTopology(1, 1, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		_, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		e.silentAddr.Store(f.members[0].server.Addr())
		f.elect(1)
		f.topo.Store(newTopology(2, 1, 1))
		_, err = e.Assign(withTimeout(5*time.Second), e.request("r2"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("fails waiting calls with not_leader when leadership is lost", func() {
		f := newFleet(1, newTopology(1, 1, 1), dispatch.Options{})
		m := f.members[0].manager
		result := make(chan error, 1)
		go func() {
			_, err := m.Assign(context.Background(), &structs.AssignRequest{ID: "r", Entry: "e", Pool: pool})
			result <- err
		}()
		time.Sleep(50 * time.Millisecond)
		f.elect(-1)
		var err error
		Eventually(result, time.Second).Should(Receive(&err))
		Expect(errs.Is(err, errs.NotLeader)).To(BeTrue())
	})
})

var _ = Describe("drains and configuration", func() {
	// Guards against assignments to a target that is out of service, or that are based on a
	// configuration that may be out of date.
	DescribeTable("prevent assignments",
		func(change func(f *fleet)) {
			f := newFleet(1, newTopology(1, 2, 1), dispatch.Options{})
			e, _ := newEntry(f, "e1")
			a, err := e.Assign(withTimeout(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			change(f)
			_, err = e.Assign(withTimeout(time.Second), e.request("r2"))
			Expect(err).To(HaveOccurred())
			Expect(errs.From(err).Run).To(Equal(errs.NotRun))
			Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		},
		Entry("target drained", drain(structs.KindTarget, "t0")),
		Entry("host drained", drain(structs.KindHost, "h0")),
		Entry("availability zone drained", drain(structs.KindZone, "z0")),
		Entry("target removed", func(f *fleet) { f.topo.Store(&dispatch.Topology{}) }),
		Entry("configuration not confirmed", func(f *fleet) { f.configAge.Store(int64(4 * time.Second)) }),
	)

	// Guards against requests that are refused with no_target by a member that becomes leader
	// right after a restart, before it has read the configuration.
	It("keeps requests queued until the configuration is known", func() {
		f := newFleet(1, &dispatch.Topology{}, dispatch.Options{})
		f.configAge.Store(int64(time.Hour))
		e, _ := newEntry(f, "e1")
		got := make(chan error, 1)
		go func() {
			_, err := e.Assign(withTimeout(10*time.Second), e.request("early"))
			got <- err
		}()
		Consistently(got, 3500*time.Millisecond).ShouldNot(Receive())
		f.topo.Store(newTopology(1, 4, 1))
		f.configAge.Store(0)
		Eventually(got, 5*time.Second).Should(Receive(BeNil()))
	})

	It("applies the cold-start limit to an availability zone whose drain has ended", func() {
		f := newFleet(1, newTopology(1, 4, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		limit := func() int {
			status, err := f.members[0].manager.Status(pool)
			Expect(err).NotTo(HaveOccurred())
			return status[0].Limit
		}
		// A target without load reports stays at its cold-start limit until its first report
		// would have arrived.
		requests := 0
		Eventually(func() int {
			requests++
			a, err := e.Assign(withTimeout(5*time.Second), e.request(fmt.Sprint(requests)))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			return limit()
		}, 5*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 1))
		topo := f.topo.Load()
		drain(structs.KindZone, "z0")(f)
		time.Sleep(100 * time.Millisecond)
		f.topo.Store(topo)
		Expect(limit()).To(Equal(1))
	})
})

// drain returns a function that drains a target, host or availability zone.
func drain(scope structs.Kind, name string) func(*fleet) {
	return func(f *fleet) {
		topo := *f.topo.Load()
		topo.Drains = []structs.Drain{{Scope: scope, Name: name}}
		f.topo.Store(&topo)
	}
}
