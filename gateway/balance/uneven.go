package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The targets of an uneven service differ in size, or share their machines with others and report
// their pace. The choice among them follows the expected finish of the request: the wait for a
// slot, the part of the prompt that the target doesn't have cached, and the output at the target's
// present pace. Services whose targets report no pace and have equal sizes are chosen from as in
// choose.go.
//
// It is designed for up to 2,800 targets of a service and 20 to 370 gateways that know each other's
// load with a delay of 300 ms.

// unevenService is the state of an uneven service.
type unevenService struct {
	prefixes prefixShares
}

// unevenOf returns the state of a service and makes it an uneven one. The caller holds mu.
func (s *Set) unevenOf(service string) *unevenService {
	u := s.uneven[service]
	if u == nil {
		u = &unevenService{}
		s.uneven[service] = u
	}
	return u
}

// detectUneven adapts the set of uneven services to a changed list of targets. Targets of unknown size
// count as equal to the others. The caller holds mu.
func (s *Set) detectUneven() {
	for service, targets := range s.byService {
		uneven, size := false, 0
		for _, t := range targets {
			if size == 0 {
				size = t.Slots
			}
			uneven = uneven || t.pace.stated || t.Slots > 0 && t.Slots != size
		}
		if uneven {
			s.unevenOf(service)
		} else {
			delete(s.uneven, service)
		}
		s.setRankWeights(service)
	}
	for service := range s.uneven {
		if len(s.byService[service]) == 0 {
			delete(s.uneven, service)
		}
	}
}

// setRankWeights sets the weights of the targets of a service in rendezvous hashing: by size and usual
// pace in an uneven service, otherwise 1. The sizes are the same at all gateways, and the paces are
// rounded, so that gateways rarely differ in the order of the targets. The caller holds mu.
func (s *Set) setRankWeights(service string) {
	targets := s.byService[service]
	if s.uneven[service] == nil {
		for _, t := range targets {
			t.weight = 1
		}
		return
	}
	highest := 0.0
	for _, t := range targets {
		t.weight = t.slots() / math.Pow(paceLevelFactor, float64(t.pace.level))
		highest = max(highest, t.weight)
	}
	for _, t := range targets {
		t.weight = max(t.weight/highest, minRankWeight)
	}
}

// minRankWeight is the lowest weight in rendezvous hashing, relative to the highest.
const minRankWeight = 1.0 / 256

// recordPlacement records where a request was sent and returns the move, or nil if it was none. The
// caller holds mu.
func (s *Set) recordPlacement(now time.Duration, c *Criteria, t *Target) (m *Move) {
	if c.Prompt != nil {
		t.tokens += c.Prompt.total()
	}
	u := s.uneven[c.Service]
	if u == nil {
		return nil
	}
	if c.Affinity != "" && !c.SingleUse {
		tc := s.newTurnCost(now, u, c)
		m = s.place(&tc, c, t)
	}
	if c.Prompt == nil {
		return m
	}
	if hash, tokens := c.Prompt.shared(); tokens > 0 {
		t.prefixes.add(now, hash)
		u.prefixes.add(hash)
	}
	return m
}

// placementKey returns the key of a request's placement.
func placementKey(c *Criteria) uint64 {
	return mix(xxhash.Sum64String(c.Service)) ^ xxhash.Sum64String(c.Affinity)
}

// turnCost is what the cost of a request depends on besides the target.
type turnCost struct {
	now time.Duration
	// work is about the time that the request takes, for the age of reported paces.
	work time.Duration
	// output is the expected time of the output, in steps of an idle engine; own and shared are the
	// times for reading the prompt's own and its shared part.
	output, own, shared float64
	prefix              uint64 // hash of the shared part
	// prefixRate is the number of turns with the shared prefix that all gateways together send to a
	// target, per second.
	prefixRate float64
	prompt     float64 // tokens; 0: not known
	home       *Target // holds the history of the request's program; nil: not known
}

// turnWork is about the time that a turn takes. Calls without a prompt take a few ms.
const turnWork = 200 * time.Millisecond

