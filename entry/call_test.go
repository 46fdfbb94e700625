package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

var orders = structs.Service{Name: "orders", Prefix: "/orders", Timeout: 300 * time.Millisecond}

// deadAddress returns an address on which nothing listens.
func deadAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return ln.Addr().String()
}

var _ = ginkgo.Describe("calls that may not be repeated", func() {
	pay := header{"Idempotency-Key": "pay-1"}

	ginkgo.It("run once and return the stored result to a resend", func() {
		// Guards against a payment that is made twice.
		b := newBed(Timing{})
		var runs atomic.Int32
		b.target("o1", "", "orders", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.Header.Get("Figlb-Call-Key") == "pay-1" && r.Header.Get("Idempotency-Key") == "" {
				runs.Add(1)
			}
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Location", "/orders/7")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(append([]byte("got "), body...))
		})
		b.service(orders)
		done := make(chan struct{})
		for range 5 { // the first ones at the same time
			go func() {
				defer ginkgo.GinkgoRecover()
				defer func() { done <- struct{}{} }()
				resp, body := b.do("POST", "/orders", "7", pay)
				Expect(resp.StatusCode).To(Equal(201), body)
				Expect(body).To(Equal("got 7"))
				Expect(resp.Header.Get("Location")).To(Equal("/orders/7"))
				Expect(resp.Header.Get("Idempotency-Key")).To(Equal("pay-1"))
			}()
		}
		for range 5 {
			<-done
		}
		Expect(runs.Load()).To(BeEquivalentTo(1))
		resp, body := b.do("POST", "/orders", "8", pay)
		Expect(resp.StatusCode).To(Equal(422))
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "idempotency_mismatch"))
		resp, _ = b.do("POST", "/orders", "7", nil)
		Expect(resp.Header.Get("Idempotency-Key")).To(HavePrefix("gen-"))
	})

	ginkgo.DescribeTable("stay unknown when the answer is lost",
		func(h http.HandlerFunc) {
			// Guards against a second run of a call that may have been run, and against
			// a claim that it was not.
			b := newBed(Timing{})
			var runs atomic.Int32
			for _, name := range []string{"o1", "o2"} {
				b.target(name, "", "orders", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); h(w, r) })
			}
			b.service(orders)
			for range 2 {
				resp, body := b.do("POST", "/orders", "7", pay)
				Expect(resp.StatusCode).To(Equal(502), body)
				Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "outcome_unknown"), HaveKeyWithValue("run", "unknown"),
					HaveKeyWithValue("remedy", ContainSubstring("resolve"))))
			}
			Expect(runs.Load()).To(BeEquivalentTo(1))
			_, body := b.do("GET", "/v1/calls/pay-1", "", nil)
			Expect(body).To(And(ContainSubstring(`"state":"unknown"`), ContainSubstring(`"target":"o1"`)))
		},
		ginkgo.Entry("by a crash", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { crash() })),
		ginkgo.Entry("by a cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("abc"))
		})),
		ginkgo.Entry("by silence", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})),
	)

	ginkgo.It("are not run where no connection was made", func() {
		// Guards against an unknown outcome where the opposite is proved, and against
		// a proof that is not recorded: a resend must be able to run the call.
		b := newBed(Timing{})
		b.state.set(structs.KindTarget, "o1", structs.Target{Name: "o1", Address: deadAddress(), Service: "orders"})
		b.service(orders)
		resp, body := b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(502), body)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "target_failed"), HaveKeyWithValue("run", "not_run")))
		b.target("o2", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.settle()
		resp, body = b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(201), body)
	})

	ginkgo.It("are settled by the status query of their service", func() {
		// Guards against an unknown outcome that the service could tell, and against a
		// "not run" that rests on a service that has not seen the call yet.
		b := newBed(Timing{})
		var known atomic.Bool
		b.target("o1", "", "orders", func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == "POST":
				crash()
			case r.URL.Path != "/orders/status/pay-1" || !known.Load():
				w.WriteHeader(404)
			default:
				_, _ = w.Write([]byte(`{"state":"executed","status":201,"body":{"order":7}}`))
			}
		})
		s := orders
		s.StatusPath = "/orders/status/{key}"
		b.service(s)
		_, body := b.do("POST", "/orders", "7", pay)
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "outcome_unknown"))
		known.Store(true)
		resp, body := b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(201), body)
		Expect(body).To(Equal(`{"order":7}`))
	})

	ginkgo.It("are looked up before a quarantine refuses them", func() {
		// Guards against a "not run" for a call that was run before its content was
		// quarantined.
		b := newBed(Timing{})
		var runs atomic.Int32
		b.target("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); w.WriteHeader(201) })
		b.service(orders)
		resp, _ := b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(201))
		b.e.addFingerprint(context.Background(), b.state.calls["oclpay-1"].Digest)
		Eventually(func() int { return len(b.e.config.snapshot().fingerprints) }, "4s").Should(Equal(1))
		resp, _ = b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(201))
		_, body := b.do("POST", "/orders", "7", header{"Idempotency-Key": "pay-2"})
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "request_quarantined"), HaveKeyWithValue("run", "not_run")))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	ginkgo.It("return no result before it is recorded", func() {
		// Guards against a result that a caller has seen and that a resend cannot get.
		b := newBed(Timing{CommitWait: 100 * time.Millisecond})
		b.target("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.service(orders)
		b.state.change(func() { b.state.failFinish = true })
		_, body := b.do("POST", "/orders", "7", pay)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "outcome_unknown"), HaveKeyWithValue("run", "ran")))
		b.state.change(func() { b.state.failFinish = false })
		Eventually(func() int { resp, _ := b.do("POST", "/orders", "7", pay); return resp.StatusCode }, "4s").Should(Equal(201))
	})

	ginkgo.It("of another entry are waited for, and unknown when it dies", func() {
		// Guards against a second run next to one that is still going on.
		b := newBed(Timing{})
		b.target("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.service(orders)
		b.state.change(func() { b.state.live = []string{"other"} })
		req := b.request("POST", "/orders", "7", nil)
		req.Header.Del("Authorization")
		q := &plainRequest{e: b.e, svc: &orders, method: "POST", uri: "/orders", header: req.Header, body: []byte("7")}
		_, err := b.state.BeginCall(context.Background(), "ocl", structs.BeginCall{Key: "pay-1", Service: "orders", Digest: q.requestDigest(), Entry: "other"})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.do("POST", "/orders", "7", pay)
			done <- body
		}()
		Consistently(done, "1s").ShouldNot(Receive())
		b.state.change(func() { b.state.live = nil })
		var body string
		Eventually(done, "4s").Should(Receive(&body))
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "outcome_unknown"))
	})

	ginkgo.It("are not dispatched after another entry has settled them", func() {
		// Guards against a call that waits in the queue while its entry is taken for
		// dead, is resolved, is run elsewhere and then runs a second time.
		b := newBed(Timing{ConfirmValidity: 200 * time.Millisecond})
		var runs atomic.Int32
		b.target("o1", "", "orders", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		b.service(orders)
		hold := make(chan struct{})
		b.sched.mu.Lock()
		b.sched.hold = hold
		b.sched.mu.Unlock()
		done := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.do("POST", "/orders", "7", pay)
			done <- body
		}()
		Consistently(done, "400ms").ShouldNot(Receive())
		b.state.change(func() { b.state.calls["oclpay-1"].State = structs.CallNotRun })
		close(hold)
		var body string
		Eventually(done, "4s").Should(Receive(&body))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "superseded"), HaveKeyWithValue("run", "unknown")))
		Expect(runs.Load()).To(BeZero())
	})

	ginkgo.It("do not begin while their last record is being settled", func() {
		// Guards against a "not run" that is meant for an earlier begin command and
		// hits a call that was dispatched in the meantime.
		l := newLiveTable[call]()
		Expect(l.claim("k")).To(BeTrue())
		Expect(l.claim("k")).To(BeFalse())
		Expect(l.beginning("k")).To(BeFalse())
		l.unclaim("k")
		Expect(l.beginning("k")).To(BeTrue())
		Expect(l.claim("k")).To(BeFalse())
		l.begun("k", &call{})
		Expect(l.claim("k")).To(BeFalse())
	})

	ginkgo.It("are recorded as not run if the reply to their begin command was lost", func() {
		// Guards against a key that is blocked for ever although nothing was sent.
		b := newBed(Timing{})
		b.target("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.service(orders)
		b.state.change(func() { b.state.loseBegin = true })
		resp, body := b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(503))
		// Without the reply the entry has not seen the record of the key, under which the
		// call may have been run before.
		Expect(errorOf(body)).To(HaveKeyWithValue("run", "unknown"))
		resp, body = b.do("POST", "/orders", "7", pay)
		Expect(resp.StatusCode).To(Equal(201), body)
	})
})

