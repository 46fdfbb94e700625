package controller

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/internal/periodic"
)

const (
	// listInterval is the time between two reads of the list of targets while it changes. The
	// platform's list lags by up to a second, and gateways must know within 3 s that a target
	// leaves.
	listInterval = 500 * time.Millisecond
	// stableListInterval is the time between two reads once the list has not changed for
	// listStableAfter. A read costs the platform four pages with 177 targets, and changes come in
	// series.
	stableListInterval = time.Second
	listStableAfter    = 3 * time.Second
	listTimeout        = time.Second
	// leaderCheckInterval is the time between two checks whether this member has become the
	// leader. It is short because gateways that have just started cannot serve without a list.
	leaderCheckInterval = 25 * time.Millisecond
	// maxInheritedAge is the age up to which this member, as leader, hands out a list that it read
	// before its term. An older list would bring back targets that have left.
	maxInheritedAge = 2 * listInterval
)

// targetList is the last list of targets that this member has read.
type targetList struct {
	mu        sync.Mutex
	readAt    time.Duration  // clock time; 0: never
	term      uint64         // in which this member led when it read the list; 0 if it did not lead
	failing   bool           // the last read has failed
	changedAt time.Duration  // when a read last showed a change
	targets   []fleet.Target // sorted by id
	cold      coldTracker
	history   listHistory
	// encoded is the encoded list; nil until a host needs the whole list.
	encoded fleet.EncodedTargets
}

// Run reads the list of targets until ctx ends: once at the start, so that a member that is
// elected right afterwards has a list, and then while this member leads the document group. It also
// decides about bodies of turns on store hosts.
func (s *Server) Run(ctx context.Context) {
	go periodic.Run(ctx, featuresInterval, periodic.Always(s.updateFeatures))
	go s.runBodies(ctx)
	go periodic.Run(ctx, rolloutInterval, periodic.Always(s.advanceRollouts))
	s.readTargets(ctx, s.leadingTerm())
	next := clock.Now() + s.targetList.readInterval()
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
			next = now + s.targetList.readInterval()
		}
		led = term
	}
}

// leadingTerm returns the term in which this member leads the document group, or 0 if it does
// not lead.
func (s *Server) leadingTerm() uint64 {
	if !s.opts.Node.IsLeader(fleet.DocumentGroup) {
		return 0
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	return term
}

// readTargets reads the list of targets. A failed read keeps the previous list.
func (s *Server) readTargets(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	at := clock.Now()
	targets, err := s.opts.Lister.List(ctx)
	l := &s.targetList
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		switch {
		case l.failing:
		case l.readAt == 0:
			s.log.Info("cannot read the list of targets; none has been read yet", "error", err.Error())
		default:
			s.log.Info("cannot read the list of targets; keeping the last one", "error", err.Error(), "age_ms", (at - l.readAt).Milliseconds())
		}
		l.failing = true
		return
	}
	if l.failing {
		s.log.Info("list of targets can be read again", "targets", len(targets))
	}
	l.failing = false
	targets = sortUnique(targets)
	l.logChanges(s, targets)
	l.replace(at, term, targets)
	s.hosts.setTargets(l.history.newest(), targets)
	s.limits.retain(targets)
}

// sortUnique sorts targets by id and keeps one entry of each id: that of the latest start, of these one that is
// draining, and of these the last.
func sortUnique(targets []fleet.Target) []fleet.Target {
	slices.Reverse(targets)
	slices.SortStableFunc(targets, func(a, b fleet.Target) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(b.StartedAt, a.StartedAt), compareDraining(b, a))
	})
	return slices.CompactFunc(targets, func(a, b fleet.Target) bool { return a.ID == b.ID })
}

// compareDraining orders targets that are not draining before those that are.
func compareDraining(a, b fleet.Target) int {
	switch {
	case a.Draining == b.Draining:
		return 0
	case b.Draining:
		return -1
	}
	return 1
}

// replace stores a list that was read at the given time and term.
func (l *targetList) replace(at time.Duration, term uint64, targets []fleet.Target) {
	l.cold.update(at, targets)
	if l.history.add(l.targets, targets, &l.cold) {
		l.changedAt = at
	}
	l.readAt, l.term, l.targets, l.encoded = at, term, targets, nil
}

// readInterval returns the time until the next read.
func (l *targetList) readInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing || l.readAt-l.changedAt < listStableAfter {
		return listInterval
	}
	return stableListInterval
}

// logChanges logs each target that was added or removed or that started or stopped draining.
func (l *targetList) logChanges(s *Server, next []fleet.Target) {
	old := map[string]fleet.Target{}
	for _, t := range l.targets {
		old[t.ID] = t
	}
	for _, t := range next {
		before, known := old[t.ID]
		delete(old, t.ID)
		if !known || before.Draining != t.Draining {
			s.log.Info("target added or its drain state changed", "target", t.ID, "service", t.Service, "address", t.Address, "version", t.Version, "draining", t.Draining, "cold_ms", t.ColdFor.Milliseconds())
		}
	}
	for id := range old {
		s.log.Info("target no longer listed", "target", id)
	}
}

// changeSince returns the change from the list that a host holds to the present one, or nil if
// there is nothing to send. A list that was read before the leader's term is sent only while it
// is younger than maxInheritedAge, or as a last resort if the host holds no list and the leader's
// reads fail.
func (l *targetList) changeSince(term, heldDigest uint64) (*fleet.TargetChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := l.history.newest()
	if len(l.targets) == 0 || heldDigest == digest {
		return nil, nil
	}
	age := clock.Now() - l.readAt
	lastResort := l.failing && heldDigest == 0
	if l.term != term && age > maxInheritedAge && !lastResort {
		return nil, nil
	}
	change := &fleet.TargetChange{Digest: digest, Age: age}
	changedIDs, known := l.history.changedSince(heldDigest)
	if !known {
		change.Full = true
		return change, l.encodeWhole(change)
	}
	var changed []fleet.Target
	for _, t := range l.targets {
		if changedIDs[t.ID] {
			changed = append(changed, t)
			delete(changedIDs, t.ID)
		}
	}
	for id := range changedIDs {
		change.Removed = append(change.Removed, id)
	}
	var err error
	change.Changed, err = fleet.EncodeTargets(changed)
	return change, err
}

// versions reports whether a service has listed targets of a software version, and of others.
func (l *targetList) versions(service, version string) (listed, others bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.targets {
		if t.Service == service {
			listed = listed || t.Version == version
			others = others || t.Version != version
		}
	}
	return listed, others
}

// encodeWhole encodes the list once for all hosts that need it.
func (l *targetList) encodeWhole(change *fleet.TargetChange) (err error) {
	if l.encoded == nil {
		l.encoded, err = fleet.EncodeTargets(l.targets)
	}
	change.Changed = l.encoded
	return err
}
