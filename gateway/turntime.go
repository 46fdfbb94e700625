package gateway

import (
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
)

// turnTimes keeps the median time of whole turns by route, from the first byte sent to the
// target to the end of its stream.
type turnTimes struct {
	mu sync.Mutex
	m  map[string]*turnTime
}

type turnTime struct {
	median  time.Duration
	samples int
}

const (
	// turnSamples is the number of turns from which the median is used.
	turnSamples = 20
	// turnStep is the part by which one turn moves the median.
	turnStep = 0.05
	// timeoutTurns is the number of turns that a route's timeout has room for at least: the
	// median is taken for no more, so that turns with their full time are served however slow
	// the engines are.
	timeoutTurns = 4
	// tooLateRetry is when a caller may send a turn again: at once, with its full time.
	tooLateRetry = 10 * time.Millisecond
)

// note takes the time of a turn that has ended well into account.
func (r *turnTimes) note(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[string]*turnTime{}
	}
	t := r.m[route]
	if t == nil {
		t = &turnTime{median: took}
		r.m[route] = t
	}
	t.samples++
	step := time.Duration(turnStep * float64(t.median))
	if took < t.median {
		step = -step
	}
	t.median += step
}

// usual returns the median of a route, 0 while it is not known.
func (r *turnTimes) usual(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.m[route]
	if t == nil || t.samples < turnSamples {
		return 0
	}
	return t.median
}

// inTime fails if a turn will most likely not end in the time left. Load that it answers: turns
// have waited for the controllers and would all run into their deadlines, at the cost of those
// that have their full time. The tokens of a stream that breaks off are spent as well. A
// stream that is resumed needs less time, of which nothing is known.
func (x *exchange) inTime() error {
	if !x.turn() || x.req.Resumes {
		return nil
	}
	need := min(x.g.turns.usual(x.route.Name), x.route.Timeout/timeoutTurns)
	left := x.left()
	if left >= need {
		return nil
	}
	return errs.New(errs.Unavailable, "send the turn again with its full time",
		"%d ms are left and turns of route %q take %d ms", left.Milliseconds(), x.route.Name, need.Milliseconds()).WithRetryAfter(tooLateRetry)
}
