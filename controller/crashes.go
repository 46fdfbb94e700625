package controller

import (
	"context"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// blockedRequests are the requests that all gateways refuse because they crash targets. The records
// that they follow from are replicated, so that a new leader blocks the same requests: when a leader
// kept them in its memory, each change of the leader let such a request crash three targets more.
type blockedRequests struct {
	revision uint64 // of the replicated records
	digests  []uint64
	digest   uint64 // of digests
	// changedAt is when this member last saw the records change. They are removed by the next report
	// only, so the list ends by itself.
	changedAt time.Duration
}

// update derives the list from the replicated records if these have changed, and empties it once
// nothing has been reported within the retention.
func (b *blockedRequests) update(now time.Duration, state *documentsm.State) {
	switch {
	case b.revision != state.CrashRevision:
		b.revision, b.changedAt = state.CrashRevision, now
		b.set(state.Blocked())
	case len(b.digests) > 0 && now-b.changedAt > documentsm.CrashRetention:
		b.set(nil)
	}
}

func (b *blockedRequests) set(digests []uint64) {
	b.digests, b.digest = digests, fleet.DigestNumbers(digests)
}

// updateBlocked updates the requests that gateways refuse.
func (t *hostTable) updateBlocked(state *documentsm.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked.update(clock.Now(), state)
}

// crashCommitTimeout bounds the wait for a crash report to be committed. The poll that brings the report
// also confirms the gateway's configuration, so it must not wait for long.
const crashCommitTimeout = 200 * time.Millisecond

// recordCrashes adds the target crashes that a host reports to the replicated records. It returns false
// if they may not have been recorded.
func (s *Server) recordCrashes(ctx context.Context, req *fleet.PollRequest) bool {
	if len(req.Crashes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, crashCommitTimeout)
	defer cancel()
	cmd := &documentsm.Command{Crashes: &documentsm.CrashReport{Host: req.Host, ID: req.CrashReport, Digests: req.Crashes}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, cmd)
	if err != nil {
		s.log.Info("crash report not recorded; the host repeats it", "peer", req.Host, "digests", req.Crashes, "reason", err.Error())
		return false
	}
	records := s.opts.Document.Get().Crashes
	for _, digest := range req.Crashes {
		count := records[digest].Count
		s.log.Info("target crashed while it ran a request", "digest", digest, "count", count, "blocked", count >= documentsm.CrashLimit,
			"peer", req.Host, "repeated", !reply.Changed)
	}
	return true
}
