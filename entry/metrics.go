package entry

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// Metric names. Timers are in nanoseconds.
const (
	metricBegin      = "entry.state.begin"   // timer of turn.begin and call.begin
	metricFinish     = "entry.state.finish"  // timer of turn.finish and call.finish
	metricAssign     = "entry.sched.assign"  // timer of the wait for a target
	metricTTFT       = "entry.turn.ttft"     // timer from the start of the generation to its first token
	metricTurns      = "entry.turn.duration" // timer of answered turns
	metricRetries    = "entry.retries"       // counter of retries, including those that the scheduler refuses
	metricQuarantine = "entry.quarantined"   // counter of recorded fingerprints
	// metricOutcome and metricRefused are name prefixes of counters: dispatches by outcome,
	// and errors returned to callers by error code.
	metricOutcome = "entry.dispatch."
	metricRefused = "entry.error."
)

func (e *Entry) count(name string) { metrics.GetOrRegisterCounter(name, e.metrics).Inc(1) }

func (e *Entry) countOutcome(o structs.Outcome) { e.count(metricOutcome + string(o)) }

func (e *Entry) countError(f *errs.Error) { e.count(metricRefused + string(f.Code)) }

// timeSince updates a timer with the time elapsed since start.
func (e *Entry) timeSince(name string, start time.Time) {
	metrics.GetOrRegisterTimer(name, e.metrics).UpdateSince(start)
}
