package gateway

import (
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/clock"
)

// gatewayMetrics are the counters and histograms of a gateway.
type gatewayMetrics struct {
	registry     metrics.Registry
	requests     metrics.Counter
	served       metrics.Counter
	pollFailures metrics.Counter
	relayed      metrics.Counter   // calls of other gateways, passed on to the controllers
	credit       metrics.Counter   // requests admitted without a grant
	latency      metrics.Histogram // in microseconds
	second       atomic.Int64
	lines        atomic.Int64
}

const (
	latencySamples = 1028
	latencyDecay   = 0.015
	// servedLinesPerSecond bounds the log lines of requests that were served.
	servedLinesPerSecond = 50
)

func newMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry:     r,
		requests:     metrics.GetOrRegisterCounter("gateway.requests", r),
		served:       metrics.GetOrRegisterCounter("gateway.served", r),
		pollFailures: metrics.GetOrRegisterCounter("gateway.poll_failures", r),
		relayed:      metrics.GetOrRegisterCounter("gateway.relayed", r),
		credit:       metrics.GetOrRegisterCounter("gateway.admitted_on_credit", r),
		latency:      metrics.GetOrRegisterHistogram("gateway.latency_us", r, metrics.NewExpDecaySample(latencySamples, latencyDecay)),
	}
}

// refusal returns the counter of an error code.
func (m *gatewayMetrics) refusal(code string) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.failed."+code, m.registry)
}

// sampled reports whether a served request gets a line in the log.
func (m *gatewayMetrics) sampled() bool {
	now := int64(clock.Now().Seconds())
	if m.second.Swap(now) != now {
		m.lines.Store(0)
	}
	return m.lines.Add(1) <= servedLinesPerSecond
}
