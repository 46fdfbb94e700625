package stateserver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/statemachine/configsm"
	"github.com/figlb/figlb/structs"
)

// fakeEngine records the requests that the background jobs send to it.
type fakeEngine struct {
	*httptest.Server
	mu      sync.Mutex
	status  []int // statuses of the next replies; after them 200
	deleted []string
	orders  []map[string]any
}

func newFakeEngine(status ...int) *fakeEngine {
	e := &fakeEngine{status: status}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.Method == http.MethodDelete {
			e.deleted = append(e.deleted, r.URL.Path)
		} else {
			var o map[string]any
			_ = json.NewDecoder(r.Body).Decode(&o)
			e.orders = append(e.orders, o)
		}
		if len(e.status) > 0 {
			w.WriteHeader(e.status[0])
			e.status = e.status[1:]
		}
	}))
	DeferCleanup(e.Close)
	return e
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *fakeEngine) seen() (deleted []string, orders []map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(deleted, e.deleted...), append(orders, e.orders...)
}

// startJobs starts a member with two engines and its background jobs.
func startJobs(t1, t2 *fakeEngine, wrap func(replica.Node) replica.Node) *member {
	m := startMember(wrap)
	d := declaration()
	d.Targets = []structs.Target{
		{Name: "t1", Host: "h1", Address: t1.address(), Model: "m1"},
		{Name: "t2", Host: "h1", Address: t2.address(), Model: "m1", ChecksFencing: true},
	}
	_, err := m.client.ApplyConfig(testContext(), "op", structs.ApplyConfig{Declaration: d})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.srv.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(done, 10*time.Second).Should(BeClosed())
	})
	return m
}

var _ = Describe("the releaser", func() {
	// Guards against engine memory that is never freed because one release was lost.
	It("repeats a release until the engine confirms it", func() {
		t1, t2 := newFakeEngine(http.StatusServiceUnavailable, http.StatusNotFound), newFakeEngine()
		m := startJobs(t1, t2, nil)
		ctx := testContext()
		_, err := m.client.OpenProgram(ctx, "acme", structs.OpenProgram{ID: "p/1", Service: "chat", Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		b, err := m.client.BeginTurn(ctx, "acme", structs.BeginTurn{Program: "p/1", MaxTokens: 10, Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		_, err = m.client.FinishTurn(ctx, "acme", structs.FinishTurn{
			Program: "p/1", Turn: b.Turn.Number, Attempt: b.Turn.Attempt, Answer: []byte("a"), Targets: []string{"t1"},
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = m.client.EndProgram(ctx, "acme", structs.EndProgram{ID: "p/1"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() []string { d, _ := t1.seen(); return d }, "10s").Should(HaveLen(2))
		Consistently(func() []string { d, _ := t1.seen(); return d }, "1500ms").Should(Equal([]string{"/v1/sessions/p/1", "/v1/sessions/p/1"}))
		other, _ := t2.seen()
		Expect(other).To(BeEmpty())
	})

	It("calls each target of the service after an attempt whose targets are not known", func() {
		t1, t2 := newFakeEngine(), newFakeEngine(http.StatusBadGateway)
		m := startJobs(t1, t2, nil)
		ctx := testContext()
		_, err := m.client.OpenProgram(ctx, "acme", structs.OpenProgram{ID: "p", Service: "chat", Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range []string{"dead", "alive"} {
			_, err = m.client.BeginTurn(ctx, "acme", structs.BeginTurn{
				Program: "p", MaxTokens: 10, Entry: entry, LiveEntries: []string{"alive"}, Limits: limits,
			})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = m.client.EndProgram(ctx, "acme", structs.EndProgram{ID: "p"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { d, _ := t2.seen(); return len(d) }, "10s").Should(Equal(2))
		d, _ := t1.seen()
		Expect(d).To(Equal([]string{"/v1/sessions/p"}), "a target that confirmed is not called again")
	})
})

var _ = Describe("the order issuer", func() {
	submit := func(m *member, id, target string) {
		_, err := m.client.SubmitOrder(testContext(), "op", structs.EngineOrder{ID: id, Target: target, Action: "set_role", Value: "decode"})
		Expect(err).NotTo(HaveOccurred())
	}
	stateOf := func(m *member, id string) func() string {
		return func() string {
			orders, err := m.client.Orders(testContext())
			Expect(err).NotTo(HaveOccurred())
			for _, o := range orders {
				if o.ID == id {
					return o.State
				}
			}
			return ""
		}
	}

	It("sends an order until it is accepted, and records a rejected one as failed", func() {
		t1, t2 := newFakeEngine(http.StatusServiceUnavailable), newFakeEngine(http.StatusBadRequest)
		m := startJobs(t1, t2, nil)
		submit(m, "o1", "t1")
		submit(m, "o2", "t2")
		Eventually(stateOf(m, "o1"), "10s").Should(Equal(configsm.OrderDone))
		Eventually(stateOf(m, "o2"), "10s").Should(Equal(configsm.OrderFailed))
		_, orders := t1.seen()
		Expect(orders).To(HaveLen(2))
		Expect(orders[1]).To(Equal(map[string]any{"id": "o1", "action": "set_role", "value": "decode", "fencing": 1.0}))
	})

	// Guards against concurrent orders of two issuers at a target that does not check
	// fencing numbers and so cannot reject those of the older issuer.
	It("waits for the end of the previous lease only for a target that does not check fencing numbers", func() {
		t1, t2 := newFakeEngine(), newFakeEngine()
		m := startJobs(t1, t2, func(n replica.Node) replica.Node {
			older, err := msgpack.Marshal(&structs.ConfigCommand{AcquireIssuer: &structs.AcquireIssuer{Member: "older", Term: 1}})
			Expect(err).NotTo(HaveOccurred())
			_, err = n.Propose(context.Background(), 0, older)
			Expect(err).NotTo(HaveOccurred())
			return n
		})
		start := time.Now()
		submit(m, "o1", "t1")
		submit(m, "o2", "t2")
		Eventually(stateOf(m, "o2"), "3s").Should(Equal(configsm.OrderDone))
		Eventually(stateOf(m, "o1"), "15s").Should(Equal(configsm.OrderDone))
		Expect(time.Since(start)).To(BeNumerically(">=", 5500*time.Millisecond), "lease of 5 s and clock error")
		_, orders := t1.seen()
		Expect(orders[0]).To(HaveKeyWithValue("fencing", 2.0))
	})
})
