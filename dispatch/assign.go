package dispatch

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

// assign queues a request and waits until it has a slot. It fails with errs.NotLeader,
// errs.Overloaded, errs.NoTarget, errs.RequestQuarantined, errs.TargetFailed (the retry
// budget is used up) or, if ctx ends first, errs.Unavailable.
func (s *scheduler) assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	w, err := s.joinRequest(req)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return s.finishCall(ctx, w)
}

// joinRequest adds a call to the waiter of its request. If the request has no waiter yet,
// it creates one and queues the request.
func (s *scheduler) joinRequest(req *structs.AssignRequest) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.touchEntry(now, req.Entry)
	if w := s.requests[req.ID]; w != nil {
		w.calls++
		return w, nil
	}
	s.syncConfig(now)
	// A member that has just started may become leader before it has read the
	// configuration. The request waits in that case.
	if len(s.pool.Targets()) == 0 && s.configConfirmed() {
		return nil, errs.New(errs.NoTarget, "add a target for the pool to the declaration",
			"pool %s has no target", s.name).WithRetryAfter(noTargetRetryAfter)
	}
	if s.crashTracker.isQuarantined(now, req.Digest) {
		return nil, quarantinedError(req.Digest)
	}
	if len(req.Exclude) > 0 && !s.retries.take(now, s.totalSlots()) {
		return nil, errs.New(errs.TargetFailed, "retry later", "the retry budget of pool %s is used up", s.name).
			WithRun(errs.RunUnknown).WithRetryAfter(s.pool.RetryAfter(now))
	}
	w := &waiter{req: &sched.Request{AssignRequest: *req}, calls: 1, done: make(chan struct{})}
	w.req.Data = w
	if s.crashTracker.isSuspect(req.Digest) {
		w.req.AvoidTargets = s.crashTracker.runningSuspects
	}
	s.requests[req.ID] = w
	s.enqueue(now, w)
	s.assignQueued(now)
	return w, nil
}

// enqueue adds a request to the queue. If the queue is too long, it refuses the request
// that the pool sheds, which may be the one just added.
func (s *scheduler) enqueue(now time.Duration, w *waiter) {
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

// finishCall ends a call and returns its result. If ctx has ended, the call is cancelled
// and fails.
func (s *scheduler) finishCall(ctx context.Context, w *waiter) (*structs.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.calls--
	if err := ctx.Err(); err != nil {
		s.cancelCall(w)
		return nil, errs.New(errs.Unavailable, "retry with more time left", "no slot of pool %s: %v", s.name, err)
	}
	if w.err != nil {
		return nil, w.err
	}
	if err := s.ensureLeading(s.now()); err != nil {
		return nil, err
	}
	if s.requests[w.req.ID] != w {
		return nil, notLeader(s.name) // the term has ended or the slot was freed meanwhile
	}
	w.delivered = true
	return w.assignment, nil
}

// cancelCall handles the cancellation of a call. If no other call waits for the request,
// it removes the request from the queue, or frees the slot if no call has returned it.
func (s *scheduler) cancelCall(w *waiter) {
	if w.calls > 0 || w.delivered || w.err != nil {
		return
	}
	if s.requests[w.req.ID] != w {
		return // the request belongs to an earlier term, or its slot was freed
	}
	now := s.now()
	if w.assignment == nil {
		s.pool.Remove(w.req)
		delete(s.requests, w.req.ID)
		return
	}
	s.freeSlot(now, w.assignment.Slot)
	s.assignQueued(now)
}

// freeSlot frees a slot without recording an outcome. If a later report lists the slot,
// the slot is adopted again.
func (s *scheduler) freeSlot(now time.Duration, id string) {
	slot := s.pool.Slot(id)
	if slot == nil {
		return
	}
	s.pool.Drop(now, slot)
	s.removeSlotState(id, s.slotStates[id])
}

// release frees a slot and records its outcome. It is idempotent: releasing a slot that
// is not in use, or that another entry holds, changes no slot, and a repeated release
// counts no second crash.
func (s *scheduler) release(rel *structs.ReleaseSlot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return err
	}
	s.touchEntry(now, rel.Entry)
	if _, repeated := s.releasedAt[rel.Slot]; !repeated {
		s.handleCrash(now, rel)
	}
	s.releasedAt[rel.Slot] = now
	slot := s.pool.Slot(rel.Slot)
	if slot == nil || slot.Entry != rel.Entry {
		return nil
	}
	if rel.Outcome == structs.OutcomeOK {
		s.retries.recordSuccess(now)
	}
	s.pool.Release(now, slot, rel)
	s.removeSlotState(rel.Slot, s.slotStates[rel.Slot])
	s.assignQueued(now)
	return nil
}

// expireReleased forgets the slots that were released more than tombstoneTTL ago.
func (s *scheduler) expireReleased(now time.Duration) {
	for id, at := range s.releasedAt {
		if now-at > tombstoneTTL {
			delete(s.releasedAt, id)
		}
	}
}
