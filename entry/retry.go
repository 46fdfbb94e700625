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
	for _, t := range e.config.snapshot().targets {
		if t.Pool() == pool && !slices.Contains(exclude, t.Name) {
			e.count(metricRetries)
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
