package dispatch

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// quarantineThreshold is the number of crashes after which a digest is quarantined.
	quarantineThreshold = 2
	// suspectTTL is the time for which a crash counts against a digest that is not
	// quarantined.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is the time for which this scheduler itself refuses a quarantined
	// digest. Afterwards the fingerprint in the configuration is in force everywhere, and
	// an operator may have lifted it.
	quarantineTTL = 30 * time.Second
	// maxSuspects limits the number of digests whose crashes are recorded.
	maxSuspects = 10_000
)

// crashTracker counts crashes of targets by the digest of the requests that were running
// on them. A digest with a crash is suspect; with quarantineThreshold crashes it is
// quarantined. The tracker takes effect at once and for all entries, before the fingerprint
// in the configuration is in force.
//
// A suspect request is not assigned to a target on which another suspect request is
// running: otherwise a request that happened to run twice beside the one that causes the
// crashes would be quarantined with it. Requests that were assigned before their digest
// became suspect are not taken into account.
type crashTracker struct {
	byDigest        map[string]*crashRecord
	runningSuspects map[string]int // number of suspect requests on each target
}

// crashRecord counts the crashes caused by requests with one digest.
type crashRecord struct {
	count       int
	lastCrashAt time.Duration
	target      string // target of the last crash
}

func newCrashTracker() crashTracker {
	return crashTracker{byDigest: map[string]*crashRecord{}, runningSuspects: map[string]int{}}
}

// recordCrash counts the crash of a target against the digest of a request that was assigned
// to the target at assignedAt. If several requests with the same digest were on the target
// when it crashed, they count as one crash.
func (t *crashTracker) recordCrash(now time.Duration, digest, target string, assignedAt time.Duration) {
	c := t.byDigest[digest]
	if c == nil {
		if len(t.byDigest) >= maxSuspects {
			t.expire(now)
		}
		if len(t.byDigest) >= maxSuspects {
			return
		}
		c = &crashRecord{}
		t.byDigest[digest] = c
	}
	if c.target == target && assignedAt <= c.lastCrashAt {
		return
	}
	c.count++
	c.lastCrashAt, c.target = now, target
}

// isQuarantined reports whether requests with the digest are refused, because of at least
// quarantineThreshold crashes of which the last is less than quarantineTTL ago.
func (t *crashTracker) isQuarantined(now time.Duration, digest string) bool {
	c := t.byDigest[digest]
	return c != nil && c.count >= quarantineThreshold && now-c.lastCrashAt < quarantineTTL
}

// isSuspect reports whether a crash is recorded for the digest.
func (t *crashTracker) isSuspect(digest string) bool { return t.byDigest[digest] != nil }

// suspectStarted counts a suspect request that was assigned to a target.
func (t *crashTracker) suspectStarted(target string) { t.runningSuspects[target]++ }

// suspectEnded is called when the slot of a suspect request has been freed.
func (t *crashTracker) suspectEnded(target string) {
	if t.runningSuspects[target]--; t.runningSuspects[target] <= 0 {
		delete(t.runningSuspects, target)
	}
}

// expire removes old crash records. The record of a quarantined digest is removed when the
// quarantine ends, so that old crashes cannot renew a quarantine that an operator has
// lifted.
func (t *crashTracker) expire(now time.Duration) {
	for digest, c := range t.byDigest {
		ttl := suspectTTL
		if c.count >= quarantineThreshold {
			ttl = quarantineTTL
		}
		if now-c.lastCrashAt >= ttl {
			delete(t.byDigest, digest)
		}
	}
}

// quarantinedError returns the error for requests with a quarantined digest.
func quarantinedError(digest string) *errs.Error {
	return errs.New(errs.RequestQuarantined, "change the request, or ask the operator to lift the quarantine",
		"requests with this content have crashed targets (digest %s)", digest)
}

// handleCrash records a crash if the release reports one. Waiting requests with the same
// digest are refused if the digest is quarantined now; otherwise they avoid targets on
// which a suspect request is running.
func (s *scheduler) handleCrash(now time.Duration, rel *structs.ReleaseSlot) {
	if rel.Outcome != structs.OutcomeCrash || rel.Digest == "" {
		return
	}
	assignedAt := now
	if slot := s.pool.Slot(rel.Slot); slot != nil {
		assignedAt = slot.AssignedAt
	}
	s.crashTracker.recordCrash(now, rel.Digest, rel.Target, assignedAt)
	for id, w := range s.requests {
		if w.assignment != nil || w.req.Digest != rel.Digest {
			continue
		}
		w.req.AvoidTargets = s.crashTracker.runningSuspects
		if !s.crashTracker.isQuarantined(now, rel.Digest) {
			continue
		}
		s.pool.Remove(w.req)
		delete(s.requests, id)
		w.err = quarantinedError(rel.Digest)
		close(w.done)
	}
}

// totalSlots returns the number of slots that the pool has when all its targets are warm
// and in service.
func (s *scheduler) totalSlots() int {
	n := 0
	for _, t := range s.pool.Targets() {
		n += t.Slots
	}
	return n
}
