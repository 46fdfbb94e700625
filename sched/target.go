package sched

import (
	"math"
	"time"
)

// State is the health of a target.
type State string

// States of a target.
const (
	Warm    State = "warm"
	Cold    State = "cold"
	Down    State = "down"
	Drained State = "drained"
)

const (
	// downAfter is the number of consecutive failures after which a target is down.
	downAfter = 3
	// Probe delays of a target that is down; each failed probe doubles the delay.
	minProbeDelay = time.Second
	maxProbeDelay = 10 * time.Second
	// reportTTL is the age at which a load report stops being used.
	reportTTL = 5 * time.Second
	// firstReportWait is how long a target that has never reported is kept at its limit,
	// because its first report may still come; plain services may have no reports.
	firstReportWait = 2 * time.Second
	// silentReportWait is the same for a target whose reports have stopped coming.
	silentReportWait = time.Minute
	// reportSkew is the tolerance in matching a report's time with own assignments: a
	// request needs some time to reach the target.
	reportSkew = 50 * time.Millisecond
	// slowTTFTFactor and slowTTFTFloor tell when a first token is so late that the
	// target must have become cold.
	slowTTFTFactor = 4
	slowTTFTFloor  = 2 * time.Second
)

// TargetSpec is the configuration of a target.
type TargetSpec struct {
	Name, Address, Host, Zone string
	Slots, ColdSlots          int
	// Out tells that the target, its host or its zone is drained or leaving.
	Out bool
}

// LoadReport is what a target says about itself.
type LoadReport struct {
	Running, Waiting int
	// KVUsed and KVTotal are in tokens; KVTotal is 0 if unknown.
	KVUsed, KVTotal int64
	Cold            bool
	// At is the time of the measurement on the pool's clock.
	At time.Duration
}

// Target is a target with its account.
type Target struct {
	TargetSpec
	// Requests counts assignments.
	Requests int64

	slots  map[*Slot]struct{}
	recent []span // slots that ended within reportTTL, the latest last
	parked int    // requests that wait for this target

	limit     int
	good      int // good answers since the last change of the limit
	failures  int // consecutive ones
	down      bool
	downAt    time.Duration
	probeAt   time.Duration
	delay     time.Duration
	coldSince time.Duration // time of the last sign of a cold start
	// assumedCold tells that the target counts as cold for lack of knowledge only.
	assumedCold bool

	report   LoadReport
	reported bool
	// lastReport is when the newest report came, 0 if there was none.
	lastReport time.Duration
	external   int  // requests on the target that are not in this account
	speed      ewma // time per token relative to the pool's
	// prefillDone is the estimated time at which the prompts of all slots are computed.
	prefillDone time.Duration
}

type span struct{ from, to time.Duration }

func newTarget(spec TargetSpec, now time.Duration, assumed bool) *Target {
	t := &Target{TargetSpec: spec, slots: map[*Slot]struct{}{}}
	t.setCold(now)
	t.assumedCold = assumed
	return t
}

func (s TargetSpec) coldSlots() int { return min(max(s.ColdSlots, 1), s.maxSlots()) }
func (s TargetSpec) maxSlots() int  { return max(s.Slots, 1) }

// State returns the target's state.
func (t *Target) State() State {
	switch {
	case t.Out:
		return Drained
	case t.down:
		return Down
	case t.reportedCold() || t.limit < t.maxSlots():
		return Cold
	}
	return Warm
}

// InUse returns the number of slots in use, with requests that this account does not
// know but the target reports.
func (t *Target) InUse() int { return len(t.slots) + t.external }

// Limit returns the number of slots that may be in use now.
func (t *Target) Limit(now time.Duration) int {
	switch {
	case t.Out:
		return 0
	case t.down && now < t.probeAt:
		return 0
	case t.down:
		return 1
	case t.reportedCold():
		return min(t.limit, t.coldSlots())
	}
	return t.limit
}

// Free returns the number of slots that are free now.
func (t *Target) Free(now time.Duration) int { return t.Limit(now) - t.InUse() }

// reportedCold tells that the target's newest report says that it is cold.
func (t *Target) reportedCold() bool { return t.reported && t.report.Cold }

// reportedWarm tells that a report made after the last sign of a cold start says that
// the target is not cold.
func (t *Target) reportedWarm() bool {
	return t.reported && !t.report.Cold && t.report.At > t.coldSince
}

// setCold puts the target at its cold-start limit.
func (t *Target) setCold(now time.Duration) {
	t.limit = t.coldSlots()
	t.good = 0
	t.coldSince = now
	t.assumedCold = false
}

