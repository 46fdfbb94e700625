// Package periodic runs jobs at intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls job at once and then in each period, until ctx ends or job returns false.
func Run(ctx context.Context, period time.Duration, job func(context.Context) (more bool)) {
	if job(ctx) {
		RunLater(ctx, period, job)
	}
}

// RunLater calls job in each period, first after one of them, until ctx ends or job returns
// false.
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

// Always makes a job that never ends by itself.
func Always(job func(context.Context)) func(context.Context) bool {
	return func(ctx context.Context) bool {
		job(ctx)
		return true
	}
}
