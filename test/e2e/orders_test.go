package e2e_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
)

type ordersView struct {
	StaleOrders int `json:"stale_orders"`
	Orders      []struct {
		ID      string
		Value   string
		Fencing uint64
	}
}

func engineOrders(addr string) ordersView {
	GinkgoHelper()
	data, err := newCaller("").do("GET", "http://"+addr+"/admin/stats", nil, nil)
	Expect(err).NotTo(HaveOccurred())
	var v ordersView
	Expect(json.Unmarshal(data, &v)).To(Succeed())
	return v
}

var _ = Describe("orders to engines", func() {
	// Guards against a frozen issuer that continues to issue orders after another one has taken
	// over. These engines ignore fencing numbers, so only the new issuer's wait protects them.
	It("come from one issuer at a time, even when a frozen issuer resumes", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 1, Engines: 2})
		waitForVoters(s, 3, 20*time.Second)
		submit := func(n int) {
			for t := 1; t <= 2; t++ {
				Expect(testsite.Within(10*time.Second, func() error {
					_, err := s.Ctl("order", "submit", fmt.Sprintf("engine-%d", t), "load_adapter", fmt.Sprintf("v%d", n))
					return err
				})).To(Succeed())
			}
		}
		lastValue := func(addr string) string {
			v := engineOrders(addr)
			if len(v.Orders) == 0 {
				return ""
			}
			return v.Orders[len(v.Orders)-1].Value
		}
		submit(1)
		Eventually(func() string { return lastValue(s.EngineAddrs[0]) }, 15*time.Second, 50*time.Millisecond).Should(Equal("v1"))
		for n := 2; n <= 3; n++ {
			leader := leaderOf(s, 0)
			submit(n)
			s.Members[leader].Suspend()
			submit(10 * n)
			for _, addr := range s.EngineAddrs {
				Eventually(func() string { return lastValue(addr) }, 25*time.Second, 50*time.Millisecond).Should(Equal(fmt.Sprintf("v%d", 10*n)))
			}
			s.Members[leader].Resume()
			waitForVoters(s, 3, 20*time.Second)
		}
		time.Sleep(3 * time.Second)
		for _, addr := range s.EngineAddrs {
			v := engineOrders(addr)
			Expect(v.StaleOrders).To(BeZero())
			for i := 1; i < len(v.Orders); i++ {
				Expect(v.Orders[i].Fencing).To(BeNumerically(">=", v.Orders[i-1].Fencing))
			}
		}
	})
})

var _ = Describe("mutual TLS between the processes", func() {
	It("protects the request path and refuses peers without a certificate of the site", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 1, TLS: true})
		c, _ := grantKey(s, "acme")
		v := &conversation{}
		m, want := v.nextTurn("over TLS")
		got, err := c.chat(s.EntryAddrs[0], nil, chatBody{Model: "chat", Messages: []engine.Message{m}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))

		ctl := exec.Command(filepath.Join(bin, "figlbctl"), "status", "-timeout", "2s", "-state", strings.Join(s.MemberAddrs, ","))
		out, err := ctl.CombinedOutput()
		Expect(err).To(HaveOccurred(), string(out))
	})
})

var _ = Describe("the command line", func() {
	// Guards against a faulty declaration that is applied in part, and against one fault that hides
	// another in the error message.
	It("rejects a faulty declaration as a whole, reports all faults and keeps the current declaration", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 1, Engines: 1})
		dir := GinkgoT().TempDir()
		bad := filepath.Join(dir, "bad.ini")
		base, overlay := s.Declaration()
		Expect(os.WriteFile(filepath.Join(dir, "base.ini"), []byte(base), 0o600)).To(Succeed())
		Expect(os.WriteFile(bad, []byte(overlay+"[zone zone-d]\ncolour = red\n[host h9]\nzone = nowhere\n"), 0o600)).To(Succeed())
		before, err := s.Ctl("get", "-output", "json")
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Ctl("apply", "-base", filepath.Join(dir, "base.ini"), "-overlay", bad, "-from", "1")
		Expect(err).To(MatchError(And(ContainSubstring("exit status 4"), ContainSubstring("colour"), ContainSubstring("nowhere"))))
		after, err := s.Ctl("get", "-output", "json")
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
	})
})