// update takes over a changed configuration. A target that returns is cold.
func (t *Target) update(spec TargetSpec, now time.Duration) {
	returned := t.Out && !spec.Out
	moved := t.Address != spec.Address
	t.TargetSpec = spec
	t.limit = min(t.limit, t.maxSlots())
	if returned || moved {
		t.down = false
		t.failures = 0
		t.setCold(now)
	}
}

// onGood accounts for a good answer.
func (t *Target) onGood(now time.Duration) {
	t.failures = 0
	if t.down {
		t.down = false
		t.setCold(now)
	}
	if t.limit >= t.maxSlots() || !t.mayGrow(now) {
		return
	}
	t.good++
	if t.good < t.growthStep() {
		return
	}
	t.good = 0
	t.limit++
}

// mayGrow tells whether good answers raise the limit. A target that reports its load must
// first have said that it is warm: short answers come back in time from a cold one as well.
func (t *Target) mayGrow(now time.Duration) bool {
	switch {
	case t.reportedWarm():
		return true
	case t.lastReport > 0:
		return now-t.lastReport > silentReportWait
	}
	return now-t.coldSince >= firstReportWait
}

// growthStep is the number of good answers that raise the limit by one: a full round of
// the slots, or one answer if the target itself says that it is warm.
func (t *Target) growthStep() int {
	if t.reportedWarm() {
		return 1
	}
	return t.limit
}

// onError accounts for an error answer of a target that is alive.
func (t *Target) onError(now, assignedAt time.Duration) {
	t.good = 0
	t.limit = max(t.limit/2, 1)
	t.onFailure(now, assignedAt)
}

// onBroken accounts for a lost connection or a refusal: the target may have restarted.
func (t *Target) onBroken(now, assignedAt time.Duration) {
	t.setCold(now)
	t.onFailure(now, assignedAt)
}

func (t *Target) onFailure(now, assignedAt time.Duration) {
	t.failures++
	switch {
	case t.failures < downAfter:
		return
	case !t.down:
		t.down = true
		t.downAt = now
		t.delay = minProbeDelay
	case assignedAt <= t.downAt:
		return // assigned before the target was down: not a probe
	default:
		t.delay = min(2*t.delay, maxProbeDelay)
	}
	t.probeAt = now + t.delay
}

// onReport accounts for a load report. It returns the slots of gone entries whose
// requests the report proves to have ended.
func (t *Target) onReport(now time.Duration, r LoadReport) (ended []*Slot) {
	if t.reported && r.At < t.report.At {
		return nil
	}
	if r.Cold && !t.reportedCold() {
		t.setCold(r.At)
	}
	t.report, t.reported = r, true
	t.lastReport = now
	t.prune(now)
	t.external = max(0, r.Running+r.Waiting-t.mostOwn(r.At))
	if t.assumedCold && t.reportedWarm() {
		// The previous scheduler had grown the limit at least to the slots in use.
		t.limit = max(t.limit, min(t.maxSlots(), len(t.slots)))
		t.assumedCold = false
	}
	return t.endedOrphans(r)
}

// mostOwn returns the largest number of own slots that were in use at once since a time.
// Only what exceeds it is surely not of this account, whatever the report's true age: a
// target's clock may be behind.
func (t *Target) mostOwn(since time.Duration) int {
	since -= reportSkew
	spans := make([]span, 0, len(t.slots)+len(t.recent))
	for s := range t.slots {
		spans = append(spans, span{from: s.AssignedAt, to: math.MaxInt64})
	}
	for _, s := range t.recent {
		if s.to >= since {
			spans = append(spans, s)
		}
	}
	most := 0
	for _, at := range spans {
		most = max(most, overlapping(spans, max(at.from, since)))
	}
	return most
}

func overlapping(spans []span, at time.Duration) int {
	n := 0
	for _, s := range spans {
		if s.from <= at && s.to >= at {
			n++
		}
	}
	return n
}

// endedOrphans picks the slots of gone entries that exceed the requests on the target at
// the time of the report.
func (t *Target) endedOrphans(r LoadReport) []*Slot {
	var orphans []*Slot
	for s := range t.slots {
		if s.OrphanedAt > 0 && s.OrphanedAt < r.At {
			orphans = append(orphans, s)
		}
	}
	excess := len(orphans) - r.Running - r.Waiting
	if excess <= 0 {
		return nil
	}
	return orphans[:excess]
}

// prune drops knowledge that is too old.
func (t *Target) prune(now time.Duration) {
	kept := t.recent[:0]
	for _, s := range t.recent {
		if s.to+reportTTL > now {
			kept = append(kept, s)
		}
	}
	t.recent = kept
	if t.report.At+reportTTL < now {
		t.reported = false
		t.external = 0
	}
}
