package gateway

import (
	"context"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/wire"
)

const (
	// maxTunnels bounds the tunnels that this gateway serves, and with them their memory.
	maxTunnels = 512
	// tunnelDialTimeout bounds the time in which a relay connects to a target.
	tunnelDialTimeout = 300 * time.Millisecond
	// tunnelCheckInterval is the time between two looks at the tunnels of a gateway that shuts down.
	tunnelCheckInterval = 20 * time.Millisecond
)

// newLinks returns the links to the targets, with other gateways as relays.
func (g *Gateway) newLinks() *upstream.Links {
	return upstream.NewLinks(upstream.LinksOptions{
		Dial:    g.opts.DialTarget,
		Targets: g.targets.RandomAddresses,
		Relays:  g.leaderContact.knownPeers,
		OpenTunnel: func(ctx context.Context, relay, target string) (net.Conn, error) {
			return wire.OpenStream(ctx, relay, nil, fleet.MethodTunnel, &fleet.TunnelRequest{Target: target})
		},
		CutOffChanged: func(bool) { g.targets.ForgetFailures() },
		Log:           g.log,
	})
}

// acceptTunnel connects to a target for another gateway that is cut off from the targets. A gateway that is
// cut off itself refuses, so that a tunnel has one relay only.
func (g *Gateway) acceptTunnel(ctx context.Context, body []byte) (func(net.Conn), error) {
	req := new(fleet.TunnelRequest)
	if err := msgpack.Unmarshal(body, req); err != nil {
		return nil, errs.New(errs.BadRequest, "upgrade the peer", "%s: %v", fleet.MethodTunnel, err)
	}
	switch {
	case g.stopping.Load() != 0:
		return nil, errs.New(errs.Draining, "use another relay", "this gateway is stopping")
	case g.links.CutOff():
		return nil, errs.New(errs.Unavailable, "use another relay", "this gateway reaches no target itself")
	case g.tunnels.Count() >= maxTunnels:
		return nil, errs.New(errs.Overloaded, "use another relay", "this gateway serves %d tunnels", maxTunnels)
	case !g.targets.Lists(req.Target):
		return nil, errs.New(errs.NotFound, "use another relay", "no target is listed at %s", req.Target)
	}
	target, err := g.links.DialDirect(ctx, req.Target, tunnelDialTimeout)
	if err != nil {
		return nil, errs.New(errs.TargetFailed, "use another target", "target %s: %v", req.Target, err)
	}
	g.metrics.tunnels.Inc(1)
	return func(peer net.Conn) { g.tunnels.Serve(peer, target) }, nil
}

// DrainTunnels closes the tunnels as they become idle, until there is none or ctx ends.
func (g *Gateway) DrainTunnels(ctx context.Context) {
	for g.tunnels.CloseIdle() > 0 && sleep(ctx, tunnelCheckInterval) {
	}
}
