package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// driver starts the programs of a run and waits for them.
type driver struct {
	cfg      Config
	balancer *balancer
	rec      *recorder
	orders   *orderTracker
	wg       sync.WaitGroup
}

// Run generates the load that cfg describes and returns the results that the callers
// observed. It ends when all programs have ended; cancelling ctx ends them early.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &driver{cfg: cfg, balancer: newBalancer(cfg.Entries), rec: newRecorder(cfg), orders: newOrderTracker()}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	if !cfg.Direct {
		d.balancer.pollReadiness(watching)
	}
	var arrivals sync.WaitGroup
	for i, o := range cfg.Orgs {
		arrivals.Go(func() { d.generateArrivals(ctx, o, uint64(i)) })
	}
	arrivals.Wait()
	d.wg.Wait()
	if err := d.orders.check(ctx, cfg.Executions, d.rec); err != nil {
		return nil, err
	}
	return d.rec.result(), nil
}

// generateArrivals starts an organisation's programs with exponentially distributed
// intervals. n selects the organisation's random sequence.
func (d *driver) generateArrivals(ctx context.Context, o Org, n uint64) {
	rng := rand.New(rand.NewPCG(uint64(d.cfg.Seed), n))
	kinds := o.kinds(d.cfg.Kinds)
	start := time.Now()
	next := time.Duration(0)
	for ctx.Err() == nil {
		next += time.Duration(rng.ExpFloat64() / float64(o.Programs) * float64(time.Second))
		if next >= d.cfg.Duration {
			return
		}
		p := &program{d: d, org: o, kind: chooseKind(rng, kinds), rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
		sleep(ctx, time.Until(start.Add(next)))
		if ctx.Err() == nil {
			d.wg.Go(func() { p.run(ctx) })
		}
	}
}

// chooseKind returns a random kind, weighted by Kind.Weight.
func chooseKind(rng *rand.Rand, kinds []Kind) Kind {
	total := 0
	for _, k := range kinds {
		total += k.Weight
	}
	n := rng.IntN(total)
	for _, k := range kinds {
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	return kinds[0]
}
