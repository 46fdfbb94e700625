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

var ordersService = structs.Service{Name: "orders", Prefix: "/orders", Timeout: 300 * time.Millisecond}

// deadAddress returns an address on which nothing listens.
func deadAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return ln.Addr().String()
}

var _ = ginkgo.Describe("non-repeatable calls", func() {
	paymentHeader := header{"Idempotency-Key": "pay-1"}

	ginkgo.It("run once and return the stored result to a resend", func() {
		// Guards against running a call, such as a payment, twice.
		b := newTestbed(Timing{})
		var runs atomic.Int32
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.Header.Get("Figlb-Call-Key") == "pay-1" && r.Header.Get("Idempotency-Key") == "" {
				runs.Add(1)
			}
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Location", "/orders/7")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(append([]byte("got "), body...))
		})
		b.declareService(ordersService)
		done := make(chan struct{})
		for range 5 { // concurrent resends
			go func() {
				defer ginkgo.GinkgoRecover()
				defer func() { done <- struct{}{} }()
				resp, body := b.do("POST", "/orders", "7", paymentHeader)
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
		resp, body := b.do("POST", "/orders", "8", paymentHeader)
		Expect(resp.StatusCode).To(Equal(422))
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "idempotency_mismatch"))
		resp, _ = b.do("POST", "/orders", "7", nil)
		Expect(resp.Header.Get("Idempotency-Key")).To(HavePrefix("gen-"))
	})

	ginkgo.DescribeTable("have an unknown outcome if the response is lost",
		func(h http.HandlerFunc) {
			// Guards against running a call again that may have been run, and against
			// reporting it as not run.
			b := newTestbed(Timing{})
			var runs atomic.Int32
			for _, name := range []string{"o1", "o2"} {
				b.startTarget(name, "", "orders", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); h(w, r) })
			}
			b.declareService(ordersService)
			for range 2 {
				resp, body := b.do("POST", "/orders", "7", paymentHeader)
				Expect(resp.StatusCode).To(Equal(502), body)
				Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "outcome_unknown"), HaveKeyWithValue("run", "unknown"),
					HaveKeyWithValue("remedy", ContainSubstring("resolve"))))
			}
			Expect(runs.Load()).To(BeEquivalentTo(1))
			_, body := b.do("GET", "/v1/calls/pay-1", "", nil)
			Expect(body).To(And(ContainSubstring(`"state":"unknown"`), ContainSubstring(`"target":"o1"`)))
		},
		ginkgo.Entry("target crashes", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { crash() })),
		ginkgo.Entry("truncated response", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("abc"))
		})),
		ginkgo.Entry("target does not respond", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})),
	)

	ginkgo.It("are recorded as not run if no connection can be established", func() {
		// Guards against reporting the outcome as unknown although the call was provably
		// not run, and against not recording this: a resend must be able to run the call.
		b := newTestbed(Timing{})
		b.state.set(structs.KindTarget, "o1", structs.Target{Name: "o1", Address: deadAddress(), Service: "orders"})
		b.declareService(ordersService)
		resp, body := b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(502), body)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "target_failed"), HaveKeyWithValue("run", "not_run")))
		b.startTarget("o2", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.waitForConfig()
		resp, body = b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(201), body)
	})

	ginkgo.It("are settled by the status query of their service", func() {
		// Guards against an outcome that stays unknown although the service knows it, and
		// against reporting "not run" because the service has not received the call yet.
		b := newTestbed(Timing{})
		var known atomic.Bool
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == "POST":
				crash()
			case r.URL.Path != "/orders/status/pay-1" || !known.Load():
				w.WriteHeader(404)
			default:
				_, _ = w.Write([]byte(`{"state":"executed","status":201,"body":{"order":7}}`))
			}
		})
		s := ordersService
		s.StatusPath = "/orders/status/{key}"
		b.declareService(s)
		_, body := b.do("POST", "/orders", "7", paymentHeader)
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "outcome_unknown"))
		known.Store(true)
		resp, body := b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(201), body)
		Expect(body).To(Equal(`{"order":7}`))
	})

	ginkgo.It("return their recorded result even if their content has been quarantined since", func() {
		// Guards against reporting "not run" for a call that was run before its content
		// was quarantined.
		b := newTestbed(Timing{})
		var runs atomic.Int32
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); w.WriteHeader(201) })
		b.declareService(ordersService)
		resp, _ := b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(201))
		b.entry.addFingerprint(context.Background(), b.state.calls["oclpay-1"].Digest)
		Eventually(func() int { return len(b.entry.config.snapshot().fingerprints) }, "4s").Should(Equal(1))
		resp, _ = b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(201))
		_, body := b.do("POST", "/orders", "7", header{"Idempotency-Key": "pay-2"})
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "request_quarantined"), HaveKeyWithValue("run", "not_run")))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	ginkgo.It("return no result before it is recorded", func() {
		// Guards against returning a result to the caller that a resend cannot obtain.
		b := newTestbed(Timing{CommitWait: 100 * time.Millisecond})
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.declareService(ordersService)
		b.state.withLock(func() { b.state.failFinish = true })
		_, body := b.do("POST", "/orders", "7", paymentHeader)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "outcome_unknown"), HaveKeyWithValue("run", "ran")))
		b.state.withLock(func() { b.state.failFinish = false })
		Eventually(func() int { resp, _ := b.do("POST", "/orders", "7", paymentHeader); return resp.StatusCode }, "4s").Should(Equal(201))
	})

	ginkgo.It("wait while they run on another entry, and have an unknown outcome if it dies", func() {
		// Guards against running a call a second time while the first run is in progress.
		b := newTestbed(Timing{})
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.declareService(ordersService)
		b.state.withLock(func() { b.state.liveEntries = []string{"other"} })
		req := b.request("POST", "/orders", "7", nil)
		req.Header.Del("Authorization")
		q := &plainRequest{entry: b.entry, service: &ordersService, method: "POST", uri: "/orders", header: req.Header, body: []byte("7")}
		_, err := b.state.BeginCall(context.Background(), "ocl", structs.BeginCall{Key: "pay-1", Service: "orders", Digest: q.requestDigest(), Entry: "other"})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.do("POST", "/orders", "7", paymentHeader)
			done <- body
		}()
		Consistently(done, "1s").ShouldNot(Receive())
		b.state.withLock(func() { b.state.liveEntries = nil })
		var body string
		Eventually(done, "4s").Should(Receive(&body))
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "outcome_unknown"))
	})

	ginkgo.It("are not dispatched after another entry has settled them", func() {
		// Guards against a call that runs twice: it waits in the queue while another entry
		// considers its entry dead, settles its record and runs it.
		b := newTestbed(Timing{ConfirmValidity: 200 * time.Millisecond})
		var runs atomic.Int32
		b.startTarget("o1", "", "orders", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		b.declareService(ordersService)
		hold := make(chan struct{})
		b.scheduler.mu.Lock()
		b.scheduler.hold = hold
		b.scheduler.mu.Unlock()
		done := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.do("POST", "/orders", "7", paymentHeader)
			done <- body
		}()
		Consistently(done, "400ms").ShouldNot(Receive())
		b.state.withLock(func() { b.state.calls["oclpay-1"].State = structs.CallNotRun })
		close(hold)
		var body string
		Eventually(done, "4s").Should(Receive(&body))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "superseded"), HaveKeyWithValue("run", "unknown")))
		Expect(runs.Load()).To(BeZero())
	})

	ginkgo.It("do not begin while their previous record is being settled", func() {
		// Guards against a "not run" record that is meant for an earlier begin command but
		// is applied to a call that has been dispatched in the meantime.
		l := newInFlightTable[call]()
		Expect(l.claim("k")).To(BeTrue())
		Expect(l.claim("k")).To(BeFalse())
		Expect(l.startBegin("k")).To(BeFalse())
		l.unclaim("k")
		Expect(l.startBegin("k")).To(BeTrue())
		Expect(l.claim("k")).To(BeFalse())
		l.finishBegin("k", &call{})
		Expect(l.claim("k")).To(BeFalse())
	})

	ginkgo.It("are recorded as not run if the reply to their begin command was lost", func() {
		// Guards against a key that stays blocked forever although nothing was sent.
		b := newTestbed(Timing{})
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
		b.declareService(ordersService)
		b.state.withLock(func() { b.state.dropBeginReply = true })
		resp, body := b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(503))
		// Without the reply, the entry does not know the record of the key; the call may
		// have been run under this key before.
		Expect(errorOf(body)).To(HaveKeyWithValue("run", "unknown"))
		resp, body = b.do("POST", "/orders", "7", paymentHeader)
		Expect(resp.StatusCode).To(Equal(201), body)
	})
})

