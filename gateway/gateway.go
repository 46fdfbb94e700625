package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/stateclient"
)

// Options configure a Gateway.
type Options struct {
	Host    string
	Zone    string
	Address string // where other gateways reach this one; empty: nowhere
	Adapter Adapter
	Client  *stateclient.Client
	Log     logr.Logger
	Metrics metrics.Registry
}

// Gateway serves callers on one host.
type Gateway struct {
	opts    Options
	log     logr.Logger
	metrics *gatewayMetrics
	config  *follower
	contact *contact
	targets *balance.Set
	rates   *admission
	ledger  *ledger
	crashes crashReports
	usual   latencyTable
	paces   paceTable
	turns   turnTimes

	poolMu sync.Mutex
	pools  map[string]*upstream.Pool // by target

	stopping atomic.Int64 // clock time at which the stop began; 0: none
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a gateway that begins to follow the configuration.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:    opts,
		log:     opts.Log,
		metrics: newMetrics(opts.Metrics),
		targets: balance.NewSet(opts.Zone),
		pools:   map[string]*upstream.Pool{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.config = &follower{g: g, began: clock.Now(), first: make(chan struct{})}
	g.contact = &contact{g: g}
	g.rates = newAdmission(g)
	g.ledger = newLedger(g)
	g.wg.Go(func() { g.config.run(g.ctx) })
	g.wg.Go(func() { g.contact.run(g.ctx) })
	return g
}

// Close ends all background work.
func (g *Gateway) Close() {
	g.cancel()
	g.wg.Wait()
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
}

// Ready returns nil while new connections should come to this gateway. One that is cut off
// still serves what it can for a while, but others serve more.
func (g *Gateway) Ready() error {
	if g.stopping.Load() != 0 {
		return errs.New(errs.Draining, "use another host", "the host is stopping")
	}
	if err := g.config.check(); err != nil {
		return err
	}
	if g.contact.avoid() {
		return errs.New(errs.ConfigUnconfirmed, "use another host", "no leader has answered for %d ms", g.config.age().Milliseconds())
	}
	if g.targets.Size() == 0 {
		return errs.New(errs.NoTarget, "retry later", "no list of targets has been received")
	}
	return nil
}

// BeginStop makes the gateway unready. Answers close their connections from now on.
func (g *Gateway) BeginStop() {
	g.stopping.CompareAndSwap(0, int64(clock.Now()))
	g.log.Info("stop begun")
}

// stoppingFor returns how long the gateway has been stopping; 0: it is not.
func (g *Gateway) stoppingFor() time.Duration {
	at := g.stopping.Load()
	if at == 0 {
		return 0
	}
	return max(clock.Now()-time.Duration(at), 1)
}

// pool returns the connections to a target.
func (g *Gateway) pool(t *balance.Target) *upstream.Pool {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	p := g.pools[t.ID]
	if p == nil {
		service := t.Service
		p = upstream.NewPool(t.Address, func() int { return g.connLimit(service) })
		g.pools[t.ID] = p
	}
	return p
}

// connected reports whether a connection to a target is idle.
func (g *Gateway) connected(target string) bool {
	g.poolMu.Lock()
	p := g.pools[target]
	g.poolMu.Unlock()
	return p != nil && p.Idle() > 0
}

// connLimit returns this host's share of the connections that a target of a service
// accepts.
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
	// maxConnsPerTarget bounds the connections to a target that states no limit.
	maxConnsPerTarget = 64
	// connShareTenths is the part of a target's connections, in tenths, that the gateways
	// use together; the rest is for gateways that have just joined.
	connShareTenths = 9
)

func (g *Gateway) dropPools(gone []*balance.Target) {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	for _, t := range gone {
		if p := g.pools[t.ID]; p != nil {
			p.Close()
			delete(g.pools, t.ID)
		}
	}
}
