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

// scheduler is the scheduler of one pool on this member. It is active while the member
// leads the pool's group.
type scheduler struct {
	name         string // name of the pool
	opts         Options
	leadership   Leadership
	config       ConfigSource
	leavingHosts func() *hostSet

	mu sync.Mutex
	// The fields below belong to one term. startTerm initialises them, except for slotSeq
	// and housekeptAt, which carry on from the term before.
	leading       bool
	term          uint64
	termStartedAt time.Duration
	pool          *sched.Pool
	requests      map[string]*waiter       // waiting requests and those on a slot, by request id
	slotStates    map[string]*slotState    // by slot id
	entries       map[string]*entryState   // by incarnation of the entry
	releasedAt    map[string]time.Duration // time of release of recently released slots, by slot id
	slotSeq       uint64
	retries       retryBudget
	crashTracker  crashTracker
	topology      *Topology
	hosts         *hostSet
	housekeptAt   time.Duration
	pollers       map[string]*poller
}

// waiter is a request together with the calls that wait for its assignment. Several calls
// may wait for one request, because an entry sends a request again after a lost reply.
type waiter struct {
	req   *sched.Request
	calls int           // calls that have not returned yet
	done  chan struct{} // closed when the request is assigned or refused
	// One of assignment and err is set before done is closed.
	assignment *structs.Assignment
	err        error
	// delivered is set when a call has returned the assignment.
	delivered bool
}

// slotState is what the scheduler records about a slot in use, beside the pool's own
// record.
type slotState struct {
	requestID     string // empty for a slot that was adopted from an earlier term
	missedReports int    // consecutive reports of the entry that did not list the slot
	// suspectTarget is the slot's target if the request was suspect when it was assigned,
	// see crashTracker; otherwise it is empty.
	suspectTarget string
}

// entryState is what the scheduler records about an entry.
type entryState struct {
	lastSeen time.Duration // time of the last call of any kind
	reported bool          // whether it has reported all its slots in this term
}

func newScheduler(name string, opts Options, leadership Leadership, config ConfigSource, leavingHosts func() *hostSet) *scheduler {
	return &scheduler{name: name, opts: opts, leadership: leadership, config: config, leavingHosts: leavingHosts}
}

// now returns the time on the scheduler's clock.
func (s *scheduler) now() time.Duration { return s.opts.Now() }

// ensureLeading compares the scheduler's term with the group's, and ends the old term or
// starts a new one if they differ. It fails with errs.NotLeader if this member is not the
// leader.
func (s *scheduler) ensureLeading(now time.Duration) error {
	term := s.leadership.Term()
	// The term is read again after IsLeader, which may have answered for a later term.
	if !s.leadership.IsLeader() || s.leadership.Term() != term {
		s.endTerm()
		return notLeader(s.name)
	}
	if s.leading && s.term == term {
		return nil
	}
	s.endTerm()
	s.startTerm(now, term)
	return nil
}

// notLeader returns the error of a member that does not schedule a pool.
func notLeader(pool string) *errs.Error {
	return errs.New(errs.NotLeader, "send the request to the leader of the pool's group",
		"this member does not schedule pool %s", pool)
}

// startTerm initialises the state of a term.
func (s *scheduler) startTerm(now time.Duration, term uint64) {
	s.leading = true
	s.term = term
	s.termStartedAt = now
	rnd := rand.New(rand.NewPCG(term, uint64(now)))
	s.pool = sched.NewPool(s.opts.Pool, s.opts.NewPolicy(), rnd)
	s.requests = map[string]*waiter{}
	s.slotStates = map[string]*slotState{}
	s.entries = map[string]*entryState{}
	s.releasedAt = map[string]time.Duration{}
	s.retries = retryBudget{}
	s.crashTracker = newCrashTracker()
	s.topology, s.hosts = nil, nil
	s.pollers = map[string]*poller{}
	s.syncConfig(now)
	s.opts.Log.Info("scheduler started", "pool", s.name, "term", term)
}

// endTerm discards the state of the term. Waiting requests fail with errs.NotLeader.
func (s *scheduler) endTerm() {
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
	s.pool, s.requests, s.slotStates, s.entries, s.releasedAt = nil, nil, nil, nil, nil
	s.opts.Log.Info("scheduler stopped", "pool", s.name, "term", s.term)
}

