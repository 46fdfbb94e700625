package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
)

// startSingleCalls starts workers that send chat requests without a program and check the
// answers. The returned function stops them and returns the failures.
func startSingleCalls(c *caller, addrs []string, workers int) (stop func() []error) {
	var done atomic.Bool
	var mu sync.Mutex
	var failed []error
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			entries := randomEntry(addrs, int64(w))
			for i := 0; !done.Load(); i++ {
				v := &conversation{}
				m, want := v.nextTurn(fmt.Sprintf("single %d of %d answer_tokens=8", i, w))
				got, err := c.chat(entries(), nil, chatBody{Model: "chat", Messages: []engine.Message{m}})
				if err == nil && got == want {
					continue
				}
				mu.Lock()
				failed = append(failed, fmt.Errorf("got %.40q: %v", got, err))
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return func() []error {
		done.Store(true)
		wg.Wait()
		return failed
	}
}

var _ = Describe("targets", func() {
	// Guards against an entry that still sends work to an availability zone after it was drained,
	// and against errors that the change causes for callers.
	It("in a drained availability zone get no new work after 4 s, and get work again after its return", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 6, Slots: 8, ColdSlots: 2})
		c, _ := grantKey(s, "acme")
		stop := startSingleCalls(c, s.EntryAddrs, 24)
		time.Sleep(2 * time.Second)
		_, err := s.Ctl("drain", "zone", "zone-a")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(propagationTimeout)
		count := func() (in, out int) {
			for i, addr := range s.EngineAddrs {
				n := engineStats(addr).Requests
				if i%3 == 0 { // engines are assigned to three availability zones in turn
					in += n
				} else {
					out += n
				}
			}
			return in, out
		}
		drained, others := count()
		time.Sleep(2 * time.Second)
		drainedLater, othersLater := count()
		Expect(drainedLater).To(Equal(drained), "the drained availability zone got new work")
		Expect(othersLater).To(BeNumerically(">", others))
		_, err = s.Ctl("return", "zone", "zone-a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { in, _ := count(); return in }, 10*time.Second, 50*time.Millisecond).Should(BeNumerically(">", drained+20))
		Expect(stop()).To(BeEmpty())
	})

	// Guards against work being sent to a host that the platform is about to remove.
	It("on a leaving host get no new work after 4 s", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 3, HostList: true})
		c, _ := grantKey(s, "acme")
		stop := startSingleCalls(c, s.EntryAddrs, 12)
		time.Sleep(time.Second)
		_, err := newCaller("").do(http.MethodPost, "http://"+s.HostListAddr+"/admin/hosts", nil,
			map[string]any{"hosts": []map[string]string{{"name": "gpu-1", "state": "leaving"}, {"name": "gpu-2", "state": "live"}, {"name": "gpu-3", "state": "live"}}})
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(propagationTimeout)
		before := engineStats(s.EngineAddrs[0]).Requests
		Expect(before).To(BeNumerically(">", 0))
		time.Sleep(2 * time.Second)
		Expect(engineStats(s.EngineAddrs[0]).Requests).To(Equal(before))
		Expect(stop()).To(BeEmpty())
	})

	// Guards against eight entries that together overload a target during its cold start.
	It("in cold start get no more concurrent requests from eight entries than they have cold slots", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 2, Slots: 16, ColdSlots: 2,
			EngineArgs: []string{"-cold-for", "8s", "-cold-slots", "2"}})
		c, _ := grantKey(s, "acme")
		stop := startSingleCalls(c, s.EntryAddrs, 24)
		time.Sleep(3 * time.Second)
		i := leaderOf(s, 1)
		s.Members[i].Kill()
		Expect(s.Members[i].Start()).To(Succeed())
		time.Sleep(6 * time.Second)
		Expect(stop()).To(BeEmpty())
		for _, addr := range s.EngineAddrs {
			Expect(engineStats(addr).ColdOverloads).To(BeZero())
			Expect(engineStats(addr).Requests).To(BeNumerically(">", 20))
		}
	})

	// Guards against a request that crashes one target after the other.
	It("are crashed at most twice by the same request, whichever entry it is sent through", func() {
		const marker = "crash-this-engine"
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 4,
			EngineArgs: []string{"-crash-marker", marker, "-crash-downtime", "300ms"}})
		c, _ := grantKey(s, "acme")
		m := engine.TextMessage("user", marker)
		body := chatBody{Model: "chat", Messages: []engine.Message{m}}
		deadline := time.Now().Add(12 * time.Second)
		quarantined := false
		for i := 0; time.Now().Before(deadline); i++ {
			_, err := c.chat(s.EntryAddrs[i%4], nil, body)
			Expect(err).To(HaveOccurred())
			if isCode(err, errs.RequestQuarantined) {
				quarantined = true
			}
			time.Sleep(300 * time.Millisecond)
		}
		crashes := 0
		for _, addr := range s.EngineAddrs {
			crashes += engineStats(addr).Crashes
		}
		Expect(crashes).To(Equal(2))
		Expect(quarantined).To(BeTrue())
		out, err := s.Ctl("fingerprint", "list")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("fingerprint"))
		v := &conversation{}
		other, want := v.nextTurn("harmless")
		got, err := c.chat(s.EntryAddrs[0], nil, chatBody{Model: "chat", Messages: []engine.Message{other}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})

	// Guards against answers that are lost when a target crashes under load.
	It("lose no answer when they crash under load", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 4, Engines: 4})
		c, _ := grantKey(s, "acme")
		l := startProgramLoad(c, s.EntryAddrs, 12)
		for i := range 3 {
			l.waitForTurns(10, turnDeadline)
			// The crash also closes this connection, so the response may not arrive.
			before := engineStats(s.EngineAddrs[i]).Crashes
			_, _ = newCaller("").do(http.MethodPost, "http://"+s.EngineAddrs[i]+"/admin/crash", nil, map[string]any{})
			Eventually(func() int { return crashCount(s.EngineAddrs[i]) }, 10*time.Second, 50*time.Millisecond).Should(BeNumerically(">", before))
		}
		l.waitForTurns(30, turnDeadline)
		Expect(l.finish()).To(BeEmpty())
	})
})

