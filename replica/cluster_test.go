package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wal"
	"github.com/figlb/figlb/wire"
)

// recordingMachine is a state machine whose state is the list of applied commands.
type recordingMachine struct {
	mu              sync.Mutex
	state           recordedState
	logTimeWentBack bool // the log time of a command was lower than that of the previous one
}

type recordedState struct {
	Cmds  []string
	Stamp time.Duration
}

func (s *recordingMachine) Apply(_ uint64, logTime time.Duration, cmd []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logTimeWentBack = s.logTimeWentBack || logTime < s.state.Stamp
	s.state.Stamp = logTime
	s.state.Cmds = append(s.state.Cmds, string(cmd))
	return cmd
}

func (s *recordingMachine) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.state)
}

func (s *recordingMachine) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = recordedState{}
	return json.Unmarshal(data, &s.state)
}

func (s *recordingMachine) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.state.Cmds...)
}

func (s *recordingMachine) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.state.Cmds) == 0 {
		return ""
	}
	return s.state.Cmds[len(s.state.Cmds)-1]
}

// node is one member of a test cluster.
type node struct {
	c      *cluster
	id     string
	dir    string
	links  map[string]*relay // to the other members, by id
	server *wire.Server

	mu sync.Mutex // guards r and sm in tests whose clients run during restarts
	r  *Replica
	sm *recordingMachine
}

// current returns the running replica, nil if there is none, and its state machine.
func (nd *node) current() (*Replica, *recordingMachine) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.r, nd.sm
}

func (nd *node) set(r *Replica, sm *recordingMachine) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.r, nd.sm = r, sm
}

// cluster is a set of members in this process, connected through relays.
type cluster struct {
	nodes     []*node
	configure func(*Config)
	log       logr.Logger
}

const testGroup = 1

// noSyncFS is a file system without syncs, which take up to half a second while other programs
// write to the disk. What node.kill loses does not depend on syncs; the tests of package wal
// cover them.
type noSyncFS struct{ wal.OS }

type noSyncFile struct{ wal.File }

func (noSyncFile) Sync() error { return nil }

func (fs noSyncFS) Create(path string) (wal.File, error) {
	f, err := fs.OS.Create(path)
	return noSyncFile{f}, err
}

func (fs noSyncFS) Append(path string) (wal.File, error) {
	f, err := fs.OS.Append(path)
	return noSyncFile{f}, err
}

func (noSyncFS) SyncDir(string) error { return nil }

// newCluster creates n members that are not started. configure, if not nil, changes the
// configuration of each member before it starts.
func newCluster(n int, configure func(*Config)) *cluster {
	c := &cluster{configure: configure, log: logr.Discard()}
	if os.Getenv("FIGLB_TEST_LOG") != "" {
		c.log = funcr.New(func(p, a string) { fmt.Fprintln(GinkgoWriter, time.Now().Format("05.000"), p, a) }, funcr.Options{})
	}
	root := GinkgoT().TempDir()
	for i := range n {
		id := fmt.Sprintf("m%d", i)
		c.nodes = append(c.nodes, &node{c: c, id: id, dir: filepath.Join(root, id), links: map[string]*relay{}})
	}
	for _, from := range c.nodes {
		for _, to := range c.nodes {
			if from != to {
				from.links[to.id] = newRelay()
			}
		}
	}
	DeferCleanup(c.close)
	return c
}

// startCluster creates and starts n members and waits until all are voters.
func startCluster(n int, configure func(*Config)) *cluster {
	c := newCluster(n, configure)
	for _, nd := range c.nodes {
		nd.start()
	}
	c.waitVoters(n)
	return c
}

func (c *cluster) close() {
	for _, nd := range c.nodes {
		nd.stop()
		for _, l := range nd.links {
			l.close()
		}
	}
}

func (nd *node) start() {
	srv, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	for _, other := range nd.c.nodes {
		if l := other.links[nd.id]; l != nil {
			l.setTarget(srv.Addr())
		}
	}
	sm := &recordingMachine{}
	cfg := Config{
		ID: nd.id, DataDir: nd.dir, Server: srv, Log: nd.c.log.WithName(nd.id),
		Groups:    map[uint32]StateMachine{testGroup: sm},
		Bootstrap: nd.id == "m0", HelloInterval: 100 * time.Millisecond, FS: noSyncFS{},
	}
	for _, other := range nd.c.nodes {
		m := settings.Member{ID: other.id, Address: srv.Addr()}
		if l := nd.links[other.id]; l != nil {
			m.Address = l.addr()
		}
		cfg.Members = append(cfg.Members, m)
	}
	if nd.c.configure != nil {
		nd.c.configure(&cfg)
	}
	r, err := Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	nd.server = srv
	nd.set(r, sm)
	go srv.Serve()
}

// stop closes a member, if it runs.
func (nd *node) stop() {
	if nd.r != nil {
		_ = nd.r.Close()
		nd.server.Close()
		nd.set(nil, nd.sm)
	}
}

// kill stops a member without writing queued log records.
func (nd *node) kill() {
	_ = nd.r.shutdown(true)
	nd.server.Close()
	nd.set(nil, nd.sm)
}

func (nd *node) wipe() { Expect(os.RemoveAll(nd.dir)).To(Succeed()) }

// setPartitioned drops all traffic between a member and the others, or ends this. Connections
// stay open meanwhile.
func (nd *node) setPartitioned(v bool) {
	for _, l := range nd.links {
		l.setPartitioned(v)
	}
	for _, other := range nd.c.nodes {
		if l := other.links[nd.id]; l != nil {
			l.setPartitioned(v)
		}
	}
}

// leader returns the running member that leads under a lease, nil if there is none.
func (c *cluster) leader() *node {
	for _, nd := range c.nodes {
		if nd.r != nil && nd.r.IsLeader(testGroup) {
			return nd
		}
	}
	return nil
}

func (c *cluster) waitLeader(within time.Duration) *node {
	var nd *node
	Eventually(func() *node { nd = c.leader(); return nd }, within, 5*time.Millisecond).ShouldNot(BeNil())
	return nd
}

// voters returns the ids of the voters in the leader's status.
func (c *cluster) voters() []string {
	nd := c.leader()
	if nd == nil {
		return nil
	}
	return nd.r.Status()[0].Voters
}

func (c *cluster) waitVoters(n int) {
	Eventually(c.voters, 15*time.Second, 10*time.Millisecond).Should(HaveLen(n))
}

// propose sends a command to the current leader and retries until it is known to be
// committed. The command may be committed more than once.
func (c *cluster) propose(cmd string) {
	Eventually(func() error {
		nd := c.leader()
		if nd == nil {
			return errs.New(errs.NotLeader, "wait", "no leader")
		}
		return nd.propose(cmd)
	}, 10*time.Second, 5*time.Millisecond).Should(Succeed())
}

func (nd *node) propose(cmd string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := nd.r.Propose(ctx, testGroup, []byte(cmd))
	return err
}

func (nd *node) read() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := nd.r.ReadIndex(ctx, testGroup); err != nil {
		return "", err
	}
	return nd.sm.last(), nil
}

func (c *cluster) others(not *node) []*node {
	var out []*node
	for _, nd := range c.nodes {
		if nd != not {
			out = append(out, nd)
		}
	}
	return out
}
