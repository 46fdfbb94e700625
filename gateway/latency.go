package gateway

import (
	"sync"
	"time"
)

// latencyBaselines keeps the usual latency of each route at the targets of a service. Responses
// of a target are compared with it, per route because the latencies of routes differ by a
// factor of ten.
type latencyBaselines struct {
	mu        sync.Mutex
	baselines map[string]*latencyBaseline
}

type latencyBaseline struct {
	mean    float64 // ms
	samples int
}

const (
	// baselineWeight is the weight of the newest response in the exponential moving average.
	baselineWeight = 0.02
	// minBaselineSamples is the number of responses for which the plain mean is formed. Only
	// later responses are compared with the baseline.
	minBaselineSamples = 20
	// baselineCap bounds the weight of a slow response in the average, as a multiple of the
	// average, so that slow targets do not raise the baseline from which they should stand out.
	baselineCap = 3.0
)

// slowness adds a response to the baseline and returns its latency as a multiple of the
// baseline, or 0 if there are too few samples.
func (l *latencyBaselines) slowness(route, service string, took time.Duration) float64 {
	ms := float64(took.Microseconds()) / 1000
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.baselines == nil {
		l.baselines = map[string]*latencyBaseline{}
	}
	k := route + "\x00" + service
	b := l.baselines[k]
	if b == nil {
		b = &latencyBaseline{}
		l.baselines[k] = b
	}
	b.samples++
	if b.samples <= minBaselineSamples {
		b.mean += (ms - b.mean) / float64(b.samples)
		return 0
	}
	ratio := ms / max(b.mean, minBaselineMS)
	b.mean += baselineWeight * (min(ms, b.mean*baselineCap) - b.mean)
	return ratio
}

// minBaselineMS is the lowest baseline that is used as a divisor, so that the noise of very
// short latencies does not count as slowness.
const minBaselineMS = 5.0
