package replica

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/wal"
)

// Time limits of the requirements.
const (
	maxElectionTime = 2 * time.Second
	maxRepairTime   = 15 * time.Second
)

func (c *cluster) proposeMany(prefix string, n int) []string {
	var out []string
	for i := range n {
		cmd := fmt.Sprint(prefix, i)
		c.propose(cmd)
		out = append(out, cmd)
	}
	return out
}

func (c *cluster) expectAll(want []string, nodes ...*node) {
	for _, nd := range nodes {
		Eventually(nd.sm.all, maxRepairTime, 10*time.Millisecond).Should(ContainElements(want), nd.id)
		Expect(nd.sm.logTimeWentBack).To(BeFalse(), "log time decreased at "+nd.id)
	}
}

var _ = Describe("loss of members", func() {
	It("elects a leader within the time limit when the leader is killed (guards against lost commands and long elections)", func() {
		c := startCluster(5, nil)
		want := c.proposeMany("a", 20)
		old := c.waitLeader(maxElectionTime)
		old.kill()
		c.waitLeader(maxElectionTime)
		want = append(want, c.proposeMany("b", 20)...)
		old.start()
		c.expectAll(want, c.nodes...)
	})

	It("restarts all members with their state (guards against loss of acknowledged commands)", func() {
		c := startCluster(3, func(cfg *Config) { cfg.SnapshotEntries, cfg.RetainEntries = 10, 2 })
		want := c.proposeMany("a", 55)
		for _, nd := range c.nodes {
			nd.kill()
		}
		for _, nd := range c.nodes {
			nd.start()
		}
		c.waitLeader(maxElectionTime)
		want = append(want, c.proposeMany("b", 5)...)
		c.expectAll(want, c.nodes...)
	})

	It("readmits a member with a wiped disk as a new incarnation (guards against votes of a member that lost its log)", func() {
		c := startCluster(3, func(cfg *Config) { cfg.SnapshotEntries, cfg.RetainEntries = 10, 2 })
		want := c.proposeMany("a", 35)
		nd := c.others(c.waitLeader(maxElectionTime))[0]
		before := nd.r.incarnation().self
		nd.kill()
		nd.wipe()
		want = append(want, c.proposeMany("b", 5)...)
		nd.start()
		Expect(nd.r.incarnation().self).NotTo(Equal(before))
		c.waitVoter(nd)
		c.expectAll(want, nd)
	})

	It("joins instead of creating a second cluster when the bootstrapping member lost its disk (guards against a split cluster)", func() {
		c := startCluster(3, nil)
		want := c.proposeMany("a", 5)
		nd := c.nodes[0]
		nd.kill()
		nd.wipe()
		nd.setPartitioned(true)
		nd.start()
		Consistently(func() bool { return nd.r.IsLeader(testGroup) }, time.Second).Should(BeFalse())
		nd.setPartitioned(false)
		c.waitVoter(nd)
		c.expectAll(want, c.nodes...)
	})

	It("discards a stale directory (guards against a member that votes without entries it acknowledged)", func() {
		c := startCluster(3, nil)
		nd := c.others(c.waitLeader(maxElectionTime))[0]
		want := c.proposeMany("a", 5)
		nd.stop()
		copied := nd.dir + "-copy"
		Expect(os.CopyFS(copied, os.DirFS(nd.dir))).To(Succeed())
		nd.start()
		c.waitVoter(nd)
		before := nd.r.incarnation().self
		want = append(want, c.proposeMany("b", 20)...)
		c.expectAll(want, nd)
		nd.kill()
		nd.wipe()
		Expect(os.Rename(copied, nd.dir)).To(Succeed())
		nd.start()
		Eventually(nd.self, maxRepairTime).ShouldNot(Or(Equal(before), Equal(raft.Peer{})))
		c.waitVoter(nd)
		c.expectAll(want, nd)
	})

	It("removes unreachable voters and survives one more loss (guards against a group without a quorum after the loss of an availability zone)", func() {
		c := startCluster(5, func(cfg *Config) { cfg.VoterTimeout = time.Second })
		want := c.proposeMany("a", 5)
		leader := c.waitLeader(maxElectionTime)
		lost := c.others(leader)[:2]
		for _, nd := range lost {
			nd.kill()
		}
		c.waitVoters(3)
		leader.kill()
		c.waitLeader(maxElectionTime)
		want = append(want, c.proposeMany("b", 5)...)
		Consistently(func() int { return len(c.voters()) }, 1500*time.Millisecond).Should(BeNumerically(">=", 3))
		for _, nd := range append(lost, leader) {
			nd.start()
		}
		c.waitVoters(5)
		c.expectAll(want, c.nodes...)
	})

	It("catches a member up with a snapshot of many chunks (guards against members that cannot join a large group)", func() {
		c := startCluster(3, func(cfg *Config) { cfg.SnapshotBytes, cfg.RetainEntries = 1<<20, 2 })
		nd := c.others(c.waitLeader(maxElectionTime))[0]
		nd.kill()
		nd.wipe()
		var want []string
		for i := range 40 {
			want = append(want, fmt.Sprint(i, strings.Repeat("x", 128<<10)))
			c.propose(want[i])
		}
		nd.start()
		c.waitVoter(nd)
		Eventually(func() bool { return slices.Equal(nd.sm.all(), want) }, maxRepairTime).Should(BeTrue())
	})

	It("elects a leader on disks whose sync takes as long as the election timeout (guards against elections that never succeed)", func() {
		fs := &failingFS{}
		c := startCluster(3, func(cfg *Config) { cfg.FS = fs })
		fs.delay.Store(int64(400 * time.Millisecond))
		old := c.waitLeader(maxElectionTime)
		old.kill()
		c.waitLeader(10 * time.Second)
		fs.delay.Store(0)
		c.propose("a")
	})

	It("stops a member whose sync fails (guards against acknowledgements of entries that are not durable)", func() {
		fs := &failingFS{}
		c := startCluster(3, func(cfg *Config) {
			if cfg.ID == "m0" {
				cfg.FS = fs
			}
		})
		nd := c.nodes[0]
		fs.fail.Store(true)
		Eventually(func() bool {
			if l := c.leader(); l != nil {
				_ = l.propose("x")
			}
			select {
			case err := <-nd.r.Failed():
				return err != nil
			default:
				return false
			}
		}, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		Eventually(func() bool { return nd.r.IsLeader(testGroup) }, time.Second).Should(BeFalse())
		want := c.proposeMany("a", 5)
		c.expectAll(want, c.others(nd)...)
	})

	It("removes a member on request and does not add it again (guards against a removed member that is added again)", func() {
		c := startCluster(4, nil)
		nd := c.others(c.waitLeader(maxElectionTime))[0]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(c.nodes[0].r.RemoveMember(ctx, nd.id)).To(Succeed())
		Expect(c.voters()).To(HaveLen(3))
		Consistently(c.voters, time.Second).ShouldNot(ContainElement(nd.id))
		want := c.proposeMany("a", 3)
		c.expectAll(want, c.others(nd)...)
	})

	// Guards against a status that still lists a member whose removal has been reported. Without
	// an explicit update, the status is published only with the next tick.
	It("publishes a removal in the status before it reports the removal", func() {
		c := startCluster(1, nil)
		g := c.nodes[0].r.incarnation().groups[testGroup]
		shown, err := withCore(context.Background(), g, func(now raft.Time, core *raft.Core) int {
			g.status.Store(&raft.Status{}) // status before the removal
			Expect(g.removeStep(now, core, "gone")).To(Equal(removalState{done: true}))
			return len(g.status.Load().Config.Members)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(shown).To(Equal(1))
	})
})

func (nd *node) self() raft.Peer {
	if inc := nd.r.incarnation(); inc != nil {
		return inc.self
	}
	return raft.Peer{}
}

// failingFS delays all syncs, and fails them while fail is set.
type failingFS struct {
	noSyncFS
	fail  atomic.Bool
	delay atomic.Int64 // nanoseconds
}

func (f *failingFS) Create(path string) (wal.File, error) {
	file, err := f.noSyncFS.Create(path)
	return failingFile{File: file, fs: f}, err
}

func (f *failingFS) Append(path string) (wal.File, error) {
	file, err := f.noSyncFS.Append(path)
	return failingFile{File: file, fs: f}, err
}

type failingFile struct {
	wal.File
	fs *failingFS
}

func (f failingFile) Sync() error {
	time.Sleep(time.Duration(f.fs.delay.Load()))
	if f.fs.fail.Load() {
		return errors.New("sync failed")
	}
	return f.File.Sync()
}

func (c *cluster) waitVoter(nd *node) {
	Eventually(func() bool {
		l := c.leader()
		if l == nil || nd.r.incarnation() == nil {
			return false
		}
		return l.r.incarnation().groups[testGroup].status.Load().Config.IsVoter(nd.r.incarnation().self)
	}, maxRepairTime, 10*time.Millisecond).Should(BeTrue())
}

var _ = Describe("a partitioned or suspended leader", func() {
	DescribeTable("never serves a stale read and never commits", func(begin, end func(nd *node)) {
		c := startCluster(5, nil)
		want := c.proposeMany("a", 5)
		old := c.waitLeader(maxElectionTime)
		begin(old)
		lost := make(chan error, 1)
		go func() { lost <- old.propose("lost") }()
		var successor *node
		Eventually(func() bool {
			for _, nd := range c.others(old) {
				if nd.r.IsLeader(testGroup) {
					successor = nd
				}
			}
			return successor != nil
		}, maxElectionTime, 5*time.Millisecond).Should(BeTrue())
		Expect(old.r.IsLeader(testGroup)).To(BeFalse(), "two leases at the same time")
		Expect(successor.propose("b0")).To(Succeed())
		_, term := successor.r.Leader(testGroup)
		if v, err := old.read(); err == nil {
			Expect(v).To(Equal("b0"), "stale read")
		}
		end(old)
		Eventually(lost, 5*time.Second).Should(Receive(Or(
			WithTransform(isCode(errs.Uncertain), BeTrue()), WithTransform(isCode(errs.NotLeader), BeTrue()))))
		c.expectAll(append(want, "b0"), c.nodes...)
		Consistently(func() uint64 { _, t := successor.r.Leader(testGroup); return t }, time.Second).
			Should(Equal(term), "the returning member forced another election")
		Expect(successor.sm.all()).NotTo(ContainElement("lost"))
	},
		Entry("partitioned", func(nd *node) { nd.setPartitioned(true) }, func(nd *node) { nd.setPartitioned(false) }),
		Entry("suspended", suspend, func(*node) { time.Sleep(suspendDuration) }),
	)

	It("a follower that was partitioned does not force an election when it returns (guards against needless elections)", func() {
		c := startCluster(3, nil)
		leader := c.waitLeader(maxElectionTime)
		_, term := leader.r.Leader(testGroup)
		nd := c.others(leader)[0]
		nd.setPartitioned(true)
		want := c.proposeMany("a", 5)
		time.Sleep(2 * time.Second)
		nd.setPartitioned(false)
		c.expectAll(want, nd)
		now, t := leader.r.Leader(testGroup)
		Expect(now).To(Equal(leader.id))
		Expect(t).To(Equal(term))
	})
})

const suspendDuration = 3 * time.Second

func suspend(nd *node) { suspendFor(nd, suspendDuration) }

// suspendFor blocks the goroutine of the group, as if the process was suspended.
func suspendFor(nd *node, d time.Duration) {
	g := nd.r.incarnation().groups[testGroup]
	g.addInput(func(in *inbox) {
		in.calls = append(in.calls, func(raft.Time, *raft.Core) { time.Sleep(d) })
	})
}

func isCode(code errs.Code) func(error) bool {
	return func(err error) bool { return errs.Is(err, code) }
}
