package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Criteria describes the request that needs a target.
type Criteria struct {
	Service string
	// Version restricts the choice to targets of a software version; empty: any.
	Version string
	// NotVersion leaves out targets of a software version; empty: none.
	NotVersion string
	// TrialPart restricts the choice to this part of the targets of Version, so that a version which
	// gets few requests has them at targets with the usual load; 0: no restriction.
	TrialPart float64
	// Affinity is the affinity key. Requests with the same key run faster on the same target,
	// which has their prompt cached. Empty means no affinity.
	Affinity string
	// SingleUse is set if no other request has the affinity key, so that it need not be remembered.
	SingleUse bool
	// Attempt is the id of the request, Previous that of the program's previous turn; empty if it is not
	// stated.
	Attempt, Previous string
	// Exclude lists the ids of targets that have already refused or failed this request.
	Exclude []string
	// NonRepeatable marks a request that must not be sent again after a failure, so that a failing
	// target loses it.
	NonRepeatable bool
	// Connected reports whether an idle connection to a target exists; nil if this is not known.
	Connected func(id string) bool
	// Limited tells how targets that name a request limit are chosen.
	Limited LimitedTargets
	// Prompt describes the prompt of a turn; nil if it is not known.
	Prompt *Prompt
}

// Acquire chooses a target and counts the request as in flight there until Release. It returns
// nil and the reason if no target of the service may take the request.
func (s *Set) Acquire(now time.Duration, c *Criteria) (*Target, string) {
	t, reason, move := s.chooseAndAcquire(now, c)
	if move != nil && s.onMove != nil {
		s.onMove(move)
	}
	return t, reason
}

func (s *Set) chooseAndAcquire(now time.Duration, c *Criteria) (t *Target, reason string, move *Move) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates, reason := s.eligible(now, c)
	if len(candidates) == 0 {
		return nil, reason, nil
	}
	t = s.choose(now, c, candidates)
	if t.limit.active() {
		t.limit.share.take()
	}
	s.acquire(now, t)
	return t, "", s.recordPlacement(now, c, t)
}

// choose returns the best of the candidates, of which there is at least one. The caller holds mu.
func (s *Set) choose(now time.Duration, c *Criteria, candidates []*Target) *Target {
	if u := s.uneven[c.Service]; u != nil {
		return s.chooseUneven(now, u, c, candidates)
	}
	if c.Affinity != "" {
		return s.byAffinity(now, c.Affinity, candidates)
	}
	return s.leastLoaded(now, candidates, c)
}

// acquire counts a request as in flight at a target. The caller holds mu.
func (s *Set) acquire(now time.Duration, t *Target) {
	s.demandOf(t.Service).sent++
	s.inFlight[versionKey{t.Service, t.Version}]++
	if t.coldUntil > now {
		t.coldTokens.take()
	}
	t.inFlight++
	if t.pending == 0 {
		t.lastProgress = now
	}
	t.pending++
}

// eligible returns the targets that may take the request. Ejected targets are returned only
// if there are no others, and those of a version that is held only if there are not even those. The caller holds mu;
// the targets are valid until the next call.
func (s *Set) eligible(now time.Duration, c *Criteria) (candidates []*Target, reason string) {
	all := s.byService[c.Service]
	if len(all) == 0 {
		return nil, "the service has no targets"
	}
	perSecond := ratePerGateway(s.coldLimits[c.Service], s.gateways)
	candidates = s.candidates[:0]
	ejected := s.ejected[:0]
	var held []*Target
	reason = "all targets are draining, excluded, out of service or of another version"
	trial := s.trialTargets(now, c)
	for _, t := range all {
		if !s.admits(c, t) || trial != nil && !slices.Contains(trial, t) {
			continue
		}
		if t.coldUntil > now && perSecond > 0 && !t.coldTokens.available(now, perSecond) {
			reason = "all remaining targets are cold and at their request limit"
			continue
		}
		if t.limit.active() && (c.Limited == ExcludeLimited || !t.limit.shareAvailable(now, s.gateways)) {
			reason = "all remaining targets are at the request limit that they name"
			continue
		}
		if s.held(now, c, t) {
			held = append(held, t)
			continue
		}
		if t.ejectedUntil > now {
			ejected = append(ejected, t)
			continue
		}
		candidates = append(candidates, t)
	}
	s.candidates, s.ejected = candidates, ejected
	if len(candidates) == 0 {
		candidates = ejected
	}
	if len(candidates) == 0 {
		candidates = held
	}
	return candidates, reason
}

// admits reports whether a target may take the request as far as its state, its version and the
// targets that have failed the request are concerned. The caller holds mu.
func (s *Set) admits(c *Criteria, t *Target) bool {
	if c.Version != "" && t.Version != c.Version || c.NotVersion != "" && t.Version == c.NotVersion {
		return false
	}
	return s.usable(t) && !slices.Contains(c.Exclude, t.ID)
}

// slots returns the number of requests that the target runs concurrently, at least 1.
func (t *Target) slots() float64 { return math.Max(float64(t.Slots), 1) }

