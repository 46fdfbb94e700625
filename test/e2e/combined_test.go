package e2e_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

// faultInjector injects random faults into a site: at any time at most one state member, one entry
// and one engine.
type faultInjector struct {
	site *testsite.Site
	rand *rand.Rand
}

// disturbMember kills, freezes or partitions a random state member for a while.
func (x *faultInjector) disturbMember() {
	i := x.rand.Intn(len(x.site.Members))
	m := x.site.Members[i]
	duration := time.Duration(500+x.rand.Intn(1500)) * time.Millisecond
	switch x.rand.Intn(3) {
	case 0:
		m.Kill()
		time.Sleep(duration)
		Expect(m.Start()).To(Succeed())
	case 1:
		m.Suspend()
		time.Sleep(duration)
		m.Resume()
	default:
		x.site.CutMember(i, true)
		time.Sleep(duration)
		x.site.CutMember(i, false)
	}
	time.Sleep(2 * time.Second)
}

// disturbEntry restarts a random entry or freezes it for a while.
func (x *faultInjector) disturbEntry() {
	i := x.rand.Intn(len(x.site.Entries))
	e := x.site.Entries[i]
	duration := time.Duration(200+x.rand.Intn(4000)) * time.Millisecond
	if x.rand.Intn(2) == 0 {
		e.Kill()
		Expect(e.Start()).To(Succeed())
	} else {
		e.Suspend()
		time.Sleep(duration)
		e.Resume()
	}
	time.Sleep(time.Second)
}

// crashEngine crashes a random engine.
func (x *faultInjector) crashEngine() {
	addr := x.site.EngineAddrs[x.rand.Intn(len(x.site.EngineAddrs))]
	_, _ = newCaller("").do(http.MethodPost, "http://"+addr+"/admin/crash", nil, map[string]any{})
	time.Sleep(2 * time.Second)
}

// runUntilStopped starts a goroutine that calls f repeatedly until stop is closed.
func runUntilStopped(wg *sync.WaitGroup, stop <-chan struct{}, f func()) {
	wg.Go(func() {
		defer GinkgoRecover()
		for {
			select {
			case <-stop:
				return
			default:
				f()
			}
		}
	})
}

var _ = Describe("combined failures", func() {
	// Guards against defects that only appear when several parts fail together: members, entries
	// and engines fail at the same time while programs run and orders are sent. Each of two seeds
	// gives a different sequence of failures.
	DescribeTable("lose no history and execute no order twice",
		func(seed int64) {
			s := startSite(testsite.Options{Members: 5, Entries: 4, Engines: 4, Orders: 2, Relays: true})
			waitForVoters(s, 5, 20*time.Second)
			c, _ := grantKey(s, "acme")
			l := startProgramLoad(c, s.EntryAddrs, 8)
			stop := make(chan struct{})
			var injectors sync.WaitGroup
			for i, f := range []func(*faultInjector){(*faultInjector).disturbMember, (*faultInjector).disturbEntry, (*faultInjector).crashEngine} {
				x := &faultInjector{site: s, rand: rand.New(rand.NewSource(seed + int64(i)))}
				runUntilStopped(&injectors, stop, func() { f(x) })
			}
			var orders sync.WaitGroup
			outcomes := make([]orderOutcome, 200)
			for w := range 10 {
				orders.Go(func() {
					entries := randomEntry(s.EntryAddrs, seed+int64(w))
					for i := w; i < len(outcomes); i += 10 {
						outcomes[i] = sendOrder(c, entries, fmt.Sprintf("order-%d", i), time.Now().Add(40*time.Second))
						time.Sleep(400 * time.Millisecond)
					}
				})
			}
			time.Sleep(15 * time.Second)
			orders.Wait()
			close(stop)
			injectors.Wait()
			before := l.turns.Load()
			l.waitForTurns(20, turnDeadline)
			AddReportEntry("turns answered", before)
			for _, err := range l.finish() {
				// A turn may time out while failures continue, but no answer may be wrong.
				Expect(err).To(MatchError(ContainSubstring("not answered in time")))
			}
			checkOrders(s, outcomes)
		},
		Entry("seed 1", int64(1)),
		Entry("seed 2", int64(2)),
	)
})
