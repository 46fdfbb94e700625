package controller

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
)

const (
	// limitBurstTime is the time for which a target's unused permits are kept, besides a single
	// one.
	limitBurstTime = 500 * time.Millisecond
	// maxReturnDelay bounds the time after which a refused caller is told to return. Callers that
	// would have to wait longer have given up by then.
	maxReturnDelay = 5 * time.Second
	// maxLimitsPerReply limits the statements in one reply to a poll, so that their four bytes each
	// stay below 4 KB a second when most targets of a large site name limits at once.
	maxLimitsPerReply = 160
)

// limitTable holds the request limits that targets have named, and grants the permits to send
// requests to these targets. With hundreds of gateways, a limit may be below one request for each
// gateway, so only one process can count the requests of all of them.
//
// Gateways report what targets say in their responses; the newest statement about a target
// counts. A new term starts with an empty table, which the gateways fill by reporting all they
// know.
type limitTable struct {
	log logr.Logger

	mu         sync.Mutex
	term       uint64
	revision   uint64 // of the newest change
	targets    map[string]*targetLimit
	byRevision []*targetLimit
}

// targetLimit is the state of one target that names a request limit or has named one.
type targetLimit struct {
	id        string
	startedAt int64   // Target.StartedAt; 0: not listed yet
	perSecond float64 // negative: the target names no limit any more
	statedAt  time.Duration
	revision  uint64 // of the last change of the limit

	permits    float64 // negative if granted ahead
	refilledAt time.Duration
	// returnAt is when the last caller that was told to return is expected to return.
	returnAt time.Duration
}

// startTerm clears the table if the term is new. The caller holds mu.
func (t *limitTable) startTerm(term uint64) {
	if t.term == term && t.targets != nil {
		return
	}
	t.term, t.revision = term, 0
	t.targets, t.byRevision = map[string]*targetLimit{}, nil
}

// report records what a gateway has heard from targets.
func (t *limitTable) report(now time.Duration, term uint64, statements []fleet.LimitStatement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term)
	for _, s := range statements {
		t.record(now, s)
	}
}

// record merges a statement. The caller holds mu.
func (t *limitTable) record(now time.Duration, s fleet.LimitStatement) {
	statedAt := now - s.Age()
	l := t.targets[s.Target]
	if l == nil {
		l = &targetLimit{id: s.Target, perSecond: fleet.NoLimit, statedAt: statedAt - 1, refilledAt: now}
		t.targets[s.Target] = l
	}
	if statedAt <= l.statedAt {
		return
	}
	l.statedAt = statedAt
	l.refill(now)
	before := l.perSecond
	l.perSecond = float64(s.PerSecond)
	if fleet.LimitCode(before) == fleet.LimitCode(l.perSecond) && l.revision > 0 {
		return
	}
	if before < 0 {
		l.permits, l.returnAt = 0, 0
	}
	t.moveToEnd(l)
	t.log.Info("request limit of target changed", "target", l.id, "limited", l.perSecond >= 0, "per_second", l.perSecond, "age_ms", s.AgeMs)
}

// moveToEnd gives a target the newest revision.
func (t *limitTable) moveToEnd(l *targetLimit) {
	if l.revision > 0 {
		i := t.firstAfter(l.revision - 1)
		t.byRevision = slices.Delete(t.byRevision, i, i+1)
	}
	t.revision++
	l.revision = t.revision
	t.byRevision = append(t.byRevision, l)
}

// firstAfter returns the position in byRevision of the first change after a revision.
func (t *limitTable) firstAfter(revision uint64) int {
	return sort.Search(len(t.byRevision), func(i int) bool { return t.byRevision[i].revision > revision })
}

// changeSince returns the statements that a host has not received yet, the oldest changes first,
// or nil if there are none. index holds the positions of the listed targets.
func (t *limitTable) changeSince(now time.Duration, term uint64, held fleet.LimitVersion, index map[string]int) *fleet.LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term)
	if held.Term != term {
		held = fleet.LimitVersion{Term: term}
	} else if held.Revision >= t.revision {
		return nil
	}
	var limits []fleet.Limit
	for _, l := range t.byRevision[t.firstAfter(held.Revision):] {
		if len(limits) == maxLimitsPerReply {
			break
		}
		held.Revision = l.revision
		if i, listed := index[l.id]; listed {
			limits = append(limits, fleet.Limit{Index: i, PerSecond: l.perSecond, Age: now - l.statedAt})
		}
	}
	return &fleet.LimitChange{Version: held, Limits: fleet.EncodeLimits(limits)}
}

