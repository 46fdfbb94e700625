package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPlacements bounds each of the two generations of placements. The two together take less
	// than 1 MB. A gateway of a site with 370 gateways and 110,000 programs sees 300 of them.
	maxPlacements = 4096
	// maxPlacementAge is the time after which the target no longer counts as the one that holds a
	// program's history: the longest retention of turns is below it.
	maxPlacementAge = 2 * time.Minute
	// maxDetourTime is how long the requests of a program go to other targets without moving it. After
	// an ejection for a second, the failures that led to it have faded within this time.
	maxDetourTime = 6 * time.Second
)

// placement is where the requests with an affinity key are served.
type placement struct {
	target  *Target
	at      time.Duration
	attempt uint64 // hash of the id of the last request
	// awaySince is since when the requests go to other targets because this one can't take them now;
	// 0: they don't.
	awaySince time.Duration
}

// placements remembers where the programs and keys of this gateway are served. It keeps two
// generations and drops the old one when the new one is full.
type placements struct {
	new, old map[uint64]placement
}

// get returns the placement of a key. Its target may have been removed since. The zero placement is
// returned if it is not known.
func (p *placements) get(now time.Duration, key uint64) placement {
	e, ok := p.new[key]
	if !ok {
		e, ok = p.old[key]
	}
	if !ok || now-e.at > maxPlacementAge {
		return placement{}
	}
	return e
}

// set records a placement.
func (p *placements) set(key uint64, e placement) {
	if _, ok := p.new[key]; !ok && len(p.new) >= maxPlacements || p.new == nil {
		p.old, p.new = p.new, make(map[uint64]placement, len(p.new))
	}
	p.new[key] = e
}

// current reports whether a placement is known to be the newest of its key: the request continues the
// last one here, or repeats it.
func (e *placement) current(c *Criteria) bool {
	return e.target != nil && (c.Previous != "" && xxhash.Sum64String(c.Previous) == e.attempt ||
		c.Attempt != "" && xxhash.Sum64String(c.Attempt) == e.attempt)
}

// sameGateway estimates the share of the turns whose previous turn came through this gateway.
type sameGateway struct {
	share   float64
	samples int
}

const (
	// sameGatewayWeight is the weight of the newest turn in the estimate.
	sameGatewayWeight = 0.02
	// minSameGateway is the share from which placements are used for requests that name no previous
	// one. If more of the requests of a key come to other gateways, these send them to the first target
	// in rendezvous order, and a request that returns to the remembered one is a move of its own.
	minSameGateway = 0.95
)

// record adds a turn.
func (g *sameGateway) record(same bool) {
	g.samples++
	x := 0.0
	if same {
		x = 1
	}
	g.share += max(sameGatewayWeight, 1/float64(g.samples)) * (x - g.share)
}

// homeOf returns the target where a request should go on: the last one of its key, if this gateway has
// probably seen the last request. Otherwise it returns nil. The caller holds mu.
func (s *Set) homeOf(now time.Duration, c *Criteria) *Target {
	if c.SingleUse {
		return nil
	}
	e := s.placements.get(now, placementKey(c))
	if e.current(c) || c.Previous == "" && (s.gateways == 1 || s.sameGateway.share >= minSameGateway) {
		return e.target
	}
	return nil
}

// MoveReason is why a request did not go to the target that served its affinity key before.
type MoveReason string

// Reasons for moves. After those of the second group the next requests return, unless the reason
// persists for maxDetourTime.
const (
	MoveGone      MoveReason = "gone"      // not listed any more
	MoveRestarted MoveReason = "restarted" // listed with another start, address or software version
	MoveDraining  MoveReason = "draining"  // draining or leaving
	MoveZoneOut   MoveReason = "zone_out"
	MoveVersion   MoveReason = "version" // not of the software version that the request needs
	MoveCrowded   MoveReason = "crowded" // no free slot
	MoveSlow      MoveReason = "slow"    // its machine is slow
	// MoveReordered is the reason if another gateway has probably served the key since, and the first
	// target in rendezvous order is another one.
	MoveReordered MoveReason = "reordered"
	MoveLimited   MoveReason = "limited" // at the request limit that it names

	MoveExcluded MoveReason = "excluded" // has refused or failed the request
	MoveEjected  MoveReason = "ejected"
	MoveFailing  MoveReason = "failing" // fails requests, or has sent no response for long
	MoveCold     MoveReason = "cold"    // cold, perhaps at its request limit
)

