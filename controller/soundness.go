package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
)

const (
	// tallyHalfLife is the time in which outcomes count half: targets recover, and one that is
	// avoided has few new outcomes.
	tallyHalfLife = 5 * time.Second
	// darkShare is the share of failures, in percent, from which a target counts as down. Its share
	// fades with darkHalfLife while nothing is sent to it, and it is sound again after so many
	// successes in a row, so that it is used soon after it is back.
	darkShare      = 50
	darkHalfLife   = 2 * time.Second
	recoveredAfter = 5
	// minFailures is the number of failures from which a target's share of them is told. A
	// single one may be the request's.
	minFailures = 1.5
	// zoneFailures is the number from which a zone counts as one that a target fails.
	zoneFailures = 0.5
	// minFailureShare is the least share that is told, in percent. Plain services fail one call in
	// a hundred by themselves.
	minFailureShare = 3
	// maxUnsound bounds the targets of one answer, the worst first.
	maxUnsound = 64
	// unsoundInterval is the time for which the shares are told before they are worked out anew.
	unsoundInterval = 100 * time.Millisecond
)

// soundnessTable adds up the outcomes of requests at targets over the gateways of each
// availability zone and of the site. A zone is told of the targets that fail its own gateways, because
// a target may fail for one zone only, and of those that fail gateways of several zones; not of
// those that fail one other zone, which may be cut off from them. Load that it answers: hundreds of
// gateways, of which none sees a target often enough to find out by itself that it fails some requests.
type soundnessTable struct {
	log    logr.Logger
	zones  map[string]*zoneSoundness // by zone of the gateways
	born   map[string]int64          // start of the listed targets
	worked time.Duration             // when the shares were worked out; 0: never
}

type zoneSoundness struct {
	targets map[string]*tally
	shares  map[string]uint8 // as told last, shared by many answers
}

// tally is a fading count of outcomes.
type tally struct {
	ok, failed float64
	at         time.Duration // to which ok and failed have faded
	last       time.Duration // of the last outcome
	streak     int           // successes since the last failure
}

func (t *tally) fade(now time.Duration) {
	f := math.Exp2(-float64(now-t.at) / float64(tallyHalfLife))
	t.ok, t.failed, t.at = t.ok*f, t.failed*f, now
}

// add takes outcomes into account.
func (t *tally) add(now time.Duration, o fleet.Outcomes) {
	t.fade(now)
	t.last = now
	t.ok += float64(o.OK)
	t.failed += float64(o.Failed)
	t.streak += int(o.OK)
	if o.Failed > 0 {
		t.streak = 0
	}
	if t.streak >= recoveredAfter && t.share() >= darkShare {
		t.failed = 0
	}
}

// share returns the share of failures in percent.
func (t *tally) share() float64 { return 100 * t.failed / (t.failed + t.ok) }

// percent returns the share of failures that is told; 0: none that is worth telling.
func (t *tally) percent(now time.Duration) float64 {
	share := t.share()
	if share >= darkShare {
		share *= math.Exp2(-float64(now-t.last) / float64(darkHalfLife))
	}
	if t.failed < minFailures || share < minFailureShare {
		return 0
	}
	return share
}

// add takes the outcomes of a gateway in a zone into account.
func (s *soundnessTable) add(now time.Duration, zone string, outcomes map[string]fleet.Outcomes) {
	if s.zones == nil {
		s.zones = map[string]*zoneSoundness{}
	}
	z := s.zones[zone]
	if z == nil {
		z = &zoneSoundness{targets: map[string]*tally{}}
		s.zones[zone] = z
	}
	for id, o := range outcomes {
		t := z.targets[id]
		if t == nil {
			t = &tally{at: now}
			z.targets[id] = t
		}
		t.add(now, o)
	}
}

// unsound returns the share of failures, in percent, of the targets that a zone's gateways are told
// of. Callers do not change the result.
func (s *soundnessTable) unsound(now time.Duration, zone string) map[string]uint8 {
	if s.worked == 0 || now-s.worked >= unsoundInterval {
		s.worked = now
		s.work(now)
	}
	if z := s.zones[zone]; z != nil {
		return z.shares
	}
	return nil
}

// work works out the shares of all zones.
func (s *soundnessTable) work(now time.Duration) {
	site := s.site(now)
	for name, z := range s.zones {
		found := map[string]float64{}
		for id, t := range site {
			found[id] = t.percent(now)
		}
		for id, t := range z.targets {
			found[id] = max(found[id], t.percent(now))
		}
		shares := worst(found)
		s.logChanges(name, z.shares, shares)
		z.shares = shares
	}
}

// site adds up the outcomes at targets that fail gateways of several zones.
func (s *soundnessTable) site(now time.Duration) map[string]*tally {
	sums := map[string]*tally{}
	zones := map[string]int{}
	for _, z := range s.zones {
		for id, t := range z.targets {
			t.fade(now)
			sum := sums[id]
			if sum == nil {
				sum = &tally{at: now}
				sums[id] = sum
			}
			sum.ok += t.ok
			sum.failed += t.failed
			sum.last = max(sum.last, t.last)
			if t.failed >= zoneFailures {
				zones[id]++
			}
		}
	}
	for id := range sums {
		if zones[id] < 2 {
			delete(sums, id)
		}
	}
	return sums
}

// worst returns the highest shares above 0.
func worst(found map[string]float64) map[string]uint8 {
	ids := slices.DeleteFunc(slices.Collect(maps.Keys(found)), func(id string) bool { return found[id] == 0 })
	if len(ids) > maxUnsound {
		slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(found[b], found[a]) })
		ids = ids[:maxUnsound]
	}
	out := make(map[string]uint8, len(ids))
	for _, id := range ids {
		out[id] = uint8(found[id])
	}
	return out
}

// logChanges writes a line for each target that began or ceased to fail for a zone.
func (s *soundnessTable) logChanges(zone string, before, now map[string]uint8) {
	for id, percent := range now {
		if _, known := before[id]; !known {
			s.log.Info("target fails for a zone", "target", id, "gateways_zone", zone, "failed_percent", percent)
		}
	}
	for id := range before {
		if _, still := now[id]; !still {
			s.log.Info("target sound for a zone", "target", id, "gateways_zone", zone)
		}
	}
}

// keep forgets targets that are not listed any more or have started anew.
func (s *soundnessTable) keep(listed []fleet.Target) {
	born := make(map[string]int64, len(listed))
	for _, t := range listed {
		born[t.ID] = t.Born
	}
	for _, z := range s.zones {
		for id := range z.targets {
			if at, ok := born[id]; !ok || at != s.born[id] {
				delete(z.targets, id)
			}
		}
	}
	s.born = born
	s.worked = 0
}
