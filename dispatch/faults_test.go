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
	// Each row guards against a slot that is leaked, or used twice, after a fault.
	DescribeTable("leave one slot in use for one request",
		func(fault func(f *fleet, e *entry)) {
			f := newFleet(2, targets(1, 1, 1), dispatch.Options{})
			e, _ := newEntry(f, "e1")
			fault(f, e)
			a, err := e.Assign(within(10*time.Second), e.request("last"))
			Expect(err).NotTo(HaveOccurred())
			_, err = e.Assign(within(200*time.Millisecond), e.request("over"))
			Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "the only slot is in use")
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		},
		Entry("desc: two replies to the same request are lost", func(_ *fleet, e *entry) {
			e.loseReplies.Store(2)
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("desc: the same request is sent by two calls", func(_ *fleet, e *entry) {
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			again, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Slot).To(Equal(a.Slot))
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("desc: a release comes twice", func(_ *fleet, e *entry) {
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("desc: a caller gives up while its request is queued", func(_ *fleet, e *entry) {
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = e.Assign(within(50*time.Millisecond), e.request("r2"))
			Expect(err).To(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}),
		Entry("desc: a slot's release never comes but reports no longer name it", func(f *fleet, e *entry) {
			_, err := f.members[0].manager.Assign(within(5*time.Second), e.request("lost"))
			Expect(err).NotTo(HaveOccurred())
		}),
		Entry("desc: the leader changes while a request waits", func(f *fleet, e *entry) {
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			waited := make(chan error, 1)
			go func() {
				b, err := e.Assign(within(10*time.Second), e.request("r2"))
				if err == nil {
					err = e.release(b, structs.OutcomeOK)
				}
				waited <- err
			}()
			f.elect(1)
			Consistently(waited, 1500*time.Millisecond).ShouldNot(Receive(), "the slot of the old term is in use")
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			Eventually(waited, 5*time.Second).Should(Receive(BeNil()))
		}),
	)

	It("refuses nothing and exceeds no cold-start limit across a change of leader with 8 entries", func() {
		const cold, slots, nTargets = 2, 8, 3
		f := newFleet(2, targets(nTargets, slots, cold), dispatch.Options{})
		var mu sync.Mutex
		running, worst := map[string]int{}, 0
		use := func(target string, d int) {
			mu.Lock()
			defer mu.Unlock()
			running[target] += d
			worst = max(worst, running[target])
		}
		var wg sync.WaitGroup
		fails := make(chan error, 1000)
		for i := range 8 {
			e, _ := newEntry(f, fmt.Sprintf("e%d", i))
			for j := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := range 4 {
						a, err := e.Assign(within(20*time.Second), e.request(fmt.Sprintf("%d-%d-%d", i, j, n)))
						if err != nil {
							fails <- err
							return
						}
						use(a.Target, 1)
						time.Sleep(250 * time.Millisecond)
						use(a.Target, -1)
						// A cancelled request says nothing about the target, which stays cold.
						fails <- e.release(a, structs.OutcomeCancelled)
					}
				}()
			}
		}
		time.Sleep(2 * time.Second)
		f.elect(1)
		wg.Wait()
		close(fails)
		for err := range fails {
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(worst).To(BeNumerically("<=", cold))
	})

	It("keeps the slots of a dead entry until they expire and gives it no new ones", func() {
		f := newFleet(1, targets(1, 1, 1), dispatch.Options{})
		gone, kill := newEntry(f, "gone")
		_, err := gone.Assign(within(5*time.Second), gone.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		kill()
		e, _ := newEntry(f, "e1")
		_, err = e.Assign(within(4500*time.Millisecond), e.request("r2"))
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "the request of the dead entry may still run")
	})

	It("does not let an old leader that was frozen assign, and its waiting calls move on", func() {
		f := newFleet(2, targets(1, 1, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		a, err := e.Assign(within(5*time.Second), e.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		f.members[0].oldTerm = 1
		f.members[0].frozen.Store(true)
		f.elect(1)
		Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		// Thawed, the old leader finds its lease expired.
		f.members[0].frozen.Store(false)
		_, err = f.members[0].manager.Assign(within(time.Second), e.request("r2"))
		Expect(errs.Is(err, errs.NotLeader)).To(BeTrue())
		b, err := e.Assign(within(5*time.Second), e.request("r3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Term).To(BeEquivalentTo(2))
	})

	It("moves a waiting request on from a leader that is cut off without a broken connection", func() {
		f := newFleet(2, targets(1, 1, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		_, err := e.Assign(within(5*time.Second), e.request("r1"))
		Expect(err).NotTo(HaveOccurred())
		e.silent.Store(f.members[0].server.Addr())
		f.elect(1)
		f.topo.Store(targets(2, 1, 1))
		_, err = e.Assign(within(5*time.Second), e.request("r2"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("answers waiting calls with not_leader when leadership is lost", func() {
		f := newFleet(1, targets(1, 1, 1), dispatch.Options{})
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
	// Each row guards against work for a target that has been taken out.
	DescribeTable("nothing is assigned",
		func(change func(f *fleet)) {
			f := newFleet(1, targets(1, 2, 1), dispatch.Options{})
			e, _ := newEntry(f, "e1")
			a, err := e.Assign(within(5*time.Second), e.request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			change(f)
			_, err = e.Assign(within(time.Second), e.request("r2"))
			Expect(err).To(HaveOccurred())
			Expect(errs.From(err).Run).To(Equal(errs.NotRun))
			Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		},
		Entry("desc: target drained", drained(structs.KindTarget, "t0")),
		Entry("desc: host drained", drained(structs.KindHost, "h0")),
		Entry("desc: zone drained", drained(structs.KindZone, "z0")),
		Entry("desc: target removed", func(f *fleet) { f.topo.Store(&dispatch.Topology{}) }),
		Entry("desc: configuration not confirmed", func(f *fleet) { f.age.Store(int64(4 * time.Second)) }),
	)

	// A member that restarted and led at once refused requests with no_target, because it
	// had not read the configuration yet.
	It("keeps requests waiting while the configuration is not known yet", func() {
		f := newFleet(1, &dispatch.Topology{}, dispatch.Options{})
		f.age.Store(int64(time.Hour))
		e, _ := newEntry(f, "e1")
		got := make(chan error, 1)
		go func() {
			_, err := e.Assign(within(10*time.Second), e.request("early"))
			got <- err
		}()
		Consistently(got, 3500*time.Millisecond).ShouldNot(Receive())
		f.topo.Store(targets(1, 4, 1))
		f.age.Store(0)
		Eventually(got, 5*time.Second).Should(Receive(BeNil()))
	})

	It("starts a zone that returns at the cold-start limit", func() {
		f := newFleet(1, targets(1, 4, 1), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		limit := func() int {
			status, err := f.members[0].manager.Status(pool)
			Expect(err).NotTo(HaveOccurred())
			return status[0].Limit
		}
		// A target without load reports stays at its limit until a report could have come.
		requests := 0
		Eventually(func() int {
			requests++
			a, err := e.Assign(within(5*time.Second), e.request(fmt.Sprint(requests)))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			return limit()
		}, 5*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 1))
		topo := f.topo.Load()
		drained(structs.KindZone, "z0")(f)
		time.Sleep(100 * time.Millisecond)
		f.topo.Store(topo)
		Expect(limit()).To(Equal(1))
	})
})

func drained(scope structs.Kind, name string) func(*fleet) {
	return func(f *fleet) {
		topo := *f.topo.Load()
		topo.Drains = []structs.Drain{{Scope: scope, Name: name}}
		f.topo.Store(&topo)
	}
}
