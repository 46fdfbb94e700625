package sched

import (
	"math"
	"time"
)

// State is the health of a target.
type State string

// States of a target. Warm and cold targets take requests; a cold one takes fewer until it
// has shown that it has warmed up.
const (
	Warm    State = "warm"
	Cold    State = "cold"
	Down    State = "down"
	Drained State = "drained"
)

const (
	// downAfterFailures is the number of consecutive failures that mark a target as down.
	downAfterFailures = 3
	// A target that is down gets one probe request after minProbeDelay. Each failed probe
	// doubles the delay, up to maxProbeDelay.
	minProbeDelay = time.Second
	maxProbeDelay = 10 * time.Second
	// reportTTL is the age above which a load report is no longer used.
	reportTTL = 5 * time.Second
	// firstReportWait is how long the limit of a target that has never sent a load report is
	// not raised after a sign of a cold start, because its first report may still arrive.
	// After that the target is taken for one without load reports, such as a plain service.
	firstReportWait = 2 * time.Second
	// silentReportWait is the same for a target whose load reports have stopped coming, counted
	// from its last report.
	silentReportWait = time.Minute
	// reportSkewTolerance is the tolerance when the time of a load report is compared with the
	// times of assignments: a request needs some time to reach the target.
	reportSkewTolerance = 50 * time.Millisecond
	// A first token that takes more than slowTTFTFactor times the estimate plus
	// slowTTFTMargin shows that the target has become cold.
	slowTTFTFactor = 4
	slowTTFTMargin = 2 * time.Second
)

// TargetSpec is the configuration of a target.
type TargetSpec struct {
	Name, Address, Host, Zone string
	Software                  string // version; empty if it is not declared
	Slots, ColdSlots          int
	// OutOfService is set if the target, its host or its availability zone is drained or leaving;
	// the target then gets no new requests.
	OutOfService bool
}

// LoadReport is the load that a target reports about itself.
type LoadReport struct {
	Running, Waiting int
	// KVUsed and KVTotal are the used and total size of the KV cache, in tokens; KVTotal is
	// 0 if unknown.
	KVUsed, KVTotal int64
	Cold            bool
	// MeasuredAt is the time of the measurement, on the pool's clock.
	MeasuredAt time.Duration
}

// Target is a target of a pool with its slots in use, its slot limit and its health.
type Target struct {
	TargetSpec
	// Requests is the number of requests assigned so far.
	Requests int64

	slots       map[*Slot]struct{}
	recentSlots []interval // slots released within reportTTL, latest last
	parked      int        // queued requests that wait for a slot on this target

	limit        int
	successes    int // successful responses since the last change of the limit
	failures     int // consecutive failures
	down         bool
	downAt       time.Duration
	probeAt      time.Duration
	probeDelay   time.Duration
	lastColdSign time.Duration // time of the last sign that the target is cold
	// assumedCold is set if the target is treated as cold only because the scheduler has
	// just started and does not know it yet.
	assumedCold bool

	report      LoadReport // latest one
	reportValid bool       // report is set and not older than reportTTL
	// lastReportAt is when the latest report arrived; 0 if there was none.
	lastReportAt      time.Duration
	externalRequests  int  // reported requests that this pool has not assigned
	relativeTokenTime ewma // time per generated token, relative to the pool's average
	// prefillDoneAt is the estimated time when the prompts of all slots have been computed.
	prefillDoneAt time.Duration
}

// interval is the time for which a slot was in use.
type interval struct{ from, to time.Duration }

// newTarget returns a target at its cold-start limit. assumed is set if the target is treated as
// cold only because nothing is known about it yet.
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
	case t.OutOfService:
		return Drained
	case t.down:
		return Down
	case t.reportedCold() || t.limit < t.maxSlots():
		return Cold
	}
	return Warm
}

// InUse returns the number of slots in use, including requests that the target reports but
// this pool has not assigned.
func (t *Target) InUse() int { return len(t.slots) + t.externalRequests }

