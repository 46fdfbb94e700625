package periodic

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against jobs that are called too early or too often, or again after they returned false
// or their context was cancelled.
func TestRun(t *testing.T) {
	const period = 20 * time.Millisecond
	for _, c := range []struct {
		name     string
		run      func(context.Context, time.Duration, func(context.Context) bool)
		minDelay time.Duration // minimum delay before the first call
	}{
		{"at once", Run, 0},
		{"after a period", RunLater, period},
	} {
		g := NewWithT(t)
		start := time.Now()
		var calls []time.Duration
		c.run(context.Background(), period, func(context.Context) bool {
			calls = append(calls, time.Since(start))
			return len(calls) < 3
		})
		g.Expect(calls).To(HaveLen(3), c.name)
		g.Expect(calls[0]).To(BeNumerically(">=", c.minDelay), c.name)
		g.Expect(calls[2]).To(BeNumerically(">=", c.minDelay+2*period), c.name)
		ctx, cancel := context.WithCancel(context.Background())
		n := 0
		c.run(ctx, period, Always(func(context.Context) {
			n++
			cancel()
		}))
		g.Expect(n).To(Equal(1), c.name)
	}
}