// newTurnCost returns the costs of a request. The caller holds mu.
func (s *Set) newTurnCost(now time.Duration, u *unevenService, c *Criteria) turnCost {
	tc := turnCost{now: now, output: usualOutput}
	p := c.Prompt
	if p == nil {
		return tc
	}
	hash, shared := p.shared()
	tc.work, tc.prefix, tc.output, tc.prompt = turnWork, hash, p.output(), float64(p.total())
	tc.shared = float64(shared) / promptTokensPerStep
	tc.own = float64(max(p.total()-shared, 0)) / promptTokensPerStep
	if d := s.demands[c.Service]; d != nil && shared > 0 {
		tc.prefixRate = u.prefixes.byHash[hash] * d.perSecond * float64(s.gateways) / float64(len(s.byService[c.Service]))
	}
	return tc
}

// occupancy estimates the time that the output takes at a target, waiting for a slot included, as a
// multiple of its time on an idle target of usual pace. The prompts in the target's memory count as
// requests of the length of this one's prompt.
func (tc *turnCost) occupancy(t *Target) float64 {
	var load float64
	if tc.prompt > 0 {
		load = max(t.load(tc.now), float64(t.tokens)/tc.prompt+float64(t.otherInFlight))
	} else {
		load = t.shortCallLoad(tc.now)
	}
	slots := t.slots()
	cost := 1 + min(load/slots, 1)*batchCost
	if load >= slots {
		cost *= 1 + (load-slots+1)/slots
	}
	speed := t.pace.expected(tc.now, tc.work)
	if slow := t.currentSlowness(tc.now); slow > slowThreshold {
		speed = max(speed, slow)
	}
	return cost * speed
}

// otherMeanWeight is the weight of the newest poll in the mean count of the other gateways' requests.
const otherMeanWeight = 0.25

// shortCallLoad estimates the number of requests at a target of short calls. The calls that the last
// poll counted have ended, so the mean of the last polls says more about the other gateways than the
// newest count. A report of the target loses its weight as fast as its pace.
func (t *Target) shortCallLoad(now time.Duration) float64 {
	load := float64(t.inFlight) + t.otherMean
	age := now - t.reportedAt
	if age >= maxReportAge {
		return load
	}
	weight := math.Exp2(-float64(age) / float64(paceHalfLife))
	return max(load+weight*(float64(t.reportedLoad)-load), float64(t.inFlight))
}

// penalties returns the cost of a target that is cold, fails requests or has stalled.
func (tc *turnCost) penalties(t *Target) float64 {
	cost := t.failureRate(tc.now)*failureCost + t.stallRatio(tc.now)*stallCost
	if t.coldUntil > tc.now {
		cost += coldCost
	}
	return cost
}

// reading returns the expected time for the part of the prompt that a target doesn't have cached. The
// target that holds the history of the program has all but its newest part.
func (tc *turnCost) reading(t *Target) float64 {
	cost := tc.shared * (1 - tc.holdsPrefix(t))
	if t != tc.home {
		cost += tc.own
	}
	return cost * t.pace.expected(tc.now, tc.work)
}

// holdsPrefix returns the probability that a target has the shared prefix cached: it does if this
// gateway has sent it there, and probably if the turns of all gateways have brought it.
func (tc *turnCost) holdsPrefix(t *Target) float64 {
	if tc.shared == 0 || t.prefixes.has(tc.now, tc.prefix) {
		return 1
	}
	return 1 - math.Exp(-tc.prefixRate*min(tc.now-t.listedAt, maxPrefixAge).Seconds())
}

// finish returns the expected finish of the request at a target, as a multiple of the time of its
// output on an idle target of usual pace.
func (tc *turnCost) finish(t *Target) float64 {
	return tc.occupancy(t) + tc.penalties(t) + tc.reading(t)/tc.output
}

const (
	// topRanked is the number of targets that are compared at most, of the highest rank.
	topRanked = 6
	// moveMargin is the gain, as a multiple of the time of the output, that a request must have at
	// another target before it leaves the one that holds its history. The load of other gateways is
	// known with a delay of 300 ms, so that a smaller gain is often none. In the replays of
	// uneven_test.go 0.3 adds moves
	// without a gain, and 0.5 lets queues form at eight times the usual load.
	moveMargin = 0.4
)

// topTargets holds the targets of highest rank, in descending order.
type topTargets struct {
	targets [topRanked]*Target
	ranks   [topRanked]uint64
	n       int
}