var _ = Describe("a graceful shutdown", func() {
	// Guards against requests that are interrupted when an entry is stopped or upgraded.
	It("interrupts none of 300 streams", func() {
		const streams = 300
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 8, Slots: 64, ColdSlots: 64,
			EngineArgs: []string{"-step-base", "10ms", "-max-batch", "64", "-step-per-request", "0s"}, DrainNotice: time.Second, DrainDeadline: 30 * time.Second})
		c, _ := grantKey(s, "acme")
		var started atomic.Int64
		var wg sync.WaitGroup
		results := make(chan error, streams)
		for i := range streams {
			wg.Go(func() {
				v := &conversation{}
				m, want := v.nextTurn(fmt.Sprintf("stream %d answer_tokens=300", i))
				var once sync.Once
				got, err := c.stream(s.EntryAddrs[0], nil, chatBody{Model: "chat", Messages: []engine.Message{m}},
					func() { once.Do(func() { started.Add(1) }) })
				if err == nil && got != want {
					err = fmt.Errorf("stream %d: wrong answer", i)
				}
				results <- err
			})
		}
		Eventually(started.Load, 20*time.Second, 10*time.Millisecond).Should(BeNumerically("==", streams))
		Expect(s.Entries[0].Stop(30*time.Second)).To(Succeed(), "exit code 0")
		wg.Wait()
		close(results)
		for err := range results {
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// crashCount returns the number of the engine's crashes, or -1 while the engine does not respond.
func crashCount(addr string) int {
	data, err := newCaller("").do(http.MethodGet, "http://"+addr+"/admin/stats", nil, nil)
	if err != nil {
		return -1
	}
	var v engineView
	if json.Unmarshal(data, &v) != nil {
		return -1
	}
	return v.Crashes
}
