package gateway

import (
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/clock"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	registry     metrics.Registry
	requests     metrics.Counter
	served       metrics.Counter
	pollFailures metrics.Counter
	relayed      metrics.Counter // calls of other gateways relayed to the controllers
	onCredit     metrics.Counter // requests admitted without a token
	// limitedFirst and limitedRepeated count the requests sent to targets that name a request
	// limit: those sent for the first time, and those sent again after another target.
	limitedFirst, limitedRepeated metrics.Counter
	// permitsRequested and permitsDenied count requests for permits to use such targets.
	permitsRequested, permitsDenied metrics.Counter
	latency                         metrics.Histogram // in microseconds
	// logSecond is the current second of the clock, and logLines counts the log lines of served
	// requests in it.
	logSecond atomic.Int64
	logLines  atomic.Int64
}

const (
	// latencySamples and latencyDecay are the size and the decay factor of the latency
	// reservoir, with the usual values for exponentially decaying samples.
	latencySamples = 1028
	latencyDecay   = 0.015
	// maxServedLinesPerSecond bounds the log lines of served requests.
	maxServedLinesPerSecond = 50
)

func newMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry:         r,
		requests:         metrics.GetOrRegisterCounter("gateway.requests", r),
		served:           metrics.GetOrRegisterCounter("gateway.served", r),
		pollFailures:     metrics.GetOrRegisterCounter("gateway.poll_failures", r),
		relayed:          metrics.GetOrRegisterCounter("gateway.relayed", r),
		onCredit:         metrics.GetOrRegisterCounter("gateway.admitted_on_credit", r),
		limitedFirst:     metrics.GetOrRegisterCounter("gateway.limited_sends.first", r),
		limitedRepeated:  metrics.GetOrRegisterCounter("gateway.limited_sends.repeated", r),
		permitsRequested: metrics.GetOrRegisterCounter("gateway.permits.requested", r),
		permitsDenied:    metrics.GetOrRegisterCounter("gateway.permits.denied", r),
		latency:          metrics.GetOrRegisterHistogram("gateway.latency_us", r, metrics.NewExpDecaySample(latencySamples, latencyDecay)),
	}
}

// failures returns the counter of requests that failed with an error code.
func (m *gatewayMetrics) failures(code string) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.failed."+code, m.registry)
}

// logsServed reports whether the next served request is logged.
func (m *gatewayMetrics) logsServed() bool {
	now := int64(clock.Now().Seconds())
	if m.logSecond.Swap(now) != now {
		m.logLines.Store(0)
	}
	return m.logLines.Add(1) <= maxServedLinesPerSecond
}
