package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/gateway/bodies"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/stateclient"
)

// Options configures a Gateway.
type Options struct {
	Host    string
	Zone    string
	Address string // address on which other gateways reach this one; empty: not reachable
	// DialTarget opens connections to targets; nil: over TCP.
	DialTarget func(ctx context.Context, addr string) (net.Conn, error)
	Adapter    Adapter
	// Bodies calls store hosts, which keep bodies of turns; nil: all turns are kept in the ledger.
	Bodies bodies.Client
	Client *stateclient.Client
	// HoldNewVersions is set at sites with roll-outs: a software version that appears beside others gets
	// nothing for versionHold unless an order for its roll-out is known.
	HoldNewVersions bool
	Log             logr.Logger
	Metrics         metrics.Registry
	// Memory accounts for what is kept of responses, at most RelayBytes each; nil: nothing is kept.
	Memory     *memory.Account
	RelayBytes int64
}

// Gateway serves callers on one host.
type Gateway struct {
	opts          Options
	log           logr.Logger
	metrics       *gatewayMetrics
	config        *follower
	leaderContact *leaderContact
	targets       *balance.Set
	admissions    *admission
	scarcity      permitScarcity
	settler       *settler
	eventLogs     eventLogs
	crashes       crashReports
	latencies     latencyBaselines
	intervals     eventIntervals
	turns         turnTimes
	links         *upstream.Links
	tunnels       upstream.Tunnels // served for other gateways
	bodies        *bodies.Storage  // nil if Options.Bodies is not set
	// bodiesToStores is set while bodies of turns go to store hosts.
	bodiesToStores atomic.Bool
	rollouts       rollouts

	poolMu sync.Mutex
	pools  map[string]*upstream.Pool // by target

	stopping atomic.Int64 // clock time at which shutdown began; 0: not shutting down
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a gateway and starts polling the controllers for the configuration.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:    opts,
		log:     opts.Log,
		metrics: newMetrics(opts.Metrics),
		targets: balance.NewSet(opts.Zone),
		pools:   map[string]*upstream.Pool{},
	}
	if opts.Bodies != nil {
		g.bodies = bodies.New(opts.Bodies, clock.Now)
	}
	g.reportMoves()
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.config = &follower{g: g, startedAt: clock.Now(), ready: make(chan struct{})}
	g.leaderContact = &leaderContact{g: g}
	g.rollouts.g = g
	if opts.HoldNewVersions {
		g.targets.HoldNewVersions(versionHold)
	}
	g.links = g.newLinks()
	g.admissions = newAdmission(g)
	g.settler = newSettler(g)
	g.eventLogs.g = g
	g.wg.Go(func() { g.config.run(g.ctx) })
	g.wg.Go(func() { g.leaderContact.run(g.ctx) })
	g.wg.Go(func() { g.links.Run(g.ctx) })
	return g
}

// Close stops all background work and closes the connections to targets.
func (g *Gateway) Close() {
	g.cancel()
	g.wg.Wait()
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
}

// Ready returns nil while new connections should be sent to this gateway. A gateway that is cut
// off from the controllers is not ready: it keeps serving until its configuration expires, but
// other hosts can serve callers fully.
func (g *Gateway) Ready() error {
	if g.stopping.Load() != 0 {
		return errs.New(errs.Draining, "use another host", "the host is stopping")
	}
	if err := g.config.checkConfirmed(); err != nil {
		return err
	}
	if g.leaderContact.preferOtherHosts() {
		return errs.New(errs.ConfigUnconfirmed, "use another host", "no leader has answered for %d ms", g.config.age().Milliseconds())
	}
	if g.links.Stranded() {
		return errs.New(errs.NoTarget, "use another host", "this host reaches no target")
	}
	if g.targets.Size() == 0 {
		return errs.New(errs.NoTarget, "retry later", "no list of targets has been received")
	}
	return nil
}

// BeginShutdown makes the gateway unready. From now on each response closes its connection.
func (g *Gateway) BeginShutdown() {
	g.stopping.CompareAndSwap(0, int64(clock.Now()))
	g.log.Info("shutdown started")
}

// stoppingFor returns the time since shutdown began, or 0 if the gateway is not shutting down.
func (g *Gateway) stoppingFor() time.Duration {
	at := g.stopping.Load()
	if at == 0 {
		return 0
	}
	return max(clock.Now()-time.Duration(at), 1)
}

// pool returns the connection pool of a target and creates it on first use.
func (g *Gateway) pool(t *balance.Target) *upstream.Pool {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	p := g.pools[t.ID]
	if p == nil {
		service := t.Service
		p = upstream.NewPool(t.Address, func() int { return g.connLimit(service) }, g.links)
		g.pools[t.ID] = p
	}
	return p
}

// hasIdleConn reports whether this host has an idle connection to a target.
func (g *Gateway) hasIdleConn(target string) bool {
	g.poolMu.Lock()
	p := g.pools[target]
	g.poolMu.Unlock()
	return p != nil && p.Idle() > 0
}

// connLimit returns the number of connections that this host may open to one target of a
// service: its share of the service's limit.
func (g *Gateway) connLimit(service string) int {
	table := g.config.table()
	if table == nil {
		return 1
	}
	s := table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return maxConnsPerTarget
	}
	return max(s.MaxConnections*connShareTenths/10/g.targets.Gateways(), 1)
}

const (
	// maxConnsPerTarget bounds the connections to a target whose service sets no limit.
	maxConnsPerTarget = 64
	// connShareTenths is the part of a target's connection limit, in tenths, that the known
	// gateways divide among themselves. The rest is left for gateways that have just joined.
	connShareTenths = 9
)

// closePools closes the connection pools of targets that were removed from the list.
func (g *Gateway) closePools(removed []*balance.Target) {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	for _, t := range removed {
		if p := g.pools[t.ID]; p != nil {
			p.Close()
			delete(g.pools, t.ID)
		}
	}
}
