package rollout

import (
	"fmt"
	"time"
)

// Phase is the phase of a roll-out. Phases only advance.
type Phase uint8

// Phases of a roll-out.
const (
	// Open: the new version is on trial and gets a small share.
	Open Phase = iota + 1
	// Moving: the new version gets all requests that it can take; the old one gets the others.
	Moving
	// Final: the old version gets no requests and is being emptied.
	Final
	// Completed and RolledBack are the ends.
	Completed
	RolledBack
)

// Ended reports whether the roll-out has ended.
func (p Phase) Ended() bool { return p >= Completed }

// String returns the name of the phase for logs.
func (p Phase) String() string {
	names := [...]string{"none", "open", "moving", "final", "completed", "rolled_back"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", p)
}

// Bounds limit what a bad version may get.
type Bounds struct {
	// Share and Headroom bound the requests that a bad version gets: Share of all requests of its
	// service, and Headroom.
	Share    float64
	Headroom int
	// RollbackTime is the time after the 50th bad answer from which the version gets no request.
	RollbackTime time.Duration
}

// DefaultBounds apply if the settings name no bounds.
var DefaultBounds = Bounds{Share: 0.1, Headroom: 50, RollbackTime: 5 * time.Second}

// WithDefaults returns the bounds with the default in place of each that is not set.
func (b Bounds) WithDefaults() Bounds {
	if b.Share <= 0 {
		b.Share = DefaultBounds.Share
	}
	if b.Headroom <= 0 {
		b.Headroom = DefaultBounds.Headroom
	}
	if b.RollbackTime <= 0 {
		b.RollbackTime = DefaultBounds.RollbackTime
	}
	return b
}

// Lifetime returns how long a gateway may use a share without hearing of the leader again: short enough
// that verdict, record and expiry together stay below RollbackTime.
func (b Bounds) Lifetime() time.Duration { return min(b.RollbackTime*3/10, maxLifetime) }

const (
	maxLifetime = 1500 * time.Millisecond
	// minTrialTenths is the part of the duration, in tenths, before which the new version does not get
	// all requests: a version may turn bad only after some seconds.
	minTrialTenths = 6
	// maxTrialTenths is the part after which a version without a good verdict is rolled back.
	maxTrialTenths = 8
	// minChangeover is the time that is kept for emptying the old version. Streams of 2 s have to end,
	// and gateways have to report that.
	minChangeover = 2700 * time.Millisecond
	// movingTime bounds the wait in phase Moving for a gateway that does not report.
	movingTime = 500 * time.Millisecond
	// recordMargin is the time before the limit at which a roll-out that has not been completed is
	// rolled back, so that the end is recorded in time.
	recordMargin = 200 * time.Millisecond
)

// trialEnd returns when the trial ends at the latest, and never before its earliest end.
func trialEnd(duration time.Duration) time.Duration {
	latest := min(duration*maxTrialTenths/10, duration-minChangeover)
	return max(latest, duration*minTrialTenths/10+duration/10)
}

// movedPart is the part of the requests that the new version has to take before the old one gets none: new
// targets may be cold and at their limit.
const movedPart = 0.95

// HasMoved reports whether the new version has taken nearly all requests, of which it got exposed and its
// service sent.
func HasMoved(sent, exposed uint64) bool { return float64(exposed) >= movedPart*float64(sent) }

// Progress is what the leader knows about a roll-out.
type Progress struct {
	Phase    Phase
	Duration time.Duration
	Elapsed  time.Duration // since the order
	InPhase  time.Duration // since the phase was recorded
	Verdict  Verdict
	// Applied is set if all gateways in contact apply the phase, and Empty if moreover none has a request
	// in flight at the old version, and no other gateway can send one there.
	Applied, Empty bool
	// Moved is set if the new version has lately taken nearly all requests, so that it needs the old one
	// no more.
	Moved bool
}

// Next returns the phase that follows, with the reason, or the present one.
func Next(p *Progress) (Phase, string) {
	if p.Phase.Ended() {
		return p.Phase, ""
	}
	if p.Verdict.Kind == Bad {
		return RolledBack, p.Verdict.Reason
	}
	switch p.Phase {
	case Open:
		if p.Verdict.Kind == Good && p.Elapsed >= p.Duration*minTrialTenths/10 {
			return Moving, p.Verdict.Reason
		}
		if p.Elapsed >= trialEnd(p.Duration) {
			return RolledBack, "too little evidence: " + p.Verdict.Reason
		}
	case Moving:
		if p.Moved && (p.Applied || p.InPhase >= movingTime) || p.Elapsed >= trialEnd(p.Duration) && p.InPhase >= movingTime {
			return Final, ""
		}
	case Final:
		if p.Empty {
			return Completed, ""
		}
		if p.Elapsed >= p.Duration-recordMargin {
			return RolledBack, "the old version was not empty at the time limit"
		}
	}
	return p.Phase, ""
}
