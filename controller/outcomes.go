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
	// outcomeHalfLife is the half-life of counted outcomes. Old ones must decay, because targets
	// recover, and a target that gateways avoid gets few requests and so few new outcomes.
	outcomeHalfLife = 5 * time.Second
	// downPercent is the failure rate, in percent, from which a target counts as down. So that a
	// target is used again soon after it has recovered, its reported rate decays with downHalfLife
	// while it gets no requests, and its failures are cleared after recoverySuccesses successes in
	// a row.
	downPercent       = 50
	downHalfLife      = 2 * time.Second
	recoverySuccesses = 5
	// minFailures is the decayed number of failures from which a target's failure rate is reported.
	// A single failure may be caused by the request.
	minFailures = 1.5
	// minZoneFailures is the decayed number of failures from which a target counts as failing for
	// the gateways of a zone.
	minZoneFailures = 0.5
	// minFailurePercent is the lowest failure rate that is reported, in percent. Plain services
	// fail about one call in a hundred on their own.
	minFailurePercent = 3
	// maxFailingTargets limits the targets in one reply; those with the highest rates are kept.
	maxFailingTargets = 64
	// recomputeInterval is the time for which the computed failure rates are reused.
	recomputeInterval = 100 * time.Millisecond
)

// outcomeTable aggregates the outcomes of requests at targets over the gateways of each
// availability zone and of the whole site, and reports failing targets to the gateways. With
// hundreds of gateways, none of them sends a target enough requests to notice by itself that it
// fails some of them.
//
// The gateways of a zone are told of the targets that fail for them, because a target may fail
// for one zone only, and of the targets that fail for several zones. They are not told of targets
// that fail for one other zone only, because that zone may be cut off from these targets.
type outcomeTable struct {
	log        logr.Logger
	zones      map[string]*zoneOutcomes // by zone of the gateways
	startTimes map[string]int64         // Target.Born of the listed targets, by id
	computedAt time.Duration            // when the failure rates were computed; 0: recompute them
}

// zoneOutcomes holds the outcomes that the gateways of one availability zone reported, by target.
type zoneOutcomes struct {
	targets  map[string]*outcomeCounts
	reported map[string]uint8 // failure rates reported last, in percent; shared by many replies
}

// outcomeCounts counts the outcomes at a target with exponential decay.
type outcomeCounts struct {
	ok, failed    float64
	decayedAt     time.Duration // time up to which the decay of ok and failed is applied
	lastOutcome   time.Duration // when the last outcome was reported
	successStreak int           // successes since the last failure
}

// decay applies the decay up to now.
func (t *outcomeCounts) decay(now time.Duration) {
	f := math.Exp2(-float64(now-t.decayedAt) / float64(outcomeHalfLife))
	t.ok, t.failed, t.decayedAt = t.ok*f, t.failed*f, now
}

// add counts outcomes. Enough successes in a row clear the failures of a target that was down.
func (t *outcomeCounts) add(now time.Duration, o fleet.Outcomes) {
	t.decay(now)
	t.lastOutcome = now
	t.ok += float64(o.OK)
	t.failed += float64(o.Failed)
	t.successStreak += int(o.OK)
	if o.Failed > 0 {
		t.successStreak = 0
	}
	if t.successStreak >= recoverySuccesses && t.failurePercent() >= downPercent {
		t.failed = 0
	}
}

// failurePercent returns the failure rate in percent.
func (t *outcomeCounts) failurePercent() float64 { return 100 * t.failed / (t.failed + t.ok) }

// reportedPercent returns the failure rate to report to gateways, in percent, or 0 if it is too
// low or rests on too few failures. The rate of a target that is down decays since its last
// outcome.
func (t *outcomeCounts) reportedPercent(now time.Duration) float64 {
	percent := t.failurePercent()
	if percent >= downPercent {
		percent *= math.Exp2(-float64(now-t.lastOutcome) / float64(downHalfLife))
	}
	if t.failed < minFailures || percent < minFailurePercent {
		return 0
	}
	return percent
}

