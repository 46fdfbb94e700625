package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// fullShare is the share of taken slots of a service from which new programs of the
	// most urgent priority are refused, lessShare the same for all others. Beyond it turns
	// wait for slots, and every program under way is slowed down.
	fullShare = 0.90
	lessShare = 0.78
	// fullShareFast and lessShareFast hold for engines that run at their idle pace with that
	// many slots taken, as engines with few slots do: only the wait for a slot counts there.
	fullShareFast = 1.10
	lessShareFast = 0.95
	// slowPace is the pace from which fullShare and lessShare hold. The limits between it and
	// the idle pace are proportional.
	slowPace = 1.4
	// fullPace and lessPace are the same for the time between events, as a multiple of
	// that of an idle engine. Engines with many slots slow down long before these are full.
	fullPace = 2.6
	lessPace = 2.2
	// overloadRetry is the time in which a share of 1 too many ends: about two turns.
	overloadRetry = 800 * time.Millisecond
	// minOverloadRetry bounds the Retry-After of a slight overload from below.
	minOverloadRetry = 250 * time.Millisecond
)

// overloaded reports whether a service is too busy for new programs of a priority, and by
// how much. Load that it answers: programs begin at more than the engines can serve. Each
// one that is admitted slows down all others, until none ends in time.
func overloaded(share, pace float64, priority int) (excess float64) {
	shareLimit, fastLimit, paceLimit := lessShare, lessShareFast, lessPace
	if priority == 0 {
		shareLimit, fastLimit, paceLimit = fullShare, fullShareFast, fullPace
	}
	slow := min(max((pace-1)/(slowPace-1), 0), 1)
	shareLimit = fastLimit - slow*(fastLimit-shareLimit)
	return max(share-shareLimit, pace/paceLimit-1, 0)
}

// screen refuses the first turn of a program while its service is overloaded.
func (x *exchange) screen(ctx context.Context) error {
	if !x.turn() {
		return nil
	}
	service := x.service()
	share := x.g.targets.Share(clock.Now(), service)
	pace := x.g.paces.ratio(clock.Now(), service)
	excess := overloaded(share, pace, x.priority())
	if excess <= 0 || x.underWay(ctx) {
		return nil
	}
	wait := max(time.Duration(excess*float64(overloadRetry)), minOverloadRetry)
	return errs.New(errs.Overloaded, "retry later", "service %q has %.2f of its slots taken and events take %.2f of their usual time",
		service, share, pace).WithRetryAfter(wait)
}

// underWay reports whether the request's program has begun, which the ledger knows where
// this gateway does not.
func (x *exchange) underWay(ctx context.Context) bool {
	return x.g.rates.underWay(ctx, x.org, x.req.Program)
}

// paceTable keeps the time between events of streams by service.
type paceTable struct {
	mu sync.Mutex
	m  map[string]*pace
	// adopted is the pace of idle engines that other gateways have measured. A gateway that
	// starts while engines are busy would take their pace for that of idle ones.
	adopted map[string]float64 // ms
}

type pace struct {
	now   float64 // ms, mean of the newest streams
	at    time.Duration
	floor float64 // ms, of an idle engine
	count int
}

const (
	// paceShare is the weight of the newest stream in the mean pace.
	paceShare = 0.1
	// idleShare is the share of taken slots below which engines run as if idle, and floorRise
	// lets the floor follow engines that have become slower, for each stream then. Under load
	// the floor does not rise: it would follow a lasting overload and end the refusals.
	idleShare = 0.1
	floorRise = 0.005
	// paceSamples is the number of streams from which the ratio is used.
	paceSamples = 20
	// paceAge is the time after which the mean pace without new streams says nothing.
	paceAge = time.Second
	// minPaceEvents is the number of events from which a stream tells its pace.
	minPaceEvents = 4
)

// note takes the time between the events of one stream into account, which ran while a share
// of the slots was taken.
func (t *paceTable) note(now time.Duration, service string, ms, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = map[string]*pace{}
	}
	p := t.m[service]
	if p == nil {
		p = &pace{now: ms, floor: ms}
		if floor, ok := t.adopted[service]; ok {
			p.floor = floor
		}
		t.m[service] = p
	}
	p.count++
	p.at = now
	p.now += paceShare * (ms - p.now)
	if share < idleShare {
		p.floor *= 1 + floorRise
	}
	p.floor = math.Min(p.floor, p.now)
}

// idle returns the pace of idle engines, by service.
func (t *paceTable) idle() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for service, p := range t.m {
		if p.count >= paceSamples {
			out[service] = p.floor
		}
	}
	return out
}

// unmeasured reports whether no pace has been measured here yet.
func (t *paceTable) unmeasured() bool { return len(t.idle()) == 0 }

// adopt takes over the pace of idle engines of services that are not measured here yet.
func (t *paceTable) adopt(idle map[string]float64) {
	if len(idle) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopted = idle
}

// ratio returns the mean time between events as a multiple of that of an idle engine.
func (t *paceTable) ratio(now time.Duration, service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.m[service]
	if p == nil || p.count < paceSamples || now-p.at > paceAge || p.floor <= 0 {
		return 1
	}
	return p.now / p.floor
}
