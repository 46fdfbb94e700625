package dispatch_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// engineStub is a target that answers polls for load reports and cache events.
type engineStub struct {
	cold    atomic.Bool
	running atomic.Int64
	hang    atomic.Bool  // no poll is answered
	polls   atomic.Int64 // polls for load reports
}

func (s *engineStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.hang.Load() {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/load":
		s.polls.Add(1)
		_, _ = fmt.Fprintf(w, `{"running":%d,"waiting":0,"kv_used":0,"kv_total":1000,"cold":%t,"at_ms":%d}`,
			s.running.Load(), s.cold.Load(), time.Now().UnixMilli())
	default:
		_, _ = fmt.Fprint(w, `{"events":[],"next":0}`)
	}
}

// serveEngines starts a stub for each target of a topology and sets the target's address.
func serveEngines(topo *dispatch.Topology) []*engineStub {
	var stubs []*engineStub
	for i := range topo.Targets {
		stub := &engineStub{}
		server := httptest.NewServer(stub)
		DeferCleanup(server.Close)
		topo.Targets[i].Address = strings.TrimPrefix(server.URL, "http://")
		stubs = append(stubs, stub)
	}
	return stubs
}

var _ = Describe("load reports", func() {
	limit := func(f *fleet, i int) func() int {
		return func() int {
			status, err := f.members[0].manager.Status(pool)
			Expect(err).NotTo(HaveOccurred())
			return status[i].Limit
		}
	}

	It("are polled from the other targets while one hangs, and only by the leader", func() {
		topo := newTopology(3, 4, 4)
		stubs := serveEngines(topo)
		stubs[0].hang.Store(true)
		f := newPollingFleet(2, topo)
		Eventually(func() int64 { return min(stubs[1].polls.Load(), stubs[2].polls.Load()) }, 3*time.Second).
			Should(BeNumerically(">=", 3))
		f.elect(-1)
		time.Sleep(200 * time.Millisecond)
		before := stubs[1].polls.Load()
		Consistently(stubs[1].polls.Load, time.Second).Should(Equal(before))
	})

	It("reduce a target that reports itself cold to its cold-start limit", func() {
		topo := newTopology(1, 4, 1)
		stubs := serveEngines(topo)
		f := newPollingFleet(1, topo)
		e, _ := newEntry(f, "e1")
		for i := range 8 {
			a, err := e.Assign(withTimeout(5*time.Second), e.request(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
		}
		Expect(limit(f, 0)()).To(BeNumerically(">", 1))
		stubs[0].cold.Store(true)
		Eventually(limit(f, 0), 2*time.Second).Should(Equal(1))
	})

	It("count running requests that the scheduler does not know against the limit", func() {
		topo := newTopology(1, 2, 1)
		stubs := serveEngines(topo)
		stubs[0].running.Store(1)
		f := newPollingFleet(1, topo)
		e, _ := newEntry(f, "e1")
		_, err := e.Assign(withTimeout(2500*time.Millisecond), e.request("r"))
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue())
		stubs[0].running.Store(0)
		_, err = e.Assign(withTimeout(2500*time.Millisecond), e.request("r"))
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("the platform's host list", func() {
	It("drains the targets of leaving hosts, also while the list cannot be read", func() {
		var fail atomic.Bool
		var state atomic.Value
		state.Store("live")
		list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if fail.Load() {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			_, _ = fmt.Fprintf(w, `{"hosts":[{"name":"h0","state":%q}]}`, state.Load())
		}))
		DeferCleanup(list.Close)
		f := newFleet(1, newTopology(2, 1, 1), dispatch.Options{HostListURL: list.URL})
		drainedTargets := func() string {
			status, err := f.members[0].manager.Status(pool)
			Expect(err).NotTo(HaveOccurred())
			var names []string
			for _, t := range status {
				if t.State == "drained" {
					names = append(names, t.Name)
				}
			}
			return strings.Join(names, " ")
		}
		state.Store(hostStateLeaving)
		Eventually(drainedTargets, 3*time.Second).Should(Equal("t0"))
		fail.Store(true)
		Consistently(drainedTargets, 1500*time.Millisecond).Should(Equal("t0"))
	})
})

const hostStateLeaving = "leaving"

var _ = Describe("the retry budget", func() {
	// Guards against retries that multiply the load of a failing pool, and against requests
	// that fail with the loss of an availability zone because too few retries are allowed.
	DescribeTable("allows as many retries as the largest of 3, the number of slots and a fifth of the successes",
		func(slots, floor int) {
			f := newFleet(1, newTopology(2, slots, slots), dispatch.Options{})
			e, _ := newEntry(f, "e1")
			retry := func(id string) error {
				req := e.request(id)
				req.Exclude = []string{"t0"}
				a, err := e.Assign(withTimeout(5*time.Second), req)
				if err != nil {
					return err
				}
				return e.release(a, structs.OutcomeOK)
			}
			for i := range floor {
				Expect(retry(fmt.Sprintf("retry%d", i))).To(Succeed())
			}
			allowed, err := e.AllowRetry(withTimeout(time.Second), pool)
			Expect(err).NotTo(HaveOccurred())
			Expect(allowed).To(BeFalse())
			Expect(errs.Is(retry("over"), errs.TargetFailed)).To(BeTrue())
			// Retry number floor+1 needs 5*(floor+1) successes. The retries so far have succeeded
			// too, which is floor of them.
			for i := range 5*(floor+1) - floor {
				a, err := e.Assign(withTimeout(5*time.Second), e.request(fmt.Sprint(i)))
				Expect(err).NotTo(HaveOccurred())
				Expect(e.release(a, structs.OutcomeOK)).To(Succeed())
			}
			Expect(retry("one more")).To(Succeed())
			Expect(errs.Is(retry("over again"), errs.TargetFailed)).To(BeTrue())
		},
		Entry("a pool of two slots", 1, 3),
		Entry("a pool of ten slots", 5, 10),
	)
})