// add counts the outcomes that a gateway of a zone reports.
func (s *outcomeTable) add(now time.Duration, zone string, outcomes map[string]fleet.Outcomes) {
	if s.zones == nil {
		s.zones = map[string]*zoneOutcomes{}
	}
	z := s.zones[zone]
	if z == nil {
		z = &zoneOutcomes{targets: map[string]*outcomeCounts{}}
		s.zones[zone] = z
	}
	for id, o := range outcomes {
		t := z.targets[id]
		if t == nil {
			t = &outcomeCounts{decayedAt: now}
			z.targets[id] = t
		}
		t.add(now, o)
	}
}

// failingTargets returns the failure rates, in percent, of the targets that are reported as failing
// to the gateways of a zone. Callers must not modify the result.
func (s *outcomeTable) failingTargets(now time.Duration, zone string) map[string]uint8 {
	if s.computedAt == 0 || now-s.computedAt >= recomputeInterval {
		s.computedAt = now
		s.recompute(now)
	}
	if z := s.zones[zone]; z != nil {
		return z.reported
	}
	return nil
}

// recompute computes the reported failure rates of all zones.
func (s *outcomeTable) recompute(now time.Duration) {
	site := s.acrossZones(now)
	for name, z := range s.zones {
		percents := map[string]float64{}
		for id, t := range site {
			percents[id] = t.reportedPercent(now)
		}
		for id, t := range z.targets {
			percents[id] = max(percents[id], t.reportedPercent(now))
		}
		reported := highest(percents)
		s.logChanges(name, z.reported, reported)
		z.reported = reported
	}
}

// acrossZones returns the sums over all zones for the targets that fail for at least two zones.
func (s *outcomeTable) acrossZones(now time.Duration) map[string]*outcomeCounts {
	sums := map[string]*outcomeCounts{}
	zones := map[string]int{}
	for _, z := range s.zones {
		for id, t := range z.targets {
			t.decay(now)
			sum := sums[id]
			if sum == nil {
				sum = &outcomeCounts{decayedAt: now}
				sums[id] = sum
			}
			sum.ok += t.ok
			sum.failed += t.failed
			sum.lastOutcome = max(sum.lastOutcome, t.lastOutcome)
			if t.failed >= minZoneFailures {
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

// highest returns the maxFailingTargets highest rates above 0, rounded down.
func highest(percents map[string]float64) map[string]uint8 {
	ids := slices.DeleteFunc(slices.Collect(maps.Keys(percents)), func(id string) bool { return percents[id] == 0 })
	if len(ids) > maxFailingTargets {
		slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(percents[b], percents[a]) })
		ids = ids[:maxFailingTargets]
	}
	out := make(map[string]uint8, len(ids))
	for _, id := range ids {
		out[id] = uint8(percents[id])
	}
	return out
}

// logChanges logs each target that started or stopped being reported as failing to a zone.
func (s *outcomeTable) logChanges(zone string, before, now map[string]uint8) {
	for id, percent := range now {
		if _, known := before[id]; !known {
			s.log.Info("target reported as failing to the gateways of a zone", "target", id, "gateways_zone", zone, "failed_percent", percent)
		}
	}
	for id := range before {
		if _, still := now[id]; !still {
			s.log.Info("target no longer reported as failing to the gateways of a zone", "target", id, "gateways_zone", zone)
		}
	}
}

// retain discards the outcomes of targets that are no longer listed or have restarted.
func (s *outcomeTable) retain(listed []fleet.Target) {
	started := make(map[string]int64, len(listed))
	for _, t := range listed {
		started[t.ID] = t.StartedAt
	}
	for _, z := range s.zones {
		for id := range z.targets {
			if at, ok := started[id]; !ok || at != s.startTimes[id] {
				delete(z.targets, id)
			}
		}
	}
	s.startTimes = started
	s.computedAt = 0
}
