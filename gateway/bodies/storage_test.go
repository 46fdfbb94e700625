package bodies

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// stores simulates store hosts by address. It implements Client.
type stores struct {
	mu     sync.Mutex
	held   map[string]map[string]fleet.Body
	delay  map[string]time.Duration
	broken map[string]bool
	asked  int
	views  uint64
}

func (c *stores) call(ctx context.Context, address string) error {
	c.mu.Lock()
	delay, broken := c.delay[address], c.broken[address]
	c.asked++
	c.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if broken {
		return errors.New("disk full")
	}
	return nil
}

func (c *stores) Put(ctx context.Context, address string, body *fleet.BodyPut) error {
	if err := c.call(ctx, address); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[address] == nil {
		c.held[address] = map[string]fleet.Body{}
	}
	c.held[address][body.Key] = fleet.Body{Key: body.Key, Found: true, Input: body.Input, Output: body.Output}
	return nil
}

func (c *stores) Get(ctx context.Context, address string, keys []string) ([]fleet.Body, error) {
	if err := c.call(ctx, address); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return []fleet.Body{c.held[address][keys[0]]}, nil
}

// takeAsked returns the number of calls since it was last called.
func (c *stores) takeAsked() int {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.asked
	c.asked = 0
	return n
}

// copies returns the number of store hosts that hold a body.
func (c *stores) copies(key string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, held := range c.held {
		if held[key].Found {
			n++
		}
	}
	return n
}

// setView passes a view of the named store hosts, three a zone, whose addresses are their names.
func (c *stores) setView(s *Storage, names ...string) {
	c.views++
	v := &fleet.StoreView{Revision: c.views, Copies: 3}
	for i, name := range names {
		v.Stores = append(v.Stores, fleet.Store{Name: name, Address: name, Zone: fmt.Sprint(i / 3), DiskMB: 500, Writable: true})
	}
	s.SetView(v)
}

// inBubble runs a test with simulated time, with eight store hosts.
func inBubble(t *testing.T, f func(g *WithT, c *stores, s *Storage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &stores{held: map[string]map[string]fleet.Body{}, delay: map[string]time.Duration{}, broken: map[string]bool{}}
		start := time.Now()
		s := New(c, func() time.Duration { return time.Since(start) + time.Hour })
		c.setView(s, "a", "b", "c", "d", "e", "f", "g", "h")
		f(NewWithT(t), c, s)
		synctest.Wait()
		NewWithT(t).Expect(s.puts.TryAcquire(maxPutBytes)).To(BeTrue(), "all memory is returned")
		NewWithT(t).Expect(s.loads.TryAcquire(maxLoadBytes)).To(BeTrue(), "all memory is returned")
	})
}

func body(id string) (*fleet.BodyPut, *ledgersm.BodyRef) {
	ref := Reference("acme", id, []byte("in"+id), []byte("out"+id))
	return &fleet.BodyPut{Key: ref.Key, Input: []byte("in" + id), Output: []byte("out" + id)}, ref
}

func load(s *Storage, refs ...*ledgersm.BodyRef) (string, error) {
	var parts []fleet.HistoryPart
	for _, r := range refs {
		parts = append(parts, fleet.HistoryPart{Ref: r})
	}
	out, err := s.Load(context.Background(), parts)
	return string(out), err
}

// Guards against a body that counts as stored with fewer copies than the tolerated losses need, and against
// a caller that waits long for the end of its stream while a store host is slow, full or frozen.
func TestPut(t *testing.T) {
	for _, c := range []struct {
		desc         string
		slow, broken int // first places that are slow or broken
		stores       int
		within       time.Duration
		fails        bool
	}{
		{desc: "sound", stores: 8, within: 0},
		{desc: "one full", stores: 8, broken: 1, within: 0},
		{desc: "one frozen", stores: 8, slow: 1, within: putPatience},
		{desc: "all but three frozen", stores: 8, slow: 5, within: 3 * putPatience},
		{desc: "too few writable", stores: 5, broken: 3, fails: true, within: 0},
		{desc: "too few in the view", stores: 2, fails: true, within: 0},
		{desc: "too few in time", stores: 4, slow: 2, fails: true, within: putTimeout},
	} {
		t.Run(c.desc, func(t *testing.T) {
			inBubble(t, func(g *WithT, net *stores, s *Storage) {
				net.setView(s, []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:c.stores]...)
				put, _ := body("1")
				places, _ := s.writers(put.Key)
				for i, p := range places {
					net.broken[p.Address] = i < c.broken
					if i < c.slow {
						net.delay[p.Address] = time.Minute
					}
				}
				began := time.Now()
				err := s.Put(context.Background(), put)
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				if c.fails {
					g.Expect(err).To(HaveOccurred())
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(net.copies(put.Key)).To(BeNumerically(">=", 3))
				began = time.Now() // the next body does not wait for the same store hosts
				g.Expect(s.Put(context.Background(), put)).To(Succeed())
				g.Expect(time.Since(began)).To(BeZero())
				time.Sleep(suspectPeriod + time.Second)
				again, _ := s.writers(put.Key)
				g.Expect(again).To(Equal(places), "they are the first again later")
			})
		})
	}
}

