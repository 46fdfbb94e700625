package dispatch

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

// assign waits in the queue for a slot. It fails with errs.NotLeader, errs.Overloaded,
// errs.NoTarget, errs.TargetFailed (no retry budget) or, when ctx ends, errs.Unavailable.
func (s *shard) assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	w, err := s.join(req)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return s.leave(ctx, w)
}

// join adds a call to the request's waiter, which it creates and queues if necessary.
func (s *shard) join(req *structs.AssignRequest) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.seen(now, req.Entry)
	if w := s.requests[req.ID]; w != nil {
		w.calls++
		return w, nil
	}
	s.syncConfig(now)
	// A member that has just started may lead before it has read the configuration; then
	// the request waits.
	if len(s.pool.Targets()) == 0 && s.configConfirmed() {
		return nil, errs.New(errs.NoTarget, "add a target for it to the declaration",
			"pool %s has no target", s.name).WithRetryAfter(noTargetRetry)
	}
	if s.suspects.quarantined(now, req.Digest) {
		return nil, quarantinedError(req.Digest)
	}
	if len(req.Exclude) > 0 && !s.retries.take(now, s.slotCount()) {
		return nil, errs.New(errs.TargetFailed, "retry later", "the retry budget of pool %s is used up", s.name).
			WithRun(errs.RunUnknown).WithRetryAfter(s.pool.RetryAfter(now))
	}
	w := &waiter{req: &sched.Request{AssignRequest: *req}, calls: 1, done: make(chan struct{})}
	w.req.Data = w
	if s.suspects.suspect(req.Digest) {
		w.req.Avoid = s.suspects.running
	}
	s.requests[req.ID] = w
	s.enqueue(now, w)
	s.pump(now)
	return w, nil
}

func (s *shard) enqueue(now time.Duration, w *waiter) {
	shed := s.pool.Enqueue(now, w.req)
	if shed == nil {
		return
	}
	refused := shed.Data.(*waiter)
	delete(s.requests, shed.ID)
	refused.err = errs.New(errs.Overloaded, "retry after the given time",
		"the queue of pool %s is full", s.name).WithRetryAfter(s.pool.RetryAfter(now))
	close(refused.done)
}

// leave ends a call. The last call to be cancelled takes the request out of the queue,
// or frees the slot that no call has returned.
func (s *shard) leave(ctx context.Context, w *waiter) (*structs.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.calls--
	if err := ctx.Err(); err != nil {
		s.abandon(w)
		return nil, errs.New(errs.Unavailable, "retry with more time left", "no slot of pool %s: %v", s.name, err)
	}
	if w.err != nil {
		return nil, w.err
	}
	if err := s.ensureLeading(s.now()); err != nil {
		return nil, err
	}
	if s.requests[w.req.ID] != w {
		return nil, notLeader(s.name) // the term or the slot has ended since
	}
	w.delivered = true
	return w.assignment, nil
}

func (s *shard) abandon(w *waiter) {
	if w.calls > 0 || w.delivered || w.err != nil {
		return
	}
	if s.requests[w.req.ID] != w {
		return // of an earlier term, or released
	}
	now := s.now()
	if w.assignment == nil {
		s.pool.Remove(w.req)
		delete(s.requests, w.req.ID)
		return
	}
	s.drop(now, w.assignment.Slot)
	s.pump(now)
}

// drop frees a slot without an outcome. A later report that names the slot adopts it
// again.
func (s *shard) drop(now time.Duration, id string) {
	slot := s.pool.Slot(id)
	if slot == nil {
		return
	}
	s.pool.Drop(now, slot)
	s.forget(id, s.slots[id])
}

// release gives a slot back. Releasing a slot that is not in use has no effect.
func (s *shard) release(rel *structs.ReleaseSlot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return err
	}
	s.seen(now, rel.Entry)
	if _, late := s.released[rel.Slot]; !late {
		s.noteCrash(now, rel)
	}
	s.released[rel.Slot] = now
	slot := s.pool.Slot(rel.Slot)
	if slot == nil || slot.Entry != rel.Entry {
		return nil
	}
	if rel.Outcome == structs.OutcomeOK {
		s.retries.success(now)
	}
	s.pool.Release(now, slot, rel)
	s.forget(rel.Slot, s.slots[rel.Slot])
	s.pump(now)
	return nil
}

func (s *shard) forgetReleased(now time.Duration) {
	for id, at := range s.released {
		if now-at > tombstoneTTL {
			delete(s.released, id)
		}
	}
}
