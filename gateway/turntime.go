package gateway

import (
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
)

// turnTimes estimates the median duration of turns by route, from sending the request to a
// target to the end of its stream.
type turnTimes struct {
	mu      sync.Mutex
	byRoute map[string]*turnTime
}

type turnTime struct {
	median  time.Duration
	samples int
}

const (
	// minTurnSamples is the number of turns from which the estimate is used.
	minTurnSamples = 20
	// medianStep is the fraction by which each turn raises or lowers the estimate.
	medianStep = 0.05
	// minTurnsPerTimeout bounds the median that is used to a fraction of the route's timeout,
	// so that turns that have their full time are served however slow the engines are.
	minTurnsPerTimeout = 4
	// tooLateRetryAfter is the Retry-After of turns with too little time left. They may be sent
	// again at once, with their full time.
	tooLateRetryAfter = 10 * time.Millisecond
)

// record adds the duration of a turn that has completed.
func (r *turnTimes) record(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRoute == nil {
		r.byRoute = map[string]*turnTime{}
	}
	t := r.byRoute[route]
	if t == nil {
		t = &turnTime{median: took}
		r.byRoute[route] = t
	}
	t.samples++
	step := time.Duration(medianStep * float64(t.median))
	if took < t.median {
		step = -step
	}
	t.median += step
}

// medianFor returns the median duration of turns on a route, or 0 if it is not known yet.
func (r *turnTimes) medianFor(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byRoute[route]
	if t == nil || t.samples < minTurnSamples {
		return 0
	}
	return t.median
}

// checkTimeLeft fails if a turn will most likely not end in the time left. Otherwise all turns
// that have waited for the controllers would run into their deadlines and slow down those that
// have their full time, and the tokens of their incomplete streams would be spent as well. A
// stream that is resumed is not checked: it needs less time, and how much is unknown.
func (x *exchange) checkTimeLeft() error {
	if !x.isTurn() || x.req.LastEvent != "" {
		return nil
	}
	need := min(x.g.turns.medianFor(x.route.Name), x.route.Timeout/minTurnsPerTimeout)
	timeLeft := x.timeLeft()
	if timeLeft >= need {
		return nil
	}
	return errs.New(errs.Unavailable, "send the turn again with its full time",
		"%d ms are left and turns of route %q take %d ms", timeLeft.Milliseconds(), x.route.Name, need.Milliseconds()).WithRetryAfter(tooLateRetryAfter)
}
