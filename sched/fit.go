package sched

import "time"

const (
	// fitDecay is the factor by which each new observation reduces the weight of earlier ones.
	fitDecay = 0.995
	// priorPointWeight is the weight of each of the two points of the prior; an observation has
	// weight 1.
	priorPointWeight = 2
)

// linearFit is a least squares fit of y = a + b*x in which the weight of observations decays. It
// starts from a prior.
type linearFit struct {
	samples int // observations, without the prior
	// Sums over the points, of the weight and of the weight times x, y, x*x and x*y.
	sw, sx, sy, sxx, sxy       float64
	priorA, priorB, priorScale float64
}

// newLinearFit returns a fit with the prior a + b*x, which is entered as two points at x = 0 and
// x = priorScale.
func newLinearFit(a, b, priorScale float64) linearFit {
	l := linearFit{priorA: a, priorB: b, priorScale: priorScale}
	l.addWeighted(0, a, priorPointWeight)
	l.addWeighted(priorScale, a+b*priorScale, priorPointWeight)
	return l
}

// addWeighted adds a point with weight w.
func (l *linearFit) addWeighted(x, y, w float64) {
	l.sw += w
	l.sx += w * x
	l.sy += w * y
	l.sxx += w * x * x
	l.sxy += w * x * y
}

// add adds an observation.
func (l *linearFit) add(x, y float64) {
	l.samples++
	l.sw *= fitDecay
	l.sx *= fitDecay
	l.sy *= fitDecay
	l.sxx *= fitDecay
	l.sxy *= fitDecay
	l.addWeighted(x, y, 1)
}

// slope returns b, or a hundredth of the prior's b if that is more: times never fall with load.
func (l *linearFit) slope() float64 {
	det := l.sw*l.sxx - l.sx*l.sx
	if det <= 0 {
		return l.priorB
	}
	return max((l.sw*l.sxy-l.sx*l.sy)/det, l.priorB/100)
}

// valueAt returns the fitted y at x. The constant part a is never below 0.
func (l *linearFit) valueAt(x float64) float64 {
	b := l.slope()
	a := (l.sy - b*l.sx) / l.sw
	return max(a, 0) + b*x
}

// releaseRate measures how fast slots become free, by counting them in consecutive windows of
// releaseRateWindow.
type releaseRate struct {
	windowStart       time.Duration
	current, previous int // slots freed in the current and the previous window
}

const (
	releaseRateWindow = time.Second
	minRetryAfter     = time.Second
	maxRetryAfter     = 30 * time.Second
)

// advance starts a new window if the current one has ended.
func (r *releaseRate) advance(now time.Duration) {
	if now-r.windowStart < releaseRateWindow {
		return
	}
	r.previous = r.current
	if now-r.windowStart >= 2*releaseRateWindow {
		r.previous = 0
	}
	r.current = 0
	r.windowStart = now
}

// add counts a slot that has become free.
func (r *releaseRate) add(now time.Duration) {
	r.advance(now)
	r.current++
}

// timeToRelease estimates the time until n slots have become free, within minRetryAfter and
// maxRetryAfter.
func (r *releaseRate) timeToRelease(now time.Duration, n int) time.Duration {
	r.advance(now)
	perWindow := max(r.previous, r.current, 1)
	t := time.Duration(n) * releaseRateWindow / time.Duration(perWindow)
	return min(max(t, minRetryAfter), maxRetryAfter)
}
