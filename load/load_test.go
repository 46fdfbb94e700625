package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/load"
	"github.com/figlb/figlb/standin/engine"
	"github.com/figlb/figlb/standin/orders"
	"github.com/figlb/figlb/standin/server"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// runLoad runs short programs against a base URL and returns the result and the kinds of
// violations in it.
func runLoad(url string, change func(*load.Config, *load.Kind)) (*load.Result, []string) {
	cfg := load.DefaultConfig()
	cfg.Entries = []string{url}
	cfg.Duration = 300 * time.Millisecond
	cfg.Orgs = []load.Org{{Name: "a", Key: "key-a", Programs: 40}}
	k := load.DefaultKind()
	k.Pause = time.Millisecond
	k.AnswerTokens = 10
	change(&cfg, &k)
	cfg.Kinds = []load.Kind{k}
	res, err := load.Run(context.Background(), cfg)
	Expect(err).NotTo(HaveOccurred())
	var kinds []string
	for v := range res.Violations {
		kinds = append(kinds, v)
	}
	return res, kinds
}

var _ = Describe("a run against an engine", func() {
	DescribeTable("detects violations in the answers",
		func(faults []server.Fault, violations ...string) {
			e, err := engine.Start("127.0.0.1:0", engine.DefaultConfig())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(e.Close)
			e.Inject(faults...)
			res, got := runLoad(e.URL(), func(c *load.Config, _ *load.Kind) { c.Direct = true })
			Expect(got).To(ConsistOf(violations))
			Expect(res.Orgs["a"].Admitted).To(Equal(res.Orgs["a"].Offered))
			Expect(res.Classes["interactive"].TTFT.Count).To(BeEquivalentTo(res.Orgs["a"].Admitted))
			Expect(e.Stats().Sessions).To(BeEmpty())
		},
		// Guards against violations reported for a correct engine.
		Entry("a correct engine", nil),
		// Guards against reporting a retry after a broken connection as a violation.
		Entry("broken connections", []server.Fault{{Kind: server.FaultDropMid, Count: 3, AfterTokens: 2}}),
		Entry("error replies", []server.Fault{{Kind: server.FaultError, Status: 503, Count: 3}}),
		// Guards against accepting a stream that ends early without an error.
		Entry("a truncated stream", []server.Fault{{Kind: server.FaultTruncate, Count: 1, AfterTokens: 2}}, "cut_answer"),
	)
})

// fakeEntry is an entry of figlb that can violate its guarantees. It stores no history, so
// programs have to send the whole history with each turn.
type fakeEntry struct {
	engine, orders string
	calls          atomic.Int32
	// order and chat, if set, replace the default handlers of orders and chat requests.
	order func(e *fakeEntry, w http.ResponseWriter, body []byte)
	chat  func(e *fakeEntry, w http.ResponseWriter, body []byte)
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/v1/programs":
		server.WriteJSON(w, http.StatusOK, map[string]string{"id": "p"})
	case r.URL.Path == "/orders" && e.order != nil:
		e.order(e, w, body)
	case r.URL.Path == "/orders":
		forward(w, e.orders+"/orders", body)
	case r.URL.Path == "/v1/chat/completions" && e.chat != nil:
		e.chat(e, w, body)
	case r.URL.Path == "/v1/chat/completions":
		forward(w, e.engine+r.URL.Path, body)
	}
}

// forward posts a body to url and copies the reply to w, or discards it if w is nil.
func forward(w http.ResponseWriter, url string, body []byte) {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if w == nil {
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// refuse replies that the request was not run and may be retried after 1 ms.
func refuse(w http.ResponseWriter) {
	server.WriteJSON(w, http.StatusServiceUnavailable, map[string]any{
		"error": map[string]any{"code": "overloaded", "run": "not_run", "retry_after_ms": 1},
	})
}

var _ = Describe("a run against an entry", func() {
	DescribeTable("detects violations of guarantees",
		func(e *fakeEntry, violations ...string) {
			target, err := engine.Start("127.0.0.1:0", engine.DefaultConfig())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(target.Close)
			service, err := orders.Start("127.0.0.1:0", orders.NewStore())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(service.Close)
			e.engine, e.orders = target.URL(), service.URL()
			front := httptest.NewServer(e)
			DeferCleanup(front.Close)
			res, got := runLoad(front.URL, func(c *load.Config, k *load.Kind) {
				c.Executions = []string{service.URL()}
				c.RetryFor = 200 * time.Millisecond
				k.Order, k.FullHistory, k.MaxTurns = 1, 1, 1
			})
			Expect(got).To(ConsistOf(violations))
			Expect(res.OK()).To(Equal(len(violations) == 0))
		},
		Entry("no violation", &fakeEntry{}),
		Entry("an order that is forwarded twice", &fakeEntry{order: func(e *fakeEntry, w http.ResponseWriter, body []byte) {
			forward(nil, e.orders+"/orders", body)
			forward(w, e.orders+"/orders", body)
		}}, "duplicate_execution"),
		Entry("an executed order that is reported as not run", &fakeEntry{order: func(e *fakeEntry, w http.ResponseWriter, body []byte) {
			if e.calls.Add(1) == 1 {
				forward(nil, e.orders+"/orders", body)
			}
			refuse(w)
		}}, "wrong_not_run"),
		Entry("an acknowledged order that is not executed", &fakeEntry{order: func(e *fakeEntry, w http.ResponseWriter, body []byte) {
			server.WriteJSON(w, http.StatusCreated, json.RawMessage(body))
		}}, "lost_order"),
		Entry("the answer to another program", &fakeEntry{chat: func(e *fakeEntry, w http.ResponseWriter, body []byte) {
			forward(w, e.engine+"/v1/chat/completions", []byte(`{"stream":true,"messages":[{"role":"user","content":"other"}]}`))
		}}, "mixed_answer"),
	)

	// Guards against classifying refusals by anything but the organisation's declared rate.
	DescribeTable("counts refusals within the declared rate",
		func(burst int, withinRate bool) {
			e := &fakeEntry{chat: func(_ *fakeEntry, w http.ResponseWriter, _ []byte) { refuse(w) }}
			front := httptest.NewServer(e)
			DeferCleanup(front.Close)
			res, _ := runLoad(front.URL, func(c *load.Config, _ *load.Kind) {
				c.Orgs[0].Rate, c.Orgs[0].Burst = 0.001, burst
				c.RetryFor = 0
			})
			Expect(res.Orgs["a"].Refused).To(BeNumerically(">", 0))
			Expect(res.Orgs["a"].RefusedWithinRate > 0).To(Equal(withinRate))
			Expect(res.Orgs["a"].GaveUp).To(Equal(res.Orgs["a"].Offered))
		},
		Entry("within the rate", 1000, true),
		Entry("above the rate", 0, false),
	)
})
