package sched

import "time"

const (
	// fitDecay is the weight that older observations keep at each new one.
	fitDecay = 0.995
	// priorWeight is the weight of each of the prior's two points in observations.
	priorWeight = 2
)

// line is a linear fit y = a + b*x that forgets old observations. It starts from a prior.
type line struct {
	n                     int
	sw, sx, sy, sxx, sxy  float64
	priorA, priorB, scale float64
}

// newLine returns a fit with the prior a + b*x, expressed as points at 0 and at scale.
func newLine(a, b, scale float64) line {
	l := line{priorA: a, priorB: b, scale: scale}
	l.put(0, a, priorWeight)
	l.put(scale, a+b*scale, priorWeight)
	return l
}

func (l *line) put(x, y, w float64) {
	l.sw += w
	l.sx += w * x
	l.sy += w * y
	l.sxx += w * x * x
	l.sxy += w * x * y
}

func (l *line) add(x, y float64) {
	l.n++
	l.sw *= fitDecay
	l.sx *= fitDecay
	l.sy *= fitDecay
	l.sxx *= fitDecay
	l.sxy *= fitDecay
	l.put(x, y, 1)
}

// slope returns b, at least a hundredth of the prior: time never falls with load.
func (l *line) slope() float64 {
	det := l.sw*l.sxx - l.sx*l.sx
	if det <= 0 {
		return l.priorB
	}
	return max((l.sw*l.sxy-l.sx*l.sy)/det, l.priorB/100)
}

// at returns the fit's value at x, not below zero.
func (l *line) at(x float64) float64 {
	b := l.slope()
	a := (l.sy - b*l.sx) / l.sw
	return max(a, 0) + b*x
}

// drainRate measures how fast slots become free, in windows of drainWindow.
type drainRate struct {
	start       time.Duration
	count, last int
}

const (
	drainWindow   = time.Second
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func (d *drainRate) roll(now time.Duration) {
	if now-d.start < drainWindow {
		return
	}
	d.last = d.count
	if now-d.start >= 2*drainWindow {
		d.last = 0
	}
	d.count = 0
	d.start = now
}

func (d *drainRate) add(now time.Duration) {
	d.roll(now)
	d.count++
}

// timeFor estimates the time until n slots have become free.
func (d *drainRate) timeFor(now time.Duration, n int) time.Duration {
	d.roll(now)
	perWindow := max(d.last, d.count, 1)
	t := time.Duration(n) * drainWindow / time.Duration(perWindow)
	return min(max(t, minRetryAfter), maxRetryAfter)
}
