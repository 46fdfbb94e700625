package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/fleet"
)

// Set holds the targets of all services and what the gateway knows about them. It is safe for
// concurrent use.
type Set struct {
	zone string

	mu          sync.Mutex
	byID        map[string]*Target
	byService   map[string][]*Target
	ordered     []*Target // by id
	zonesOut    map[string]bool
	gateways    int
	coldLimits  map[string]float64       // by service: requests per second to one cold target from all gateways
	demands     map[string]*demand       // by service
	versions    map[string]*versionWatch // by service
	uneven      map[string]*unevenService
	placements  placements
	sameGateway sameGateway
	onMove      func(*Move)   // called after each move; nil: not reported
	polledAt    time.Duration // of the last call of UpdateLimitWeights, which follows each poll
	// candidates and ejected are the results of the last call of eligible, kept for their memory: a
	// choice among 2,800 targets would allocate 72 KB.
	candidates, ejected []*Target
	inFlight            map[versionKey]int32   // requests of this gateway
	rules               map[string]VersionRule // by service
	// newVersionHold is how long a version that appears beside others gets nothing; 0: no hold.
	// versionSince holds when each listed version has appeared.
	newVersionHold time.Duration
	versionSince   map[versionKey]time.Duration
}

// NewSet returns an empty set for a gateway in the given availability zone.
func NewSet(zone string) *Set {
	return &Set{
		zone:       zone,
		byID:       map[string]*Target{},
		byService:  map[string][]*Target{},
		zonesOut:   map[string]bool{},
		gateways:   1,
		coldLimits: map[string]float64{},
		demands:    map[string]*demand{},
		versions:   map[string]*versionWatch{},
		uneven:     map[string]*unevenService{},
		inFlight:   map[versionKey]int32{},

		versionSince: map[versionKey]time.Duration{},
	}
}

// OnMove sets a function that is called after each request of an uneven service that did not go to the
// target which served its affinity key before. It must be set before the first request.
func (s *Set) OnMove(f func(*Move)) { s.onMove = f }

// Update replaces the list of targets and returns the targets that were removed or replaced.
func (s *Set) Update(now time.Duration, list []fleet.Target) (removed []*Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, f := range list {
		listed[f.ID] = true
		removed = append(removed, s.upsert(now, f)...)
	}
	for id := range s.byID {
		if !listed[id] {
			removed = append(removed, s.remove(id))
		}
	}
	s.rebuildIndex()
	s.watchVersions(now)
	return removed
}

// ApplyChange adds or replaces some targets and removes others. It returns the targets that were
// removed or replaced.
func (s *Set) ApplyChange(now time.Duration, changed []fleet.Target, removedIDs []string) (removed []*Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range changed {
		removed = append(removed, s.upsert(now, f)...)
	}
	for _, id := range removedIDs {
		if s.byID[id] != nil {
			removed = append(removed, s.remove(id))
		}
	}
	s.rebuildIndex()
	s.watchVersions(now)
	return removed
}

// upsert adds a target or updates its description. If the target has restarted under the same
// id, has moved to another address or runs another software version, it counts as a new target with
// no history, and the replaced one is returned. The caller holds mu.
func (s *Set) upsert(now time.Duration, f fleet.Target) (removed []*Target) {
	t := s.byID[f.ID]
	if t != nil && (t.StartedAt != f.StartedAt || t.Address != f.Address || t.Version != f.Version) {
		removed = append(removed, s.remove(f.ID))
		t = nil
	}
	if t == nil {
		t = &Target{hash: xxhash.Sum64String(f.ID), listedAt: now, weight: 1}
		s.byID[f.ID] = t
	}
	t.Target = f
	t.setCold(now, now+max(f.ColdFor, 0))
	return removed
}

// remove deletes a target and returns it. The caller holds mu.
func (s *Set) remove(id string) *Target {
	t := s.byID[id]
	t.removed = true
	delete(s.byID, id)
	return t
}

// rebuildIndex rebuilds the indexes by id order and by service. The caller holds mu.
func (s *Set) rebuildIndex() {
	s.byService = map[string][]*Target{}
	s.ordered = s.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		t := s.byID[id]
		s.ordered = append(s.ordered, t)
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	s.detectUneven()
}

// SetZonesOut replaces the availability zones that get no requests.
func (s *Set) SetZonesOut(zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zonesOut = map[string]bool{}
	for _, z := range zones {
		s.zonesOut[z] = true
	}
}

// SetFleetLoad sets the number of gateways and the in-flight requests of all gateways at each
// target, in the order of the ids. own holds the counts that this gateway reported, which are
// included in loads. Empty loads keep the previous counts. It returns false if loads doesn't
// match the list of targets.
func (s *Set) SetFleetLoad(gateways int, own map[string]int32, loads fleet.Loads) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways = max(gateways, 1)
	if len(loads) == 0 {
		return true
	}
	if len(loads) != len(s.ordered) {
		return false
	}
	for i, t := range s.ordered {
		t.otherInFlight = max(int32(loads[i])-own[t.ID], 0)
		t.otherMean += otherMeanWeight * (float64(t.otherInFlight) - t.otherMean)
	}
	return true
}

// usable reports whether a target may get new requests: it is not draining, not stopping and
// its availability zone is in service. The caller holds mu.
func (s *Set) usable(t *Target) bool {
	return !t.Draining && !t.leaving && !s.zonesOut[t.Zone]
}

