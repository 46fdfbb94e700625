package stateserver

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
)

// readIndexTimeout bounds one read-index. It is shorter than a client's attempt.
const readIndexTimeout = 800 * time.Millisecond

// readGate lets many queries share one read-index. A query joins the next read-index,
// never one that has begun, because that one may not cover what was committed since.
type readGate struct {
	readIndex func(context.Context) error

	mu      sync.Mutex
	next    *readBatch // being joined; nil if nobody waits
	running bool
}

type readBatch struct {
	done chan struct{}
	err  error
}

func newReadGate(readIndex func(context.Context) error) *readGate {
	return &readGate{readIndex: readIndex}
}

// wait returns nil once the applied state includes all that was committed before.
func (g *readGate) wait(ctx context.Context) error {
	b := g.join()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *readGate) join() *readBatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &readBatch{done: make(chan struct{})}
	}
	if !g.running {
		g.running = true
		go g.run()
	}
	return g.next
}

func (g *readGate) run() {
	for {
		b := g.take()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
		b.err = g.readIndex(ctx)
		cancel()
		close(b.done)
	}
}

// take returns the batch to run, or nil and stops the runner if nobody waits.
func (g *readGate) take() *readBatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.next
	g.next = nil
	g.running = b != nil
	return b
}

// read prepares a query of a group: it fails unless this member leads the group.
func (s *Server) read(ctx context.Context, group uint32) error {
	g := s.gates[group]
	if g == nil {
		return errs.New(errs.BadRequest, "check the number of groups in the settings", "group %d does not exist", group)
	}
	return g.wait(ctx)
}