// Limit returns the number of slots that may be in use now. A target that is down gets one
// slot, for a probe request, once its probe delay has passed.
func (t *Target) Limit(now time.Duration) int {
	switch {
	case t.OutOfService:
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

// Free returns the number of slots that are free now. It is negative if more slots are in
// use than the limit allows.
func (t *Target) Free(now time.Duration) int { return t.Limit(now) - t.InUse() }

// reportedCold reports whether the target's current report says that it is cold.
func (t *Target) reportedCold() bool { return t.reportValid && t.report.Cold }

// reportedWarm reports whether the target's current report says that it is not cold and was
// made after the last sign of a cold start.
func (t *Target) reportedWarm() bool {
	return t.reportValid && !t.report.Cold && t.report.MeasuredAt > t.lastColdSign
}

// setCold resets the target to its cold-start limit. now is the time of the sign that the
// target is cold.
func (t *Target) setCold(now time.Duration) {
	t.limit = t.coldSlots()
	t.successes = 0
	t.lastColdSign = now
	t.assumedCold = false
}

// update applies a changed configuration. A target that returns to service or has a new
// address starts cold.
func (t *Target) update(spec TargetSpec, now time.Duration) {
	returned := t.OutOfService && !spec.OutOfService
	moved := t.Address != spec.Address
	t.TargetSpec = spec
	t.limit = min(t.limit, t.maxSlots())
	if returned || moved {
		t.down = false
		t.failures = 0
		t.setCold(now)
	}
}

// onSuccess records a successful response.
func (t *Target) onSuccess(now time.Duration) {
	t.failures = 0
	if t.down {
		t.down = false
		t.setCold(now)
	}
	if t.limit >= t.maxSlots() || !t.mayRaiseLimit(now) {
		return
	}
	t.successes++
	if t.successes < t.successesToRaiseLimit() {
		return
	}
	t.successes = 0
	t.limit++
}

// mayRaiseLimit reports whether successful responses may raise the limit. A target that sends
// load reports must first have reported that it is warm: a cold target returns short responses
// in time as well, so they do not show that it is warm.
func (t *Target) mayRaiseLimit(now time.Duration) bool {
	switch {
	case t.reportedWarm():
		return true
	case t.lastReportAt > 0:
		return now-t.lastReportAt > silentReportWait
	}
	return now-t.lastColdSign >= firstReportWait
}

// successesToRaiseLimit returns the number of successful responses that raise the limit by one:
// as many as the limit, which is a full round of the slots, or a single one if the target
// reports that it is warm.
func (t *Target) successesToRaiseLimit() int {
	if t.reportedWarm() {
		return 1
	}
	return t.limit
}

// onErrorResponse records an error response. It shows that the target is alive, so the limit is
// halved and not reset.
func (t *Target) onErrorResponse(now, assignedAt time.Duration) {
	t.successes = 0
	t.limit = max(t.limit/2, 1)
	t.countFailure(now, assignedAt)
}

// onConnectionFailure records a lost or refused connection or a busy target. The target may
// have restarted, so it is treated as cold.
func (t *Target) onConnectionFailure(now, assignedAt time.Duration) {
	t.setCold(now)
	t.countFailure(now, assignedAt)
}

// countFailure counts a failure. It marks the target as down after downAfterFailures, and
// schedules the next probe.
func (t *Target) countFailure(now, assignedAt time.Duration) {
	t.failures++
	switch {
	case t.failures < downAfterFailures:
		return
	case !t.down:
		t.down = true
		t.downAt = now
		t.probeDelay = minProbeDelay
	case assignedAt <= t.downAt:
		return // assigned before the target was marked as down, so not a probe
	default:
		t.probeDelay = min(2*t.probeDelay, maxProbeDelay)
	}
	t.probeAt = now + t.probeDelay
}

// onReport applies a load report; reports that are older than the current one are ignored. It
// returns the orphaned slots whose requests have ended according to the report.
func (t *Target) onReport(now time.Duration, r LoadReport) (ended []*Slot) {
	if t.reportValid && r.MeasuredAt < t.report.MeasuredAt {
		return nil
	}
	if r.Cold && !t.reportedCold() {
		t.setCold(r.MeasuredAt)
	}
	t.report, t.reportValid = r, true
	t.lastReportAt = now
	t.dropExpired(now)
	t.externalRequests = max(0, r.Running+r.Waiting-t.maxOwnInUse(r.MeasuredAt))
	if t.assumedCold && t.reportedWarm() {
		// The scheduler of the previous term must have raised the limit at least to the
		// number of slots in use.
		t.limit = max(t.limit, min(t.maxSlots(), len(t.slots)))
		t.assumedCold = false
	}
	return t.endedOrphans(r)
}

// maxOwnInUse returns the largest number of slots assigned by this pool that were in use at the
// same time at any moment since the given time. Only requests beyond that number were certainly
// assigned by others: the report may be newer than its time says, as the target's clock may be
// behind.
func (t *Target) maxOwnInUse(since time.Duration) int {
	since -= reportSkewTolerance
	intervals := make([]interval, 0, len(t.slots)+len(t.recentSlots))
	for s := range t.slots {
		intervals = append(intervals, interval{from: s.AssignedAt, to: math.MaxInt64})
	}
	for _, s := range t.recentSlots {
		if s.to >= since {
			intervals = append(intervals, s)
		}
	}
	most := 0
	for _, in := range intervals {
		most = max(most, countActiveAt(intervals, max(in.from, since)))
	}
	return most
}

// countActiveAt returns the number of intervals that contain at.
func countActiveAt(intervals []interval, at time.Duration) int {
	n := 0
	for _, s := range intervals {
		if s.from <= at && s.to >= at {
			n++
		}
	}
	return n
}

// endedOrphans returns the orphaned slots whose requests must have ended, because the report
// counts fewer requests on the target than there are orphaned slots. Which of the orphans are
// returned is arbitrary. Slots that became orphans after the report was made are left out.
func (t *Target) endedOrphans(r LoadReport) []*Slot {
	var orphans []*Slot
	for s := range t.slots {
		if s.OrphanedAt > 0 && s.OrphanedAt < r.MeasuredAt {
			orphans = append(orphans, s)
		}
	}
	excess := len(orphans) - r.Running - r.Waiting
	if excess <= 0 {
		return nil
	}
	return orphans[:excess]
}

// dropExpired drops the released slots and the report that are older than reportTTL.
func (t *Target) dropExpired(now time.Duration) {
	kept := t.recentSlots[:0]
	for _, s := range t.recentSlots {
		if s.to+reportTTL > now {
			kept = append(kept, s)
		}
	}
	t.recentSlots = kept
	if t.report.MeasuredAt+reportTTL < now {
		t.reportValid = false
		t.externalRequests = 0
	}
}
