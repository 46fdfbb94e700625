package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

func TestFiglbState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "figlb-state")
}

// member is a state member that runs in the test process.
type member struct {
	stop context.CancelFunc
	done chan error
}

// startMembers starts a new site with n members and returns the members and their
// addresses. The first member bootstraps the site.
func startMembers(n int) ([]*member, []string) {
	addrs, err := testsite.FreeAddrs(2 * n)
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("s%d=%s", i, addrs[i]))
	}
	var out []*member
	for i := range n {
		path := filepath.Join(dir, fmt.Sprintf("s%d.ini", i))
		text := fmt.Sprintf("[state]\nid = s%d\nzone = a\nlisten = %s\nadmin = %s\ndata = %s\nmembers = %s\ngroups = 2\n[log]\nlevel = error\n",
			i, addrs[i], addrs[n+i], filepath.Join(dir, fmt.Sprint("data", i)), strings.Join(list, ","))
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		file, err := settings.LoadState(path)
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		m := &member{stop: stop, done: make(chan error, 1)}
		go func() { m.done <- run(ctx, file, i == 0) }()
		DeferCleanup(stop)
		out = append(out, m)
	}
	return out, addrs[:n]
}

func connect(addrs []string) (*stateclient.Client, context.Context) {
	client, err := stateclient.New(addrs, 2, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	DeferCleanup(cancel)
	return client, ctx
}

var limits = structs.Limits{Revision: 1, Rate: 1e6, Burst: 1e6, BudgetTokens: 10}

var _ = Describe("figlb-state", func() {
	// Guards against a member that does not serve after its start or does not stop on SIGTERM,
	// which ends the context.
	It("serves until its context ends", func() {
		members, addrs := startMembers(1)
		client, ctx := connect(addrs)
		p, err := client.OpenProgram(ctx, "acme", structs.OpenProgram{ID: "p", Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Budget).To(BeEquivalentTo(10))
		members[0].stop()
		Eventually(members[0].done, 10*time.Second).Should(Receive(BeNil()))
	})

	// Guards against calls that fail, or are refused as duplicates, because a member stops and
	// the client retries them with a new leader.
	It("begins each call exactly once while a member stops", func() {
		members, addrs := startMembers(3)
		client, ctx := connect(addrs)
		voters := func() int {
			up, _ := client.Members(ctx)
			n := 0
			for _, m := range up {
				for _, g := range m.Groups {
					n = max(n, len(g.Voters))
				}
			}
			return n
		}
		Eventually(voters, "30s", "100ms").Should(Equal(3))
		var stopped atomic.Bool
		var calls, longest atomic.Int64
		var wg sync.WaitGroup
		failures := make(chan error, 100)
		for w := range 6 {
			wg.Go(func() {
				for n := 0; !stopped.Load(); n++ {
					start := time.Now()
					r, err := client.BeginCall(ctx, "acme", structs.BeginCall{Key: fmt.Sprint(w, "/", n), Entry: "e", Limits: limits})
					if err != nil || !r.Begun {
						failures <- errors.Errorf("call %d of worker %d: %+v %v", n, w, r, err)
						return
					}
					calls.Add(1)
					longest.Store(max(longest.Load(), int64(time.Since(start))))
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		members[0].stop()
		Eventually(members[0].done, 10*time.Second).Should(Receive(BeNil()))
		time.Sleep(3 * time.Second)
		stopped.Store(true)
		wg.Wait()
		Expect(failures).NotTo(Receive())
		Expect(time.Duration(longest.Load())).To(BeNumerically("<", 3*time.Second), "up to 2 s for the election of a new leader, plus one attempt")
		GinkgoWriter.Println(calls.Load(), "calls, longest", time.Duration(longest.Load()))
	})
})
