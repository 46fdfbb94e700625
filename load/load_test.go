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

// run drives short programs against a base URL and returns the result and the kinds of
// violations in it.
func run(url string, change func(*load.Config, *load.Kind)) (*load.Result, []string) {
	cfg := load.Defaults()
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
	DescribeTable("tells right answers from wrong ones",
		func(faults []server.Fault, violations ...string) {
			e, err := engine.Start("127.0.0.1:0", engine.DefaultConfig())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(e.Close)
			e.Inject(faults...)
			res, got := run(e.URL(), func(c *load.Config, _ *load.Kind) { c.Direct = true })
			Expect(got).To(ConsistOf(violations))
			Expect(res.Orgs["a"].Admitted).To(Equal(res.Orgs["a"].Offered))
			Expect(res.Classes["interactive"].TTFT.Count).To(BeEquivalentTo(res.Orgs["a"].Admitted))
			Expect(e.Stats().Sessions).To(BeEmpty())
		},
		// Guards against false alarms.
		Entry("a sound engine", nil),
		// Guards against taking a resend after a broken connection for a fault of figlb.
		Entry("broken connections", []server.Fault{{Kind: server.FaultHalf, Count: 3, AfterTokens: 2}}),
		Entry("errors", []server.Fault{{Kind: server.FaultError, Status: 503, Count: 3}}),
		// Guards against accepting a stream that ends early without an error.
		Entry("streams that end early", []server.Fault{{Kind: server.FaultCut, Count: 1, AfterTokens: 2}}, "cut_answer"),
	)
})

// entry plays an entry of figlb that may break its promises. It keeps no history, so
// programs have to send theirs.
type entry struct {
	engine, orders string
	calls          atomic.Int32
	// order and chat, if set, replace the treatment of a request.
	order func(e *entry, w http.ResponseWriter, body []byte)
	chat  func(e *entry, w http.ResponseWriter, body []byte)
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// forward sends a body on and returns the reply, or discards it if w is nil.
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

// refuse answers that the request was not run and may be sent again at once.
func refuse(w http.ResponseWriter) {
	server.WriteJSON(w, http.StatusServiceUnavailable, map[string]any{
		"error": map[string]any{"code": "overloaded", "run": "not_run", "retry_after_ms": 1},
	})
}

var _ = Describe("a run against an entry", func() {
	DescribeTable("finds broken promises",
		func(e *entry, violations ...string) {
			target, err := engine.Start("127.0.0.1:0", engine.DefaultConfig())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(target.Close)
			service, err := orders.Start("127.0.0.1:0", orders.NewStore())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(service.Close)
			e.engine, e.orders = target.URL(), service.URL()
			front := httptest.NewServer(e)
			DeferCleanup(front.Close)
			res, got := run(front.URL, func(c *load.Config, k *load.Kind) {
				c.Executions = []string{service.URL()}
				c.RetryFor = 200 * time.Millisecond
				k.Order, k.FullHistory, k.MaxTurns = 1, 1, 1
			})
			Expect(got).To(ConsistOf(violations))
			Expect(res.OK()).To(Equal(len(violations) == 0))
		},
		Entry("none", &entry{}),
		Entry("an order sent on twice", &entry{order: func(e *entry, w http.ResponseWriter, body []byte) {
			forward(nil, e.orders+"/orders", body)
			forward(w, e.orders+"/orders", body)
		}}, "duplicate_execution"),
		Entry("an order run and called not run", &entry{order: func(e *entry, w http.ResponseWriter, body []byte) {
			if e.calls.Add(1) == 1 {
				forward(nil, e.orders+"/orders", body)
			}
			refuse(w)
		}}, "wrong_not_run"),
		Entry("an order acknowledged and not run", &entry{order: func(e *entry, w http.ResponseWriter, body []byte) {
			server.WriteJSON(w, http.StatusCreated, json.RawMessage(body))
		}}, "lost_order"),
		Entry("an answer of another program", &entry{chat: func(e *entry, w http.ResponseWriter, body []byte) {
			forward(w, e.engine+"/v1/chat/completions", []byte(`{"stream":true,"messages":[{"role":"user","content":"other"}]}`))
		}}, "mixed_answer"),
	)

	// Guards against judging refusals by anything but the organisation's declared rate.
	DescribeTable("tells wrongful refusals from those beyond the rate",
		func(burst int, wrongful bool) {
			e := &entry{chat: func(_ *entry, w http.ResponseWriter, _ []byte) { refuse(w) }}
			front := httptest.NewServer(e)
			DeferCleanup(front.Close)
			res, _ := run(front.URL, func(c *load.Config, _ *load.Kind) {
				c.Orgs[0].Rate, c.Orgs[0].Burst = 0.001, burst
				c.RetryFor = 0
			})
			Expect(res.Orgs["a"].Refused).To(BeNumerically(">", 0))
			Expect(res.Orgs["a"].RefusedWithinRate > 0).To(Equal(wrongful))
			Expect(res.Orgs["a"].GaveUp).To(Equal(res.Orgs["a"].Offered))
		},
		Entry("within", 1000, true),
		Entry("beyond", 0, false),
	)
})
