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
)

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
	if t != nil && now-max(p.EndedAt, p.Rec.LastActive) > turnLease {
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
		if now-k.Rec.BegunAt > callLease {
			o.setUnknown(k)
		}
	case structs.CallFinished, structs.CallNotRun:
		if now-k.EndedAt > c.Keep {
			delete(o.calls, k.Rec.Key)
		}
	}
}