var _ = ginkgo.Describe("repeatable calls", func() {
	ginkgo.It("are retried, and need no key on open routes", func() {
		// Guards against a lookup that fails because of one bad target, and against open
		// routes that require a key.
		b := newTestbed(Timing{})
		b.startTarget("c1", "", "catalogue", func(http.ResponseWriter, *http.Request) { crash() })
		b.startTarget("c2", "", "catalogue", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.RequestURI()) })
		b.declareService(structs.Service{Name: "catalogue", Prefix: "/c", Repeatable: true, Open: true})
		resp, body := b.do("GET", "/c/x%20y?q=1", "", header{"Authorization": ""})
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(Equal("/c/x%20y?q=1"))
		Expect(b.state.debits).To(Equal(1))
	})

	ginkgo.It("return the response of a busy target if no other target accepts them", func() {
		// Guards against a retry on the target that refused the request, and against
		// replacing the response of the service by an error of figlb.
		b := newTestbed(Timing{})
		asked := make(chan string, 3)
		for _, name := range []string{"c1", "c2"} {
			b.startTarget(name, "", "c", func(w http.ResponseWriter, _ *http.Request) {
				asked <- name
				w.WriteHeader(503)
				_, _ = io.WriteString(w, "busy")
			})
		}
		b.declareService(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		resp, body := b.do("GET", "/c", "", nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(body).To(Equal("busy"))
		Expect(asked).To(Receive(Equal("c1")))
		Expect(asked).To(Receive(Equal("c2")))
	})

	ginkgo.It("propagate the caller's trace", func() {
		// Guards against hops and errors that operators cannot correlate with a request.
		b := newTestbed(Timing{})
		trace := "4bf92f3577b34da6a3ce929d0e0e4736"
		got := make(chan string, 1)
		b.startTarget("c1", "", "c", func(_ http.ResponseWriter, r *http.Request) {
			got <- r.Header.Get("Traceparent")
			crash()
		})
		b.declareService(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		_, body := b.do("GET", "/c", "", header{"Traceparent": "00-" + trace + "-00f067aa0ba902b7-01"})
		Expect(got).To(Receive(ContainSubstring(trace)))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("trace_id", trace), HaveKeyWithValue("code", "target_failed")))
	})

	ginkgo.It("go to the service with the longest prefix", func() {
		// Guards against treating a non-repeatable call as repeatable.
		b := newTestbed(Timing{})
		for _, name := range []string{"c", "pay"} {
			b.startTarget(name, "", name, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
		}
		b.declareService(structs.Service{Name: "c", Prefix: "/c", Repeatable: true})
		b.declareService(structs.Service{Name: "pay", Prefix: "/c/pay"})
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
