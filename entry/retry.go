package entry

import (
	"slices"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
)

// maxDispatches bounds the dispatches of one request. Each dispatch after the first one
// also needs the retry budget of the pool, which its scheduler keeps: it takes a retry
// for each assignment that excludes targets, or refuses with errs.TargetFailed.
const maxDispatches = 3

// mayRetry reports whether a request may be dispatched again after n dispatches. A
// request that excludes all targets would wait in the queue for ever.
func (e *Entry) mayRetry(pool string, n int, exclude []string) bool {
	if n >= maxDispatches {
		return false
	}
	for _, t := range e.config.snapshot().targets {
		if t.Pool() == pool && !slices.Contains(exclude, t.Name) {
			e.count(metricRetries)
			return true
		}
	}
	return false
}

// retryRefused returns the caller's error for a failure whose retry the scheduler
// refused. after is when to come back; 0: the default.
func retryRefused(f *engine.Failure, after time.Duration) *errs.Error {
	e := targetFailed(f)
	if after > 0 {
		return e.WithRetryAfter(after)
	}
	return e
}