// mayAssign reports whether requests may be assigned now. At the start of a term nothing is
// assigned until the old leader's lease must have expired, and until either all live
// entries have reported their slots or ReportWait has passed. Nothing is ever assigned while
// the configuration is not confirmed.
func (s *scheduler) mayAssign(now time.Duration) bool {
	age := now - s.termStartedAt
	if age < s.opts.OldLease || !s.configConfirmed() {
		return false
	}
	return age >= s.opts.ReportWait || s.allEntriesReported()
}

// configConfirmed reports whether the configuration was confirmed within MaxConfigAge.
func (s *scheduler) configConfirmed() bool { return s.config.Age() <= s.opts.MaxConfigAge }

// allEntriesReported reports whether all live entries have reported in this term. It
// returns false if the live entries are not known.
func (s *scheduler) allEntriesReported() bool {
	live, known := s.config.LiveEntries()
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

// assignQueued assigns queued requests until the policy finds no further assignment. It
// checks the leadership before each assignment, so that none is made after the lease has
// expired.
func (s *scheduler) assignQueued(now time.Duration) {
	s.syncConfig(now)
	if !s.mayAssign(now) {
		return
	}
	for s.pool.QueueLen() > 0 && s.leadership.IsLeader() {
		slot, req, ok := s.pool.Next(now, s.nextSlotID())
		if !ok {
			return
		}
		s.slotStates[slot.ID] = &slotState{requestID: req.ID}
		if req.AvoidTargets != nil {
			s.slotStates[slot.ID].suspectTarget = slot.Target.Name
			s.crashTracker.suspectStarted(slot.Target.Name)
		}
		w := req.Data.(*waiter)
		w.assignment = &structs.Assignment{
			Slot:     slot.ID,
			Target:   slot.Target.Name,
			Address:  slot.Target.Address,
			Software: slot.Target.Software,
			Term:     s.term,
			Queued:   now - req.Enqueued,
		}
		close(w.done)
	}
}

// nextSlotID returns a slot id that is unique over all terms of the pool.
func (s *scheduler) nextSlotID() string {
	s.slotSeq++
	return fmt.Sprintf("%d-%d", s.term, s.slotSeq)
}

// tick does the work that depends on time rather than on a call. The manager calls it every
// tickInterval.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.ensureLeading(now) != nil {
		return
	}
	if now-s.housekeptAt >= housekeepingInterval {
		s.housekeptAt = now
		s.housekeep(now)
	}
	s.assignQueued(now)
}

// housekeep does the periodic checks over all slots, entries and waiting requests.
func (s *scheduler) housekeep(now time.Duration) {
	s.orphanSilentEntries(now)
	s.pool.DropExpired(now)
	s.expireReleased(now)
	s.crashTracker.expire(now)
	s.refuseUnservable(now)
	s.syncPollers()
	s.removeStaleSlotStates()
}

// removeStaleSlotStates removes the state of slots that the pool has freed itself.
func (s *scheduler) removeStaleSlotStates() {
	for id, state := range s.slotStates {
		if s.pool.Slot(id) == nil {
			s.removeSlotState(id, state)
		}
	}
}

// removeSlotState removes the state of a freed slot, together with its request.
func (s *scheduler) removeSlotState(id string, state *slotState) {
	delete(s.slotStates, id)
	if state.suspectTarget != "" {
		s.crashTracker.suspectEnded(state.suspectTarget)
	}
	if state.requestID != "" {
		delete(s.requests, state.requestID)
	}
}

// refuseUnservable refuses requests that have waited for noTargetTimeout and that no
// target in service may serve.
func (s *scheduler) refuseUnservable(now time.Duration) {
	if !s.configConfirmed() {
		return
	}
	for id, w := range s.requests {
		if w.assignment != nil || now-w.req.Enqueued < noTargetTimeout || s.pool.HasTargetFor(w.req) {
			continue
		}
		s.pool.Remove(w.req)
		delete(s.requests, id)
		w.err = errs.New(errs.NoTarget, "retry later; if it persists, add targets or end drains",
			"no target of pool %s is in service", s.name).WithRetryAfter(noTargetRetryAfter)
		close(w.done)
	}
}