// MoveReasons lists all reasons.
func MoveReasons() []MoveReason {
	return []MoveReason{MoveGone, MoveRestarted, MoveDraining, MoveZoneOut, MoveVersion, MoveCrowded, MoveSlow, MoveReordered,
		MoveLimited, MoveExcluded, MoveEjected, MoveFailing, MoveCold}
}

// temporary reports whether the next requests return to the target.
func (r MoveReason) temporary() bool {
	return r == MoveExcluded || r == MoveEjected || r == MoveFailing || r == MoveCold
}

// Move describes a request that did not go to the target that served its affinity key before.
type Move struct {
	Service, Affinity, From, To string
	Reason                      MoveReason
	// Detour is set if the next requests return to From.
	Detour bool
	// FromFinish and ToFinish are the expected finishes, as multiples of the output's time on an idle
	// target, FromLoad and ToLoad the requests at the targets, and FromPace the expected pace.
	FromFinish, ToFinish, FromLoad, ToLoad, FromPace float64
	// LoadAge is the age of the counts of other gateways, PaceAge that of the pace that From has
	// reported; negative: it has reported none.
	LoadAge, PaceAge time.Duration
}

// moveReason returns why a request goes to another target than the one that served its key before.
// The caller holds mu.
func (s *Set) moveReason(tc *turnCost, c *Criteria, from *Target, current bool) MoveReason {
	switch {
	case from.removed && s.byID[from.ID] != nil:
		return MoveRestarted
	case from.removed:
		return MoveGone
	case from.Draining || from.leaving:
		return MoveDraining
	case s.zonesOut[from.Zone]:
		return MoveZoneOut
	case slices.Contains(c.Exclude, from.ID):
		return MoveExcluded
	case c.Version != "" && from.Version != c.Version:
		return MoveVersion
	case from.ejectedUntil > tc.now:
		return MoveEjected
	case from.limit.active():
		return MoveLimited
	case from.coldUntil > tc.now:
		return MoveCold
	case tc.penalties(from) >= moveMargin/2:
		return MoveFailing
	case !current:
		return MoveReordered
	case from.load(tc.now) >= from.slots():
		return MoveCrowded
	}
	return MoveSlow
}

// place records where a request was sent and returns the move, or nil if it was none. The caller holds
// mu.
func (s *Set) place(tc *turnCost, c *Criteria, t *Target) *Move {
	key := placementKey(c)
	was := s.placements.get(tc.now, key)
	next := placement{target: t, at: tc.now, attempt: xxhash.Sum64String(c.Attempt)}
	repeated := next.attempt == was.attempt && c.Attempt != ""
	if c.Previous != "" && !repeated {
		s.sameGateway.record(was.current(c))
	}
	if was.target == nil || was.target == t {
		s.placements.set(key, next)
		return nil
	}
	from, current := was.target, s.homeOf(tc.now, c) != nil
	m := &Move{Service: c.Service, Affinity: c.Affinity, From: from.ID, To: t.ID, Reason: s.moveReason(tc, c, from, current),
		FromFinish: tc.finish(from), ToFinish: tc.finish(t), FromLoad: from.load(tc.now), ToLoad: t.load(tc.now),
		FromPace: from.pace.expected(tc.now, tc.work), LoadAge: tc.now - s.polledAt, PaceAge: -1}
	if from.pace.stated {
		m.PaceAge = tc.now - from.pace.at
	}
	if m.Reason.temporary() && current {
		since := was.awaySince
		if since == 0 {
			since = tc.now
		}
		if m.Detour = tc.now-since < maxDetourTime; m.Detour {
			next.target, next.awaySince = from, max(since, 1)
		}
	}
	s.placements.set(key, next)
	return m
}