// SetColdLimits sets, by service, how many requests per second a cold target tolerates from all
// gateways together. 0 means no limit.
func (s *Set) SetColdLimits(limits map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLimits = limits
}

// Gateways returns the number of gateways that share the targets, this one included.
func (s *Set) Gateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways
}

// InFlight returns the number of in-flight requests of this gateway by target.
func (s *Set) InFlight() map[string]int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int32{}
	for id, t := range s.byID {
		if t.inFlight > 0 {
			out[id] = t.inFlight
		}
	}
	return out
}

// MarkLeaving marks a target that has announced that it is about to stop. It gets no more requests,
// whatever the list of targets says, until it is listed with another start time or address.
// MarkLeaving returns false if the target was already marked.
//
// The mark is local to this gateway, so that it works without the controllers. A wrong mark
// costs the target its share of this gateway's requests until the target or the gateway
// restarts.
func (s *Set) MarkLeaving(t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alreadyMarked := t.leaving
	t.leaving = true
	return !alreadyMarked
}

// TakeOutcomes returns the outcomes of requests since the last call by target, and resets them.
func (s *Set) TakeOutcomes() map[string]fleet.Outcomes {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]fleet.Outcomes{}
	for id, t := range s.byID {
		if t.unreportedOutcomes.OK > 0 || t.unreportedOutcomes.Failed > 0 {
			out[id] = t.unreportedOutcomes
			t.unreportedOutcomes = fleet.Outcomes{}
		}
	}
	return out
}

// SetZoneFailureRates sets the failure rate of each target over all gateways of the zone, in
// percent. Targets that are not in the map have a rate of 0.
func (s *Set) SetZoneFailureRates(percent map[string]uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.byID {
		t.zoneFailureRate = float64(percent[id]) / 100
	}
}

// ForgetFailures clears what this gateway holds against targets: it was cut off from them.
func (s *Set) ForgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.byID {
		t.meanFailure, t.consecutiveFailures, t.ejectionTime, t.ejectedUntil = 0, 0, 0, 0
		t.unreportedOutcomes, t.slowness = fleet.Outcomes{}, 0
	}
}

// RandomAddresses returns the addresses of up to n usable targets, chosen at random.
func (s *Set) RandomAddresses(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, i := range rand.Perm(len(s.ordered)) {
		if t := s.ordered[i]; s.usable(t) {
			out = append(out, t.Address)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// Lists reports whether a target is listed at an address.
func (s *Set) Lists(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.ordered, func(t *Target) bool { return t.Address == address })
}

// Size returns the number of targets.
func (s *Set) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

// Utilisation returns the utilisation of a service: the load of its usable targets divided by their
// slots, ejected targets left out. It is 0 if there are none, and above 1 if requests queue. Targets
// that name a request limit count only if there are no others: their limit keeps slots free that no
// request can use.
func (s *Set) Utilisation(now time.Duration, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []*Target
	for _, t := range s.byService[service] {
		if s.usable(t) && t.ejectedUntil <= now && s.rules[service].admits(t.Version) {
			targets = append(targets, t)
		}
	}
	if unlimited := slices.DeleteFunc(slices.Clone(targets), func(t *Target) bool { return t.limit.active() }); len(unlimited) > 0 {
		targets = unlimited
	}
	load, slots := 0.0, 0.0
	for _, t := range targets {
		load += t.load(now)
		slots += t.slots()
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// RecordResponse records that a request has got the first part of its response from the target, or
// will get none.
func (s *Set) RecordResponse(now time.Duration, t *Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.recordResponse(now)
}

// Release ends a request that Acquire counted on a target.
func (s *Set) Release(t *Target) { s.ReleaseTurn(t, nil) }

// ReleaseTurn ends a request that Acquire or AcquirePermitted counted on a target, with the prompt
// that was passed to it.
func (s *Set) ReleaseTurn(t *Target, p *Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	if p != nil {
		t.tokens -= p.total()
	}
	key := versionKey{t.Service, t.Version}
	if s.inFlight[key]--; s.inFlight[key] == 0 {
		delete(s.inFlight, key)
	}
}

// Outcome is what a request revealed about its target.
type Outcome struct {
	OK     bool
	Failed bool // the response was invalid, or there was none
	// Errored marks a valid response that reports an error of the target. The request may be
	// the cause, so the target gets fewer requests and is not ejected.
	Errored bool
	// Slowness is the latency as a multiple of the usual one of such requests; 0: unknown.
	Slowness float64
	// Load is the number of requests that the target reported to have; negative: not reported.
	Load int
	// PacePercent is how long work takes on the target's machine now, in per cent of the usual, as
	// reported by the target; 0: not reported.
	PacePercent int
	// ColdFor is the time that the target reported to stay cold; 0: not reported.
	ColdFor time.Duration
}

// Observe records an outcome. It returns true if the target is ejected now.
func (s *Set) Observe(now time.Duration, t *Target, o *Outcome) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Load >= 0 {
		t.reportedLoad, t.reportedAt = int32(o.Load), now
	}
	if level := t.pace.level; t.pace.record(now, o.PacePercent) && !t.removed {
		if s.unevenOf(t.Service); t.pace.level != level {
			s.setRankWeights(t.Service)
		}
	}
	if o.ColdFor > 0 {
		t.setCold(now, now+o.ColdFor)
	}
	switch {
	case o.Failed:
		return t.recordFailure(now)
	case o.Errored:
		t.recordResult(now, 1)
	case o.OK:
		t.recordSuccess(now, o.Slowness)
	}
	return false
}
