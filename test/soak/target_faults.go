package main

import (
	"context"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// leaveGracePeriod is the time for which a target continues to serve after it has announced
	// its shutdown.
	leaveGracePeriod = 7 * time.Second
	// drainTimeout is the time after which a gateway that has forwarded a target's shutdown
	// announcement must no longer use the target. The platform's documentation sets this bound.
	drainTimeout = 3 * time.Second
	// misbehaviourInterval is the interval of faulty answers: a misbehaving target answers one in
	// this many requests wrongly.
	misbehaviourInterval = 5
)

// misbehaviours are the faults of a misbehaving target, apart from announcing its shutdown.
var misbehaviours = []standin.Fault{standin.EndlessHead, standin.EndlessBody, standin.LateCopy, standin.DripBytes}

// disturbTargets makes one target after another misbehave or shut down until ctx ends. It has its
// own random number generator, so that a seed yields the same sequence of other faults with and
// without it.
func (s *site) disturbTargets(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		t := s.randomHealthyTarget(rng)
		length := time.Duration(300+rng.Intn(1200)) * time.Millisecond
		kind := rng.Intn(len(misbehaviours) + 1)
		if kind == len(misbehaviours) {
			s.replaceLeaving(t)
		} else {
			t.SetFaultByNumber(func(n int) standin.Fault {
				if n%misbehaviourInterval == 0 {
					return misbehaviours[kind]
				}
				return standin.NoFault
			})
		}
		time.Sleep(length)
		t.SetFaultByNumber(nil)
	}
}

// randomHealthyTarget returns a random target that is not about to stop.
func (s *site) randomHealthyTarget(rng *rand.Rand) *standin.Target {
	for {
		all := s.allTargets()
		if t := all[rng.Intn(len(all))]; !t.Drained() && !t.AnnouncesStop() {
			return t
		}
	}
}

// replaceLeaving starts a replacement for a target and makes the target announce its shutdown in
// its answers while the target list still shows it as ready. The target stops after
// leaveGracePeriod.
func (s *site) replaceLeaving(t *standin.Target) {
	if err := s.addTarget(t.Service); err != nil {
		return
	}
	t.AnnounceStop()
	time.AfterFunc(leaveGracePeriod, t.Close)
}

// checkLeaving checks that a gateway stops using a target within drainTimeout of forwarding the
// target's shutdown announcement to a caller, unless the gateway was disturbed since then.
func (w *workload) checkLeaving(attempts []attempt) {
	type pair struct {
		host   *host
		target string
	}
	announced := map[pair]time.Time{}
	for _, a := range attempts {
		p := pair{a.gateway, a.result.LeavingTarget}
		if at, known := announced[p]; p.target != "" && (!known || a.result.Answered.Before(at)) {
			announced[p] = a.result.Answered
		}
	}
	for _, a := range attempts {
		for _, run := range w.site.log.RunsOf(a.call.ID) {
			at, known := announced[pair{a.gateway, run.Target}]
			if !known || a.result.Sent.Before(at.Add(drainTimeout)) || a.gateway.lastDisturbed.Load() > at.UnixNano() {
				continue
			}
			w.recordViolation("SHUTTING-DOWN TARGET USED: %s reached %s %s after %s had forwarded its shutdown announcement", a.call.ID, run.Target, a.result.Sent.Sub(at), a.gateway.name)
		}
	}
}