// insert adds a target if its rank for a key is high enough.
func (l *topTargets) insert(t *Target, key uint64) {
	// A weight only lowers the rank. It takes longer to compute than the rank without it.
	if l.n == topRanked && mix(key^t.hash) <= l.ranks[l.n-1] {
		return
	}
	rank := t.rank(key)
	if l.n == topRanked && rank <= l.ranks[l.n-1] {
		return
	}
	l.n = min(l.n+1, topRanked)
	i := l.n - 1
	for ; i > 0 && l.ranks[i-1] < rank; i-- {
		l.targets[i], l.ranks[i] = l.targets[i-1], l.ranks[i-1]
	}
	l.targets[i], l.ranks[i] = t, rank
}

// chooseUneven returns the best of the candidates of an uneven service. The caller holds mu.
func (s *Set) chooseUneven(now time.Duration, u *unevenService, c *Criteria, candidates []*Target) *Target {
	tc := s.newTurnCost(now, u, c)
	if c.Affinity == "" {
		return s.leastLoadedUneven(&tc, c, candidates)
	}
	return s.byHistory(&tc, c, candidates)
}

// byHistory prefers the target that holds the history of the request's program: the last one if this
// gateway has seen the last request, or the first in the order of rendezvous hashing on the affinity key,
// where other gateways send the program as well. The request leaves it only for an earlier finish at the second target of that order or at
// one that holds its shared prefix, and goes on to further targets if these are crowded. It compares
// only a few targets for the reason given at byAffinity.
func (s *Set) byHistory(tc *turnCost, c *Criteria, candidates []*Target) *Target {
	key := xxhash.Sum64String(c.Affinity)
	last := s.homeOf(tc.now, c)
	var top topTargets
	for _, t := range candidates {
		if t == last {
			tc.home = t
		}
		top.insert(t, key)
	}
	if tc.home == nil {
		tc.home = top.targets[0]
	}
	best, bestCost := tc.home, tc.finish(tc.home)-tc.margin(tc.home)
	consider := func(t *Target) {
		if cost := tc.finish(t); cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if tc.holdsPrefix(tc.home) < 0.5 {
		if t := tc.prefixHolder(key, candidates); t != nil {
			consider(t)
		}
	}
	for i, t := range top.targets[:top.n] {
		if i > 0 && i%affinityGroupSize == 0 && !tc.crowded(best) {
			break
		}
		if t != tc.home {
			consider(t)
		}
	}
	return best
}

// prefixHolder returns the target of highest rank to which this gateway has sent the shared prefix, or
// nil.
func (tc *turnCost) prefixHolder(key uint64, candidates []*Target) (holder *Target) {
	for _, t := range candidates {
		if t.prefixes.has(tc.now, tc.prefix) && (holder == nil || t.rank(key) > holder.rank(key)) {
			holder = t
		}
	}
	return holder
}

// margin returns the gain that a request must have to leave the target that holds its history. It is lower
// where all slots may be taken: the counts of other gateways are old, and the true load may be higher by its
// standard deviation, which is the square root of the load for requests that arrive at random. A queue costs
// more than a move.
func (tc *turnCost) margin(t *Target) float64 {
	if load := t.load(tc.now); load+math.Sqrt(load) >= t.slots() {
		return affinityBonus
	}
	return moveMargin
}

// crowded reports whether a request would queue at a target, or take as long as if it did.
func (tc *turnCost) crowded(t *Target) bool {
	return tc.occupancy(t)+tc.penalties(t) >= crowdedCost*t.pace.usual(tc.now)
}

// leastLoadedUneven returns the target with the earliest expected finish for a request without an
// affinity key.
func (s *Set) leastLoadedUneven(tc *turnCost, c *Criteria, candidates []*Target) *Target {
	var best *Target
	bestCost := math.Inf(1)
	start := rand.IntN(len(candidates))
	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		cost := tc.finish(t)
		if t.Zone == s.zone {
			cost -= sameZoneBonus
		}
		if c.Connected != nil && c.Connected(t.ID) {
			cost -= connectedBonus
		}
		if c.NonRepeatable {
			cost += t.failureRate(tc.now) * nonRepeatableFailureCost
		}
		if cost < bestCost || cost == bestCost && t.inFlight < best.inFlight {
			best, bestCost = t, cost
		}
	}
	return best
}

// Uneven reports whether the targets of a service report their pace or differ in size.
func (s *Set) Uneven(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uneven[service] != nil
}
