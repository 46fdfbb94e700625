package bodystore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

var errUnreachable = errors.New("unreachable")

// testLedger knows the bodies in known, or all bodies if it is nil.
type testLedger struct {
	mu     sync.Mutex
	known  map[string]bool
	silent bool
}

func (l *testLedger) set(silent bool, known map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.known = map[string]bool{}
	for key := range known {
		l.known[key] = true
	}
}

func (l *testLedger) KnownBodies(_ context.Context, req *fleet.KnownRequest) (*fleet.KnownReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		return nil, errUnreachable
	}
	reply := &fleet.KnownReply{}
	for _, key := range req.Keys {
		reply.Known = append(reply.Known, l.known == nil || l.known[key])
	}
	return reply, nil
}

// node is a store of a cluster; store is nil while it is down.
type node struct {
	name, dir string
	disk      *testDisk
	store     *Store
	cancel    context.CancelFunc
	received  time.Time // until when its network is busy
}

// cluster is a set of stores in simulated time. Its view follows at once, and the stores get it with a poll
// every 0.5 s.
type cluster struct {
	t      *testing.T
	g      Gomega
	mu     sync.Mutex
	nodes  []*node
	retire map[string]bool
	jitter time.Duration // further latency at most
	sent   int64         // bytes of bodies sent between stores
}

const (
	testLatency   = time.Millisecond
	testBandwidth = 75e6 // bytes/s, 600 Mbit/s
	testCopies    = 3
	testZones     = 4
)

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, g: NewWithT(t), retire: map[string]bool{}}
	for i := range n {
		nd := &node{name: fmt.Sprint("store-", i)}
		c.nodes = append(c.nodes, nd)
		c.start(nd)
	}
	c.poll()
	return c
}

// start starts a node with an empty folder.
func (c *cluster) start(nd *node) {
	nd.dir, nd.disk = filepath.Join(c.t.TempDir(), "store"), newTestDisk(c.t.TempDir())
	nd.disk.syncDelay = 2 * time.Millisecond
	s, err := Open(Options{Dir: nd.dir, Name: nd.name, DiskBytes: 260 << 20, FS: nd.disk, Now: sinceStart()})
	c.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	nd.store, nd.cancel = s, cancel
	c.mu.Unlock()
	go s.Run(ctx, c, &testLedger{})
}

// stop stops a node and removes its folder.
func (c *cluster) stop(nd *node) {
	c.mu.Lock()
	s := nd.store
	nd.store = nil
	c.mu.Unlock()
	nd.cancel()
	s.Close()
	c.g.Expect(os.RemoveAll(nd.dir)).To(Succeed())
}

func (c *cluster) stopAll() {
	for _, nd := range c.nodes {
		if nd.store != nil {
			c.stop(nd)
		}
	}
}

// view returns the view of the running nodes.
func (c *cluster) view() *fleet.StoreView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &fleet.StoreView{Copies: testCopies, Revision: uint64(time.Now().UnixNano())}
	for i, nd := range c.nodes {
		if nd.store == nil {
			continue
		}
		r := nd.store.Report(nd.name)
		v.Stores = append(v.Stores, fleet.Store{
			Name: nd.name, Address: nd.name, Zone: fmt.Sprint("z", i%testZones), Incarnation: r.Incarnation, DiskMB: r.DiskMB,
			Writable: r.Writable, Retiring: c.retire[nd.name],
		})
	}
	return v
}

// poll gives all nodes the view.
func (c *cluster) poll() {
	v := c.view()
	for _, nd := range c.nodes {
		if nd.store != nil {
			nd.store.SetView(v)
		}
	}
}

// run lets time pass with polls.
func (c *cluster) run(d time.Duration) {
	for range d / (500 * time.Millisecond) {
		time.Sleep(500 * time.Millisecond)
		c.poll()
	}
}

// reach returns the store at an address after the latency and the time that its network needs.
func (c *cluster) reach(address string, bytes int) (*Store, error) {
	c.mu.Lock()
	var s *Store
	var busy time.Duration
	for _, nd := range c.nodes {
		if nd.name == address {
			s = nd.store
			if now := time.Now(); nd.received.Before(now) {
				nd.received = now
			}
			nd.received = nd.received.Add(time.Duration(bytes) * time.Second / testBandwidth)
			busy = time.Until(nd.received)
		}
	}
	c.mu.Unlock()
	time.Sleep(2*testLatency + busy + rand.N(c.jitter+1))
	if s == nil {
		return nil, errUnreachable
	}
	return s, nil
}

func (c *cluster) Offer(_ context.Context, address string, o *fleet.BodyOffer) (*fleet.BodyOfferReply, error) {
	s, err := c.reach(address, 60*len(o.Keys))
	if err != nil {
		return nil, err
	}
	reply := s.Offer(o)
	time.Sleep(rand.N(c.jitter + 1))
	return reply, nil
}

func (c *cluster) Send(ctx context.Context, address string, b *fleet.BodyPut) (*fleet.BodyPutReply, error) {
	s, err := c.reach(address, len(b.Input)+len(b.Output))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.sent += int64(len(b.Input) + len(b.Output))
	c.mu.Unlock()
	return s.Put(ctx, b)
}

// store stores a body as a gateway does: at the first places that take it.
func (c *cluster) store(v *fleet.StoreView, b *fleet.BodyPut) {
	copies := 0
	for _, place := range fleet.Writers(fleet.PlaceBody(b.Key, v)) {
		if copies == testCopies {
			break
		}
		if s, err := c.reach(place.Address, 0); err == nil && put(s, b) == nil {
			copies++
		}
	}
	c.g.Expect(copies).To(Equal(testCopies))
}

