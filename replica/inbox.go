package replica

import (
	"context"

	"github.com/figlb/figlb/raft"
)

// inbox queues inputs of a group's core until the next call of processInputs.
type inbox struct {
	messages  []raft.Message
	proposals []proposal
	reads     []*waiter
	calls     []func(now raft.Time, core *raft.Core)
}

// proposal is a command with the caller that waits for its reply.
type proposal struct {
	cmd    []byte
	caller *waiter
}

// waiter delivers the result of a command or a read to its caller.
type waiter struct {
	done chan result
}

type result struct {
	reply []byte
	err   error
}

func newWaiter() *waiter { return &waiter{done: make(chan result, 1)} }

func (w *waiter) complete(reply []byte, err error) { w.done <- result{reply: reply, err: err} }

// addInput passes inputs to the goroutine of the group. It returns false once the group has
// stopped.
func (g *group) addInput(fill func(in *inbox)) bool {
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		return false
	}
	fill(&g.inbox)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return true
}

// withCore calls f with the core of a group, on the goroutine of that group, and returns the
// result. If the context or the incarnation ends first, f may still be called later, so it must
// not write to variables of its caller.
func withCore[T any](ctx context.Context, g *group, f func(now raft.Time, core *raft.Core) T) (T, error) {
	done := make(chan T, 1)
	ok := g.addInput(func(in *inbox) {
		in.calls = append(in.calls, func(now raft.Time, core *raft.Core) { done <- f(now, core) })
	})
	var none T
	if !ok {
		return none, errStopped
	}
	select {
	case res := <-done:
		return res, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-g.inc.ctx.Done():
		return none, errStopped
	}
}

// currentStatus returns the core's status after all inputs that are queued so far.
func (g *group) currentStatus(ctx context.Context) (raft.Status, error) {
	return withCore(ctx, g, func(_ raft.Time, core *raft.Core) raft.Status { return core.Status() })
}
