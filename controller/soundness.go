package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
)

const (
	// tallyHalfLife is the time in which outcomes count half: targets recover.
	tallyHalfLife = 2 * time.Second
	// minFailures is the number of failures from which a target's share of them is told. A
	// single one may be the request's.
	minFailures = 1.5
	// minFailureShare is the least share that is told, in percent.
	minFailureShare = 10
	// maxUnsound bounds the targets of one answer, the worst first.
	maxUnsound = 64
	// unsoundInterval is the time for which a zone's shares are given to all its gateways before
	// they are worked out anew.
	unsoundInterval = 100 * time.Millisecond
)

// soundnessTable adds up the outcomes of requests at targets over the gateways of each
// availability zone. Zones are kept apart, because a target may fail for one zone only and a zone
// may be cut off from sound targets. Load that it answers: hundreds of gateways, of which none sees
// a target often enough to find out by itself that it fails some requests.
type soundnessTable struct {
	log   logr.Logger
	zones map[string]*zoneSoundness // by zone of the gateways
}

type zoneSoundness struct {
	targets map[string]*tally
	shares  map[string]uint8 // as told last, shared by many answers
	at      time.Duration    // of shares
	stale   bool             // the targets have changed since then
}

// tally is a fading count of outcomes.
type tally struct {
	ok, failed float64
	at         time.Duration
}

func (t *tally) fade(now time.Duration) {
	f := math.Exp2(-float64(now-t.at) / float64(tallyHalfLife))
	t.ok, t.failed, t.at = t.ok*f, t.failed*f, now
}

// add takes the outcomes of a gateway in a zone into account.
func (s *soundnessTable) add(now time.Duration, zone string, outcomes map[string]fleet.Outcomes) {
	if len(outcomes) == 0 {
		return
	}
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
		t.fade(now)
		t.ok += float64(o.OK)
		t.failed += float64(o.Failed)
	}
}

// unsound returns the share of failures, in percent, of the targets that fail for gateways in a
// zone. Callers do not change the result.
func (s *soundnessTable) unsound(now time.Duration, zone string) map[string]uint8 {
	z := s.zones[zone]
	if z == nil {
		return nil
	}
	if z.shares == nil || z.stale || now-z.at >= unsoundInterval {
		shares := z.work(now)
		s.logChanges(zone, z.shares, shares)
		z.shares, z.at, z.stale = shares, now, false
	}
	return z.shares
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

// work returns the shares of failures at a time.
func (z *zoneSoundness) work(now time.Duration) map[string]uint8 {
	type entry struct {
		id    string
		share float64
	}
	var found []entry
	for id, t := range z.targets {
		t.fade(now)
		share := 100 * t.failed / (t.failed + t.ok)
		if t.failed >= minFailures && share >= minFailureShare {
			found = append(found, entry{id, share})
		}
	}
	if len(found) > maxUnsound {
		slices.SortFunc(found, func(a, b entry) int { return cmp.Compare(b.share, a.share) })
		found = found[:maxUnsound]
	}
	out := make(map[string]uint8, len(found))
	for _, e := range found {
		out[e.id] = uint8(e.share)
	}
	return out
}

// keep forgets targets that are not listed any more.
func (s *soundnessTable) keep(listed map[string]int) {
	for _, z := range s.zones {
		for id := range z.targets {
			if _, ok := listed[id]; !ok {
				delete(z.targets, id)
			}
		}
		z.stale = true
	}
}
