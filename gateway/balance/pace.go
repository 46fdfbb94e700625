package balance

import (
	"math"
	"time"
)

// A target that shares its machine reports its pace: how long work takes on the machine now, as a
// multiple of the usual.

const (
	// MaxPacePercent is the highest pace that is believed.
	MaxPacePercent = 10000
	// paceHalfLife is the time in which a reported pace loses half of its weight. Paces change
	// by a factor of 2.5 within 600 ms, so that a report says little after 300 ms.
	paceHalfLife = 100 * time.Millisecond
	// paceMeanWeight is the weight of the newest report in the mean pace of a target, which keeps the
	// difference between fast and slow machines. A higher weight follows the swings, so that turns
	// move for a difference that has ended.
	paceMeanWeight = 0.05
	// paceForgetTime is the half-life with which the mean of a target without reports returns to 1.
	paceForgetTime = 30 * time.Second
)

// pace is what is known of the pace of a target.
type pace struct {
	stated bool // the target has reported a pace since it was listed
	last   float64
	mean   float64 // as of at
	at     time.Duration
	// level is the mean in steps of a factor of paceLevelFactor. It changes when the mean is well
	// beyond the middle between two steps, so that chance does not change it.
	level int
}

const (
	paceLevelFactor = 1.25
	paceLevelMargin = 0.75 // in steps
)

// record records a reported pace in per cent. A pace outside 1 to MaxPacePercent is ignored and
// record returns false.
func (p *pace) record(now time.Duration, percent int) bool {
	if percent <= 0 || percent > MaxPacePercent {
		return false
	}
	current := float64(percent) / 100
	mean := p.usual(now)
	mean += paceMeanWeight * (current - mean)
	p.stated, p.last, p.mean, p.at = true, current, mean, now
	if steps := math.Log(mean) / math.Log(paceLevelFactor); math.Abs(steps-float64(p.level)) > paceLevelMargin {
		p.level = int(math.Round(steps))
	}
	return true
}

// usual returns the mean pace of the target.
func (p *pace) usual(now time.Duration) float64 {
	if !p.stated {
		return 1
	}
	return 1 + (p.mean-1)*math.Exp2(-float64(now-p.at)/float64(paceForgetTime))
}

// expected returns the expected pace of work that takes the given time: the last report, weighed by
// its age in the middle of the work, and the mean for the rest. A report that is older than
// maxReportAge is not used.
func (p *pace) expected(now, work time.Duration) float64 {
	if !p.stated {
		return 1
	}
	usual := p.usual(now)
	age := now - p.at
	if age >= maxReportAge {
		return usual
	}
	return usual + (p.last-usual)*math.Exp2(-float64(age+work/2)/float64(paceHalfLife))
}
