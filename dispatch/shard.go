package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

// shard is the scheduler of one pool on this member.
type shard struct {
	name string
	opts Options
	lead Leadership
	src  ConfigSource
	away func() *hostStates

	mu sync.Mutex
	// The fields below belong to one term and are reset when it ends.
	leading   bool
	term      uint64
	startedAt time.Duration
	pool      *sched.Pool
	requests  map[string]*waiter // by request id: waiting or on a slot
	slots     map[string]*slotMeta
	entries   map[string]*entryState
	released  map[string]time.Duration // time of release by slot
	slotSeq   uint64
	retries   retryBudget
	suspects  suspects
	topo      *Topology
	hosts     *hostStates
	checkedAt time.Duration
	pollers   map[string]*poller
}

// waiter is a request with the calls that wait for it.
type waiter struct {
	req   *sched.Request
	calls int
	done  chan struct{} // closed when assigned or refused
	// Set before done is closed.
	assignment *structs.Assignment
	err        error
	// delivered tells that a call has returned the assignment.
	delivered bool
}

type slotMeta struct {
	request string
	missing int // consecutive reports that did not name the slot
	// suspectOn is the target of a request that has crashed another one.
	suspectOn string
}

type entryState struct {
	seen     time.Duration // last call of any kind
	reported bool          // has reported in this term
}

func newShard(name string, opts Options, lead Leadership, src ConfigSource, away func() *hostStates) *shard {
	return &shard{name: name, opts: opts, lead: lead, src: src, away: away}
}

// now returns the time on the scheduler's clock.
func (s *shard) now() time.Duration { return s.opts.Now() }

// ensureLeading starts or ends a term as the group's leadership demands. It fails with
// errs.NotLeader.
func (s *shard) ensureLeading(now time.Duration) error {
	term := s.lead.Term()
	if !s.lead.IsLeader() || s.lead.Term() != term {
		s.end()
		return notLeader(s.name)
	}
	if s.leading && s.term == term {
		return nil
	}
	s.end()
	s.begin(now, term)
	return nil
}

func notLeader(pool string) *errs.Error {
	return errs.New(errs.NotLeader, "send the request to the leader of the pool's group",
		"this member does not schedule pool %s", pool)
}

func (s *shard) begin(now time.Duration, term uint64) {
	s.leading = true
	s.term = term
	s.startedAt = now
	rnd := rand.New(rand.NewPCG(term, uint64(now)))
	s.pool = sched.NewPool(s.opts.Pool, s.opts.NewPolicy(), rnd)
	s.requests = map[string]*waiter{}
	s.slots = map[string]*slotMeta{}
	s.entries = map[string]*entryState{}
	s.released = map[string]time.Duration{}
	s.retries = retryBudget{}
	s.suspects = newSuspects()
	s.topo, s.hosts = nil, nil
	s.pollers = map[string]*poller{}
	s.syncConfig(now)
	s.opts.Log.Info("scheduler started", "pool", s.name, "term", term)
}

// end drops the state of the term. Waiting requests fail with errs.NotLeader.
func (s *shard) end() {
	if !s.leading {
		return
	}
	s.leading = false
	for _, w := range s.requests {
		if w.assignment == nil {
			w.err = notLeader(s.name)
			close(w.done)
		}
	}
	s.stopPollers()
	s.pool, s.requests, s.slots, s.entries, s.released = nil, nil, nil, nil, nil
	s.opts.Log.Info("scheduler stopped", "pool", s.name, "term", s.term)
}

// mayAssign reports whether assignments are allowed now. At the start of a term they
// wait until the old leader's lease must have ended, and until the live entries have
// reported their slots or ReportWait has passed.
func (s *shard) mayAssign(now time.Duration) bool {
	age := now - s.startedAt
	if age < s.opts.OldLease || !s.configConfirmed() {
		return false
	}
	return age >= s.opts.ReportWait || s.allReported()
}

// configConfirmed reports whether the configuration was confirmed lately.
func (s *shard) configConfirmed() bool { return s.src.Age() <= s.opts.MaxConfigAge }

func (s *shard) allReported() bool {
	live, known := s.src.LiveEntries()
	if !known {
		return false
	}
	for _, id := range live {
		if e := s.entries[id]; e == nil || !e.reported {
			return false
		}
	}
	return true
}

// pump assigns requests until nothing fits. The leadership is checked again for each
// assignment, so that none is made after the lease has ended.
func (s *shard) pump(now time.Duration) {
	s.syncConfig(now)
	if !s.mayAssign(now) {
		return
	}
	for s.pool.QueueLen() > 0 && s.lead.IsLeader() {
		slot, req, ok := s.pool.Next(now, s.nextSlot())
		if !ok {
			return
		}
		s.slots[slot.ID] = &slotMeta{request: req.ID}
		if req.Avoid != nil {
			s.slots[slot.ID].suspectOn = slot.Target.Name
			s.suspects.occupy(slot.Target.Name)
		}
		w := req.Data.(*waiter)
		w.assignment = &structs.Assignment{
			Slot:    slot.ID,
			Target:  slot.Target.Name,
			Address: slot.Target.Address,
			Term:    s.term,
			Queued:  now - req.Enqueued,
		}
		close(w.done)
	}
}

// nextSlot returns a slot id that is unique over all terms of the pool.
func (s *shard) nextSlot() string {
	s.slotSeq++
	return fmt.Sprintf("%d-%d", s.term, s.slotSeq)
}

// tick does the work that time makes necessary.
func (s *shard) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.ensureLeading(now) != nil {
		return
	}
	if now-s.checkedAt >= housekeepingInterval {
		s.checkedAt = now
		s.housekeep(now)
	}
	s.pump(now)
}

func (s *shard) housekeep(now time.Duration) {
	s.orphan(now)
	s.pool.Expire(now)
	s.forgetReleased(now)
	s.suspects.expire(now)
	s.refuseHopeless(now)
	s.syncPollers()
	s.dropStaleMeta()
}

// dropStaleMeta forgets slots that the pool has freed by itself.
func (s *shard) dropStaleMeta() {
	for id, m := range s.slots {
		if s.pool.Slot(id) == nil {
			s.forget(id, m)
		}
	}
}

func (s *shard) forget(slot string, m *slotMeta) {
	delete(s.slots, slot)
	if m.suspectOn != "" {
		s.suspects.vacate(m.suspectOn)
	}
	if m.request != "" {
		delete(s.requests, m.request)
	}
}

// refuseHopeless refuses requests that no target in service may serve.
func (s *shard) refuseHopeless(now time.Duration) {
	if !s.configConfirmed() {
		return
	}
	for id, w := range s.requests {
		if w.assignment != nil || now-w.req.Enqueued < noTargetAfter || s.pool.UsableFor(w.req) {
			continue
		}
		s.pool.Remove(w.req)
		delete(s.requests, id)
		w.err = errs.New(errs.NoTarget, "retry later; if it persists, add targets or end drains",
			"no target of pool %s is in service", s.name).WithRetryAfter(noTargetRetry)
		close(w.done)
	}
}
