package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/standin/engine"
	"github.com/figlb/figlb/standin/server"
)

const chat = "/v1/chat/completions"

// get sends a request without a body, decodes the reply into out unless it is nil, and
// returns the status.
func get(method, url string, out any) int {
	req, err := http.NewRequest(method, url, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		Expect(json.NewDecoder(resp.Body).Decode(out)).To(Succeed())
	}
	return resp.StatusCode
}

func request(text, session string) object {
	return object{"messages": user(text), "session_id": session}
}

var _ = Describe("the prefix cache", func() {
	startConversation := func(e *engine.Engine, session string) (messages []engine.Message, prompt int) {
		messages = user(session + strings.Repeat(" word", 100))
		first := ask(e, session, messages, nil)
		messages = append(messages, engine.TextMessage("assistant", first.Choices[0].Message.Content))
		history := first.Usage.PromptTokens + first.Usage.CompletionTokens
		return append(messages, engine.TextMessage("tool", "done")), history
	}

	DescribeTable("covers the history of a session until it is evicted or freed",
		func(between func(*engine.Engine), cached bool) {
			e := start(func(c *engine.Config) { c.CacheTokens = 400 })
			messages, history := startConversation(e, "s")
			between(e)
			c := ask(e, "s", messages, nil)
			if cached {
				Expect(c.Usage.Details.Cached).To(BeNumerically(">=", history))
				Expect(e.Stats().RecomputedTokens).To(BeZero())
				return
			}
			Expect(c.Usage.Details.Cached).To(BeZero())
			Expect(e.Stats().RecomputedTokens).To(BeNumerically(">=", history))
		},
		Entry("kept", func(*engine.Engine) {}, true),
		Entry("evicted by others", func(e *engine.Engine) {
			for i := range 4 {
				startConversation(e, fmt.Sprint("other", i))
			}
		}, false),
		Entry("freed", func(e *engine.Engine) {
			Expect(get("DELETE", e.URL()+"/v1/sessions/s", nil)).To(Equal(http.StatusNoContent))
			Expect(get("DELETE", e.URL()+"/v1/sessions/s", nil)).To(Equal(http.StatusNotFound))
			Expect(e.Stats().Sessions).To(BeEmpty())
		}, false),
		Entry("moved away and back", func(e *engine.Engine) {
			status, blob := post(e.URL()+"/v1/kv/export", object{"session_id": "s"})
			Expect(status).To(Equal(http.StatusOK))
			get("DELETE", e.URL()+"/v1/sessions/s", nil)
			status, _ = post(e.URL()+"/v1/kv/import", json.RawMessage(blob))
			Expect(status).To(Equal(http.StatusNoContent))
		}, true),
	)

	It("publishes its events late and loses some of them", func() {
		e := start(func(c *engine.Config) { c.EventLoss, c.EventLag = 0.5, 50*time.Millisecond })
		for i := range 8 {
			ask(e, fmt.Sprint(i), user("answer_tokens=6"), nil)
		}
		read := func() (list struct {
			Events []engine.Event
			Next   uint64
		}) {
			get("GET", e.URL()+"/v1/cache/events?after=0", &list)
			return list
		}
		time.Sleep(60 * time.Millisecond)
		got := read()
		Expect(len(got.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", 8)))
		Expect(got.Events[len(got.Events)-1].Seq).To(Equal(got.Next))
	})
})

var _ = Describe("the batch", func() {
	It("runs requests together and slows down with them", func() {
		e := start(func(c *engine.Config) { c.StepPerRequest = 4 * time.Millisecond })
		alone := time.Now()
		ask(e, "", user("answer_tokens=20"), nil)
		one := time.Since(alone)
		begin := time.Now()
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				ask(e, "", user(fmt.Sprint("answer_tokens=20 ", i)), nil)
			})
		}
		wg.Wait()
		Expect(time.Since(begin)).To(And(BeNumerically(">", 2*one), BeNumerically("<", 8*one)))
		Expect(e.Stats().MaxConcurrent).To(Equal(8))
	})

	It("prefers a lower priority number and cancels the request of a disconnected client", func() {
		e := start(func(c *engine.Config) { c.MaxBatch = 1 })
		leaving := &http.Client{Timeout: 100 * time.Millisecond}
		_, err := leaving.Post(e.URL()+chat, "application/json", strings.NewReader(`{"messages":[{"role":"user","content":"answer_tokens=9000"}]}`))
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return e.Stats().Cancelled }).Should(Equal(1))
		order := make(chan int, 3)
		for i, priority := range []int{0, 9, 1} {
			go func() {
				defer GinkgoRecover()
				ask(e, "", user(fmt.Sprint("answer_tokens=300 p", priority)), object{"priority": priority})
				order <- priority
			}()
			Eventually(func() int { return e.Stats().Requests }).Should(Equal(2 + i))
		}
		for _, want := range []int{0, 1, 9} {
			Eventually(order, "20s").Should(Receive(Equal(want)))
		}
	})

	It("reports its load with a delay", func() {
		e := start(func(c *engine.Config) { c.LoadLag = 200 * time.Millisecond })
		begin := time.Now()
		go func() { _, _ = post(e.URL()+chat, request("answer_tokens=400", "")) }()
		var l engine.Load
		Eventually(func() int { get("GET", e.URL()+"/load", &l); return l.Running }).Should(Equal(1))
		Expect(time.Since(begin)).To(BeNumerically(">=", 199*time.Millisecond)) // at_ms is truncated to a millisecond
	})
})

