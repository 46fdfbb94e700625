package stateserver

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
)

// readIndexTimeout bounds one read-index. It is shorter than a client's attempt
// timeout.
const readIndexTimeout = 800 * time.Millisecond

// readBatcher lets concurrent queries share one read-index. A query always joins the next
// read-index, never one that is already running, because that one may not cover entries
// committed since it began.
type readBatcher struct {
	readIndex func(context.Context) error

	mu      sync.Mutex
	next    *readBatch // the batch that new queries join; nil if no query is waiting
	running bool
}

// readBatch is a set of queries that share one read-index.
type readBatch struct {
	done chan struct{}
	err  error
}

func newReadBatcher(readIndex func(context.Context) error) *readBatcher {
	return &readBatcher{readIndex: readIndex}
}

// wait returns nil once the applied state includes everything that was committed before
// the call.
func (r *readBatcher) wait(ctx context.Context) error {
	b := r.joinNext()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinNext returns the batch to wait for, and starts run if it is not running.
func (r *readBatcher) joinNext() *readBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &readBatch{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.next
}

// run executes one read-index for each batch until no query is waiting.
func (r *readBatcher) run() {
	for {
		b := r.takeBatch()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
		b.err = r.readIndex(ctx)
		cancel()
		close(b.done)
	}
}

// takeBatch returns the next batch. If no query is waiting, it returns nil and marks the
// runner as stopped.
func (r *readBatcher) takeBatch() *readBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.next
	r.next = nil
	r.running = b != nil
	return b
}

// waitReadIndex waits until a query of a group can be answered from the applied state. It
// fails unless this member leads the group.
func (s *Server) waitReadIndex(ctx context.Context, group uint32) error {
	batcher := s.readBatchers[group]
	if batcher == nil {
		return errs.New(errs.BadRequest, "check the number of groups in the settings", "group %d does not exist", group)
	}
	return batcher.wait(ctx)
}