// expectedCost estimates the time that a request takes at the target, queueing included, as a
// multiple of its time on an idle target. Cold, failing and stalled targets get a penalty.
func (t *Target) expectedCost(now time.Duration) float64 {
	utilisation := t.load(now) / t.slots()
	cost := 1 + utilisation*batchCost
	if utilisation >= 1 {
		cost += utilisation * queueCost
	}
	if slow := t.currentSlowness(now); slow > slowThreshold {
		cost *= slow
	}
	if t.coldUntil > now {
		cost += coldCost
	}
	return cost + t.failureRate(now)*failureCost + t.stallRatio(now)*stallCost
}

const (
	// batchCost is the slowdown of a target with all slots taken and no queue: the step time
	// of an engine grows by about half between a single request and a full batch.
	batchCost = 0.5
	// queueCost is the cost per unit of utilisation once all slots of a target are taken and
	// a further request has to queue.
	queueCost = 2.0
	// coldCost steers requests away from cold targets while others have free slots.
	coldCost = 1.0
	// failureCost is the cost of a target that fails all requests, stallCost that of a target
	// that has sent no response for stallAfter. Both outweigh a full queue.
	failureCost = 5.0
	stallCost   = 3.0
	// nonRepeatableFailureCost is added to failureCost for requests that must not be repeated:
	// if the response is lost, so is the program that the request belongs to.
	nonRepeatableFailureCost = 10.0
	// affinityBonus is the cost saved by a target that has the prompt of a request cached:
	// processing the prompt again takes about a quarter of a turn.
	affinityBonus = 0.25
)

// byAffinity ranks the targets by rendezvous hashing on the affinity key and takes the cheaper
// of the first two, the first being credited with affinityBonus for its cache. If both are
// crowded, it goes on with the next two, and so on.
//
// It compares only a few targets because in a burst the load from other gateways is known
// with a delay of some hundred milliseconds. If all gateways moved to the target that was
// least loaded then, they would overload it, and programs would lose their cache at each move.
func (s *Set) byAffinity(now time.Duration, affinity string, candidates []*Target) *Target {
	key := xxhash.Sum64String(affinity)
	first, second := firstTwo(key, candidates)
	best, bestCost := first, first.expectedCost(now)-affinityBonus
	if c := second.expectedCost(now); c < bestCost {
		best, bestCost = second, c
	}
	if bestCost < crowdedCost || len(candidates) <= affinityGroupSize {
		return best
	}
	for i, t := range rankedTargets(key, candidates)[affinityGroupSize:] {
		if i%affinityGroupSize == 0 && bestCost < crowdedCost {
			break
		}
		if c := t.expectedCost(now); c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

const (
	// affinityGroupSize is the number of targets that are compared at a time. A second target
	// removes most of the imbalance of hashing; each further one costs cache hits.
	affinityGroupSize = 2
	// crowdedCost is the cost from which a target counts as crowded: that of a target with all
	// slots taken. Slow targets reach it as well.
	crowdedCost = 1 + batchCost
)

// rank returns the weight of the target in rendezvous hashing on a key. The target with the
// highest weight comes first.
func (t *Target) rank(key uint64) uint64 {
	x := mix(key ^ t.hash)
	if w := t.rankWeight(); w < 1 {
		return weighted(x, w)
	}
	return x
}

// rankWeight returns the weight of the target in rendezvous hashing.
func (t *Target) rankWeight() float64 {
	if t.limit.active() {
		return t.weight * t.limit.weight
	}
	return t.weight
}

// firstTwo returns the two targets that rank highest for a key. If there is only one target,
// it is returned twice.
func firstTwo(key uint64, targets []*Target) (first, second *Target) {
	first, second = targets[0], targets[0]
	firstRank, secondRank := first.rank(key), uint64(0)
	for _, t := range targets[1:] {
		switch r := t.rank(key); {
		case r > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = t, r
		case r >= secondRank:
			second, secondRank = t, r
		}
	}
	return first, second
}

// rankedTargets returns the targets by descending rank for a key.
func rankedTargets(key uint64, targets []*Target) []*Target {
	ranks := make(map[*Target]uint64, len(targets))
	for _, t := range targets {
		ranks[t] = t.rank(key)
	}
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b *Target) int { return cmp.Compare(ranks[b], ranks[a]) })
	return out
}

// leastLoaded returns the target with the lowest expected cost. Targets in the gateway's own
// availability zone and targets with an open connection get a small bonus.
func (s *Set) leastLoaded(now time.Duration, candidates []*Target, criteria *Criteria) *Target {
	var best *Target
	bestCost := math.Inf(1)
	// The scan starts at a random target: otherwise gateways with the same information would
	// all choose the same one among equal targets.
	start := rand.IntN(len(candidates))
	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		c := t.expectedCost(now)
		if t.Zone == s.zone {
			c -= sameZoneBonus
		}
		if criteria.Connected != nil && criteria.Connected(t.ID) {
			c -= connectedBonus
		}
		if criteria.NonRepeatable {
			c += t.failureRate(now) * nonRepeatableFailureCost
		}
		if c < bestCost || c == bestCost && t.inFlight < best.inFlight {
			best, bestCost = t, c
		}
	}
	return best
}

// sameZoneBonus makes a gateway prefer its own availability zone among targets of nearly equal
// load.
const sameZoneBonus = 0.04

// connectedBonus makes a gateway prefer targets to which a connection is open. With many
// gateways and many targets, each pair sees about one request per second, and without the
// bonus most requests would open a new connection.
const connectedBonus = 0.08
