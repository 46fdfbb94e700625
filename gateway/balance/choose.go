package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choice describes the request that needs a target.
type Choice struct {
	Service string
	// Affinity is equal for requests that run faster on the same target; empty: none.
	Affinity string
	// Exclude names targets that have refused the request or failed.
	Exclude []string
	// Once tells that the request may not be repeated, so that a failure loses it.
	Once bool
	// Connected reports whether a connection to a target is idle; nil: not known.
	Connected func(id string) bool
}

// Acquire chooses a target and counts the request on it until Release. It returns nil if
// the service has none that may take it, with the reason.
func (s *Set) Acquire(now time.Duration, c *Choice) (*Target, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fit, reason := s.eligible(now, c)
	if len(fit) == 0 {
		return nil, reason
	}
	var t *Target
	if c.Affinity != "" {
		t = s.byAffinity(now, c.Affinity, fit)
	} else {
		t = s.leastLoaded(now, fit, c)
	}
	if t.coldUntil > now {
		t.coldTokens--
	}
	t.inFlight++
	if t.pending == 0 {
		t.progress = now
	}
	t.pending++
	return t, ""
}

// eligible returns the targets that may take the request. Targets that have failed are
// used only if there are no others.
func (s *Set) eligible(now time.Duration, c *Choice) (fit []*Target, reason string) {
	all := s.byService[c.Service]
	if len(all) == 0 {
		return nil, "no target is listed"
	}
	perSecond := coldShare(s.cold[c.Service], s.gateways)
	var failing []*Target
	reason = "all targets drain, are excluded or out of service"
	for _, t := range all {
		if !s.usable(t) || slices.Contains(c.Exclude, t.ID) {
			continue
		}
		if t.coldUntil > now && perSecond > 0 && !t.coldToken(now, perSecond) {
			reason = "all targets left are cold and have their share"
			continue
		}
		if t.ejectUntil > now {
			failing = append(failing, t)
			continue
		}
		fit = append(fit, t)
	}
	if len(fit) == 0 {
		fit = failing
	}
	return fit, reason
}

// slots returns the number of requests that the target runs at once, at least 1.
func (t *Target) slots() float64 { return math.Max(float64(t.Slots), 1) }

// pressure is the time that a request waits and runs at the target, in units of its time
// on an idle one.
func (t *Target) pressure(now time.Duration) float64 {
	share := t.load(now) / t.slots()
	p := 1 + share*batchCost
	if share >= 1 {
		p += share * queueCost
	}
	if slow := t.slowNow(now); slow > slowFactor {
		p *= slow
	}
	if t.coldUntil > now {
		p += coldCost
	}
	return p + t.unsoundNow(now)*unsoundCost + t.stalled(now)*stallCost
}

const (
	// batchCost is the slowdown of a full target without a queue: step times of engines
	// grow by about half between one request and all slots.
	batchCost = 0.5
	// queueCost is the cost of one full set of slots that waits before a request.
	queueCost = 2.0
	// coldCost keeps requests off cold targets while others have room.
	coldCost = 1.0
	// unsoundCost is the cost of a target that fails all requests, stallCost that of one
	// that answers none for the stall time: both outweigh a full queue.
	unsoundCost = 5.0
	stallCost   = 3.0
	// onceCost is added to unsoundCost for requests that may not be repeated: a lost answer
	// loses their program.
	onceCost = 10.0
	// affinityGain is what a target that holds a request's prompt saves: reading the prompt
	// anew takes about a quarter of a turn.
	affinityGain = 0.25
)

// byAffinity chooses in the order of rendezvous hashing: the better of the first two targets,
// of which the first has the gain of its cache, or of the next two if these are crowded.
// Load that it answers: bursts, in which each gateway knows the load of the others from some
// hundred ms ago. If all of them moved to the target with the least load then, they would
// crowd it, and programs would lose their caches at each move.
func (s *Set) byAffinity(now time.Duration, affinity string, fit []*Target) *Target {
	key := xxhash.Sum64String(affinity)
	home, second := firstTwo(key, fit)
	best, bestCost := home, home.pressure(now)-affinityGain
	if c := second.pressure(now); c < bestCost {
		best, bestCost = second, c
	}
	if bestCost < crowdedPressure || len(fit) <= affinityChoices {
		return best
	}
	for i, t := range inOrder(key, fit)[affinityChoices:] {
		if i%affinityChoices == 0 && bestCost < crowdedPressure {
			break
		}
		if c := t.pressure(now); c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

const (
	// affinityChoices is the number of targets that are compared at a time. A second one
	// takes most of the unevenness of hashing away, each further one costs caches.
	affinityChoices = 2
	// crowdedPressure is that of a target with all slots taken and of one that is slow.
	crowdedPressure = 1 + batchCost
)

// rank is the place of the target in the order of rendezvous hashing on a key; the highest
// comes first.
func (t *Target) rank(key uint64) uint64 {
	// The finalizer of SplitMix64 spreads keys that differ in a few bits only.
	x := key ^ t.hash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// firstTwo returns the first two targets in the order of a key, the same one twice if there is
// no other.
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

// inOrder returns the targets in the order of a key.
func inOrder(key uint64, targets []*Target) []*Target {
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b *Target) int { return cmp.Compare(b.rank(key), a.rank(key)) })
	return out
}

// leastLoaded takes the target with the least pressure, one in the own zone among equals.
func (s *Set) leastLoaded(now time.Duration, fit []*Target, choice *Choice) *Target {
	var best *Target
	bestCost := math.Inf(1)
	// Equal targets are taken in a random order: gateways that know the same would
	// otherwise all choose the same target.
	start := rand.IntN(len(fit))
	for i := range fit {
		t := fit[(start+i)%len(fit)]
		c := t.pressure(now)
		if t.Zone == s.zone {
			c -= zoneGain
		}
		if choice.Connected != nil && choice.Connected(t.ID) {
			c -= connectedGain
		}
		if choice.Once {
			c += t.unsoundNow(now) * onceCost
		}
		if c < bestCost || c == bestCost && t.inFlight < best.inFlight {
			best, bestCost = t, c
		}
	}
	return best
}

// zoneGain prefers the own availability zone among targets of nearly equal load.
const zoneGain = 0.04

// connectedGain prefers targets to which a connection is open. Where many gateways stand
// before many targets, each pair sees a request a second, and connections would be opened
// for most of them.
const connectedGain = 0.08
