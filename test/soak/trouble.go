package main

import (
	"context"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// leaveTime is the time for which a target that says it leaves still serves.
	leaveTime = 7 * time.Second
	// drainTime is the time after which a gateway that has passed on a target's word that it
	// leaves must not use it, as the platform's pages bound it.
	drainTime = 3 * time.Second
	// troubleShare is one in so many requests that a target in trouble answers wrongly.
	troubleShare = 5
)

// troubles are what a target in trouble does, apart from leaving.
var troubles = []standin.Fault{standin.EndlessHead, standin.EndlessBody, standin.LateCopy, standin.Drip}

// trouble makes one target after another misbehave or leave until ctx ends. It draws from
// numbers of its own, so the faults of a seed are the same with and without it.
func (s *site) trouble(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		t := s.sound(rng)
		length := time.Duration(300+rng.Intn(1200)) * time.Millisecond
		kind := rng.Intn(len(troubles) + 1)
		if kind == len(troubles) {
			s.leave(t)
		} else {
			t.SetTrouble(func(n int) standin.Fault {
				if n%troubleShare == 0 {
					return troubles[kind]
				}
				return standin.None
			})
		}
		time.Sleep(length)
		t.SetTrouble(nil)
	}
}

// sound draws a target that is not about to stop.
func (s *site) sound(rng *rand.Rand) *standin.Target {
	for {
		all := s.allTargets()
		if t := all[rng.Intn(len(all))]; !t.Drained() && !t.Leaving() {
			return t
		}
	}
}

// leave starts a successor of a target, which says that it leaves while the list still has it
// as ready, and stops later.
func (s *site) leave(t *standin.Target) {
	if err := s.addTarget(t.Service); err != nil {
		return
	}
	t.Leave()
	time.AfterFunc(leaveTime, t.Close)
}

// checkLeaving checks that a gateway leaves a target once it has passed on the target's word that
// it leaves, unless the gateway was disturbed since then.
func (w *world) checkLeaving(attempts []attempt) {
	type pair struct {
		host   *host
		target string
	}
	told := map[pair]time.Time{}
	for _, a := range attempts {
		p := pair{a.host, a.result.Leaving}
		if at, known := told[p]; p.target != "" && (!known || a.result.Answered.Before(at)) {
			told[p] = a.result.Answered
		}
	}
	for _, a := range attempts {
		for _, run := range w.s.log.Of(a.call.ID) {
			at, known := told[pair{a.host, run.Target}]
			if !known || a.result.Sent.Before(at.Add(drainTime)) || a.host.disturbed.Load() > at.UnixNano() {
				continue
			}
			w.broken("DRAIN: %s reached %s %s after %s had passed on that it leaves", a.call.ID, run.Target, a.result.Sent.Sub(at), a.host.name)
		}
	}
}
