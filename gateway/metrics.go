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
	tunnels      metrics.Counter // connections to targets opened for other gateways
	// limitedFirst and limitedRepeated count the requests sent to targets that name a request
	// limit: those sent for the first time, and those sent again after another target.
	limitedFirst, limitedRepeated metrics.Counter
	// permitsRequested and permitsDenied count requests for permits to use such targets.
	permitsRequested, permitsDenied metrics.Counter
	// bodiesStored and bodiesInline count the turns whose bodies were to go to store hosts: those that
	// did, and those that the ledger keeps because too few store hosts took them. bodiesLoaded and
	// bodiesUnavailable count histories with bodies on store hosts: those that were read and those that
	// could not be.
	bodiesStored, bodiesInline, bodiesLoaded, bodiesUnavailable metrics.Counter
	// streamsJoined and streamsNotJoined count the kept turns whose stream was resumed: those that continue the
	// events before, and those that were refused because the ledger does not hold these.
	streamsJoined, streamsNotJoined metrics.Counter
	// eventCalls and eventCallFailures count the calls that append events of streams to their logs.
	eventCalls, eventCallFailures metrics.Counter
	latency                       metrics.Histogram // in microseconds
	// servedLines, refusalLines and bodyLines bound the log lines of served requests, of refusals of
	// targets, and of bodies that store hosts did not take.
	servedLines, refusalLines, bodyLines lineLimiter
}

const (
	// latencySamples and latencyDecay are the size and the decay factor of the latency
	// reservoir, with the usual values for exponentially decaying samples.
	latencySamples = 1028
	latencyDecay   = 0.015
	// maxLinesPerSecond bounds the log lines of each kind that a lineLimiter limits.
	maxLinesPerSecond = 50
)

func newMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry:         r,
		requests:         metrics.GetOrRegisterCounter("gateway.requests", r),
		served:           metrics.GetOrRegisterCounter("gateway.served", r),
		pollFailures:     metrics.GetOrRegisterCounter("gateway.poll_failures", r),
		relayed:          metrics.GetOrRegisterCounter("gateway.relayed", r),
		tunnels:          metrics.GetOrRegisterCounter("gateway.tunnels", r),
		onCredit:         metrics.GetOrRegisterCounter("gateway.admitted_on_credit", r),
		limitedFirst:     metrics.GetOrRegisterCounter("gateway.limited_sends.first", r),
		limitedRepeated:  metrics.GetOrRegisterCounter("gateway.limited_sends.repeated", r),
		permitsRequested: metrics.GetOrRegisterCounter("gateway.permits.requested", r),
		permitsDenied:    metrics.GetOrRegisterCounter("gateway.permits.denied", r),

		bodiesStored:      metrics.GetOrRegisterCounter("gateway.bodies.stored", r),
		bodiesInline:      metrics.GetOrRegisterCounter("gateway.bodies.inline", r),
		bodiesLoaded:      metrics.GetOrRegisterCounter("gateway.bodies.loaded", r),
		bodiesUnavailable: metrics.GetOrRegisterCounter("gateway.bodies.unavailable", r),
		streamsJoined:     metrics.GetOrRegisterCounter("gateway.resumed_turns.joined", r),
		streamsNotJoined:  metrics.GetOrRegisterCounter("gateway.resumed_turns.refused", r),
		eventCalls:        metrics.GetOrRegisterCounter("gateway.event_log.calls", r),
		eventCallFailures: metrics.GetOrRegisterCounter("gateway.event_log.failures", r),
		latency:           metrics.GetOrRegisterHistogram("gateway.latency_us", r, metrics.NewExpDecaySample(latencySamples, latencyDecay)),
	}
}

// failures returns the counter of requests that failed with an error code.
func (m *gatewayMetrics) failures(code string) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.failed."+code, m.registry)
}

// lineLimiter bounds the log lines of one kind to maxLinesPerSecond. It is safe for concurrent use.
type lineLimiter struct {
	second atomic.Int64 // of the clock
	lines  atomic.Int64 // in that second
}

// allow reports whether the next line is written.
func (l *lineLimiter) allow() bool {
	now := int64(clock.Now().Seconds())
	if l.second.Swap(now) != now {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLinesPerSecond
}
