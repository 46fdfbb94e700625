package periodic

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against jobs that run too early or too often, or go on after their end.
func TestRun(t *testing.T) {
	const period = 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		run   func(context.Context, time.Duration, func(context.Context) bool)
		first time.Duration // least time to the first call
	}{
		{"at once", Run, 0},
		{"after a period", RunLater, period},
	} {
		g := NewWithT(t)
		began := time.Now()
		var calls []time.Duration
		c.run(context.Background(), period, func(context.Context) bool {
			calls = append(calls, time.Since(began))
			return len(calls) < 3
		})
		g.Expect(calls).To(HaveLen(3), c.name)
		g.Expect(calls[0]).To(BeNumerically(">=", c.first), c.name)
		g.Expect(calls[2]).To(BeNumerically(">=", c.first+2*period), c.name)
		ctx, cancel := context.WithCancel(context.Background())
		n := 0
		c.run(ctx, period, Always(func(context.Context) {
			n++
			cancel()
		}))
		g.Expect(n).To(Equal(1), c.name)
	}
}
