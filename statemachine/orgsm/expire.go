package orgsm

import (
	"time"

	"github.com/figlb/figlb/structs"
)

const (
	// turnLease is the time after which a running turn that no entry has taken over counts
	// as abandoned. It exceeds the longest time for which an entry runs a turn. Open programs
	// with a running turn may be idle for that much longer before they expire.
	turnLease = 10 * time.Minute
	// callLease is the time after which a running call becomes unknown.
	callLease = 10 * time.Minute
	// deadEntryGracePeriod is the age after which a turn or call is abandoned if its entry
	// is not in the list of live entries. A younger one may belong to an entry that joined
	// after the list was made.
	deadEntryGracePeriod = 15 * time.Second
)

// isAbandoned reports whether no outcome is expected any more for a turn or call of
// this age: its lease has expired, or its entry is dead and the grace period is over.
func isAbandoned(entry string, age, lease time.Duration, liveEntries []string) bool {
	return age > lease || age > deadEntryGracePeriod && entryIsDead(entry, "", liveEntries)
}

// NeedsLiveEntries reports whether an Expire command needs the list of live entries: whether a
// call has been running for longer than the grace period, or a turn of an ended program is
// in progress.
func (m *Machine) NeedsLiveEntries(now time.Duration) bool {
	for i := range m.shards {
		if m.shards[i].needsLiveEntries(now) {
			return true
		}
	}
	return false
}

func (s *shard) needsLiveEntries(now time.Duration) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, o := range s.orgs {
		for _, k := range o.calls {
			if k.Record.State == structs.CallRunning && now-k.Record.BegunAt > deadEntryGracePeriod {
				return true
			}
		}
		for _, p := range o.programs {
			if p.Record.State != structs.ProgramOpen && p.runningTurn() != nil {
				return true
			}
		}
	}
	return false
}

// expire ends idle programs, settles abandoned turns of ended programs, marks abandoned
// calls as unknown and deletes old records.
func (o *org) expire(c *structs.Expire, now time.Duration) {
	for _, id := range sortedKeys(o.programs) {
		o.expireProgram(o.programs[id], c, now)
	}
	for _, key := range sortedKeys(o.calls) {
		o.expireCall(o.calls[key], c, now)
	}
}

// expireProgram ends an open program that has been idle for too long. In an ended program
// it settles an abandoned turn; without a running turn it deletes the record after c.Keep.
func (o *org) expireProgram(p *program, c *structs.Expire, now time.Duration) {
	t := p.runningTurn()
	if p.Record.State == structs.ProgramOpen {
		idle := c.Idle
		if o.hasRunningTurn(p) {
			idle += turnLease
		}
		if now-p.Record.LastActive > idle {
			o.endTree(p, structs.ProgramExpired, now)
		}
		return
	}
	if t != nil && isAbandoned(t.Entry, now-max(p.EndedAt, p.Record.LastActive), turnLease, c.LiveEntries) {
		o.failAbandonedTurn(p, t)
		t = nil
	}
	if t == nil && now-p.EndedAt > c.Keep {
		o.removeProgram(p)
	}
}

// hasRunningTurn reports whether p or any of its descendants has a turn in progress.
func (o *org) hasRunningTurn(p *program) bool {
	if p.runningTurn() != nil {
		return true
	}
	for _, id := range p.Children {
		if child := o.programs[id]; child != nil && o.hasRunningTurn(child) {
			return true
		}
	}
	return false
}

// failAbandonedTurn marks a turn of an ended program as failed and charges its whole
// reservation. It releases the program on all targets of the service, because the turn
// has not reported its targets.
func (o *org) failAbandonedTurn(p *program, t *structs.Turn) {
	o.settleReservation(p, t, t.Reserved)
	t.State = structs.TurnFailed
	if !p.Implicit {
		o.queueRelease(p.Record.ID, AllTargetsOf(p.Record.Service))
	}
	o.notify(turnKey(p.Record.ID, t.Number))
}

func (o *org) removeProgram(p *program) {
	delete(o.programs, p.Record.ID)
	if parent := o.programs[p.Record.Parent]; parent != nil {
		parent.Children = without(parent.Children, p.Record.ID)
	}
}

// expireCall marks an abandoned call as unknown and deletes the records of calls that
// ended long ago. Unknown calls are kept until they are resolved.
func (o *org) expireCall(k *call, c *structs.Expire, now time.Duration) {
	switch k.Record.State {
	case structs.CallRunning:
		if isAbandoned(k.Record.Entry, now-k.Record.BegunAt, callLease, c.LiveEntries) {
			o.markCallUnknown(k)
		}
	case structs.CallFinished, structs.CallNotRun:
		if now-k.EndedAt > c.Keep {
			delete(o.calls, k.Record.Key)
		}
	}
}
