package orgsm

import (
	"time"

	"github.com/figlb/figlb/structs"
)

const (
	// turnLease is the time after which a turn without an outcome counts as abandoned
	// where nobody takes it over. It exceeds the longest time an entry runs a turn.
	turnLease = 10 * time.Minute
	// callLease is the same for calls, which then become unknown.
	callLease = 10 * time.Minute
	// deadEntryAge is the age from which a turn or call of an entry that is not in the
	// list of live entries is given up. A younger one may belong to an entry that has
	// joined since the list was made.
	deadEntryAge = 15 * time.Second
)

// givenUp reports whether a turn or call that has been running for age gets no outcome
// any more.
func givenUp(entry string, age, lease time.Duration, live []string) bool {
	return age > lease || age > deadEntryAge && isDead(entry, "", live)
}

// NeedsLive reports whether Expire has a use for the list of live entries: whether a
// call, or a turn of an ended program, is old enough to be given up.
func (m *Machine) NeedsLive(now time.Duration) bool {
	for i := range m.shards {
		if m.shards[i].needsLive(now) {
			return true
		}
	}
	return false
}

func (s *shard) needsLive(now time.Duration) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, o := range s.orgs {
		for _, k := range o.calls {
			if k.Rec.State == structs.CallRunning && now-k.Rec.BegunAt > deadEntryAge {
				return true
			}
		}
		for _, p := range o.programs {
			if p.Rec.State != structs.ProgramOpen && p.running() != nil {
				return true
			}
		}
	}
	return false
}

// expire ends idle programs, settles abandoned turns and calls, and drops old records.
func (o *org) expire(c *structs.Expire, now time.Duration) {
	for _, id := range sortedKeys(o.programs) {
		o.expireProgram(o.programs[id], c, now)
	}
	for _, key := range sortedKeys(o.calls) {
		o.expireCall(o.calls[key], c, now)
	}
}

func (o *org) expireProgram(p *program, c *structs.Expire, now time.Duration) {
	t := p.running()
	if p.Rec.State == structs.ProgramOpen {
		idle := c.Idle
		if o.busy(p) {
			idle += turnLease
		}
		if now-p.Rec.LastActive > idle {
			o.end(p, structs.ProgramExpired, now)
		}
		return
	}
	if t != nil && givenUp(t.Entry, now-max(p.EndedAt, p.Rec.LastActive), turnLease, c.LiveEntries) {
		o.abandon(p, t)
		t = nil
	}
	if t == nil && now-p.EndedAt > c.Keep {
		o.drop(p)
	}
}

// busy reports whether p or one of its sub-agents has a turn in progress.
func (o *org) busy(p *program) bool {
	if p.running() != nil {
		return true
	}
	for _, id := range p.Children {
		if child := o.programs[id]; child != nil && o.busy(child) {
			return true
		}
	}
	return false
}

// abandon settles a turn of an ended program whose outcome never arrived.
func (o *org) abandon(p *program, t *structs.Turn) {
	o.settle(p, t, t.Reserved)
	t.State = structs.TurnFailed
	if !p.Implicit {
		o.queueRelease(p.Rec.ID, AnyTargetOf(p.Rec.Service))
	}
	o.notify(turnKey(p.Rec.ID, t.N))
}

func (o *org) drop(p *program) {
	delete(o.programs, p.Rec.ID)
	if parent := o.programs[p.Rec.Parent]; parent != nil {
		parent.Children = without(parent.Children, p.Rec.ID)
	}
}

func (o *org) expireCall(k *call, c *structs.Expire, now time.Duration) {
	switch k.Rec.State {
	case structs.CallRunning:
		if givenUp(k.Rec.Entry, now-k.Rec.BegunAt, callLease, c.LiveEntries) {
			o.setUnknown(k)
		}
	case structs.CallFinished, structs.CallNotRun:
		if now-k.EndedAt > c.Keep {
			delete(o.calls, k.Rec.Key)
		}
	}
}
