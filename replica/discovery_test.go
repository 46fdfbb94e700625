package replica

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wire"
)

// discoveredNode is a member that is configured with some seeds only.
type discoveredNode struct {
	addr, dir string
	seeds     []string
	server    *wire.Server
	r         *Replica
	sm        *recordingMachine
	log       logr.Logger
}

// membershipChangeLog records when membership changes were proposed. It parses log lines.
type membershipChangeLog struct {
	mu sync.Mutex
	at map[string]time.Time // by the first word of the change's description
}

func (l *membershipChangeLog) add(_, line string) {
	_, change, ok := strings.Cut(line, `"change"="`)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	what, _, _ := strings.Cut(change, " ")
	l.at[what] = time.Now()
}

func (l *membershipChangeLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = map[string]time.Time{}
}

// sinceRemoval returns the time between the last removal and the promotion after it, and false
// if there was no such promotion.
func (l *membershipChangeLog) sinceRemoval() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed, ok := l.at["remove"]
	return l.at["promote"].Sub(removed), ok && l.at["promote"].After(removed)
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newDiscoveredNode(root string, i int) *discoveredNode {
	return &discoveredNode{addr: freeAddr(), dir: filepath.Join(root, fmt.Sprint("d", i)), log: logr.Discard()}
}

func (nd *discoveredNode) start(bootstrap bool) {
	srv, err := wire.Listen(nd.addr, nil, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	nd.server, nd.sm = srv, &recordingMachine{}
	cfg := Config{
		ID: nd.addr, DataDir: nd.dir, Server: srv, Log: nd.log,
		Groups:    map[uint32]StateMachine{testGroup: nd.sm},
		Bootstrap: bootstrap, HelloInterval: 100 * time.Millisecond, FS: noSyncFS{},
		Discovery: &Discovery{MaxVoters: 5, ReplaceAfter: 700 * time.Millisecond},
	}
	for _, s := range nd.seeds {
		cfg.Members = append(cfg.Members, settings.Member{ID: s, Address: s})
	}
	nd.r, err = Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	go srv.Serve()
}

func (nd *discoveredNode) kill() {
	if nd.r == nil {
		return
	}
	_ = nd.r.shutdown(true)
	nd.server.Close()
	nd.r = nil
}

// discoveredCluster is a set of members that discover each other.
type discoveredCluster []*discoveredNode

func (c discoveredCluster) leader() *discoveredNode {
	for _, nd := range c {
		if nd.r != nil && nd.r.IsLeader(testGroup) {
			return nd
		}
	}
	return nil
}

func (c discoveredCluster) voters() []string {
	if nd := c.leader(); nd != nil {
		return nd.r.Status()[0].Voters
	}
	return nil
}

func (c discoveredCluster) propose(cmd string) {
	Eventually(func() error {
		nd := c.leader()
		if nd == nil {
			return fmt.Errorf("no leader")
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := nd.r.Propose(ctx, testGroup, []byte(cmd))
		return err
	}, "10s", "10ms").Should(Succeed())
}

// startDiscoveredCluster starts n members one after the other and waits for five voters.
func startDiscoveredCluster(n int) discoveredCluster {
	c := newDiscoveredCluster(n)
	for i, nd := range c {
		nd.start(i == 0)
	}
	EventuallyWithOffset(1, c.voters, "8s", "20ms").Should(HaveLen(5))
	return c
}

// newDiscoveredCluster creates n members that are not started, with the first three as seeds.
func newDiscoveredCluster(n int) discoveredCluster {
	root := GinkgoT().TempDir()
	var c discoveredCluster
	for i := range n {
		c = append(c, newDiscoveredNode(root, i))
	}
	for _, nd := range c {
		nd.seeds = []string{c[0].addr, c[1].addr, c[2].addr}
	}
	DeferCleanup(func() {
		for _, nd := range c {
			nd.kill()
		}
	})
	return c
}

var _ = Describe("discovered members", func() {
	// Guards against members that do not form a cluster from three seeds, or form two.
	It("form one cluster regardless of the order in which they start", func() {
		c := newDiscoveredCluster(5)
		for _, i := range []int{4, 2, 3, 0, 1} {
			c[i].start(i == 0)
		}
		Eventually(c.voters, "8s", "20ms").Should(HaveLen(5))
		c.propose("x")
		clusters := map[uint64]bool{}
		for _, nd := range c {
			clusters[nd.r.clusterID()] = true
		}
		Expect(clusters).To(HaveLen(1))
	})

	// Guards against a replacement at another address that never becomes a voter, or becomes
	// one too late: a site must tolerate the next loss within 4 s.
	It("replace a lost voter with a member at another address", func() {
		c := startDiscoveredCluster(5)
		c.propose("x")
		lost := c[4].addr
		c[4].kill()
		fresh := newDiscoveredNode(GinkgoT().TempDir(), 9)
		fresh.seeds = c[0].seeds
		DeferCleanup(fresh.kill)
		fresh.start(false)
		all := append(discoveredCluster{fresh}, c...)
		Eventually(all.voters, "4s", "20ms").Should(And(HaveLen(5), ContainElement(fresh.addr), Not(ContainElement(lost))))
		Eventually(fresh.sm.last, "2s").Should(Equal("x"))
	})

	// Guards against a standby that becomes a voter although no voter is lost.
	It("keep members beyond the maximum number of voters as standbys", func() {
		c := startDiscoveredCluster(6)
		Consistently(func() int { return len(c.voters()) }, "1500ms", "50ms").Should(BeNumerically("<=", 5))
	})

	// Guards against loss of acknowledged commands when all members are killed and restart with
	// outdated seeds.
	It("recover acknowledged commands after all were killed", func() {
		c := startDiscoveredCluster(5)
		c.propose("kept")
		for _, nd := range c {
			nd.kill()
		}
		for _, nd := range c {
			nd.seeds = []string{freeAddr()}
			nd.start(false)
		}
		Eventually(func() string {
			nd := c.leader()
			if nd == nil {
				return ""
			}
			return nd.sm.last()
		}, "6s", "20ms").Should(Equal("kept"))
	})

	// Guards against a restart that waits 1 s in each round of hello calls for a member that
	// does not answer. A new leader must be elected within 2 s of the loss of the old one.
	It("elect a leader at once after all were killed and one does not answer", func() {
		c := startDiscoveredCluster(5)
		c.propose("kept")
		for _, nd := range c {
			nd.kill()
		}
		silent, err := net.Listen("tcp", c[4].addr) // accepts connections and never answers
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		for _, nd := range c[:4] {
			nd.start(false)
		}
		Eventually(c.leader, "1s", "10ms").ShouldNot(BeNil(), "of the 2 s for a new leader, starting the processes takes 1 s")
	})

	// Guards against a long gap between the removal of the old incarnation of a wiped member and
	// the promotion of the new one. With one voter less, the group may be unable to commit.
	It("promote the new incarnation of a wiped member within half an interval of the removal of the old one", func() {
		c := newDiscoveredCluster(5)
		changes := &membershipChangeLog{at: map[string]time.Time{}}
		for i, nd := range c {
			nd.log = funcr.New(changes.add, funcr.Options{})
			nd.start(i == 0)
		}
		Eventually(c.voters, "8s", "20ms").Should(HaveLen(5))
		shortest := time.Hour
		for range 3 { // other load on the host may delay one attempt
			changes.reset()
			i := slices.IndexFunc(c, func(nd *discoveredNode) bool { return nd != c.leader() })
			c[i].kill()
			Expect(os.RemoveAll(c[i].dir)).To(Succeed())
			c[i].start(false)
			Eventually(func() bool { _, ok := changes.sinceRemoval(); return ok }, "8s", "10ms").Should(BeTrue())
			Eventually(c.voters, "8s", "10ms").Should(HaveLen(5))
			gap, _ := changes.sinceRemoval()
			shortest = min(shortest, gap)
		}
		Expect(shortest).To(BeNumerically("<", manageInterval/2))
	})

	// Guards against a wiped member that does not become a voter again, or is treated as the
	// incarnation that had acknowledged the commands.
	It("readmit a wiped member as a new incarnation", func() {
		c := startDiscoveredCluster(5)
		c.propose("x")
		c[3].kill()
		Expect(os.RemoveAll(c[3].dir)).To(Succeed())
		c[3].start(false)
		Eventually(func() string { return c[3].sm.last() }, "4s", "20ms").Should(Equal("x"))
		Eventually(c.voters, "4s", "20ms").Should(And(HaveLen(5), ContainElement(c[3].addr)))
	})
})
