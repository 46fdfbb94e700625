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
	"github.com/figlb/figlb/standin/engine"
)

type programView struct {
	State  string
	Budget int64 `json:"budget_tokens"`
	Spent  int64 `json:"spent_tokens"`
}

func getProgram(c *caller, entry, id string) programView {
	GinkgoHelper()
	data, err := c.do(http.MethodGet, "http://"+entry+"/v1/programs/"+id, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	var p programView
	Expect(json.Unmarshal(data, &p)).To(Succeed())
	return p
}

var _ = Describe("programs", func() {
	// Guards against a history that is lost or mixed with another when entries are killed between
	// turns or during one.
	It("continue through other entries while entries are killed", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 3})
		c, _ := grantKey(s, "acme")
		l := startProgramLoad(c, s.EntryAddrs, 12)
		for i := range 4 {
			l.waitForTurns(20, turnDeadline)
			s.Entries[i].Kill()
			time.Sleep(300 * time.Millisecond)
			Expect(s.Entries[i].Start()).To(Succeed())
			Expect(s.WaitReady(i, 10*time.Second)).To(Succeed())
		}
		l.waitForTurns(40, turnDeadline)
		Expect(l.finish()).To(BeEmpty())
	})

	// Guards against a caller that cannot learn the outcome of a turn after its connection broke.
	It("return the outcome of a turn after its entry was killed during the stream", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 2})
		c, _ := grantKey(s, "acme")
		id, err := c.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		v := &conversation{program: id}
		m, want := v.nextTurn("long one answer_tokens=400")
		var once sync.Once
		_, err = c.stream(s.EntryAddrs[0], turnHeader(id, 1), chatBody{Model: "chat", Messages: []engine.Message{m}}, func() {
			once.Do(func() { go s.Entries[0].Kill() })
		})
		Expect(err).To(HaveOccurred(), "the entry was killed")
		Expect(testsite.Within(turnDeadline, func() error {
			got, err := c.chat(s.EntryAddrs[1], turnHeader(id, 1), chatBody{Model: "chat", Messages: []engine.Message{m}})
			if err == nil && got != want {
				Fail("the answer differs from the expected answer of the turn")
			}
			return err
		})).To(Succeed())
	})

	// Guards against an answer that is truncated or mixed with another when a target fails while it
	// sends the answer.
	It("return a complete answer or an error when the target fails during the stream", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 1, Engines: 2})
		c, _ := grantKey(s, "acme")
		for _, kind := range []string{"half", "garbage", "cut", "hang_mid"} {
			if kind == "hang_mid" {
				continue // covered by the entry's own tests with a short stall timeout
			}
			for _, addr := range s.EngineAddrs {
				injectFaults(addr, map[string]any{"kind": kind, "after_tokens": 10, "count": 1})
			}
			v := &conversation{}
			m, want := v.nextTurn("fault " + kind + " answer_tokens=60")
			got, err := c.stream(s.EntryAddrs[0], nil, chatBody{Model: "chat", Messages: []engine.Message{m}}, nil)
			if err != nil {
				Expect(err).To(HaveField("Run", Not(Equal(errs.NotRun))), kind)
				continue
			}
			Expect(got).To(Equal(want), kind)
		}
	})

	It("accept one of two requests that compete for the same turn", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 2})
		c, _ := grantKey(s, "acme")
		id, err := c.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]int{}
		for i := range 8 {
			wg.Go(func() {
				// Two different requests for turn 1: only one of them may be accepted.
				m := engine.TextMessage("user", fmt.Sprintf("racer %d", i%2))
				deadline := time.Now().Add(turnDeadline)
				for time.Now().Before(deadline) {
					got, err := c.chat(s.EntryAddrs[i%4], turnHeader(id, 1), chatBody{Model: "chat", Messages: []engine.Message{m}})
					var api *apiError
					if errors.As(err, &api) && api.Code == errs.TurnInProgress {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					mu.Lock()
					if err == nil {
						answers[got]++
					} else {
						answers[err.Error()[:17]]++
					}
					mu.Unlock()
					return
				}
			})
		}
		wg.Wait()
		winners := 0
		for a := range answers {
			if a != "409 turn_conflict" {
				winners++
			}
		}
		Expect(winners).To(Equal(1), "%v", answers)
	})

	// Guards against a budget that is exceeded by child programs or concurrent entries together.
	It("never exceed the budget of their program tree", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 3})
		c, _ := grantKey(s, "acme")
		const budget = 3000
		root, err := c.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat", "budget_tokens": budget})
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		exhausted := make([]bool, 8)
		for i := range exhausted {
			wg.Go(func() {
				entries := randomEntry(s.EntryAddrs, int64(i))
				child, err := c.openProgram(entries(), map[string]any{"service": "chat", "parent": root})
				if err != nil {
					return
				}
				v := &conversation{program: child}
				for range 50 {
					err := v.runTurn(c, entries, "spend answer_tokens=64", time.Now().Add(turnDeadline))
					var api *apiError
					if errors.As(err, &api) && api.Code == errs.BudgetExhausted {
						exhausted[i] = true
						return
					}
					if err != nil {
						return // an answer truncated at the budget differs from the expected one
					}
				}
			})
		}
		wg.Wait()
		p := getProgram(c, s.EntryAddrs[0], root)
		Expect(p.Budget).To(BeEquivalentTo(budget))
		Expect(p.Spent).To(BeNumerically("<=", budget))
		Expect(p.Spent).To(BeNumerically(">", budget/2))
		Expect(totalTokens(s)).To(BeNumerically("<=", budget), "tokens counted by the engines")
	})

	It("hold no engine memory after their end, even if the engine was unavailable at that time", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 1})
		c, _ := grantKey(s, "acme")
		id, err := c.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		v := &conversation{program: id}
		Expect(v.runTurn(c, randomEntry(s.EntryAddrs, 1), "hold", time.Now().Add(turnDeadline))).To(Succeed())
		Expect(engineStats(s.EngineAddrs[0]).Sessions).NotTo(BeEmpty())
		injectFaults(s.EngineAddrs[0], map[string]any{"kind": "error", "status": 500, "path": "/v1/sessions"})
		_, err = c.do(http.MethodPost, "http://"+s.EntryAddrs[1]+"/v1/programs/"+id+"/end", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		s.Members[leaderOf(s, 1)].Kill()
		injectFaults(s.EngineAddrs[0])
		Eventually(func() []string { return engineStats(s.EngineAddrs[0]).Sessions }, 20*time.Second, 50*time.Millisecond).Should(BeEmpty())
	})

	It("of one organisation are indistinguishable from unknown programs for another organisation", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 1, Engines: 1,
			Organisations: "[organisation acme]\nrate = 1000/s\nburst = 1000\n[organisation other]\nrate = 1000/s\nburst = 1000\n"})
		acme, _ := grantKey(s, "acme")
		other, _ := grantKey(s, "other")
		id, err := acme.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		_, foreign := other.do(http.MethodGet, "http://"+s.EntryAddrs[0]+"/v1/programs/"+id, nil, nil)
		_, unknown := other.do(http.MethodGet, "http://"+s.EntryAddrs[0]+"/v1/programs/"+id[:len(id)-4]+"0000", nil, nil)
		Expect(foreign).To(HaveField("Code", errs.UnknownProgram))
		Expect(unknown).To(HaveField("Code", errs.UnknownProgram))
		m := engine.TextMessage("user", "steal")
		_, err = other.chat(s.EntryAddrs[0], turnHeader(id, 1), chatBody{Model: "chat", Messages: []engine.Message{m}})
		Expect(err).To(HaveField("Code", errs.UnknownProgram))
	})
})

type engineView struct {
	Requests        int
	PromptTokens    int64 `json:"prompt_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	MaxConcurrent   int   `json:"max_concurrent"`
	ColdOverloads   int   `json:"cold_overloads"`
	Crashes         int
	Sessions        []string
}

func engineStats(addr string) engineView {
	GinkgoHelper()
	data, err := newCaller("").do(http.MethodGet, "http://"+addr+"/admin/stats", nil, nil)
	Expect(err).NotTo(HaveOccurred())
	var v engineView
	Expect(json.Unmarshal(data, &v)).To(Succeed())
	return v
}

func totalTokens(s *testsite.Site) int64 {
	GinkgoHelper()
	var n int64
	for _, addr := range s.EngineAddrs {
		v := engineStats(addr)
		n += v.PromptTokens + v.GeneratedTokens
	}
	return n
}