var _ = Describe("a cold engine", func() {
	DescribeTable("limits its requests and counts those above the limit",
		func(mode engine.ColdMode, refused int) {
			e := start(func(c *engine.Config) {
				c.ColdMode, c.ColdSlots, c.ColdFor, c.ColdSlowdown = mode, 1, time.Minute, 3
			})
			var wg sync.WaitGroup
			statuses := make(chan int, 2)
			for range 2 {
				wg.Go(func() {
					status, _ := post(e.URL()+chat, request("answer_tokens=100", ""))
					statuses <- status
				})
			}
			wg.Wait()
			close(statuses)
			got := 0
			for s := range statuses {
				if s == http.StatusServiceUnavailable {
					got++
				}
			}
			Expect(got).To(Equal(refused))
			Expect(e.Stats().ColdOverloads).To(Equal(1))
		},
		Entry("refuses", engine.ColdRefuse, 1),
		Entry("slows down", engine.ColdSlow, 0),
	)
})

var _ = Describe("faults", func() {
	DescribeTable("of one request",
		func(f server.Fault, status int, text string) {
			e := start(nil)
			f.Count = 1
			e.Inject(f)
			body := request("answer_tokens=20", "")
			body["stream"] = true
			got, out := post(e.URL()+chat, body)
			Expect(got).To(Equal(status))
			Expect(out).To(ContainSubstring(text))
			got, out = post(e.URL()+chat, body)
			Expect(got).To(Equal(http.StatusOK))
			Expect(out).To(HaveSuffix("data: [DONE]\n\n"))
		},
		Entry("half", server.Fault{Kind: server.FaultDropMid, AfterTokens: 3}, 0, "EOF"),
		Entry("garbage", server.Fault{Kind: server.FaultGarbage, AfterTokens: 3}, 0, "EOF"),
		Entry("cut", server.Fault{Kind: server.FaultTruncate, AfterTokens: 3}, 200, `"finish_reason":null`),
		Entry("error", server.Fault{Kind: server.FaultError, Status: 500}, 500, "injected"),
	)

	It("crash the engine on a request with the crash marker and restart it empty and cold", func() {
		e := start(func(c *engine.Config) { c.CrashDowntime, c.ColdFor = 100*time.Millisecond, time.Minute })
		e.MakeCold(0, 0)
		ask(e, "s", user("hello answer_tokens=6"), nil)
		Expect(e.Stats().Sessions).To(Equal([]string{"s"}))
		broken := make(chan int, 1)
		go func() {
			status, _ := post(e.URL()+chat, request("answer_tokens=9000", ""))
			broken <- status
		}()
		Eventually(func() int { return e.Stats().Requests }).Should(Equal(2))
		status, _ := post(e.URL()+chat, request("please !crash-the-engine!", ""))
		Expect(status).To(BeZero())
		Eventually(broken).Should(Receive(BeZero()))
		Eventually(func() int { s, _ := post(e.URL()+chat, request("answer_tokens=6", "")); return s }).Should(Equal(200))
		Expect(e.Stats().Crashes).To(Equal(1))
		Expect(e.Stats().Sessions).To(BeEmpty())
		var l engine.Load
		get("GET", e.URL()+"/load", &l)
		Expect(l.Cold).To(BeTrue())
	})

	DescribeTable("old fencing numbers",
		func(checks bool, status, stale int) {
			e := start(func(c *engine.Config) { c.ChecksFencing = checks })
			order := func(id string, fencing int) int {
				s, _ := post(e.URL()+"/v1/orders", object{"id": id, "action": "load_model", "value": "m", "fencing": fencing})
				return s
			}
			Expect(order("a", 7)).To(Equal(200))
			Expect(order("a", 7)).To(Equal(200))
			Expect(order("b", 6)).To(Equal(status))
			Expect(e.Stats().StaleOrders).To(Equal(stale))
		},
		Entry("refused", true, 409, 0),
		Entry("ignored", false, 200, 1),
	)
})
