package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/fleet"
)

// LimitedTargets tells how targets that name a request limit are chosen.
type LimitedTargets int

// Ways to choose targets that name a request limit.
const (
	// ExcludeLimited leaves them out: the leader has granted no permit for one of them.
	ExcludeLimited LimitedTargets = iota
	// LimitedByShare includes those for which this gateway's share of the limit allows a request
	// now. It is for the time in which the leader does not respond.
	LimitedByShare
)

// maxPermitCandidates is the number of targets for which one permit is requested if the service has
// no others. With eight of them, a free permit is found while most targets have none.
// maxPreferredCandidates is that number if the service has others.
const (
	maxPermitCandidates    = 8
	maxPreferredCandidates = 4
)

// requestLimit is what the gateway knows of the request limit of a target.
type requestLimit struct {
	stated    bool    // the target has named a limit, now or before
	perSecond float64 // negative: no limit
	statedAt  time.Duration
	// unreported is set until the leader is known to have the statement.
	unreported bool
	// weight is the target's weight in rendezvous hashing, above 0 and at most 1.
	weight float64
	// retryAt is the clock time before which the leader has no permit.
	retryAt time.Duration
	// share holds this gateway's share of the limit.
	share shareBucket
}

// active reports whether the target names a limit.
func (l *requestLimit) active() bool { return l.stated && l.perSecond >= 0 }

// set records a statement. It returns true if the limit has changed.
func (l *requestLimit) set(now, statedAt time.Duration, perSecond float64) (changed bool) {
	changed = !l.stated || fleet.LimitCode(l.perSecond) != fleet.LimitCode(perSecond)
	if !l.active() && perSecond >= 0 {
		l.share.start(now)
	}
	if changed {
		l.retryAt = 0
	}
	if l.weight == 0 {
		l.weight = 1
	}
	l.stated, l.perSecond, l.statedAt = true, perSecond, statedAt
	return changed
}

// rate returns the requests per second that all gateways together may send.
func (l *requestLimit) rate() float64 { return max(l.perSecond, fleet.MinRequestLimit) }

// shareAvailable reports whether this gateway's share of the limit allows a request now.
func (l *requestLimit) shareAvailable(now time.Duration, gateways int) bool {
	return l.share.available(now, ratePerGateway(l.rate(), gateways))
}

// statement returns what the gateway knows, for the leader.
func (t *Target) statement(now time.Duration) fleet.LimitStatement {
	age := min(max(now-t.limit.statedAt, 0).Milliseconds(), math.MaxUint32)
	return fleet.LimitStatement{Target: t.ID, PerSecond: float32(t.limit.perSecond), AgeMs: uint32(age)}
}

// HearLimit records the request limit that a target has named in a response, or fleet.NoLimit if
// it has named none. It returns true if the limit has changed.
func (s *Set) HearLimit(now time.Duration, t *Target, perSecond float64) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.limit.stated && perSecond < 0 {
		return false
	}
	if !t.limit.set(now, now, perSecond) {
		return false
	}
	t.limit.unreported = true
	return true
}

// Limited reports whether a target names a request limit.
func (s *Set) Limited(t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.limit.active()
}

// CountLimited returns the number of targets that name a request limit.
func (s *Set) CountLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.byID {
		if t.limit.active() {
			n++
		}
	}
	return n
}

// UnreportedLimits returns up to n statements of targets that the leader may not know.
func (s *Set) UnreportedLimits(now time.Duration, n int) []fleet.LimitStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.LimitStatement
	for _, t := range s.byID { // the random order lets many gateways report different targets first
		if len(out) == n {
			break
		}
		if t.limit.unreported {
			out = append(out, t.statement(now))
		}
	}
	return out
}

// LimitsReported records that the leader has received statements.
func (s *Set) LimitsReported(statements []fleet.LimitStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range statements {
		t := s.byID[st.Target]
		if t != nil && fleet.LimitCode(t.limit.perSecond) == fleet.LimitCode(float64(st.PerSecond)) {
			t.limit.unreported = false
		}
	}
}

// ReportAllLimits makes UnreportedLimits return all statements again, for a leader that has just
// been elected.
func (s *Set) ReportAllLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.byID {
		t.limit.unreported = t.limit.stated
	}
}

// ReportLimits makes UnreportedLimits and PermitCandidates return the statements of targets again.
func (s *Set) ReportLimits(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if t := s.byID[id]; t != nil {
			t.limit.unreported = t.limit.stated
		}
	}
}

// ApplyLimits merges statements that other gateways have reported. It returns false if they don't
// match the list of targets.
func (s *Set) ApplyLimits(now time.Duration, limits []fleet.Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range limits {
		if l.Index >= len(s.ordered) {
			return false
		}
		s.ordered[l.Index].limit.merge(now, l)
	}
	return true
}

// merge adopts a statement of another gateway if it is newer than the one known here. An older one
// that differs shows that the leader needs this gateway's.
func (l *requestLimit) merge(now time.Duration, other fleet.Limit) {
	statedAt := now - other.Age
	if !l.stated || statedAt > l.statedAt {
		l.set(now, statedAt, other.PerSecond)
		l.unreported = false
		return
	}
	l.unreported = fleet.LimitCode(l.perSecond) != fleet.LimitCode(other.PerSecond)
}

