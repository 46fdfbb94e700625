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

// admittedRequest is a request that was admitted at some time between sending it and receiving the
// response.
type admittedRequest struct{ sent, done time.Time }

// excessAdmissions returns the maximum, over all intervals, of the number of admitted requests minus
// (rate x duration + burst). A request counts for an interval only if it was both sent and answered
// within it, because only then is it known to have been admitted there.
func excessAdmissions(list []admittedRequest, rate, burst float64) float64 {
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

// floodRoute sends requests as fast as the workers can until stop is closed. It returns the admitted
// requests and the number of those refused by the rate limit.
func floodRoute(c *caller, addrs []string, workers int, stop <-chan struct{}) (admitted []admittedRequest, refused int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for w := range workers {
		wg.Go(func() {
			entries := randomEntry(addrs, int64(w))
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := admittedRequest{sent: time.Now()}
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
	// Guards against a burst that is granted twice, or lost for a long time, because entries admit
	// requests independently or the leader changes.
	It("are never exceeded by eight entries together, even when the leader is lost or partitioned", func() {
		const rate, burst = 40, 20
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Relays: true, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 40/s\nburst = 20\n"})
		waitForVoters(s, 3, 20*time.Second)
		c, _ := grantKey(s, "acme")
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
		Expect(refused).To(BeNumerically(">", 0), "the load must reach the limit")
		Expect(excessAdmissions(admitted, rate, burst)).To(BeZero())
		// Four changes of leader may each block admission for up to 2 s. The rate must be reached in
		// the remaining time, less 1 s of tolerance.
		Expect(float64(len(admitted))).To(BeNumerically(">=", rate*(elapsed-4*2-1)))
		AddReportEntry("admitted", len(admitted))
	})

	// sendEvenly sends n requests at a constant rate and returns the errors. The tests use 60% of the
	// rate limit.
	sendEvenly := func(s *testsite.Site, c *caller, perSecond float64, n int) []error {
		entries := randomEntry(s.EntryAddrs, 7)
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

	// Guards against refusals below the limit in steady state.
	It("refuse no request below the limit when the load is spread over eight entries", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 100/s\nburst = 20\n"})
		c, _ := grantKey(s, "acme")
		time.Sleep(200 * time.Millisecond)
		Expect(sendEvenly(s, c, 60, 600)).To(BeEmpty())
	})

	// Guards against refusing requests below the limit that waited for a new leader and then arrived
	// all at once.
	It("refuse no request below the limit while leaders are killed", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 1, Orders: 2, Catalogue: true,
			Organisations: catalogue + "[organisation acme]\nrate = 100/s\nburst = 20\n"})
		waitForVoters(s, 3, 20*time.Second)
		c, _ := grantKey(s, "acme")
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
		failed := sendEvenly(s, c, 60, 700)
		<-done
		Expect(failed).To(BeEmpty(), "fewer than 1 in 1,000 may fail, which is none of 700")
	})
})
