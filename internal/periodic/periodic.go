// Package periodic runs jobs at intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls job immediately and then once per period, until ctx is done or job returns false.
func Run(ctx context.Context, period time.Duration, job func(context.Context) (more bool)) {
	if job(ctx) {
		RunLater(ctx, period, job)
	}
}

// RunLater calls job once per period, for the first time after one period, until ctx is done or
// job returns false.
func RunLater(ctx context.Context, period time.Duration, job func(context.Context) (more bool)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !job(ctx) {
			return
		}
	}
}

// Always wraps a function as a job that always returns true, so that only ctx ends it.
func Always(job func(context.Context)) func(context.Context) bool {
	return func(ctx context.Context) bool {
		job(ctx)
		return true
	}
}