var _ = ginkgo.Describe("calls that may be repeated", func() {
	ginkgo.It("are retried and need no key on open routes", func() {
		// Guards against a lookup that one bad target makes fail, and against open
		// routes that ask for a key.
		b := newBed(Timing{})
		b.target("c1", "", "catalogue", func(http.ResponseWriter, *http.Request) { crash() })
		b.target("c2", "", "catalogue", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.RequestURI()) })
		b.service(structs.Service{Name: "catalogue", Prefix: "/c", Repeatable: true, Open: true})
		resp, body := b.do("GET", "/c/x%20y?q=1", "", header{"Authorization": ""})
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(Equal("/c/x%20y?q=1"))
		Expect(b.state.debits).To(Equal(1))
	})

	ginkgo.It("pass on what a busy target says when no other takes them", func() {
		// Guards against a refusal that is retried on the same target, and against an
		// answer of the service that is replaced by an error of figlb.
		b := newBed(Timing{})
		asked := make(chan string, 3)
		for _, name := range []string{"c1", "c2"} {
			b.target(name, "", "c", func(w http.ResponseWriter, _ *http.Request) {
				asked <- name
				w.WriteHeader(503)
				_, _ = io.WriteString(w, "busy")
			})
		}
		b.service(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		resp, body := b.do("GET", "/c", "", nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(body).To(Equal("busy"))
		Expect(asked).To(Receive(Equal("c1")))
		Expect(asked).To(Receive(Equal("c2")))
	})

	ginkgo.It("carry the caller's trace", func() {
		// Guards against hops and errors that operators cannot tie to a request.
		b := newBed(Timing{})
		trace := "4bf92f3577b34da6a3ce929d0e0e4736"
		got := make(chan string, 1)
		b.target("c1", "", "c", func(_ http.ResponseWriter, r *http.Request) {
			got <- r.Header.Get("Traceparent")
			crash()
		})
		b.service(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		_, body := b.do("GET", "/c", "", header{"Traceparent": "00-" + trace + "-00f067aa0ba902b7-01"})
		Expect(got).To(Receive(ContainSubstring(trace)))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("trace_id", trace), HaveKeyWithValue("code", "target_failed")))
	})

	ginkgo.It("go to the service with the longest prefix", func() {
		// Guards against a call that is not repeatable and is treated as if it were.
		b := newBed(Timing{})
		for _, name := range []string{"c", "pay"} {
			b.target(name, "", name, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
		}
		b.service(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		b.service(structs.Service{Name: "pay", Prefix: "/c/pay"})
		for path, want := range map[string]string{"/c/payer": "c", "/c": "c", "/c/pay": "pay", "/c/pay/1": "pay"} {
			_, body := b.do("GET", path, "", nil)
			Expect(body).To(Equal(want), path)
		}
		for _, path := range []string{"/c/../admin", "/c/%2e%2e/admin", "/c//pay", "/other"} {
			resp, body := b.do("GET", path, "", nil)
			Expect(resp.StatusCode).To(BeNumerically(">=", 400), path)
			Expect(errorOf(body)).To(HaveKeyWithValue("code", Or(BeEquivalentTo(errs.BadRequest), BeEquivalentTo(errs.NotFound))))
		}
	})
})
