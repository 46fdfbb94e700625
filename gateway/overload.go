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
	// urgentSlotShareLimit and slotShareLimit are the shares of occupied slots of a service
	// above which new programs are refused, for the most urgent priority and for all others.
	// Above them turns queue for slots and all programs that have begun are slowed down.
	urgentSlotShareLimit = 0.90
	slotShareLimit       = 0.78
	// urgentSlotShareLimitIdle and slotShareLimitIdle replace them for engines that keep the
	// event interval of an idle engine with that many slots occupied, as engines with few slots
	// do. Only the wait for a slot matters there.
	urgentSlotShareLimitIdle = 1.10
	slotShareLimitIdle       = 0.95
	// slowIntervalRatio is the event interval, as a multiple of that of an idle engine, from
	// which urgentSlotShareLimit and slotShareLimit apply in full. Below it the limits are
	// interpolated.
	slowIntervalRatio = 1.4
	// urgentIntervalLimit and intervalLimit are the event intervals, as multiples of that of an
	// idle engine, above which new programs are refused. Engines with many slots slow down long
	// before their slots are all occupied.
	urgentIntervalLimit = 2.6
	intervalLimit       = 2.2
	// overloadRetryAfter is the Retry-After for an excess of 1: the time in which an excess of
	// 1 in the share of occupied slots ends, which is about two turns.
	overloadRetryAfter = 800 * time.Millisecond
	// minOverloadRetryAfter is the lower bound of the Retry-After.
	minOverloadRetryAfter = 250 * time.Millisecond
)

// overloadExcess returns by how much a service is too busy for new programs of a priority, or 0
// if it is not. If more programs begin than the engines can serve, each further one slows down all
// others until none of them finishes in time.
func overloadExcess(slotShare, intervalRatio float64, priority int) (excess float64) {
	shareLimit, idleLimit, ratioLimit := slotShareLimit, slotShareLimitIdle, intervalLimit
	if priority == 0 {
		shareLimit, idleLimit, ratioLimit = urgentSlotShareLimit, urgentSlotShareLimitIdle, urgentIntervalLimit
	}
	slow := min(max((intervalRatio-1)/(slowIntervalRatio-1), 0), 1)
	shareLimit = idleLimit - slow*(idleLimit-shareLimit)
	return max(slotShare-shareLimit, intervalRatio/ratioLimit-1, 0)
}

// shedNewProgram refuses the first turn of a program while its service is overloaded.
func (x *exchange) shedNewProgram(ctx context.Context) error {
	if !x.isTurn() {
		return nil
	}
	service := x.service()
	if wait := x.g.scarcity.newProgramWait(clock.Now(), service); wait > 0 && !x.programBegun(ctx) {
		return targetsLimitedError(service, wait)
	}
	slotShare := x.g.targets.Utilisation(clock.Now(), service)
	intervalRatio := x.g.intervals.ratio(clock.Now(), service)
	excess := overloadExcess(slotShare, intervalRatio, x.priority())
	if excess <= 0 || x.programBegun(ctx) {
		return nil
	}
	wait := max(time.Duration(excess*float64(overloadRetryAfter)), minOverloadRetryAfter)
	return errs.New(errs.Overloaded, "retry later", "service %q is overloaded: %.2f of its slots are occupied and events take %.2f times as long as on idle engines",
		service, slotShare, intervalRatio).WithRetryAfter(wait)
}

// programBegun reports whether the request's program has begun.
func (x *exchange) programBegun(ctx context.Context) bool {
	return x.g.admissions.programBegun(ctx, x.org, x.req.Program)
}

// eventIntervals keeps the mean time between the events of streams, by service.
type eventIntervals struct {
	mu        sync.Mutex
	byService map[string]*eventInterval
	// adopted holds the event intervals of idle engines that other gateways have measured. A
	// gateway that starts while the engines are busy would take their current interval for that
	// of idle engines.
	adopted map[string]float64 // ms, by service
}

type eventInterval struct {
	mean      float64 // moving average over streams, in ms
	updatedAt time.Duration
	idle      float64 // of an idle engine, in ms
	samples   int
}

const (
	// intervalWeight is the weight of the newest stream in the exponential moving average.
	intervalWeight = 0.1
	// idleSlotShare is the share of occupied slots below which engines count as idle. Each
	// stream of an idle engine raises the idle interval by idleIntervalRise, so that the idle
	// interval follows engines that have become slower. It never rises under load, as it would
	// follow a sustained overload until new programs were admitted again.
	idleSlotShare    = 0.1
	idleIntervalRise = 0.005
	// minIntervalSamples is the number of streams from which the measurements are used.
	minIntervalSamples = 20
	// maxIntervalAge is the time without new streams after which the mean is no longer used.
	maxIntervalAge = time.Second
	// minIntervalEvents is the number of events that a stream needs to be measured.
	minIntervalEvents = 4
)

// record adds the mean interval between the events of one stream. slotShare is the share of
// occupied slots of the service at that time.
func (e *eventIntervals) record(now time.Duration, service string, ms, slotShare float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byService == nil {
		e.byService = map[string]*eventInterval{}
	}
	iv := e.byService[service]
	if iv == nil {
		iv = &eventInterval{mean: ms, idle: ms}
		if idle, ok := e.adopted[service]; ok {
			iv.idle = idle
		}
		e.byService[service] = iv
	}
	iv.samples++
	iv.updatedAt = now
	iv.mean += intervalWeight * (ms - iv.mean)
	if slotShare < idleSlotShare {
		iv.idle *= 1 + idleIntervalRise
	}
	iv.idle = math.Min(iv.idle, iv.mean)
}

// idleIntervals returns the event intervals of idle engines in ms, by service.
func (e *eventIntervals) idleIntervals() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]float64{}
	for service, iv := range e.byService {
		if iv.samples >= minIntervalSamples {
			out[service] = iv.idle
		}
	}
	return out
}

// noneMeasured reports whether this gateway has not measured the event interval of any service
// yet.
func (e *eventIntervals) noneMeasured() bool { return len(e.idleIntervals()) == 0 }

// adopt sets the event intervals of idle engines for services that are not measured here yet.
func (e *eventIntervals) adopt(idle map[string]float64) {
	if len(idle) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopted = idle
}

// ratio returns the mean event interval as a multiple of that of an idle engine, or 1 if it is
// unknown.
func (e *eventIntervals) ratio(now time.Duration, service string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	iv := e.byService[service]
	if iv == nil || iv.samples < minIntervalSamples || now-iv.updatedAt > maxIntervalAge || iv.idle <= 0 {
		return 1
	}
	return iv.mean / iv.idle
}
