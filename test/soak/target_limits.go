package main

import (
	"context"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// limitSettleTime is the time after which all gateways must obey a limit that a target has named,
	// limitWindow the window in which its requests are counted. The platform's documentation sets
	// both, and the bound in limitBound.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitPause is the longest time between two periods with limits.
	limitPause = 2 * time.Second
)

// limitBound returns the number of requests that a target with a limit may get in a limitWindow.
func limitBound(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// limitPeriod is a time during which a target names a request limit.
type limitPeriod struct {
	target    *standin.Target
	perSecond float64
	from, to  time.Time
}

// limitTargets makes some or all targets of a service name a request limit, again and again until
// ctx ends. It has its own random number generator, so that a seed yields the same sequence of
// other faults with and without it.
func (s *site) limitTargets(ctx context.Context, rng *rand.Rand) (periods []limitPeriod) {
	for ctx.Err() == nil {
		wait(ctx, time.Duration(rng.Int63n(int64(limitPause))))
		limited := s.randomTargetsOfService(rng)
		perSecond := 0.3 + 2.7*rng.Float64() // far below a target's usual load
		from := time.Now()
		for _, t := range limited {
			t.NameRequestLimit(perSecond)
		}
		wait(ctx, limitSettleTime+limitWindow/2+time.Duration(rng.Int63n(int64(limitWindow))))
		for _, t := range limited {
			t.EndRequestLimit()
			periods = append(periods, limitPeriod{target: t, perSecond: perSecond, from: from, to: time.Now()})
		}
	}
	return periods
}

// wait waits until a time has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// randomTargetsOfService returns a random number, from one to all, of the targets of the service of
// a random target.
func (s *site) randomTargetsOfService(rng *rand.Rand) []*standin.Target {
	service := s.randomHealthyTarget(rng).Service
	var all []*standin.Target
	for _, t := range s.allTargets() {
		if t.Service == service {
			all = append(all, t)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+rng.Intn(len(all))]
}

// checkLimits checks that no target got more requests than the limit that it named allows, from all
// gateways together that were not disturbed since.
func (w *workload) checkLimits(periods []limitPeriod, byID map[string]attempt) {
	for _, p := range periods {
		var at []time.Time
		for _, a := range p.target.Arrivals() {
			sender, known := byID[a.RequestID]
			counted := known && sender.gateway.lastDisturbed.Load() < p.from.UnixNano()
			if counted && a.At.After(p.from.Add(limitSettleTime)) && a.At.Before(p.to) {
				at = append(at, a.At)
			}
		}
		first := 0
		for last := range at {
			for at[last].Sub(at[first]) >= limitWindow {
				first++
			}
			if n := last - first + 1; n > limitBound(p.perSecond) {
				w.recordViolation("REQUEST LIMIT EXCEEDED: %s got %d requests in %s with a limit of %.1f a second named %s before", p.target.ID, n, limitWindow, p.perSecond, at[last].Sub(p.from))
				break
			}
		}
	}
}