// Guards against bodies that are sent to all store hosts while all of them are slow, which makes them slower.
func TestSlowStoresGetNoMoreCopies(t *testing.T) {
	inBubble(t, func(g *WithT, c *stores, s *Storage) {
		put, _ := body("1")
		places, _ := s.writers(put.Key)
		for _, p := range places {
			c.delay[p.Address] = time.Second
		}
		g.Expect(s.Put(context.Background(), put)).NotTo(Succeed())
		c.takeAsked()
		g.Expect(s.Put(context.Background(), put)).NotTo(Succeed())
		g.Expect(c.takeAsked()).To(Equal(3))
	})
}

// Guards against memory that fills up while store hosts are slow.
func TestPutRefusesWhatExceedsItsMemory(t *testing.T) {
	inBubble(t, func(g *WithT, c *stores, s *Storage) {
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			c.delay[name] = 100 * time.Millisecond
		}
		big := &fleet.BodyPut{Key: "big", Input: make([]byte, 4<<20)}
		go func() { _ = s.Put(context.Background(), big) }()
		synctest.Wait()
		put, _ := body("1")
		g.Expect(s.Put(context.Background(), put)).To(MatchError(ErrBusy))
		time.Sleep(time.Second)
		g.Expect(s.Put(context.Background(), put)).To(Succeed())
	})
}

// Guards against a turn that cannot be continued although a copy of its history is left: store hosts are
// wiped, frozen, hold something else or have left the view, which may be wrong.
func TestLoad(t *testing.T) {
	for _, c := range []struct {
		desc   string
		change func(c *stores, s *Storage, places []fleet.Store)
		within time.Duration
		fails  bool
	}{
		{desc: "sound", change: func(*stores, *Storage, []fleet.Store) {}},
		{desc: "two wiped", change: func(c *stores, _ *Storage, p []fleet.Store) {
			delete(c.held, p[0].Address)
			delete(c.held, p[1].Address)
		}},
		{desc: "two frozen", within: 2 * loadPatience, change: func(c *stores, _ *Storage, p []fleet.Store) {
			c.delay[p[0].Address], c.delay[p[1].Address] = time.Minute, time.Minute
		}},
		{desc: "damaged copy", change: func(c *stores, _ *Storage, p []fleet.Store) {
			for key, b := range c.held[p[0].Address] {
				b.Output = []byte("OUT1")
				c.held[p[0].Address][key] = b
			}
		}},
		{desc: "copies on the last places", change: func(c *stores, _ *Storage, p []fleet.Store) {
			c.held = map[string]map[string]fleet.Body{p[7].Address: c.held[p[0].Address]}
		}},
		{desc: "none in the view", change: func(c *stores, s *Storage, _ []fleet.Store) { c.setView(s) }},
		{desc: "all wiped", fails: true, change: func(c *stores, _ *Storage, _ []fleet.Store) { clear(c.held) }},
		{desc: "all frozen", fails: true, within: loadTimeout, change: func(c *stores, _ *Storage, p []fleet.Store) {
			for _, s := range p {
				c.delay[s.Address] = time.Minute
			}
		}},
		{desc: "left the view long ago", fails: true, change: func(c *stores, s *Storage, _ []fleet.Store) {
			c.setView(s)
			time.Sleep(formerPeriod + time.Second)
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			inBubble(t, func(g *WithT, net *stores, s *Storage) {
				put, ref := body("1")
				places, _ := s.writers(put.Key)
				g.Expect(s.Put(context.Background(), put)).To(Succeed())
				c.change(net, s, places)
				began := time.Now()
				out, err := load(s, ref)
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				if c.fails {
					g.Expect(err).To(HaveOccurred())
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(out).To(Equal("in1out1"))
			})
		})
	}
}

// Guards against a second store host that is asked for the same failed attempt, when it was late first. Each
// would send the whole body.
func TestOnePlaceForEachFailure(t *testing.T) {
	inBubble(t, func(g *WithT, c *stores, s *Storage) {
		put, ref := body("1")
		places, _ := s.writers(put.Key)
		g.Expect(s.Put(context.Background(), put)).To(Succeed())
		c.delay[places[0].Address], c.broken[places[0].Address] = loadPatience+10*time.Millisecond, true
		c.delay[places[1].Address] = loadPatience / 2
		c.takeAsked()
		_, err := load(s, ref)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.takeAsked()).To(Equal(2))
	})
}

// Guards against a history in the wrong order or without the turns that the ledger holds itself.
func TestLoadJoinsParts(t *testing.T) {
	inBubble(t, func(g *WithT, c *stores, s *Storage) {
		parts := []fleet.HistoryPart{{Inline: []byte("first;")}}
		want := "first;"
		for i := range 20 {
			put, ref := body(fmt.Sprint(i))
			g.Expect(s.Put(context.Background(), put)).To(Succeed())
			parts = append(parts, fleet.HistoryPart{Ref: ref}, fleet.HistoryPart{Inline: []byte(";")})
			want += fmt.Sprintf("in%dout%d;", i, i)
		}
		out, err := s.Load(context.Background(), parts)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(out)).To(Equal(want))
		other := Reference("acme", "1", []byte("in1"), []byte("another run"))
		g.Expect(other.Key).NotTo(Equal(parts[3].Ref.Key), "a later run of an attempt has a body of its own")
	})
}
