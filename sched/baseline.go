package sched

import "github.com/cespare/xxhash/v2"

// The baselines take requests in order of arrival and use the same slot limits as Fair.

// LeastOutstanding sends the oldest request to the target with the fewest requests
// relative to its limit.
type LeastOutstanding struct{}

// Next implements Policy.
func (LeastOutstanding) Next(v *View) (Decision, bool) {
	return firstFitting(v, func(r *Request) *Target {
		var best *Target
		bestLoad := 0.0
		for _, t := range v.Targets {
			if t.Free(v.Now) <= 0 || r.blocked(t.Name) {
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

// RoundRobin sends the oldest request to the next target in turn that has a free slot.
type RoundRobin struct{ next int }

// Next implements Policy.
func (p *RoundRobin) Next(v *View) (Decision, bool) {
	return firstFitting(v, func(r *Request) *Target {
		for i := range v.Targets {
			at := (p.next + i) % len(v.Targets)
			t := v.Targets[at]
			if t.Free(v.Now) > 0 && !r.blocked(t.Name) {
				p.next = at + 1
				return t
			}
		}
		return nil
	})
}

// SessionHash sends all requests of a program to one target, chosen by hash among those
// in service, and lets them wait while it is full. A program stays on its target until
// that goes out of service.
type SessionHash struct {
	chosen map[string]*Target // by program
}

// Next implements Policy.
func (p *SessionHash) Next(v *View) (Decision, bool) {
	return firstFitting(v, func(r *Request) *Target {
		t := p.target(v, r)
		if t == nil || t.Free(v.Now) <= 0 {
			return nil
		}
		return t
	})
}

func (p *SessionHash) target(v *View, r *Request) *Target {
	t := p.chosen[r.Program]
	if t != nil && t.Limit(v.Now) > 0 && !r.excludes(t.Name) {
		return t
	}
	if p.chosen == nil {
		p.chosen = map[string]*Target{}
	}
	t = rendezvous(v, r)
	p.chosen[r.Program] = t
	return t
}

// rendezvous returns the target with the highest hash of program and name.
func rendezvous(v *View, r *Request) *Target {
	var best *Target
	var bestHash uint64
	for _, t := range v.Targets {
		if t.Limit(v.Now) == 0 || r.blocked(t.Name) {
			continue
		}
		h := xxhash.Sum64String(t.Name + "/" + r.Program)
		if best == nil || h > bestHash {
			best, bestHash = t, h
		}
	}
	return best
}

// firstFitting returns the oldest request for which choose finds a target.
func firstFitting(v *View, choose func(*Request) *Target) (Decision, bool) {
	var d Decision
	if !v.anyFree() {
		return d, false
	}
	v.Queue.fifo.each(func(r *Request) bool {
		t := choose(r)
		if t == nil {
			return true
		}
		d = Decision{Request: r, Target: t}
		return false
	})
	return d, d.Request != nil
}

// anyFree reports whether any target has a free slot.
func (v *View) anyFree() bool {
	for _, t := range v.Targets {
		if t.Free(v.Now) > 0 {
			return true
		}
	}
	return false
}
