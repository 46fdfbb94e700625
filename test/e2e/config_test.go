package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
)

// modelsStatus requests the list of models from an entry and returns the HTTP status and error code.
// The status is 0 if there was no response in figlb's format.
func modelsStatus(c *caller, entry string) (int, errs.Code) {
	_, err := c.do(http.MethodGet, "http://"+entry+"/v1/models", nil, nil)
	if err == nil {
		return http.StatusOK, ""
	}
	var api *apiError
	if errors.As(err, &api) {
		return api.Status, api.Code
	}
	return 0, ""
}

// applyOrganisations applies the site's declaration with additional organisations and returns the
// error of figlbctl.
func applyOrganisations(s *testsite.Site, from int, name, organisations string) error {
	base, overlay := s.Declaration()
	dir := GinkgoT().TempDir()
	b, o := filepath.Join(dir, name+"-base.ini"), filepath.Join(dir, name+"-overlay.ini")
	if err := os.WriteFile(b, []byte(base+organisations), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(o, []byte(overlay), 0o600); err != nil {
		return err
	}
	_, err := s.Ctl("apply", "-base", b, "-overlay", o, "-from", fmt.Sprint(from), "-author", name)
	return err
}

var _ = Describe("configuration", func() {
	const entries = 8

	// Guards against an accepted change that an entry does not apply, or reverts, when the leader
	// that accepted it is partitioned and entries restart.
	It("takes effect on all entries within 4 s and never reverts, even if its leader is partitioned", func() {
		s := startSite(testsite.Options{Members: 5, Entries: entries, Engines: 1, Relays: true})
		waitForVoters(s, 5, 20*time.Second)
		for round := range 3 {
			key, _, err := s.GrantKey("acme")
			Expect(err).NotTo(HaveOccurred())
			accepted := time.Now()
			leader := leaderOf(s, 0)
			s.CutMember(leader, true)
			s.Entries[round].Kill()
			Expect(s.Entries[round].Start()).To(Succeed())
			c := newCaller(key)
			// Until propagationTimeout has passed, an entry may not know the key yet. After that,
			// each entry accepts it or answers that it cannot confirm its configuration.
			time.Sleep(time.Until(accepted.Add(propagationTimeout)))
			for range 20 {
				for _, addr := range s.EntryAddrs {
					status, code := modelsStatus(c, addr)
					ok := status == http.StatusOK || status == 0 || code == errs.ConfigUnconfirmed
					Expect(ok).To(BeTrue(), "entry %s answers %d %s", addr, status, code)
				}
				time.Sleep(50 * time.Millisecond)
			}
			Eventually(func() int { return countServingEntries(c, s) }, 10*time.Second, 50*time.Millisecond).Should(Equal(entries))
			s.CutMember(leader, false)
		}
	})

	// Guards against an entry that accepts revoked keys while it cannot learn of the revocation.
	It("is not taken from an outdated copy by an entry that is partitioned or was frozen", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 1, Relays: true})
		c, id := grantKey(s, "acme")
		s.CutEntry(0, true)
		s.Entries[1].Suspend()
		_, err := s.Ctl("key", "revoke", id)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(propagationTimeout)
		status, code := modelsStatus(c, s.EntryAddrs[0])
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(code).To(Equal(errs.ConfigUnconfirmed))
		resp, err := http.Get("http://" + s.EntryAdmin[0] + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))

		s.Entries[1].Resume()
		for range 50 {
			status, _ = modelsStatus(c, s.EntryAddrs[1])
			Expect(status).NotTo(Equal(http.StatusOK))
			time.Sleep(10 * time.Millisecond)
		}
		s.CutEntry(0, false)
		Eventually(func() errs.Code { _, code := modelsStatus(c, s.EntryAddrs[0]); return code }, 10*time.Second, 50*time.Millisecond).
			Should(Equal(errs.KeyRevoked))
	})

	// Guards against operators overwriting each other's changes, and against a resent request being
	// applied twice.
	It("accepts one of several concurrent changes to the same revision and applies a resent request once", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 1, Engines: 1})
		var wg sync.WaitGroup
		results := make([]error, 4)
		for i := range results {
			wg.Go(func() {
				results[i] = applyOrganisations(s, 1, fmt.Sprintf("operator-%d", i), fmt.Sprintf("\n[organisation o%d]\nrate = 1/s\nburst = 1\n", i))
			})
		}
		wg.Wait()
		winners := 0
		for _, err := range results {
			if err == nil {
				winners++
				continue
			}
			Expect(err).To(MatchError(And(ContainSubstring("exit status 3"), ContainSubstring("revision"))))
		}
		Expect(winners).To(Equal(1))
		first, err := s.Ctl("drain", "zone", "zone-a", "-request-id", "once")
		Expect(err).NotTo(HaveOccurred())
		again, err := s.Ctl("drain", "zone", "zone-a", "-request-id", "once")
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
	})

	It("keeps its history over 150 changes and a restart of all members, which takes less than 3 s", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 1, Engines: 1})
		for i := range 150 {
			verb := []string{"drain", "return"}[i%2]
			_, err := s.Ctl(verb, "zone", "zone-a")
			Expect(err).NotTo(HaveOccurred())
		}
		before, err := s.Ctl("history", "-output", "json")
		Expect(err).NotTo(HaveOccurred())
		for _, m := range s.Members {
			m.Kill()
		}
		started := time.Now()
		for _, m := range s.Members {
			Expect(m.Start()).To(Succeed())
		}
		after, err := s.Ctl("history", "-output", "json")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second), "1 s for the restart and 2 s for the election")
		Expect(after).To(Equal(before))
	})

	It("is restored from a snapshot into a new site", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 1, Engines: 1})
		key, _, err := s.GrantKey("acme")
		Expect(err).NotTo(HaveOccurred())
		c := newCaller(key)
		Expect(s.WaitKey(key, propagationTimeout)).To(Succeed())
		id, err := c.openProgram(s.EntryAddrs[0], map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		v := &conversation{program: id}
		Expect(v.runTurn(c, randomEntry(s.EntryAddrs, 1), "before", time.Now().Add(turnDeadline))).To(Succeed())
		file := filepath.Join(GinkgoT().TempDir(), "site.snap")
		_, err = s.Ctl("snapshot", "save", file)
		Expect(err).NotTo(HaveOccurred())

		s.Members[0].Kill()
		Expect(s.WipeMember(0)).To(Succeed())
		Expect(s.Members[0].Start("-bootstrap")).To(Succeed())
		Expect(testsite.Within(10*time.Second, func() error { _, err := s.Ctl("snapshot", "load", file); return err })).To(Succeed())
		Expect(testsite.Within(10*time.Second, func() error {
			if status, code := modelsStatus(c, s.EntryAddrs[0]); status != http.StatusOK {
				return errors.Errorf("%d %s", status, code)
			}
			return nil
		})).To(Succeed())
		Expect(v.runTurn(c, randomEntry(s.EntryAddrs, 1), "after", time.Now().Add(turnDeadline))).To(Succeed())
	})
})

