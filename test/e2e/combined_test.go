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

// chaos breaks one state member, one entry and one engine at a time, in random order.
type chaos struct {
	s    *testsite.Site
	rand *rand.Rand
}

func (x *chaos) breakMember() {
	i := x.rand.Intn(len(x.s.Members))
	m := x.s.Members[i]
	hold := time.Duration(500+x.rand.Intn(1500)) * time.Millisecond
	switch x.rand.Intn(3) {
	case 0:
		m.Kill()
		time.Sleep(hold)
		Expect(m.Start()).To(Succeed())
	case 1:
		m.Freeze()
		time.Sleep(hold)
		m.Thaw()
	default:
		x.s.CutMember(i, true)
		time.Sleep(hold)
		x.s.CutMember(i, false)
	}
	time.Sleep(2 * time.Second)
}

func (x *chaos) breakEntry() {
	i := x.rand.Intn(len(x.s.Entries))
	e := x.s.Entries[i]
	hold := time.Duration(200+x.rand.Intn(4000)) * time.Millisecond
	if x.rand.Intn(2) == 0 {
		e.Kill()
		Expect(e.Start()).To(Succeed())
	} else {
		e.Freeze()
		time.Sleep(hold)
		e.Thaw()
	}
	time.Sleep(time.Second)
}

func (x *chaos) breakEngine() {
	addr := x.s.EngineAddrs[x.rand.Intn(len(x.s.EngineAddrs))]
	_, _ = newCaller("").do(http.MethodPost, "http://"+addr+"/admin/crash", nil, map[string]any{})
	time.Sleep(2 * time.Second)
}

// repeat runs f until stop is closed.
func repeat(wg *sync.WaitGroup, stop <-chan struct{}, f func()) {
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

var _ = Describe("all failures together", func() {
	// Guards against faults that only a combination of failures shows: members, entries and
	// engines break at the same time, twice in a row, while programs run and orders are made.
	DescribeTable("lose no history, repeat no order and break no budget",
		func(seed int64) {
			s := startSite(testsite.Options{Members: 5, Entries: 4, Engines: 4, Orders: 2, Relays: true})
			waitVoters(s, 5, 20*time.Second)
			c, _ := grant(s, "acme")
			l := startLoad(c, s.EntryAddrs, 8)
			stop := make(chan struct{})
			var breakers sync.WaitGroup
			for i, f := range []func(*chaos){(*chaos).breakMember, (*chaos).breakEntry, (*chaos).breakEngine} {
				x := &chaos{s: s, rand: rand.New(rand.NewSource(seed + int64(i)))}
				repeat(&breakers, stop, func() { f(x) })
			}
			var orders sync.WaitGroup
			outcomes := make([]orderOutcome, 200)
			for w := range 10 {
				orders.Go(func() {
					entries := pick(s.EntryAddrs, seed+int64(w))
					for i := w; i < len(outcomes); i += 10 {
						outcomes[i] = sendOrder(c, entries, fmt.Sprintf("order-%d", i), time.Now().Add(40*time.Second))
						time.Sleep(400 * time.Millisecond)
					}
				})
			}
			time.Sleep(15 * time.Second)
			orders.Wait()
			close(stop)
			breakers.Wait()
			before := l.turns.Load()
			l.waitTurns(20, turnDeadline)
			AddReportEntry("turns answered", before)
			for _, err := range l.finish() {
				// A turn may time out while failures go on; a wrong answer may not happen.
				Expect(err).To(MatchError(ContainSubstring("not answered in time")))
			}
			judgeOrders(s, outcomes)
		},
		Entry("seed 1", int64(1)),
		Entry("seed 2", int64(2)),
	)
})
