package entry

import (
	"slices"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
)

// maxDispatches bounds the dispatches of one request. Each dispatch after the first also
// draws on the retry budget of the pool, which its scheduler keeps: the scheduler takes one
// retry from the budget for each assignment that excludes targets, or refuses it with
// errs.TargetFailed.
const maxDispatches = 3

// mayRetry reports whether a request may be dispatched again after n dispatches. It returns
// false if no target of the pool is left, because such a request would wait in the queue
// forever.
func (e *Entry) mayRetry(pool string, n int, exclude []string) bool {
	if n >= maxDispatches {
		return false
	}
	if !e.hasTarget(pool, "", exclude) {
		return false
	}
	e.count(metricRetries)
	return true
}

// hasTarget reports whether a target of a pool and, unless it is empty, of a software version is left.
func (e *Entry) hasTarget(pool, software string, exclude []string) bool {
	for _, t := range e.config.snapshot().targets {
		if t.Pool() == pool && (software == "" || t.Software == software) && !slices.Contains(exclude, t.Name) {
			return true
		}
	}
	return false
}

// retryRefusedError returns the error for the caller when the scheduler refused to retry a
// failed request. after is the time to wait before a resend; 0 selects the default.
func retryRefusedError(f *engine.Failure, after time.Duration) *errs.Error {
	apiErr := targetFailedError(f)
	if after > 0 {
		return apiErr.WithRetryAfter(after)
	}
	return apiErr
}