// PermitCandidates returns the request for a permit that a request needs before it can be sent, with
// the targets in order of preference. It returns nil unless a limited target would be chosen if it
// had a permit, or unless there are no others.
func (s *Set) PermitCandidates(now time.Duration, c *Criteria) *fleet.PermitRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	limited, ejected := s.limitedTargets(now, c)
	if len(limited)+len(ejected) == 0 {
		return nil
	}
	others, _ := s.eligible(now, c)
	n := maxPermitCandidates
	if len(others) > 0 {
		limited = slices.DeleteFunc(limited, func(t *Target) bool { return t.limit.retryAt > now })
		if len(limited) == 0 || !s.choose(now, c, append(others, limited...)).limit.active() {
			return nil
		}
		n = maxPreferredCandidates
		if c.Affinity != "" {
			n = 1 // no other limited target has the prompt cached
		}
	}
	if len(limited) == 0 {
		limited = ejected
	}
	req := &fleet.PermitRequest{NoAlternative: len(others) == 0}
	for _, t := range preferredTargets(now, c, limited, n) {
		req.Candidates = append(req.Candidates, t.ID)
		if t.limit.unreported {
			req.Limits = append(req.Limits, t.statement(now))
		}
	}
	return req
}

// TakesWithoutPermit reports whether a target without a request limit may take the request.
func (s *Set) TakesWithoutPermit(now time.Duration, c *Criteria) bool {
	unlimited := *c
	unlimited.Limited = ExcludeLimited
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates, _ := s.eligible(now, &unlimited)
	return len(candidates) > 0
}

// limitedTargets returns the targets that name a request limit and may otherwise take the request,
// those that are ejected apart. The caller holds mu.
func (s *Set) limitedTargets(now time.Duration, c *Criteria) (limited, ejected []*Target) {
	perSecond := ratePerGateway(s.coldLimits[c.Service], s.gateways)
	trial := s.trialTargets(now, c)
	for _, t := range s.byService[c.Service] {
		switch {
		case !t.limit.active() || !s.admits(c, t) || s.held(now, c, t) || trial != nil && !slices.Contains(trial, t):
		case t.coldUntil > now && perSecond > 0 && !t.coldTokens.available(now, perSecond):
		case t.ejectedUntil > now:
			ejected = append(ejected, t)
		default:
			limited = append(limited, t)
		}
	}
	return limited, ejected
}

// preferredTargets returns up to n limited targets in the order in which they should take a request:
// first those that may have a permit, then those that get one first; among equals the ones that rank
// highest for the affinity key, or else the cheapest.
func preferredTargets(now time.Duration, c *Criteria, targets []*Target, n int) []*Target {
	type scored struct {
		t     *Target
		ready time.Duration // when the target may have a permit
		rank  uint64
		cost  float64
	}
	key := xxhash.Sum64String(c.Affinity)
	all := make([]scored, len(targets))
	for i, t := range targets {
		all[i] = scored{t: t, ready: max(t.limit.retryAt, now)}
		if c.Affinity != "" {
			all[i].rank = t.rank(key)
		} else {
			all[i].cost = t.expectedCost(now)
		}
	}
	// Equal targets must not have the same order at all gateways.
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(b.rank, a.rank), cmp.Compare(a.cost, b.cost))
	})
	out := make([]*Target, min(n, len(all)))
	for i := range out {
		out[i] = all[i].t
	}
	return out
}

// AcquirePermitted counts a request as in flight at a target for which the leader has granted a
// permit. It returns nil if the target is not listed any more.
func (s *Set) AcquirePermitted(now time.Duration, id string, c *Criteria) *Target {
	t, move := s.acquirePermitted(now, id, c)
	if move != nil && s.onMove != nil {
		s.onMove(move)
	}
	return t
}

func (s *Set) acquirePermitted(now time.Duration, id string, c *Criteria) (*Target, *Move) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byID[id]
	if t == nil || !s.usable(t) {
		return nil, nil
	}
	s.acquire(now, t)
	return t, s.recordPlacement(now, c, t)
}

// PermitDenied records how long the leader has no permits for the candidates of a request.
func (s *Set) PermitDenied(now time.Duration, req *fleet.PermitRequest, reply *fleet.PermitReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, ms := range reply.WaitMs[:min(len(reply.WaitMs), len(req.Candidates))] {
		if t := s.byID[req.Candidates[i]]; t != nil {
			t.limit.retryAt = now + time.Duration(ms)*time.Millisecond
		}
	}
}

// shareBucket is the token bucket of this gateway's share of a rate that all gateways have in
// common. It is used where no permits are granted for single requests.
type shareBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// start begins with a random fraction of a token, so that gateways don't all get their first
// token at once.
func (b *shareBucket) start(now time.Duration) {
	b.refilledAt, b.tokens = now, rand.Float64()
}

// available refills the bucket and reports whether this gateway may send a request now. take takes
// the token.
func (b *shareBucket) available(now time.Duration, perSecond float64) bool {
	b.tokens += perSecond * (now - b.refilledAt).Seconds()
	b.refilledAt = now
	whole, fraction := math.Modf(b.tokens)
	b.tokens = fraction
	if whole < 1 || fraction/perSecond > shareTokenLifetime.Seconds() {
		return false
	}
	b.tokens++
	return true
}

func (b *shareBucket) take() { b.tokens-- }

// ratePerGateway returns the requests per second that one gateway may send to a target that takes
// the given rate from all gateways together.
func ratePerGateway(perSecond float64, gateways int) float64 {
	share := perSecond / float64(gateways)
	if share < 1 {
		share *= sparseShareFactor
	}
	return share
}
