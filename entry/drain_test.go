package entry

import (
	"crypto/tls"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/settings"
)

var _ = ginkgo.Describe("planned shutdown", func() {
	ginkgo.It("interrupts no stream and no call", func() {
		// Guards against requests that are interrupted by a restart.
		const streams = 300
		b := newTestbed(Timing{})
		var running atomic.Int32
		release := make(chan struct{})
		releaseAll := sync.OnceFunc(func() { close(release) })
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, _ *http.Request) {
			writeSSE(w, deltaChunk("a"))
			running.Add(1)
			<-release
			writeSSE(w, deltaChunk("b"))
			writeSSE(w, finishChunk(1, 2))
			writeSSE(w, "[DONE]")
		})
		b.startTarget("o1", "", "orders", func(w http.ResponseWriter, _ *http.Request) {
			running.Add(1)
			<-release
			w.WriteHeader(201)
		})
		// After a failed expectation the targets could not be closed while they wait.
		ginkgo.DeferCleanup(releaseAll)
		s := ordersService
		s.Timeout = 20 * time.Second
		b.declareService(s)
		var ok atomic.Int32
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				if i%10 == 0 {
					resp, body := b.do("POST", "/orders", "7", nil)
					Expect(resp.StatusCode).To(Equal(201), body)
				} else {
					_, body := b.chat(streamBody, nil)
					Expect(streamedText(body)).To(Equal("ab"))
					Expect(body).To(HaveSuffix("[DONE]\n\n"))
				}
				ok.Add(1)
			})
		}
		Eventually(running.Load, "15s").Should(BeEquivalentTo(streams))
		stopped := make(chan struct{})
		go func() {
			b.server.Drain()
			close(stopped)
		}()
		Eventually(b.entry.Ready).ShouldNot(Succeed())
		// Requests are served during the drain notice, because the load balancer may not
		// have noticed yet that the entry is unready.
		resp, body := b.do("GET", "/v1/models", "", nil)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(resp.Close).To(BeTrue())
		Eventually(func() error {
			_, err := http.DefaultTransport.RoundTrip(b.request("GET", "/v1/models", "", nil))
			return err
		}, "4s").Should(HaveOccurred())
		Consistently(stopped, "200ms").ShouldNot(BeClosed())
		releaseAll()
		Eventually(stopped, "15s").Should(BeClosed())
		wg.Wait()
		Expect(ok.Load()).To(BeEquivalentTo(streams))
	})

	ginkgo.It("ends the remaining requests at the drain deadline with a typed error", func() {
		// Guards against a shutdown that hangs, and against an interrupted stream that looks
		// complete.
		b := newTestbed(Timing{})
		b.entry.opts.Settings.DrainDeadline = 200 * time.Millisecond
		started := make(chan struct{})
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			writeSSE(w, deltaChunk("a"))
			close(started)
			<-r.Context().Done()
		})
		b.waitForConfig()
		body := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, text := b.chat(streamBody, nil)
			body <- text
		}()
		<-started
		b.server.Drain()
		var text string
		Eventually(body, "4s").Should(Receive(&text))
		Expect(errorOf(text)).To(HaveKeyWithValue("code", "draining"))
		Expect(b.state.finishes).To(HaveLen(1))
		Expect(b.state.finishes[0].Failure).NotTo(BeNil())
	})
})

var _ = ginkgo.Describe("TLS for callers", func() {
	ginkgo.It("serves HTTPS with the certificate of the settings", func() {
		// Guards against keys that are sent unencrypted although TLS is configured.
		dir := ginkgo.GinkgoT().TempDir()
		Expect(pki.CreateCA(dir, "test")).To(Succeed())
		Expect(pki.Issue(dir, "e1", pki.RoleEntry, nil)).To(Succeed())
		cert, key := filepath.Join(dir, "e1.pem"), filepath.Join(dir, "e1.key")
		state := newFakeState()
		e := New(Options{
			Settings: settings.Entry{ID: "e1", Listen: "127.0.0.1:0", MaxBodyBytes: 1024, BodyTimeout: time.Second},
			TLS:      settings.TLS{CallerCert: cert, CallerKey: key},
			State:    state, Scheduler: &fakeScheduler{state: state}, Metrics: metrics.NewRegistry(), Log: logr.Discard(),
		})
		srv, err := e.Listen()
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(srv.Close)
		resp, err := http.Get("http://" + srv.Addr() + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(400))
		_ = resp.Body.Close()
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		resp, err = client.Get("https://" + srv.Addr() + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(503)) // no configuration yet
	})
})
