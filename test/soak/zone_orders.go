package main

import (
	"context"
	"math/rand"
	"slices"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// evacuatedZone is the availability zone that the operator takes out of service and back.
	evacuatedZone = "z1"
	// evacuationTimeout is the time after the acknowledgement of an evacuation from which the targets of
	// the zone must get no more requests. It also holds for hosts that are cut off from the others.
	evacuationTimeout = 5 * time.Second
	// evacuationLength is how long the zone is out of service after a change of mind.
	evacuationLength = evacuationTimeout + 4*time.Second
	// orderBackoff is the pause before an order is sent to the next controller.
	orderBackoff = 50 * time.Millisecond
)

// evacuation is a time in which the zone is out of service: from the acknowledgement of the evacuation
// until the next order is sent.
type evacuation struct{ from, to time.Time }

// orderZones takes a zone out of service and back until ctx ends, and changes its mind: while one
// controller is frozen it takes the zone back, trying that controller first, and evacuates it again. It
// returns the evacuations.
func (w *workload) orderZones(ctx context.Context, rng *rand.Rand) (evacuations []evacuation) {
	for ctx.Err() == nil {
		controllers := w.site.hostsOfKind("controller")
		first := rng.Intn(len(controllers))
		if !w.orderZone(ctx, first, true) || !sleepUntil(ctx, time.Now().Add(time.Second)) {
			break
		}
		thaw := controllers[first].tryFreeze()
		ok := w.orderZone(ctx, first, false) && w.orderZone(ctx, first+1, true)
		acked := time.Now()
		if thaw != nil {
			time.Sleep(time.Duration(rng.Intn(500)) * time.Millisecond)
			thaw()
		}
		if !ok {
			break
		}
		sleepUntil(ctx, acked.Add(evacuationLength))
		evacuations = append(evacuations, evacuation{from: acked, to: time.Now()})
		if !w.orderZone(ctx, rng.Intn(len(controllers)), false) {
			break
		}
	}
	return evacuations
}

// orderZone sends an order to one controller after another, from number first on, until one
// acknowledges it. It returns false if ctx ends before.
func (w *workload) orderZone(ctx context.Context, first int, out bool) bool {
	var op standin.Operator
	controllers := w.site.hostsOfKind("controller")
	if out {
		w.zoneMayBeOut = true
	}
	for n := first; ctx.Err() == nil; n++ {
		h := controllers[n%len(controllers)]
		if op.SetZoneOut(h.address(standin.ControlPort), evacuatedZone, out) {
			w.zoneMayBeOut = out
			return true
		}
		time.Sleep(orderBackoff)
	}
	return false
}

// returnNeededZone takes the zone back if it may be out of service and has the only plain targets, which no
// gateway may use meanwhile.
func (w *workload) returnNeededZone(ctx context.Context) {
	if w.zoneMayBeOut && !w.site.hasPlainTargetOutside(evacuatedZone) {
		w.orderZone(ctx, 0, false)
	}
}

// hasPlainTargetOutside reports whether a plain target that is neither stopping nor stopped is in another
// availability zone.
func (s *site) hasPlainTargetOutside(zone string) bool {
	return slices.ContainsFunc(s.allTargets(), func(t *standin.Target) bool {
		return !t.Stream && t.Zone != zone && !t.Drained() && !t.AnnouncesStop()
	})
}

// sleepUntil waits until a time and returns false if ctx ends before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryFreeze suspends the process of a host unless another fault holds it. The returned function resumes
// the process; it is nil if the host is held.
func (h *host) tryFreeze() (thaw func()) {
	if !h.busy.CompareAndSwap(false, true) {
		return nil
	}
	h.process.Suspend()
	return func() {
		h.process.Resume()
		h.release()
	}
}

// checkEvacuations checks that no target in the zone gets a request that was sent later than
// evacuationTimeout after an evacuation was acknowledged and before the zone was taken back.
func (w *workload) checkEvacuations(evacuations []evacuation, byID map[string]attempt) {
	zones := map[string]string{}
	for _, t := range w.site.allTargets() {
		zones[t.ID] = t.Zone
	}
	for _, run := range w.site.log.All() {
		a, known := byID[run.ID]
		if !known || zones[run.Target] != evacuatedZone {
			continue
		}
		for _, e := range evacuations {
			if a.result.Sent.After(e.from.Add(evacuationTimeout)) && run.At.Before(e.to) {
				w.recordViolation("EVACUATED ZONE USED (EVAC): %s reached %s %s after the evacuation was acknowledged", run.ID, run.Target, run.At.Sub(e.from))
			}
		}
	}
}
