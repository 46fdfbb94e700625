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
	// contactTimeout bounds the query to a peer, which answers it from memory.
	contactTimeout = 250 * time.Millisecond
	// minPeers is the number of peers needed to judge whether this gateway is cut off. A single
	// peer that does not answer may simply be down.
	minPeers = 2
	// maxElectionTime is the time within which the controllers detect the loss of their leader
	// and elect another, and the gateways find it. If too few peers are known, a longer absence
	// of the leader is taken to mean that this host is cut off.
	maxElectionTime = time.Second
)

// leaderContact determines, while the leader of the controllers does not respond, whether only
// this gateway is cut off. If some peers still reach the leader, they relay the calls of this
// gateway, and callers are sent to other hosts. If the peers have lost the leader as well,
// requests wait here for a new one.
type leaderContact struct {
	g *Gateway

	mu               sync.Mutex
	peers            []string // addresses from the last poll reply that listed them
	cutOffFromLeader bool     // the last query found peers that reach the leader, or no peer answered
	peersLostLeader  bool     // at least minPeers have answered, and none of them reaches the leader
}

// Register adds the methods that other gateways call: the query whether this gateway reaches
// the leader, the calls that it relays to the controllers, and the tunnels to targets.
func (g *Gateway) Register(s *wire.Server) {
	c := g.opts.Client
	fleet.Handle(s, fleet.MethodContact, func(context.Context, *struct{}) (*fleet.ContactReply, error) {
		return &fleet.ContactReply{ReachesLeader: g.leaderContact.reachesLeader()}, nil
	})
	registerRelay(g, s, fleet.MethodPoll, c.Poll)
	registerRelay(g, s, fleet.MethodRate, c.RequestGrant)
	registerRelay(g, s, fleet.MethodPermit, c.Permit)
	registerRelay(g, s, fleet.MethodExposure, c.Exposure)
	registerRelay(g, s, fleet.MethodReserve, c.Reserve)
	registerRelay(g, s, fleet.MethodSettle, c.Settle)
	registerRelay(g, s, fleet.MethodProgram, c.Program)
	registerRelay(g, s, fleet.MethodStream, c.RecordStream)
	registerRelay(g, s, fleet.MethodEvents, c.AppendEvents)
	s.HandleStream(fleet.MethodTunnel, g.acceptTunnel)
}

// registerRelay adds a method that forwards a call of another gateway to the controllers. A
// gateway that does not reach the leader itself refuses, so that a call is relayed only once.
func registerRelay[Q, R any](g *Gateway, s *wire.Server, method string, call func(context.Context, *Q) (*R, error)) {
	fleet.Handle(s, method, func(ctx context.Context, req *Q) (*R, error) {
		if !g.leaderContact.reachesLeader() {
			return nil, errs.New(errs.NotLeader, "use another relay", "this gateway does not reach the leader")
		}
		g.metrics.relayed.Inc(1)
		return call(ctx, req)
	})
}

// reachesLeader reports whether the leader responds to this gateway without a relay.
func (c *leaderContact) reachesLeader() bool {
	return !c.g.config.leaderAbsent() && !c.g.opts.Client.UsesRelays()
}

func (c *leaderContact) setPeers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addresses
}

func (c *leaderContact) knownPeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// cutOff reports whether this gateway reaches the leader neither directly nor through relays
// while other gateways most likely reach it.
func (c *leaderContact) cutOff() bool {
	if !c.g.config.leaderAbsent() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) < minPeers {
		return c.g.config.age() > maxElectionTime
	}
	return c.cutOffFromLeader && !c.g.opts.Client.UsesRelays()
}

// leaderLost reports whether the leader responds neither to this gateway nor to any of the
// peers that answered the last query, of which there were at least minPeers.
func (c *leaderContact) leaderLost() bool {
	if !c.g.config.leaderAbsent() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersLostLeader
}

// preferOtherHosts reports whether callers are better served by other hosts.
func (c *leaderContact) preferOtherHosts() bool { return c.cutOff() || c.g.opts.Client.UsesRelays() }

// run checks the contact with the leader in each poll interval.
func (c *leaderContact) run(ctx context.Context) {
	periodic.RunLater(ctx, pollInterval, periodic.Always(c.check))
}

// check queries the peers while the leader does not respond, and sets the relays accordingly.
// While relays are used, it first tries to reach the leader directly again.
func (c *leaderContact) check(ctx context.Context) {
	client := c.g.opts.Client
	if client.UsesRelays() && client.LeaderReachable(ctx) {
		client.SetRelays(nil)
		c.setState(false, 0, nil)
		return
	}
	if !c.g.config.leaderAbsent() {
		if !client.UsesRelays() {
			c.setState(false, 0, nil)
		}
		return
	}
	peers := c.knownPeers()
	if len(peers) < minPeers {
		return
	}
	answers := askPeers(ctx, peers)
	var relays []string
	for addr, reachesLeader := range answers {
		if reachesLeader {
			relays = append(relays, addr)
		}
	}
	client.SetRelays(relays)
	c.setState(len(relays) > 0 || len(answers) == 0, len(answers), relays)
}

// setState stores the outcome of a check and logs changes.
func (c *leaderContact) setState(cutOffFromLeader bool, answered int, relays []string) {
	c.mu.Lock()
	changed := c.cutOffFromLeader != cutOffFromLeader
	c.cutOffFromLeader = cutOffFromLeader
	c.peersLostLeader = answered >= minPeers && len(relays) == 0
	asked := len(c.peers)
	c.mu.Unlock()
	if changed {
		c.g.log.Info("contact with the controllers changed", "cut_off", cutOffFromLeader, "confirmed_ms", c.g.config.age().Milliseconds(),
			"peers_asked", asked, "peers_answered", answered, "relays", relays)
	}
}

// askPeers asks the peers whether they reach the leader. Peers that do not answer are missing
// from the result. It uses new connections, because existing ones may hang in a network
// partition.
func askPeers(ctx context.Context, peers []string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	type peerReply struct {
		addr          string
		answered      bool // false: no reply
		reachesLeader bool
	}
	replies := make(chan peerReply, len(peers))
	for _, addr := range peers {
		go func() {
			client := wire.NewClient(addr, nil)
			defer client.Close()
			var reply fleet.ContactReply
			err := client.Call(ctx, fleet.MethodContact, struct{}{}, &reply)
			replies <- peerReply{addr: addr, answered: err == nil, reachesLeader: reply.ReachesLeader}
		}()
	}
	out := map[string]bool{}
	for range peers {
		if a := <-replies; a.answered {
			out[a.addr] = a.reachesLeader
		}
	}
	return out
}
