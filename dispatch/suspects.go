package dispatch

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// maxCrashes is the number of targets that requests with one digest may crash.
	maxCrashes = 2
	// suspectTTL is how long a crash counts against a digest.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is how long this scheduler refuses a digest by itself. By then the
	// fingerprint in the configuration is in force everywhere, and an operator may have
	// lifted it.
	quarantineTTL = 30 * time.Second
	// maxSuspects bounds the digests that are remembered.
	maxSuspects = 10_000
)

// suspects counts the crashes of targets by the digest of the requests that were running on
// them. It acts at once and for all entries, before the fingerprint in the configuration is
// in force. Two suspects never share a target: else the requests that happened to run
// beside the culprit twice would be refused with it.
type suspects struct {
	crashes map[string]*crashRecord // by digest
	running map[string]int          // suspects in use by target
}

type crashRecord struct {
	count  int
	at     time.Duration // last crash
	target string        // of the last crash
}

func newSuspects() suspects {
	return suspects{crashes: map[string]*crashRecord{}, running: map[string]int{}}
}

// crashed counts the crash of a target under a request that was assigned to it at a time.
// Several requests with one digest that were on the target together are one crash.
func (x *suspects) crashed(now time.Duration, digest, target string, assignedAt time.Duration) {
	c := x.crashes[digest]
	if c == nil {
		if len(x.crashes) >= maxSuspects {
			x.expire(now)
		}
		if len(x.crashes) >= maxSuspects {
			return
		}
		c = &crashRecord{}
		x.crashes[digest] = c
	}
	if c.target == target && assignedAt <= c.at {
		return
	}
	c.count++
	c.at, c.target = now, target
}

// quarantined reports whether requests with the digest have crashed too many targets.
func (x *suspects) quarantined(now time.Duration, digest string) bool {
	c := x.crashes[digest]
	return c != nil && c.count >= maxCrashes && now-c.at < quarantineTTL
}

// suspect reports whether requests with the digest have crashed a target.
func (x *suspects) suspect(digest string) bool { return x.crashes[digest] != nil }

// occupy and vacate count suspects on targets.
func (x *suspects) occupy(target string) { x.running[target]++ }

func (x *suspects) vacate(target string) {
	if x.running[target]--; x.running[target] <= 0 {
		delete(x.running, target)
	}
}

// expire forgets old crashes. A digest that was quarantined starts afresh afterwards, so
// that a lifted quarantine is not renewed by the memory of old crashes.
func (x *suspects) expire(now time.Duration) {
	for d, c := range x.crashes {
		ttl := suspectTTL
		if c.count >= maxCrashes {
			ttl = quarantineTTL
		}
		if now-c.at >= ttl {
			delete(x.crashes, d)
		}
	}
}

func quarantinedError(digest string) *errs.Error {
	return errs.New(errs.RequestQuarantined, "change the request, or ask the operator to lift the quarantine",
		"requests with this content have crashed targets (digest %s)", digest)
}

// noteCrash counts a crash that an entry has reported, and keeps waiting suspects apart.
func (s *shard) noteCrash(now time.Duration, rel *structs.ReleaseSlot) {
	if rel.Outcome != structs.OutcomeCrash || rel.Digest == "" {
		return
	}
	assignedAt := now
	if slot := s.pool.Slot(rel.Slot); slot != nil {
		assignedAt = slot.AssignedAt
	}
	s.suspects.crashed(now, rel.Digest, rel.Target, assignedAt)
	for id, w := range s.requests {
		if w.assignment != nil || w.req.Digest != rel.Digest {
			continue
		}
		w.req.Avoid = s.suspects.running
		if !s.suspects.quarantined(now, rel.Digest) {
			continue
		}
		s.pool.Remove(w.req)
		delete(s.requests, id)
		w.err = quarantinedError(rel.Digest)
		close(w.done)
	}
}

// slotCount returns the slots of all warm targets of the pool.
func (s *shard) slotCount() int {
	n := 0
	for _, t := range s.pool.Targets() {
		n += t.Slots
	}
	return n
}
