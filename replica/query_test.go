package replica

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/raft"
)

var _ = Describe("a function on the goroutine of a group", func() {
	// Guards against a function that shares variables with its caller. Each of these callers
	// returns when its context ends, and the goroutine of the group may run the function later.
	// The race detector reports such a variable.
	callers := map[string]func(ctx context.Context, inc *incarnation){
		"membership":   func(ctx context.Context, inc *incarnation) { inc.manageMembers(ctx) },
		"verification": func(ctx context.Context, inc *incarnation) { inc.groups[testGroup].verify(ctx, nil, true) },
		"hello":        func(ctx context.Context, inc *incarnation) { _, _ = inc.answerHello(ctx, helloRequest{Verify: true}) },
	}
	for name, call := range callers {
		It("shares nothing with a caller that has returned: "+name, func() {
			c := startCluster(1, nil)
			inc := c.nodes[0].r.incarnation()
			g := inc.groups[testGroup]
			release := make(chan struct{})
			g.addInput(func(in *inbox) { in.calls = append(in.calls, func(raft.Time, *raft.Core) { <-release }) })
			ctx, cancel := context.WithCancel(context.Background())
			go call(ctx, inc)
			time.Sleep(2 * manageInterval) // the function is queued behind the blocked one
			cancel()
			// Waiting for the caller on a channel would order its reads before the writes of the
			// group's goroutine, and so hide the race.
			time.Sleep(manageInterval)
			close(release)
			_, err := g.currentStatus(context.Background())
			Expect(err).NotTo(HaveOccurred())
		})
	}
})
