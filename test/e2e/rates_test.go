package e2e_test

import (
	"net/http"
	"sort"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
)

// admission is a request that was admitted at some time between its sending and its reply.
type admission struct{ sent, done time.Time }

// overAdmitted returns by how many requests any interval exceeds rate x time + burst. Only
// requests that were sent and answered within an interval count for it, because only those
// are known to have been admitted in it.
func overAdmitted(list []admission, rate, burst float64) float64 {
	sort.Slice(list, func(i, j int) bool { return list[i].done.Before(list[j].done) })
	worst := 0.0
	for i := range list {
		from := list[i].sent
		n := 0.0
		for j := range list {
			if list[j].sent.Before(from) {
				continue
			}
			n++
			if over := n - rate*list[j].done.Sub(from).Seconds() - burst; over > worst {
				worst = over
			}
		}
	}
	return worst
}

// floodRoute sends requests as fast as the workers can and returns the admitted ones.
func floodRoute(c *caller, addrs []string, workers int, stop <-chan struct{}) (admitted []admission, refused int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for w := range workers {
		wg.Go(func() {
			entries := pick(addrs, int64(w))
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := admission{sent: time.Now()}
				_, err := c.do(http.MethodGet, "http://"+entries()+"/catalogue/item", nil, nil)
				a.done = time.Now()
				mu.Lock()
				if err == nil {
					admitted = append(admitted, a)
				} else if isCode(err, errs.RateLimited) {
					refused++
				}
				mu.Unlock()
				if err != nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return admitted, refused
}

func isCode(err error, code errs.Code) bool {
	var api *apiError
	return errors.As(err, &api) && api.Code == code
}

const catalogue = "\n[service catalogue]\nprefix = /catalogue\nrepeatable = true\n"

var _ = Describe("rates", func() {
	// Guards against a burst that is doubled, or emptied for long, by entries that admit on
	// their own or by a change of leader.
	It("are never exceeded by eight entries together, through loss and partition of the leader", func() {
		const rate, burst = 40, 20
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Relays: true, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 40/s\nburst = 20\n"})
		waitVoters(s, 3, 20*time.Second)
		c, _ := grant(s, "acme")
		stop := make(chan struct{})
		start := time.Now()
		go func() {
			defer close(stop)
			for range 2 {
				time.Sleep(2 * time.Second)
				s.CutMember(leaderOf(s, 1), true)
				time.Sleep(2 * time.Second)
				for i := range s.Members {
					s.CutMember(i, false)
				}
				time.Sleep(time.Second)
				i := leaderOf(s, 1)
				s.Members[i].Kill()
				Expect(s.Members[i].Start()).To(Succeed())
				time.Sleep(2 * time.Second)
			}
		}()
		admitted, refused := floodRoute(c, s.EntryAddrs, 48, stop)
		elapsed := time.Since(start).Seconds()
		Expect(refused).To(BeNumerically(">", 0), "the flood reaches the limit")
		Expect(overAdmitted(admitted, rate, burst)).To(BeZero())
		// Four changes of leader of up to 2 s each leave at least the rest of the rate.
		Expect(float64(len(admitted))).To(BeNumerically(">=", rate*(elapsed-4*2-1)))
		AddReportEntry("admitted", len(admitted))
	})

	// offer sends requests evenly at 60% of the rate and returns the errors.
	offer := func(s *testsite.Site, c *caller, perSecond float64, n int) []error {
		entries := pick(s.EntryAddrs, 7)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var failed []error
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for range n {
			<-tick.C
			wg.Go(func() {
				if _, err := c.do(http.MethodGet, "http://"+entries()+"/catalogue/item", nil, nil); err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return failed
	}

	// Guards against wrongful refusals in steady state.
	It("refuse nothing that is within them, spread over eight entries", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 100/s\nburst = 20\n"})
		c, _ := grant(s, "acme")
		time.Sleep(200 * time.Millisecond)
		Expect(offer(s, c, 60, 600)).To(BeEmpty())
	})

	// Guards against wrongful refusals of what waited for a new leader and then came at once.
	It("refuse nothing that is within them while leaders are killed", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 100/s\nburst = 20\n"})
		waitVoters(s, 3, 20*time.Second)
		c, _ := grant(s, "acme")
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 2 {
				time.Sleep(2 * time.Second)
				i := leaderOf(s, 1)
				s.Members[i].Kill()
				Expect(s.Members[i].Start()).To(Succeed())
				time.Sleep(3 * time.Second)
			}
		}()
		failed := offer(s, c, 60, 700)
		<-done
		Expect(failed).To(BeEmpty(), "under 1 in 1,000 of 700 is none")
	})
})
