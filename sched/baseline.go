package sched

import "github.com/cespare/xxhash/v2"

// The baseline policies serve requests in order of arrival, with the same slot limits as Fair.

// LeastOutstanding assigns the oldest request to the target with the fewest requests relative
// to its limit.
type LeastOutstanding struct{}

// Next implements Policy.
func (LeastOutstanding) Next(v *View) (Decision, bool) {
	return firstFit(v, func(r *Request) *Target {
		var best *Target
		bestLoad := 0.0
		for _, t := range v.Targets {
			if t.Free(v.Now) <= 0 || r.blocked(t) {
				continue
			}
			load := float64(t.InUse()) / float64(t.Limit(v.Now))
			if best == nil || load < bestLoad {
				best, bestLoad = t, load
			}
		}
		return best
	})
}

// RoundRobin assigns the oldest request to the next target in turn that has a free slot.
type RoundRobin struct{ next int }

// Next implements Policy.
func (p *RoundRobin) Next(v *View) (Decision, bool) {
	return firstFit(v, func(r *Request) *Target {
		for i := range v.Targets {
			at := (p.next + i) % len(v.Targets)
			t := v.Targets[at]
			if t.Free(v.Now) > 0 && !r.blocked(t) {
				p.next = at + 1
				return t
			}
		}
		return nil
	})
}

// SessionHash assigns all requests of a program to one target, chosen by rendezvous hashing
// among the targets in service. Requests wait while that target is full. A program moves to
// another target only if its target goes out of service or has failed the request.
type SessionHash struct {
	targetByProgram map[string]*Target
}

// Next implements Policy.
func (p *SessionHash) Next(v *View) (Decision, bool) {
	return firstFit(v, func(r *Request) *Target {
		t := p.targetFor(v, r)
		if t == nil || t.Free(v.Now) <= 0 {
			return nil
		}
		return t
	})
}

// targetFor returns the target of r's program, which it chooses if necessary. It returns nil if
// no target in service may serve r.
func (p *SessionHash) targetFor(v *View, r *Request) *Target {
	t := p.targetByProgram[r.Program]
	if t != nil && t.Limit(v.Now) > 0 && !r.excludes(t.Name) {
		return t
	}
	if p.targetByProgram == nil {
		p.targetByProgram = map[string]*Target{}
	}
	t = rendezvous(v, r)
	p.targetByProgram[r.Program] = t
	return t
}

// rendezvous returns the target with the highest hash of its name and the program, among those
// in service that may serve r.
func rendezvous(v *View, r *Request) *Target {
	var best *Target
	var bestHash uint64
	for _, t := range v.Targets {
		if t.Limit(v.Now) == 0 || r.blocked(t) {
			continue
		}
		h := xxhash.Sum64String(t.Name + "/" + r.Program)
		if best == nil || h > bestHash {
			best, bestHash = t, h
		}
	}
	return best
}

// firstFit assigns the oldest request for which choose returns a target.
func firstFit(v *View, choose func(*Request) *Target) (Decision, bool) {
	var d Decision
	if !v.anyFreeSlot() {
		return d, false
	}
	v.Queue.fifo.forEach(func(r *Request) bool {
		t := choose(r)
		if t == nil {
			return true
		}
		d = Decision{Request: r, Target: t}
		return false
	})
	return d, d.Request != nil
}

// anyFreeSlot reports whether any target has a free slot now.
func (v *View) anyFreeSlot() bool {
	for _, t := range v.Targets {
		if t.Free(v.Now) > 0 {
			return true
		}
	}
	return false
}
