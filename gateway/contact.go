package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/wire"
)

const (
	// contactTimeout bounds a question to another gateway, which answers from memory.
	contactTimeout = 250 * time.Millisecond
	// minPeers is the number of gateways whose silence counts: a single one may be down.
	minPeers = 2
	// electionTime is the time within which the controllers have another leader, detection
	// included, and gateways have found it. Without peers to ask, a longer absence is taken
	// for a cut of this host.
	electionTime = time.Second
)

// contact finds out, while the leader does not answer, whether this gateway alone is cut off
// from the controllers. If others are in touch, they relay its calls, and it sends callers to
// them meanwhile. If the leader is absent for others too, callers wait here for the next one.
type contact struct {
	g *Gateway

	mu    sync.Mutex
	peers []string // addresses, of the last poll that was answered
	cut   bool
	lost  bool // at least minPeers have answered, and none is in touch with the leader
}

// Register adds the methods that other gateways call: the question for the contact, and the
// calls that this gateway relays to the controllers.
func (g *Gateway) Register(s *wire.Server) {
	c := g.opts.Client
	fleet.Handle(s, fleet.MethodContact, func(context.Context, *struct{}) (*fleet.ContactReply, error) {
		return &fleet.ContactReply{InTouch: g.contact.inTouch()}, nil
	})
	relay(g, s, fleet.MethodPoll, c.Poll)
	relay(g, s, fleet.MethodRate, c.Rate)
	relay(g, s, fleet.MethodReserve, c.Reserve)
	relay(g, s, fleet.MethodSettle, c.Settle)
	relay(g, s, fleet.MethodProgram, c.Program)
}

// relay passes a call of another gateway on to the controllers. Relays do not use relays.
func relay[Q, R any](g *Gateway, s *wire.Server, method string, call func(context.Context, *Q) (*R, error)) {
	fleet.Handle(s, method, func(ctx context.Context, req *Q) (*R, error) {
		if !g.contact.inTouch() {
			return nil, errs.New(errs.NotLeader, "use another relay", "this gateway does not reach the leader")
		}
		g.metrics.relayed.Inc(1)
		return call(ctx, req)
	})
}

// inTouch reports whether the leader answers this gateway directly.
func (c *contact) inTouch() bool {
	return !c.g.config.leaderAbsent() && !c.g.opts.Client.Relaying()
}

func (c *contact) setPeers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addresses
}

func (c *contact) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// cutOff reports whether the leader does not answer this gateway, directly or through others,
// but most likely answers other gateways.
func (c *contact) cutOff() bool {
	if !c.g.config.leaderAbsent() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) < minPeers {
		return c.g.config.age() > electionTime
	}
	return c.cut && !c.g.opts.Client.Relaying()
}

// leaderLost reports whether the leader is absent for the other gateways too, as far as some of
// them have told.
func (c *contact) leaderLost() bool {
	if !c.g.config.leaderAbsent() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// avoid reports whether callers are better off at other gateways.
func (c *contact) avoid() bool { return c.cutOff() || c.g.opts.Client.Relaying() }

// run looks for the leader, directly and through the peers, as long as it is absent.
func (c *contact) run(ctx context.Context) {
	periodic.RunLater(ctx, pollInterval, periodic.Always(c.check))
}

func (c *contact) check(ctx context.Context) {
	client := c.g.opts.Client
	if client.Relaying() && client.Contact(ctx) {
		client.SetRelays(nil)
		c.set(false, 0, nil)
		return
	}
	if !c.g.config.leaderAbsent() {
		if !client.Relaying() {
			c.set(false, 0, nil)
		}
		return
	}
	peers := c.known()
	if len(peers) < minPeers {
		return
	}
	answers := askPeers(ctx, peers)
	var relays []string
	for addr, inTouch := range answers {
		if inTouch {
			relays = append(relays, addr)
		}
	}
	client.SetRelays(relays)
	c.set(len(relays) > 0 || len(answers) == 0, len(answers), relays)
}

func (c *contact) set(cut bool, answered int, relays []string) {
	c.mu.Lock()
	changed := c.cut != cut
	c.cut = cut
	c.lost = answered >= minPeers && len(relays) == 0
	asked := len(c.peers)
	c.mu.Unlock()
	if changed {
		c.g.log.Info("contact with the controllers", "cut_off", cut, "confirmed_ms", c.g.config.age().Milliseconds(),
			"peers_asked", asked, "peers_answered", answered, "relays", relays)
	}
}

// askPeers returns which of the gateways that answer are in touch with the leader. New
// connections are used, since old ones may hang in the cut.
func askPeers(ctx context.Context, peers []string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	type answer struct {
		addr    string
		ok      bool // false: silent, which is what the caller counts
		inTouch bool
	}
	answers := make(chan answer, len(peers))
	for _, addr := range peers {
		go func() {
			client := wire.NewClient(addr, nil)
			defer client.Close()
			var reply fleet.ContactReply
			err := client.Call(ctx, fleet.MethodContact, struct{}{}, &reply)
			answers <- answer{addr: addr, ok: err == nil, inTouch: reply.InTouch}
		}()
	}
	out := map[string]bool{}
	for range peers {
		if a := <-answers; a.ok {
			out[a.addr] = a.inTouch
		}
	}
	return out
}