// retain discards the state of targets that are no longer listed or have restarted.
func (t *limitTable) retain(listed []fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.targets) == 0 {
		return
	}
	started := make(map[string]int64, len(listed))
	for _, target := range listed {
		started[target.ID] = target.StartedAt
	}
	t.byRevision = slices.DeleteFunc(t.byRevision, func(l *targetLimit) bool {
		at, ok := started[l.id]
		gone := !ok || l.startedAt != 0 && l.startedAt != at
		if gone {
			delete(t.targets, l.id)
		}
		l.startedAt = at
		return gone
	})
}

// permit grants the permit to send one request to the first candidate that has one, or to the one
// that has it within the request's maximum delay. If there is none and the request has no
// alternative, the reply tells when the caller should return.
func (t *limitTable) permit(now time.Duration, term uint64, req *fleet.PermitRequest) *fleet.PermitReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term)
	for _, s := range req.Limits {
		t.record(now, s)
	}
	candidates, known := t.candidates(now, req.Candidates)
	if !known {
		return &fleet.PermitReply{}
	}
	soonest := 0
	for i, l := range candidates {
		wait := l.wait()
		if wait == 0 {
			l.permits--
			return &fleet.PermitReply{Granted: i + 1}
		}
		if wait < candidates[soonest].wait() {
			soonest = i
		}
	}
	if wait := candidates[soonest].wait(); wait <= req.MaxDelay {
		candidates[soonest].permits--
		return &fleet.PermitReply{Granted: soonest + 1, Delay: wait}
	}
	reply := &fleet.PermitReply{}
	for _, l := range candidates {
		reply.WaitMs = append(reply.WaitMs, int(l.wait().Milliseconds())+1)
	}
	if req.NoAlternative {
		reply.RetryAfter = scheduleReturn(now, candidates)
	}
	return reply
}

// candidates returns the state of targets as of now. It returns false if the limit of one of them is
// not known, as may be at the beginning of a term. The caller holds mu.
func (t *limitTable) candidates(now time.Duration, ids []string) ([]*targetLimit, bool) {
	out := make([]*targetLimit, len(ids))
	for i, id := range ids {
		l := t.targets[id]
		if l == nil {
			return nil, false
		}
		l.refill(now)
		out[i] = l
	}
	return out, len(out) > 0
}

// scheduleReturn returns the time after which the caller of a refused request should return.
// Callers are told different times, so that they return at the pace of the limits.
func scheduleReturn(now time.Duration, candidates []*targetLimit) time.Duration {
	best, bestAt := candidates[0], candidates[0].nextReturn(now)
	for _, l := range candidates[1:] {
		if at := l.nextReturn(now); at < bestAt {
			best, bestAt = l, at
		}
	}
	best.returnAt = min(bestAt, now+maxReturnDelay)
	return best.returnAt - now
}

// nextReturn returns when the next refused caller should return.
func (l *targetLimit) nextReturn(now time.Duration) time.Duration {
	return max(now+l.wait(), l.returnAt+l.interval())
}

// rate returns the permits per second. A target that names no limit has none.
func (l *targetLimit) rate() float64 { return max(l.perSecond, fleet.MinRequestLimit) }

// interval returns the time between two permits.
func (l *targetLimit) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.rate())
}

// refill adds the permits that have accrued since the last call.
func (l *targetLimit) refill(now time.Duration) {
	capacity := 1 + l.rate()*limitBurstTime.Seconds()
	l.permits = min(capacity, l.permits+l.rate()*(now-l.refilledAt).Seconds())
	l.refilledAt = now
}

// wait returns the time until the target has a permit, 0 if it has one or names no limit.
func (l *targetLimit) wait() time.Duration {
	if l.perSecond < 0 || l.permits >= 1 {
		return 0
	}
	return max(refillTime(1-l.permits, l.rate()), 1)
}
