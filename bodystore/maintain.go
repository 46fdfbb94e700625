package bodystore

import (
	"container/heap"
	"context"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/periodic"
)

const (
	repairInterval   = 100 * time.Millisecond
	maintainInterval = time.Second
	// knownKeys is the number of bodies in one question to the ledger, and maxKnownCalls the number of
	// questions in a row.
	knownKeys     = 500
	maxKnownCalls = 8
	knownTimeout  = 2 * time.Second
	// askAgainDelay is the time after which the ledger is asked again if it did not answer.
	askAgainDelay = 2 * time.Second
	// Bounds of the time after which the ledger is asked again about a body that it refers to. In between,
	// it is half of the body's retention.
	minRecheck = 5 * time.Second
	maxRecheck = time.Minute
	// Sealed segments are rewritten below this live part in percent, the second one while the disk is
	// nearly used.
	sparsePercent       = 25
	sparsePercentIfFull = 70
	tightPercent        = 75 // of the limit for writes, from which on the disk is nearly used
	// rewriteBytes is the size of the live bodies that are rewritten in one run at most.
	rewriteBytes = 2 << 20
	// rewriteBatchBytes is the size of the bodies that are read into memory and synced together.
	rewriteBatchBytes = 512 << 10
)

// Ledger tells which bodies are still referred to.
type Ledger interface {
	KnownBodies(ctx context.Context, req *fleet.KnownRequest) (*fleet.KnownReply, error)
}

// Run repairs copies, removes bodies that are no longer needed and cleans up segments until ctx ends.
func (s *Store) Run(ctx context.Context, peers Peers, ledger Ledger) {
	s.wg.Go(func() {
		periodic.Run(ctx, maintainInterval, periodic.Always(func(ctx context.Context) { s.expire(ctx, ledger) }))
	})
	s.wg.Go(func() {
		periodic.Run(ctx, maintainInterval, periodic.Always(func(ctx context.Context) {
			s.probe()
			s.cleanUp(ctx)
		}))
	})
	periodic.Run(ctx, repairInterval, periodic.Always(func(ctx context.Context) { s.repair(ctx, peers) }))
}

// expire asks the ledger about bodies whose retention has passed and removes those that it no longer
// refers to. They are kept while it does not answer.
func (s *Store) expire(ctx context.Context, ledger Ledger) {
	for range maxKnownCalls {
		batch := s.takeExpired()
		if len(batch) == 0 {
			return
		}
		req := &fleet.KnownRequest{Keys: make([]string, len(batch))}
		for i, x := range batch {
			req.Keys[i] = x.entry.key
		}
		callCtx, cancel := context.WithTimeout(ctx, knownTimeout)
		reply, err := ledger.KnownBodies(callCtx, req)
		cancel()
		if err == nil && len(reply.Known) != len(batch) {
			err = badReply("%d answers about %d bodies", len(reply.Known), len(batch))
		}
		if err != nil {
			s.opt.Log.V(1).Info("the ledger does not tell which bodies it refers to", "error", err.Error())
			return
		}
		s.applyKnown(batch, reply.Known)
	}
}

// takeExpired returns bodies whose retention has passed, and the times until which they are kept now.
func (s *Store) takeExpired() []delayedEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Now()
	var out []delayedEntry
	for len(s.expiry) > 0 && len(out) < knownKeys && s.expiry[0].keepUntil <= now {
		e := s.expiry[0]
		e.keepUntil = now + askAgainDelay
		heap.Fix(&s.expiry, 0)
		out = append(out, delayedEntry{e, e.keepUntil})
	}
	return out
}

// applyKnown removes the bodies that the ledger does not know, except those that have been stored again
// meanwhile.
func (s *Store) applyKnown(batch []delayedEntry, known []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Now()
	for i, x := range batch {
		e := x.entry
		switch {
		case e.removed:
		case known[i]:
			s.keep(e, now+min(max(e.retention/2, minRecheck), maxRecheck))
		case e.keepUntil == x.at:
			s.stats.Expired++
			s.remove(e)
		}
	}
}

// cleanUp removes segments without live bodies and rewrites those with few.
func (s *Store) cleanUp(ctx context.Context) {
	var rewritten int64
	for rewritten < rewriteBytes && ctx.Err() == nil {
		seg, entries := s.pickSparse(rewriteBytes - rewritten)
		if seg == nil {
			return
		}
		n, ok := s.rewrite(ctx, entries)
		rewritten += n
		if !ok {
			return
		}
	}
}

// pickSparse removes empty segments and returns the segment to be rewritten next, nil if there is none,
// with live bodies of up to limit bytes.
func (s *Store) pickSparse(limit int64) (*segment, []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	percent := int64(sparsePercent)
	if s.opt.DiskBytes > 0 && s.used > s.writeLimit()*tightPercent/100 {
		percent = sparsePercentIfFull
	}
	var pick *segment
	for _, seg := range s.sortedSegments() {
		if seg.live == 0 {
			s.removeSegment(seg)
		} else if seg.live*100 < seg.size*percent {
			pick = seg
			break
		}
	}
	if pick == nil || s.failedUntil != 0 || (s.opt.DiskBytes > 0 && s.used+s.queued+limit > s.opt.DiskBytes*rewriteLimitPercent/100) {
		return nil, nil
	}
	var entries []*entry
	for _, e := range s.index {
		if e.seg == pick && limit > 0 {
			entries = append(entries, e)
			limit -= e.bytes()
		}
	}
	return pick, entries
}

// rewrite appends live bodies to the current segment. It returns their size and whether all were written.
func (s *Store) rewrite(ctx context.Context, entries []*entry) (written int64, ok bool) {
	for len(entries) > 0 {
		var batch []*write
		var size int64
		for len(entries) > 0 && size < rewriteBatchBytes {
			e := entries[0]
			entries = entries[1:]
			rec, err := s.read(e)
			if err != nil {
				continue
			}
			batch = append(batch, &write{rec: *rec, move: e, done: make(chan error, 1)})
			size += rec.bytes()
		}
		s.mu.Lock()
		for _, w := range batch {
			s.push(w)
		}
		s.mu.Unlock()
		for _, w := range batch {
			select {
			case err := <-w.done:
				if err != nil {
					return written, false
				}
			case <-ctx.Done():
				return written, false
			}
		}
		written += size
	}
	return written, written > 0
}
