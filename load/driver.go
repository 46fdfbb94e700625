package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// driver runs programs.
type driver struct {
	cfg      Config
	balancer *balancer
	rec      *recorder
	orders   *orderBook
	wg       sync.WaitGroup
}

// Run drives programs as cfg says and returns what their callers saw. It ends when all
// programs have ended, or when ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &driver{cfg: cfg, balancer: newBalancer(cfg.Entries), rec: newRecorder(cfg), orders: newOrderBook()}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	if !cfg.Direct {
		d.balancer.watch(watching)
	}
	var arrivals sync.WaitGroup
	for i, o := range cfg.Orgs {
		arrivals.Go(func() { d.arrive(ctx, o, uint64(i)) })
	}
	arrivals.Wait()
	d.wg.Wait()
	if err := d.orders.check(ctx, cfg.Executions, d.rec); err != nil {
		return nil, err
	}
	return d.rec.result(), nil
}

// arrive starts an organisation's programs at exponential intervals.
func (d *driver) arrive(ctx context.Context, o Org, n uint64) {
	rng := rand.New(rand.NewPCG(uint64(d.cfg.Seed), n))
	kinds := o.kinds(d.cfg.Kinds)
	start := time.Now()
	next := time.Duration(0)
	for ctx.Err() == nil {
		next += time.Duration(rng.ExpFloat64() / float64(o.Programs) * float64(time.Second))
		if next >= d.cfg.Duration {
			return
		}
		p := &program{d: d, org: o, kind: choose(rng, kinds), rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
		sleep(ctx, time.Until(start.Add(next)))
		if ctx.Err() == nil {
			d.wg.Go(func() { p.run(ctx) })
		}
	}
}

func choose(rng *rand.Rand, kinds []Kind) Kind {
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
