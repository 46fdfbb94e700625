package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// crash closes the connection of the target without completing the response.
func crash() { panic(http.ErrAbortHandler) }

var _ = ginkgo.Describe("failing targets", func() {
	// Each bad target is tried first. The good target answers "Hello", or continues "Hel"
	// with "lo".
	good := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"continue_final_message":true`) && strings.Contains(string(body), `{"content":"Hel","role":"assistant"}`) {
			engineReplying("lo")(w, r)
			return
		}
		engineReplying("Hel", "lo")(w, r)
	}
	ginkgo.DescribeTable("do not prevent a correct answer",
		func(bad http.HandlerFunc, outcome structs.Outcome) {
			// Guards against passing on an answer as complete that is truncated, invalid or
			// belongs to another request.
			for _, body := range []string{streamBody, nonStreamingBody} {
				b := newTestbed(Timing{Engine: engine.Options{FirstEventTimeout: 200 * time.Millisecond, StallTimeout: 200 * time.Millisecond}})
				b.startTarget("t1", "m", "", bad)
				b.startTarget("t2", "m", "", good)
				b.waitForConfig()
				resp, got := b.chat(body, nil)
				Expect(resp.StatusCode).To(Equal(200), got)
				if body == streamBody {
					Expect(streamedText(got)).To(Equal("Hello"))
					Expect(strings.Count(got, `"role"`)).To(Equal(1), got)
					Expect(got).To(HaveSuffix("[DONE]\n\n"))
				} else {
					Expect(got).To(ContainSubstring(`"content":"Hello"`))
				}
				Eventually(b.scheduler.released).Should(ContainElement(HaveField("Outcome", outcome)))
				Expect(b.scheduler.assigns[1].Exclude).To(Equal([]string{"t1"}))
			}
		},
		ginkgo.Entry("a crash during the answer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, roleChunk)
			writeSSE(w, deltaChunk("Hel"))
			crash()
		}), structs.OutcomeCrash),
		ginkgo.Entry("an end without [DONE]", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
		}), structs.OutcomeCrash),
		ginkgo.Entry("an end without a finish reason", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
			writeSSE(w, "[DONE]")
		}), structs.OutcomeError),
		ginkgo.Entry("invalid JSON in mid-stream", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
			writeSSE(w, "<html>")
		}), structs.OutcomeError),
		ginkgo.Entry("a delta of the wrong type", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
			writeSSE(w, `{"id":"x","choices":[{"delta":{"content":7}}]}`)
		}), structs.OutcomeError),
		ginkgo.Entry("a response that is not HTTP", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Closing a connection with unread bytes resets it, which may lose the response.
			_, _ = io.Copy(io.Discard, r.Body)
			c, _, _ := http.NewResponseController(w).Hijack()
			_, _ = c.Write([]byte("\x00\x01\x02 nonsense\r\n\r\n"))
			_ = c.Close()
		}), structs.OutcomeError),
		ginkgo.Entry("chunks of another answer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
			writeSSE(w, strings.Replace(deltaChunk("XX"), `"id":"x"`, `"id":"y"`, 1))
		}), structs.OutcomeError),
		ginkgo.Entry("the answer to another request", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(engine.HeaderRequestID, "other")
			engineReplying("wrong")(w, r)
		}), structs.OutcomeError),
		ginkgo.Entry("more tokens than asked for", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("Hel"))
			writeSSE(w, finishChunk(1, 101))
			writeSSE(w, "[DONE]")
		}), structs.OutcomeError),
		ginkgo.Entry("a content length that does not match", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000")
			writeSSE(w, deltaChunk("Hel"))
		}), structs.OutcomeCrash),
		ginkgo.Entry("no response", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}), structs.OutcomeError),
		ginkgo.Entry("a stalled stream", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeSSE(w, deltaChunk("Hel"))
			<-r.Context().Done()
		}), structs.OutcomeError),
		ginkgo.Entry("a redirect", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/chat/completions", http.StatusTemporaryRedirect)
		}), structs.OutcomeError),
		ginkgo.Entry("a busy status", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}), structs.OutcomeRefused),
	)

	ginkgo.DescribeTable("have their answers continued by their own software version only",
		func(body, software, text string) {
			// Guards against an answer that is joined from the text of two software versions.
			b := newTestbed(Timing{})
			b.startEngine("t1", "v1", func(w http.ResponseWriter, _ *http.Request) {
				writeSSE(w, roleChunk)
				writeSSE(w, deltaChunk("Hel"))
				crash()
			})
			b.startEngine("t2", "v2", good)
			b.startEngine("t3", software, good)
			b.waitForConfig()
			_, got := b.chat(body, nil)
			if text == "" {
				b.scheduler.mu.Lock()
				defer b.scheduler.mu.Unlock()
				Expect(streamedText(got)).To(Equal("Hel"))
				Expect(errorOf(got)).To(And(HaveKeyWithValue("code", "target_failed"), HaveKeyWithValue("run", "unknown")))
				Expect(b.scheduler.assigns).To(HaveLen(1))
				return
			}
			Expect(got).To(ContainSubstring(text))
			// The slot of an answer that succeeds is released in the background, maybe after the answer.
			Eventually(b.scheduler.released).Should(HaveLen(2))
			b.scheduler.mu.Lock()
			defer b.scheduler.mu.Unlock()
			Expect(b.scheduler.assigns).To(HaveLen(2))
			Expect(b.scheduler.releases[1].Target).To(Equal(map[string]string{"v1": "t3", "v2": "t2"}[software]))
		},
		ginkgo.Entry("if a target with it is left", streamBody, "v1", `"lo"`),
		ginkgo.Entry("if a target with it is left, and the answer is sent as a whole", nonStreamingBody, "v1", `"content":"Hello"`),
		ginkgo.Entry("or end, if none is left", streamBody, "v2", ""),
		ginkgo.Entry("or start over, if none is left and nothing was sent", nonStreamingBody, "v2", `"content":"Hello"`),
	)

	ginkgo.It("cause no automatic resend and no automatic redirect", func() {
		// Guards against the automatic resend of net/http when a reused connection breaks.
		var requests atomic.Int32
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 2 {
				c, _, _ := http.NewResponseController(w).Hijack()
				_ = c.Close()
			}
			if requests.Load() > 2 {
				http.Redirect(w, r, "/elsewhere", http.StatusFound)
			}
		})}
		go func() { _ = srv.Serve(ln) }()
		ginkgo.DeferCleanup(srv.Close)
		c := engine.NewClient(engine.Options{})
		send := func() (*engine.PlainResponse, *engine.Failure) {
			return c.Plain(context.Background(), engine.PlainRequest{Address: ln.Addr().String(), Method: "GET", URI: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Timeout: time.Second})
		}
		_, f := send()
		Expect(f).To(BeNil())
		_, f = send() // on the same connection
		Expect(f).NotTo(BeNil())
		Expect(f.Outcome).To(Equal(structs.OutcomeCrash))
		Expect(f.Written).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(2))
		_, f = send()
		Expect(f).NotTo(BeNil())
		Expect(f.Err).To(MatchError(engine.ErrRedirect))
		Expect(f.Status).To(Equal(http.StatusFound))
		Expect(f.Written).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(3))
	})

	ginkgo.It("lead to the quarantine of a request that crashes two of them", func() {
		// Guards against a request that crashes one target after another.
		b := newTestbed(Timing{})
		var asked atomic.Int32
		die := func(http.ResponseWriter, *http.Request) { asked.Add(1); crash() }
		for _, name := range []string{"t1", "t2", "t3"} {
			b.startTarget(name, "m", "", die)
		}
		b.waitForConfig()
		resp, body := b.chat(nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(422), body)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "request_quarantined"), HaveKeyWithValue("run", "ran"),
			HaveKeyWithValue("retry_after_ms", BeNumerically(">", 3500*1000))))
		Eventually(func() int { return len(b.entry.config.snapshot().fingerprints) }, "4s").Should(Equal(1))
		_, body = b.chat(streamBody, nil)
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "request_quarantined"), HaveKeyWithValue("run", "not_run")))
		Expect(asked.Load()).To(BeEquivalentTo(2))
	})

	ginkgo.It("are retried only within the retry budget", func() {
		// Guards against retries that multiply the load while all targets are failing.
		b := newTestbed(Timing{})
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
		b.startTarget("t2", "m", "", engineReplying("a"))
		b.waitForConfig()
		b.scheduler.retryBudgetExhausted = true
		resp, body := b.chat(nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "target_failed"), HaveKeyWithValue("run", "unknown"),
			HaveKeyWithValue("retry_after_ms", 1000.0), HaveKeyWithValue("trace_id", HaveLen(32))))
	})
})

var _ = ginkgo.Describe("turns", func() {
	open := func(b *testbed) string {
		resp, body := b.do("POST", "/v1/programs", `{"service":"proof"}`, nil)
		Expect(resp.StatusCode).To(Equal(201), body)
		return resp.Header.Get("Figlb-Program")
	}
	// slow answers "ab"; it sends the second chunk only after release is closed.
	slow := func(started, release chan struct{}) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			writeSSE(w, deltaChunk("a"))
			close(started)
			<-release
			writeSSE(w, deltaChunk("b"))
			writeSSE(w, finishChunk(1, 2))
			writeSSE(w, "[DONE]")
		}
	}

	ginkgo.It("continue if the caller disconnects, and can be followed again", func() {
		// Guards against losing work when a connection is closed, and against running the
		// turn again for a caller that reconnects.
		b := newTestbed(Timing{})
		started, release := make(chan struct{}), make(chan struct{})
		b.startTarget("t1", "m", "", slow(started, release))
		b.waitForConfig()
		id := open(b)
		ctx, leave := context.WithCancel(context.Background())
		req := b.request("POST", "/v1/chat/completions", streamBody, header{"Figlb-Program": id}).WithContext(ctx)
		resp, err := http.DefaultTransport.RoundTrip(req)
		Expect(err).NotTo(HaveOccurred())
		<-started
		leave()
		_ = resp.Body.Close()
		follow, err := http.DefaultTransport.RoundTrip(b.request("GET", "/v1/programs/"+id+"/turns/1", "", header{"Accept": "text/event-stream"}))
		Expect(err).NotTo(HaveOccurred())
		resent, err := http.DefaultTransport.RoundTrip(b.request("POST", "/v1/chat/completions", streamBody, header{"Figlb-Program": id}))
		Expect(err).NotTo(HaveOccurred())
		close(release)
		for _, r := range []*http.Response{follow, resent} {
			body, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			Expect(streamedText(string(body))).To(Equal("ab"))
			Expect(string(body)).To(HaveSuffix("[DONE]\n\n"))
		}
		_, body := b.do("GET", "/v1/programs/"+id+"/turns/1?wait=2", "", nil)
		var rec map[string]any
		Expect(json.Unmarshal([]byte(body), &rec)).To(Succeed())
		Expect(rec).To(And(HaveKeyWithValue("state", "answered"), HaveKeyWithValue("answer", HaveKeyWithValue("content", "ab"))))
		_, body = b.do("GET", "/v1/programs/"+id+"/turns/1", "", header{"Accept": "text/event-stream"})
		Expect(streamedText(body)).To(Equal("ab"))
		Expect(b.scheduler.assigns).To(HaveLen(1))
	})

	ginkgo.It("end the stream only after the answer is recorded", func() {
		// Guards against an answer that the caller has received as complete although
		// another entry may run the turn again.
		b := newTestbed(Timing{CommitWait: 100 * time.Millisecond})
		b.startTarget("t1", "m", "", engineReplying("a"))
		b.waitForConfig()
		b.state.withLock(func() { b.state.failFinish = true })
		_, body := b.chat(streamBody, nil)
		Expect(streamedText(body)).To(Equal("a"))
		Expect(body).NotTo(Or(ContainSubstring("[DONE]"), ContainSubstring(`"finish_reason":"stop"`)))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "outcome_unknown"), HaveKeyWithValue("run", "ran")))
		b.state.withLock(func() { b.state.failFinish = false })
		Eventually(func() (n int) { b.state.withLock(func() { n = len(b.state.finishes) }); return n }, "4s").Should(Equal(1))
	})

	ginkgo.It("are taken over only from a dead entry", func() {
		// Guards against running a turn twice, and against a turn that is stuck forever.
		b := newTestbed(Timing{})
		b.startTarget("t1", "m", "", engineReplying("a"))
		b.waitForConfig()
		id := open(b)
		q, apiErr := parseChat([]byte(nonStreamingBody))
		Expect(apiErr).To(BeNil())
		b.state.withLock(func() { b.state.liveEntries = []string{"other"} })
		_, err := b.state.BeginTurn(context.Background(), "ocl", structs.BeginTurn{Program: id, Turn: 1, Digest: q.digest(), Entry: "other", Messages: q.messages})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.chat(nonStreamingBody, header{"Figlb-Program": id, "Figlb-Turn": "1"})
			done <- body
		}()
		Consistently(done, "1500ms").ShouldNot(Receive())
		b.state.withLock(func() { b.state.liveEntries = nil })
		Eventually(done, "4s").Should(Receive(ContainSubstring(`"content":"a"`)))
	})

	ginkgo.It("survive a lost reply to their begin command", func() {
		// Guards against a turn that is recorded as running although no entry runs it.
		b := newTestbed(Timing{})
		b.startTarget("t1", "m", "", engineReplying("a"))
		b.waitForConfig()
		id := open(b)
		b.state.withLock(func() { b.state.dropBeginReply = true })
		resp, body := b.chat(nonStreamingBody, header{"Figlb-Program": id})
		Expect(resp.StatusCode).To(Equal(503))
		Expect(errorOf(body)).To(HaveKeyWithValue("run", "not_run"))
		Eventually(func() error {
			t, err := b.state.GetTurn(context.Background(), structs.TurnQuery{Org: "ocl", Program: id, Turn: 1})
			if err == nil && t.State == structs.TurnRunning {
				err = errs.New(errs.TurnInProgress, "", "")
			}
			return err
		}, "4s").Should(Succeed())
		resp, body = b.chat(nonStreamingBody, header{"Figlb-Program": id})
		Expect(resp.StatusCode).To(Equal(200), body)
	})

	ginkgo.It("are refused while the configuration is not confirmed", func() {
		// Guards against an entry that accepts revoked keys because it is partitioned from
		// the state or was suspended, also for requests that were queued meanwhile.
		b := newTestbed(Timing{ConfirmValidity: 300 * time.Millisecond})
		b.startTarget("t1", "m", "", engineReplying("a"))
		b.waitForConfig()
		hold := make(chan struct{})
		b.scheduler.mu.Lock()
		b.scheduler.hold = hold
		b.scheduler.mu.Unlock()
		queued := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, body := b.chat(nonStreamingBody, nil)
			queued <- body
		}()
		Eventually(func() int { b.scheduler.mu.Lock(); defer b.scheduler.mu.Unlock(); return len(b.scheduler.assigns) }).Should(Equal(1))
		b.state.withLock(func() { b.state.unreachable = true })
		Eventually(b.entry.Ready, "4s").ShouldNot(Succeed())
		close(hold)
		var body string
		Eventually(queued, "4s").Should(Receive(&body))
		Expect(errorOf(body)).To(And(HaveKeyWithValue("code", "config_unconfirmed"), HaveKeyWithValue("run", "not_run")))
		resp, body := b.chat(nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "config_unconfirmed"))
		resp, _ = b.do("GET", "/readyz", "", nil)
		Expect(resp.StatusCode).To(Equal(503))
		b.state.withLock(func() { b.state.unreachable = false })
		b.waitForConfig()
		resp, _ = b.chat(nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(200))
	})
})