// countServingEntries returns the number of entries that accept the caller's key.
func countServingEntries(c *caller, s *testsite.Site) int {
	n := 0
	for _, addr := range s.EntryAddrs {
		if status, _ := modelsStatus(c, addr); status == http.StatusOK {
			n++
		}
	}
	return n
}

var _ = Describe("keys", func() {
	// Guards against a revoked key that continues to work on open connections.
	It("stop working on all entries within 4 s of revocation, also for open connections and streams", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 8, Engines: 2, EngineArgs: []string{"-step-base", "20ms"}})
		c, id := grantKey(s, "acme")
		stream := make(chan error, 1)
		started := make(chan struct{})
		var once sync.Once
		go func() {
			m := engine.TextMessage("user", "long answer_tokens=2000")
			_, err := c.stream(s.EntryAddrs[0], nil, chatBody{Model: "chat", Messages: []engine.Message{m}, MaxTokens: 2000},
				func() { once.Do(func() { close(started) }) })
			stream <- err
		}()
		Eventually(started, 10*time.Second).Should(BeClosed())
		_, err := s.Ctl("key", "revoke", id)
		Expect(err).NotTo(HaveOccurred())
		revoked := time.Now()
		Eventually(func() int { return countServingEntries(c, s) }, time.Until(revoked.Add(propagationTimeout)), 20*time.Millisecond).Should(BeZero())
		Eventually(stream, time.Until(revoked.Add(propagationTimeout))).Should(Receive(HaveField("Code", errs.KeyRevoked)))
	})

	// Guards against a caller's credentials leaking to a target or into a log.
	It("reach no target and appear in no log", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 2, Engines: 1, Orders: 1, EntryExtra: "[log]\nlevel = debug"})
		c, _ := grantKey(s, "acme")
		for _, addr := range append(append([]string{}, s.EngineAddrs...), s.OrderAddrs...) {
			_, err := c.do(http.MethodPost, "http://"+addr+"/admin/watch", nil, map[string]any{"texts": []string{c.key, "secret-cookie"}})
			Expect(err).NotTo(HaveOccurred())
		}
		hidden := map[string]string{"Cookie": "a=secret-cookie", "X-Api-Key": c.key, "Proxy-Authorization": "Basic secret-cookie"}
		m := engine.TextMessage("user", "hello")
		_, err := c.chat(s.EntryAddrs[0], hidden, chatBody{Model: "chat", Messages: []engine.Message{m}})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.do(http.MethodPost, "http://"+s.EntryAddrs[1]+"/orders", hidden, map[string]any{"ref": "a"})
		Expect(err).NotTo(HaveOccurred())
		for _, addr := range []string{s.EngineAddrs[0], s.OrderAddrs[0]} {
			stats, err := newCaller("").do(http.MethodGet, "http://"+addr+"/admin/stats", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.ToLower(string(stats))).NotTo(Or(ContainSubstring(`"cookie"`), ContainSubstring(`"authorization"`), ContainSubstring(`"x-api-key"`)))
			Expect(string(stats)).NotTo(ContainSubstring(c.key))
		}
		for _, p := range append(append([]*testsite.Process{}, s.Entries...), s.Members...) {
			Expect(p.Stderr()).NotTo(ContainSubstring(c.key))
		}
	})
})