// holders returns how many running stores hold a body.
func (c *cluster) holders(b *fleet.BodyPut) int {
	n := 0
	for _, nd := range c.nodes {
		if nd.store != nil {
			nd.store.mu.Lock()
			if nd.store.index[b.Key] != nil {
				n++
			}
			nd.store.mu.Unlock()
		}
	}
	return n
}

// leastHolders returns the number of copies of the body with the fewest.
func (c *cluster) leastHolders(bodies []*fleet.BodyPut) int {
	least := len(c.nodes)
	for _, b := range bodies {
		least = min(least, c.holders(b))
	}
	return least
}

// fill stores bodies and keeps only their keys.
func (c *cluster) fill(first, n, size int) []*fleet.BodyPut {
	var out []*fleet.BodyPut
	v := c.view()
	for i := first; i < first+n; i++ {
		b := testBody(i, size)
		c.store(v, b)
		out = append(out, &fleet.BodyPut{Key: b.Key})
	}
	return out
}

// Guards against a loss of two hosts right after an acknowledgement, of the next two after the promised 6 s,
// and against a repair that is slow, sends bodies more often than needed, or loads them all into memory.
func TestRepairWithinSixSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		defer c.stopAll()
		bodies := c.fill(0, 440, 330<<10) // 60 MB on each store
		c.run(2 * time.Second)
		for _, pair := range [][2]int{{0, 1}, {2, 3}, {4, 5}, {6, 7}} {
			bodies = append(bodies, c.fill(len(bodies), 1, 330<<10)...)
			c.sent = 0
			var used int64
			for _, i := range pair {
				used += int64(c.nodes[i].store.Report("").UsedMB) << 20
				c.stop(c.nodes[i])
				c.start(c.nodes[i])
			}
			c.g.Expect(c.leastHolders(bodies)).To(BeNumerically(">=", 1))
			c.run(6 * time.Second)
			c.g.Expect(c.leastHolders(bodies)).To(BeNumerically(">=", testCopies))
			c.g.Expect(c.sent).To(BeNumerically("<", used*5/4))
		}
	})
}

// Guards against a retirement that reports its end before every body has its copies elsewhere, or that never
// ends, and against bodies accepted after it.
func TestRetirement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stopAll()
		old := c.view()
		bodies := c.fill(0, 300, 20<<10)
		retired := c.nodes[2]
		c.mu.Lock()
		c.retire[retired.name] = true
		c.mu.Unlock()
		bodies = append(bodies, c.fill(300, 20, 20<<10)...)
		marked := c.view()
		retired.store.SetView(marked)
		c.g.Expect(put(retired.store, testBody(1000, 100))).NotTo(Succeed())
		c.g.Expect(retired.store.Report("").Remaining).To(Equal(retired.store.Report("").Bodies), "nothing is confirmed by the new view yet")
		for i := 320; i < 330; i++ { // a gateway with the old view
			b := testBody(i, 20<<10)
			c.store(old, b)
			bodies = append(bodies, b)
		}
		start := time.Now()
		for r := retired.store.Report(""); r.Remaining > 0; r = retired.store.Report("") {
			c.g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
			c.run(500 * time.Millisecond)
		}
		for _, nd := range []*node{retired, c.nodes[0], c.nodes[4]} {
			c.stop(nd)
		}
		c.g.Expect(c.leastHolders(bodies)).To(BeNumerically(">=", 1))
	})
}

// Guards against copies that stores drop because of each other while they have different views: a body never
// has fewer copies than the view asks for, whatever comes and goes, in whatever order stores learn of it, and
// if they return to an earlier view.
func TestChangingViewsKeepCopies(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			c := newCluster(t, 7)
			defer c.stopAll()
			bodies := c.fill(0, 60, 1000)
			full := c.view()
			c.jitter = 150 * time.Millisecond
			views := []*fleet.StoreView{full, full}
			for step := range 100 {
				if step%4 == 0 {
					v := *full
					v.Stores = nil
					for _, s := range full.Stores {
						s.DiskMB = 100 + rng.IntN(900) // changes the order of places
						s.Writable = rng.IntN(8) > 0
						s.Retiring = rng.IntN(20) == 0
						if rng.IntN(5) > 0 {
							v.Stores = append(v.Stores, s)
						}
					}
					views = []*fleet.StoreView{views[1], &v}
				}
				for _, nd := range c.nodes {
					nd.store.SetView(views[rng.IntN(2)])
				}
				time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
				c.g.Expect(c.leastHolders(bodies)).To(BeNumerically(">=", testCopies), "seed %d, step %d", seed, step)
			}
			for _, nd := range c.nodes {
				nd.store.SetView(full)
			}
			time.Sleep(5 * time.Second)
			total := 0
			for _, nd := range c.nodes {
				total += nd.store.Report("").Bodies
				c.g.Expect(nd.store.Report("").Remaining).To(BeZero())
			}
			c.g.Expect(total).To(Equal(testCopies*len(bodies)), "further copies are dropped in the end")
		})
	}
}

// Guards against a store that takes no writes and keeps the others from completing the copies of new bodies.
func TestFullStoreIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stopAll()
		old := c.fill(0, 50, 10<<10)
		c.run(2 * time.Second)
		c.nodes[1].disk.fail(true, true, true)
		_ = put(c.nodes[1].store, testBody(5000, 100))
		v := c.view()
		c.g.Expect(v.Find("store-1").Writable).To(BeFalse())
		bodies := c.fill(50, 50, 10<<10)
		c.run(6 * time.Second)
		c.g.Expect(c.leastHolders(append(old, bodies...))).To(BeNumerically(">=", testCopies))
		for _, nd := range c.nodes {
			c.g.Expect(nd.store.Report("").Remaining).To(BeZero(), nd.name)
		}
	})
}
