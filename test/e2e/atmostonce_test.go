package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
)

// orderOutcome is the outcome of one order as its caller knows it.
type orderOutcome struct {
	key     string
	bodies  map[string]bool // distinct bodies of successful responses
	unknown bool            // the last response was outcome_unknown
	notRun  bool            // the last response says that the order was not run
	refused bool            // the service itself responded with an error
	err     error
}

// sendOrder sends one order and resends it under its idempotency key until it gets a final response
// (a success, an error of the service or outcome_unknown) or the deadline passes.
func sendOrder(c *caller, entries func() string, key string, deadline time.Time) orderOutcome {
	o := orderOutcome{key: key, bodies: map[string]bool{}}
	body := map[string]any{"ref": key, "discs": 40}
	for time.Now().Before(deadline) {
		data, err := c.do(http.MethodPost, "http://"+entries()+"/orders", map[string]string{"Idempotency-Key": key}, body)
		if err == nil {
			o.bodies[string(data)] = true
			o.unknown, o.notRun, o.err = false, false, nil
			return o
		}
		o.err = err
		var service *serviceError
		if errors.As(err, &service) {
			o.refused = true
			return o
		}
		var api *apiError
		if errors.As(err, &api) {
			o.unknown = api.Code == errs.OutcomeUnknown
			o.notRun = api.Run == errs.NotRun
			if o.unknown {
				return o
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return o
}

func executions(s *testsite.Site) map[string]int {
	GinkgoHelper()
	resp, err := http.Get("http://" + s.OrderAddrs[0] + "/admin/executions")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var e struct {
		ByRef map[string]int `json:"by_ref"`
	}
	Expect(json.NewDecoder(resp.Body).Decode(&e)).To(Succeed())
	return e.ByRef
}

func injectFaults(addr string, faults ...map[string]any) {
	GinkgoHelper()
	_, err := newCaller("").do(http.MethodPost, "http://"+addr+"/admin/faults", nil, map[string]any{"faults": faults})
	Expect(err).NotTo(HaveOccurred())
}

// checkOrders compares the outcomes that callers know with the orders that the service executed. It
// returns the number of unknown outcomes.
func checkOrders(s *testsite.Site, outcomes []orderOutcome) (unknown int) {
	GinkgoHelper()
	ran := executions(s)
	for _, o := range outcomes {
		Expect(ran[o.key]).To(BeNumerically("<=", 1), "%s was executed more than once", o.key)
		switch {
		case len(o.bodies) > 0:
			Expect(o.bodies).To(HaveLen(1), "%s has different answers", o.key)
			Expect(ran[o.key]).To(Equal(1), "%s was acknowledged but not executed", o.key)
		case o.refused:
			Expect(o.err).To(HaveField("Status", 503), "only the injected error may be forwarded")
		case o.unknown:
			unknown++
		case o.notRun:
			Expect(ran[o.key]).To(BeZero(), "%s was reported as not run but was executed", o.key)
		default:
			Fail(fmt.Sprintf("%s has no outcome: %v", o.key, o.err))
		}
	}
	return unknown
}

// Guards against an order that is executed twice, an acknowledged order that was not executed, and
// an order that was executed although it was reported as not run.
var _ = Describe("non-repeatable calls", func() {
	// runOrders sends orders from 16 concurrent callers while disturb injects faults.
	runOrders := func(s *testsite.Site, c *caller, total int, disturb func()) []orderOutcome {
		var wg sync.WaitGroup
		outcomes := make([]orderOutcome, total)
		next := make(chan int)
		for w := range 16 {
			wg.Go(func() {
				entries := randomEntry(s.EntryAddrs, int64(w))
				for i := range next {
					outcomes[i] = sendOrder(c, entries, fmt.Sprintf("order-%d", i), time.Now().Add(30*time.Second))
				}
			})
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			disturb()
		}()
		for i := range total {
			next <- i
			time.Sleep(5 * time.Millisecond)
		}
		close(next)
		wg.Wait()
		<-done
		return outcomes
	}

	It("are executed at most once while entries and leaders are killed", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 1, Orders: 2})
		c, _ := grantKey(s, "acme")
		injectFaults(s.OrderAddrs[0], map[string]any{"kind": "delay", "delay_ms": 60})
		outcomes := runOrders(s, c, 400, func() {
			for i := range 3 {
				time.Sleep(400 * time.Millisecond)
				s.Entries[i].Kill()
				Expect(s.Entries[i].Start()).To(Succeed())
			}
			leader := leaderOf(s, 1)
			s.Members[leader].Kill()
			Expect(s.Members[leader].Start()).To(Succeed())
		})
		unknown := checkOrders(s, outcomes)
		AddReportEntry("unknown outcomes", unknown)
	})

	It("are executed at most once when the target fails before, during and after execution", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 2, Engines: 1, Orders: 1})
		c, _ := grantKey(s, "acme")
		injectFaults(s.OrderAddrs[0],
			map[string]any{"kind": "drop", "probability": 0.2},
			map[string]any{"kind": "drop_after", "probability": 0.2},
			map[string]any{"kind": "error", "status": 503, "probability": 0.1},
			map[string]any{"kind": "redirect", "location": "http://" + s.OrderAddrs[0] + "/orders", "probability": 0.1})
		checkOrders(s, runOrders(s, c, 200, func() {}))
	})

	It("have an unknown outcome until an operator resolves them, and are then answered from the record", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 2, Engines: 1, Orders: 1})
		c, _ := grantKey(s, "acme")
		injectFaults(s.OrderAddrs[0], map[string]any{"kind": "drop_after"})
		o := sendOrder(c, randomEntry(s.EntryAddrs, 1), "lost", time.Now().Add(20*time.Second))
		Expect(o.unknown).To(BeTrue(), "%v", o.err)
		injectFaults(s.OrderAddrs[0])
		o = sendOrder(c, randomEntry(s.EntryAddrs, 2), "lost", time.Now().Add(20*time.Second))
		Expect(o.unknown).To(BeTrue(), "a resend must not be dispatched: %v", o.err)
		_, err := s.Ctl("call", "resolve", "acme", "lost", "finished", "-status", "201", "-body", `{"order":1}`)
		Expect(err).NotTo(HaveOccurred())
		o = sendOrder(c, randomEntry(s.EntryAddrs, 3), "lost", time.Now().Add(20*time.Second))
		Expect(o.bodies).To(HaveKey(`{"order":1}`))
		Expect(executions(s)).To(HaveKeyWithValue("lost", 1))
	})

	It("give the same outcome to concurrent callers with the same key", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 4, Engines: 1, Orders: 1})
		c, _ := grantKey(s, "acme")
		injectFaults(s.OrderAddrs[0], map[string]any{"kind": "delay", "delay_ms": 200})
		var wg sync.WaitGroup
		outcomes := make([]orderOutcome, 16)
		for i := range outcomes {
			wg.Go(func() {
				outcomes[i] = sendOrder(c, randomEntry(s.EntryAddrs, int64(i)), "race", time.Now().Add(20*time.Second))
			})
		}
		wg.Wait()
		for _, o := range outcomes {
			Expect(o.bodies).To(Equal(outcomes[0].bodies))
			Expect(o.err).NotTo(HaveOccurred())
		}
		Expect(executions(s)).To(HaveKeyWithValue("race", 1))
	})
})
