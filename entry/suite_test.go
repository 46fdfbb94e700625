package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/structs"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

const testKey = "fk-test-0123456789"

// testbed is an entry with a fake state and a fake scheduler.
type testbed struct {
	state     *fakeState
	scheduler *fakeScheduler
	entry     *Entry
	server    *Server
	logs      *syncBuffer
}

// syncBuffer is a string buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) add(s string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.WriteString(s + "\n")
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newTestbed starts an entry. Its poll interval is shorter than the default, so that
// configuration changes take effect quickly. The confirmation validity is the default unless
// timing sets it.
func newTestbed(timing Timing) *testbed {
	b := &testbed{state: newFakeState(), logs: &syncBuffer{}}
	b.scheduler = &fakeScheduler{state: b.state}
	b.state.set(structs.KindOrganisation, "ocl", structs.Organisation{Name: "ocl", Rate: 100, Burst: 100, Weight: 1})
	b.state.set(structs.KindModel, "m", structs.Model{Name: "m"})
	b.state.set(structs.KindService, "proof", structs.Service{Name: "proof", Model: "m", Class: structs.ClassInteractive, MaxOutputTokens: 100})
	b.state.set(structs.KindKey, "k1", structs.Key{ID: "k1", Hash: auth.HashKey(testKey), Organisation: "ocl"})
	if timing.PollInterval == 0 {
		timing.PollInterval = 20 * time.Millisecond
	}
	b.entry = New(Options{
		Settings: settings.Entry{
			ID: "e1", Zone: "z", Listen: "127.0.0.1:0", MaxBodyBytes: 64 << 10, BodyTimeout: 300 * time.Millisecond,
			DrainNotice: 100 * time.Millisecond, DrainDeadline: 20 * time.Second,
		},
		Incarnation: NewIncarnation("e1"), State: b.state, Scheduler: b.scheduler, Metrics: metrics.NewRegistry(), Timing: timing,
		Log: funcr.New(func(p, a string) { b.logs.add(p + a) }, funcr.Options{Verbosity: 9}),
	})
	b.entry.Start()
	server, err := b.entry.Listen()
	Expect(err).NotTo(HaveOccurred())
	b.server = server
	ginkgo.DeferCleanup(server.Close)
	b.waitForConfig()
	return b
}

// waitForConfig waits until the entry has applied the current configuration and is ready.
func (b *testbed) waitForConfig() {
	var rev uint64
	b.state.withLock(func() { rev = b.state.revision })
	Eventually(func() uint64 { return b.entry.config.snapshot().revision }, "4s", "5ms").Should(BeNumerically(">=", rev))
	Eventually(b.entry.Ready, "4s", "5ms").Should(Succeed())
}

// startTarget starts a target and declares it in the configuration.
func (b *testbed) startTarget(name, model, service string, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	ginkgo.DeferCleanup(s.Close)
	b.state.set(structs.KindTarget, name, structs.Target{Name: name, Address: s.Listener.Addr().String(), Model: model, Service: service, Slots: 8})
	return s
}

// startEngine starts a target of model m with a software version and declares it.
func (b *testbed) startEngine(name, software string, h http.HandlerFunc) {
	s := b.startTarget(name, "m", "", h)
	b.state.set(structs.KindTarget, name, structs.Target{Name: name, Address: s.Listener.Addr().String(), Model: "m", Software: software, Slots: 8})
}

// declareService declares a service and waits until the entry knows it.
func (b *testbed) declareService(s structs.Service) {
	b.state.set(structs.KindService, s.Name, s)
	b.waitForConfig()
}

type header map[string]string

func (b *testbed) request(method, path, body string, h header) *http.Request {
	r, err := http.NewRequest(method, "http://"+b.server.Addr()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range h {
		r.Header.Set(k, v)
	}
	return r
}

// do sends a request and returns the response and its body.
func (b *testbed) do(method, path, body string, h header) (*http.Response, string) {
	resp, err := http.DefaultTransport.RoundTrip(b.request(method, path, body, h))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

func (b *testbed) chat(body string, h header) (*http.Response, string) {
	return b.do(http.MethodPost, "/v1/chat/completions", body, h)
}

// errorOf returns the error object of a JSON response, or of the last error event of a
// stream.
func errorOf(body string) map[string]any {
	if i := strings.LastIndex(body, "event: error\ndata: "); i >= 0 {
		body = body[i+len("event: error\ndata: "):]
	}
	var v struct{ Error map[string]any }
	Expect(json.Unmarshal([]byte(body), &v)).To(Succeed(), body)
	return v.Error
}

// streamedText concatenates the content of the chunks of a stream.
func streamedText(body string) string {
	var out strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String()
}

const (
	streamBody       = `{"model":"proof","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	nonStreamingBody = `{"model":"proof","messages":[{"role":"user","content":"hi"}]}`
)

// writeSSE writes one server-sent event and flushes it.
func writeSSE(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// deltaChunk returns a chunk with the given content.
func deltaChunk(content string) string {
	return fmt.Sprintf(`{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, content)
}

// finishChunk returns the last chunk, with the finish reason and the usage.
func finishChunk(prompt, completion int) string {
	return fmt.Sprintf(`{"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":2}}}`, prompt, completion)
}

const roleChunk = `{"id":"x","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`

// engineReplying returns an engine that answers each request with the given parts, one chunk
// each.
func engineReplying(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		writeSSE(w, roleChunk)
		for _, p := range parts {
			writeSSE(w, deltaChunk(p))
		}
		writeSSE(w, finishChunk(5, len(parts)))
		writeSSE(w, "[DONE]")
	}
}
