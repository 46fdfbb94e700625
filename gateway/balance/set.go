package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/fleet"
)

// Set is the targets of all services.
type Set struct {
	zone string

	mu        sync.Mutex
	byID      map[string]*Target
	byService map[string][]*Target
	ordered   []*Target // by id
	zonesOut  map[string]bool
	gateways  int
	cold      map[string]float64 // requests in a second that a cold target of a service tolerates
}

// NewSet returns an empty set for a gateway in an availability zone.
func NewSet(zone string) *Set {
	return &Set{
		zone:      zone,
		byID:      map[string]*Target{},
		byService: map[string][]*Target{},
		zonesOut:  map[string]bool{},
		gateways:  1,
		cold:      map[string]float64{},
	}
}

// Update replaces the list of targets and returns those that have left it. A target that
// starts anew under another id is another target.
func (s *Set) Update(now time.Duration, list []fleet.Target) (gone []*Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, f := range list {
		listed[f.ID] = true
		gone = append(gone, s.put(now, f)...)
	}
	for id := range s.byID {
		if !listed[id] {
			gone = append(gone, s.drop(id))
		}
	}
	s.index()
	return gone
}

// Change adds or replaces some targets and drops others, which it returns.
func (s *Set) Change(now time.Duration, changed []fleet.Target, dropped []string) (gone []*Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range changed {
		gone = append(gone, s.put(now, f)...)
	}
	for _, id := range dropped {
		if s.byID[id] != nil {
			gone = append(gone, s.drop(id))
		}
	}
	s.index()
	return gone
}

// put adds or replaces a target. One that has started anew under its id or has another address
// is another target; put returns the one before, if any. The caller holds mu.
func (s *Set) put(now time.Duration, f fleet.Target) (gone []*Target) {
	t := s.byID[f.ID]
	if t != nil && (t.Born != f.Born || t.Address != f.Address) {
		gone = append(gone, s.drop(f.ID))
		t = nil
	}
	if t == nil {
		t = &Target{hash: xxhash.Sum64String(f.ID)}
		s.byID[f.ID] = t
	}
	t.Target = f
	t.setCold(now, now+max(f.ColdFor, 0))
	return gone
}

// drop removes a target. The caller holds mu.
func (s *Set) drop(id string) *Target {
	t := s.byID[id]
	delete(s.byID, id)
	return t
}

func (s *Set) index() {
	s.byService = map[string][]*Target{}
	s.ordered = s.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		t := s.byID[id]
		s.ordered = append(s.ordered, t)
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
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

// SetFleet takes over the number of gateways and the requests that all of them have in flight
// at each target, in the order of the ids; own is what this gateway has told of its own. No
// loads leave the last ones in place. It returns false if the loads are of another list.
func (s *Set) SetFleet(gateways int, own map[string]int32, loads fleet.Loads) bool {
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
		t.others = max(int32(loads[i])-own[t.ID], 0)
	}
	return true
}

// usable reports whether a target may get new requests at all. The caller holds mu.
func (s *Set) usable(t *Target) bool {
	return !t.Draining && !t.leaving && !s.zonesOut[t.Zone]
}

// SetCold sets how many requests in a second a cold target of a service tolerates from all
// gateways together; 0: no limit.
func (s *Set) SetCold(limits map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = limits
}

// Gateways returns the number of gateways that share the targets, this one included.
func (s *Set) Gateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways
}

// InFlight returns the requests of this gateway by target.
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

// Leave leaves out a target that has said that it is about to stop, whatever the list says, until
// it is listed with another start. It returns false if that is known. The mark is this
// gateway's own: it holds without the controllers, and a wrong one costs the target's share of
// this gateway's requests until the target or the gateway starts anew.
func (s *Set) Leave(t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := t.leaving
	t.leaving = true
	return !known
}

// TakeOutcomes returns how requests have ended since the last call, by target.
func (s *Set) TakeOutcomes() map[string]fleet.Outcomes {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]fleet.Outcomes{}
	for id, t := range s.byID {
		if t.ended.OK > 0 || t.ended.Failed > 0 {
			out[id] = t.ended
			t.ended = fleet.Outcomes{}
		}
	}
	return out
}

// SetUnsound takes over the share of failures at all gateways of the zone, in percent by target.
func (s *Set) SetUnsound(percent map[string]uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.byID {
		t.unsoundFleet = float64(percent[id]) / 100
	}
}

// Size returns the number of targets.
func (s *Set) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

// Share returns the share of the slots of a service that is taken: the requests at the
// targets that may get new ones, to their slots.
func (s *Set) Share(now time.Duration, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, slots := 0.0, 0.0
	for _, t := range s.byService[service] {
		if !s.usable(t) || t.ejectUntil > now {
			continue
		}
		load += t.load(now)
		slots += t.slots()
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// Answered notes that a request on a target has its first answer, or will have none.
func (s *Set) Answered(now time.Duration, t *Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.answered(now)
}

// Release ends a request on a target.
func (s *Set) Release(t *Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
}

// Outcome is what a request showed of its target.
type Outcome struct {
	OK     bool
	Failed bool // the target answered wrongly or not at all
	// Errored tells that the target answered soundly that it has failed. The request may be the
	// reason, so the target is used less and not left out.
	Errored bool
	// Slowness is the latency as a multiple of what is usual for such requests; 0: unknown.
	Slowness float64
	// Load is the number of requests that the target told to have; negative: it told none.
	Load int
	// ColdFor is how long the target stays cold, as it told; 0: it told nothing.
	ColdFor time.Duration
}

// Observe takes an outcome into account. It returns true if the target is left out now.
func (s *Set) Observe(now time.Duration, t *Target, o *Outcome) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Load >= 0 {
		t.told, t.toldAt = int32(o.Load), now
	}
	if o.ColdFor > 0 {
		t.setCold(now, now+o.ColdFor)
	}
	switch {
	case o.Failed:
		return t.failed(now)
	case o.Errored:
		t.noteSoundness(now, 1)
	case o.OK:
		t.succeeded(now, o.Slowness)
	}
	return false
}
