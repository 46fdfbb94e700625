package controller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// listInterval is the time between two reads of the list of targets while it changes. The
	// list lags by up to a second, and a target that leaves must be known within 3 s.
	listInterval = 500 * time.Millisecond
	// calmInterval is the same once the list has not changed for calmAfter. Reads cost the
	// platform four pages at 177 targets, and changes come in series.
	calmInterval = time.Second
	calmAfter    = 3 * time.Second
	listTimeout  = time.Second
	// leaderCheckInterval is the time between two looks whether this member has become the
	// leader: gateways that have just started serve nothing before they have a list.
	leaderCheckInterval = 25 * time.Millisecond
	// maxInheritedAge is the age up to which a list that was read before this member became
	// the leader is given out. An older one would bring back targets that have left.
	maxInheritedAge = 2 * listInterval
)

// targetList is the last list of targets that this member has read.
type targetList struct {
	mu      sync.Mutex
	read    time.Duration
	term    uint64 // in which this member led when it read the list; 0: it did not lead
	failing bool
	changed time.Duration  // when a read last showed a change
	targets []fleet.Target // in the order of their ids
	cold    coldSpells
	history listHistory
	// whole is the encoded list, nil until it is asked for.
	whole fleet.EncodedTargets
}

// Run reads the list at the start, so that a leader elected right after it has one, and
// then while this member leads the document group, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.readTargets(ctx, s.leadingTerm())
	next := clock.Now() + s.list.interval()
	led := s.leadingTerm()
	t := time.NewTicker(leaderCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		term := s.leadingTerm()
		if now := clock.Now(); term != 0 && (term != led || now >= next) {
			s.readTargets(ctx, term)
			next = now + s.list.interval()
		}
		led = term
	}
}

// leadingTerm returns the term in which this member leads the document group; 0: it does not.
func (s *Server) leadingTerm() uint64 {
	if !s.opts.Node.IsLeader(fleet.DocumentGroup) {
		return 0
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	return term
}

func (s *Server) readTargets(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	at := clock.Now()
	targets, err := s.opts.Lister.List(ctx)
	l := &s.list
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.failing {
			s.log.Info("list of targets lost", "error", err.Error(), "age_ms", (at - l.read).Milliseconds())
		}
		l.failing = true
		return
	}
	if l.failing {
		s.log.Info("list of targets regained", "targets", len(targets))
	}
	l.failing = false
	targets = inOrder(targets)
	l.logChanges(s, targets)
	l.replace(at, term, targets)
	s.hosts.setTargets(l.history.newest(), targets)
}

// inOrder sorts targets by id and keeps the last entry of each.
func inOrder(targets []fleet.Target) []fleet.Target {
	slices.Reverse(targets)
	slices.SortStableFunc(targets, func(a, b fleet.Target) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(targets, func(a, b fleet.Target) bool { return a.ID == b.ID })
}

// replace takes over a list that was read at a time in a term.
func (l *targetList) replace(at time.Duration, term uint64, targets []fleet.Target) {
	l.cold.update(at, targets)
	if l.history.add(l.targets, targets, &l.cold) {
		l.changed = at
	}
	l.read, l.term, l.targets, l.whole = at, term, targets, nil
}

// interval returns the time until the next read.
func (l *targetList) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing || l.read-l.changed < calmAfter {
		return listInterval
	}
	return calmInterval
}

// logChanges writes a line for each target that came, left or began to drain.
func (l *targetList) logChanges(s *Server, next []fleet.Target) {
	old := map[string]fleet.Target{}
	for _, t := range l.targets {
		old[t.ID] = t
	}
	for _, t := range next {
		before, known := old[t.ID]
		delete(old, t.ID)
		if !known || before.Draining != t.Draining {
			s.log.Info("target listed", "target", t.ID, "service", t.Service, "address", t.Address, "draining", t.Draining, "cold_ms", t.ColdFor.Milliseconds())
		}
	}
	for id := range old {
		s.log.Info("target gone", "target", id)
	}
}

// since returns what has changed since the list that a host holds; nil: nothing. A list from
// before the leader's term counts while it is young, and where there is no other: the host
// has none and the reads of the leader fail.
func (l *targetList) since(term, held uint64) (*fleet.TargetChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := l.history.newest()
	if len(l.targets) == 0 || held == digest {
		return nil, nil
	}
	age := clock.Now() - l.read
	lastResort := l.failing && held == 0
	if l.term != term && age > maxInheritedAge && !lastResort {
		return nil, nil
	}
	change := &fleet.TargetChange{Digest: digest, Age: age}
	touched, known := l.history.since(held)
	if !known {
		change.Whole = true
		return change, l.encodeWhole(change)
	}
	var changed []fleet.Target
	for _, t := range l.targets {
		if touched[t.ID] {
			changed = append(changed, t)
			delete(touched, t.ID)
		}
	}
	for id := range touched {
		change.Gone = append(change.Gone, id)
	}
	var err error
	change.Changed, err = fleet.EncodeTargets(changed)
	return change, err
}

// encodeWhole encodes the list once for all hosts that need it.
func (l *targetList) encodeWhole(change *fleet.TargetChange) (err error) {
	if l.whole == nil {
		l.whole, err = fleet.EncodeTargets(l.targets)
	}
	change.Changed = l.whole
	return err
}
