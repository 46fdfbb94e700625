package clientlimit

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/clock"
)

// reportInterval is the time between two log lines of the same bound.
const reportInterval = time.Second

// Reporter counts the clients that reach a bound and logs them, one line per bound and second.
type Reporter struct {
	log      logr.Logger
	registry metrics.Registry
	mu       sync.Mutex
	last     map[string]time.Duration // clock time of the last line, by bound
	since    map[string]int64         // reports since the last line, by bound
}

// NewReporter returns a reporter to a log and a registry.
func NewReporter(log logr.Logger, registry metrics.Registry) *Reporter {
	return &Reporter{log: log, registry: registry, last: map[string]time.Duration{}, since: map[string]int64{}}
}

// Report counts one case and may log it.
func (r *Reporter) Report(bound string, value, limit int64) {
	metrics.GetOrRegisterCounter("client_limits."+bound, r.registry).Inc(1)
	now := clock.Now()
	r.mu.Lock()
	last, seen := r.last[bound]
	r.since[bound]++
	if seen && now-last < reportInterval {
		r.mu.Unlock()
		return
	}
	times := r.since[bound]
	r.last[bound], r.since[bound] = now, 0
	r.mu.Unlock()
	r.log.Info("client limit reached", "bound", bound, "value", value, "limit", limit, "times", times)
}
