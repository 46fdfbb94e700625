package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// fault is one thing that the soak does to the site. It returns what ends it, nil if it
// ends by itself.
type fault struct {
	name string
	run  func(s *site) (end func())
}

// pick draws a host of a kind.
func (s *site) pick(kind string) *host {
	hs := s.of(kind)
	return hs[s.rng.Intn(len(hs))]
}

// take draws a host of a kind, nil if another fault has stopped its process. The fault gives
// it back with free.
func (s *site) take(kind string) *host {
	h := s.pick(kind)
	if !h.busy.CompareAndSwap(false, true) {
		return nil
	}
	h.disturbed.Store(time.Now().UnixNano())
	return h
}

func (h *host) free() {
	h.disturbed.Store(time.Now().UnixNano())
	h.busy.Store(false)
}

// killed kills the process of a host until the end of the fault.
func (s *site) killed(kind string, wipe bool) func() {
	h := s.take(kind)
	if h == nil {
		return nil
	}
	h.proc.Kill()
	if wipe {
		_ = os.RemoveAll(h.settings.DataDir) // what is left shows as a directory that is not empty
	}
	return func() {
		_ = h.proc.Start() // a process that does not start is seen by the checks
		h.free()
	}
}

// frozen stops the process of a host, which does not notice it, until the end of the fault.
func (s *site) frozen(kind string) func() {
	h := s.take(kind)
	if h == nil {
		return nil
	}
	h.proc.Freeze()
	return func() {
		h.proc.Thaw()
		h.free()
	}
}

// restarted asks a gateway to end and starts it again. The checks see requests that it cut.
func (s *site) restarted() {
	h := s.take("gateway")
	if h == nil {
		return
	}
	go func() {
		_ = h.proc.Stop(stopTimeout)
		_ = h.proc.Start()
		h.free()
	}()
}

// stopTimeout is above the grace that the settings give.
const stopTimeout = 9 * time.Second

// allKilled kills all controllers that no other fault has stopped.
func (s *site) allKilled() func() {
	var taken []*host
	for _, h := range s.of("controller") {
		if h.busy.CompareAndSwap(false, true) {
			h.proc.Kill()
			taken = append(taken, h)
		}
	}
	return func() {
		for _, h := range taken {
			_ = h.proc.Start()
			h.free()
		}
	}
}

// faults lists what may happen. Weights come from repetition.
var faults = []fault{
	{"kill a gateway", func(s *site) func() { return s.killed("gateway", false) }},
	{"kill a controller", func(s *site) func() { return s.killed("controller", false) }},
	{"freeze a gateway", func(s *site) func() { return s.frozen("gateway") }},
	{"freeze a controller", func(s *site) func() { return s.frozen("controller") }},
	{"silence a controller", func(s *site) func() { r := s.pick("controller").relay; r.Cut(true); return func() { r.Cut(false) } }},
	{"cut a controller one way", func(s *site) func() { r := s.pick("controller").relay; r.Mute(true); return func() { r.Mute(false) } }},
	{"delay a controller", func(s *site) func() {
		r := s.pick("controller").relay
		r.Delay(40 * time.Millisecond)
		return func() { r.Delay(0) }
	}},
	{"silence a gateway for the others", func(s *site) func() { r := s.pick("gateway").relay; r.Cut(true); return func() { r.Cut(false) } }},
	{"reset a controller's connections", func(s *site) func() { s.pick("controller").relay.Reset(); return nil }},
	{"wipe a controller's disk", func(s *site) func() { return s.killed("controller", true) }},
	{"stop a gateway", func(s *site) func() { s.restarted(); return nil }},
	{"reload a process", func(s *site) func() { s.pick("gateway").proc.Signal(syscall.SIGHUP); return nil }},
	{"kill all controllers", func(s *site) func() { return s.allKilled() }},
	{"replace a target", func(s *site) func() {
		all := s.allTargets()
		t := all[s.rng.Intn(len(all))]
		if t.Drained() {
			return nil
		}
		if err := s.addTarget(t.Service); err != nil {
			return nil
		}
		t.Drain()
		return t.Close
	}},
	{"targets lose answers", func(s *site) func() { return s.spoil(standin.Lose) }},
	{"targets spoil answers", func(s *site) func() {
		return s.spoil([]standin.Fault{standin.Refuse, standin.Break, standin.Extra, standin.Slow}[s.rng.Intn(4)])
	}},
}

// spoil makes all targets do something to one request in seven.
func (s *site) spoil(fault standin.Fault) (end func()) {
	var n atomic.Int64
	targets := s.allTargets() // the end runs beside faults that add targets
	for _, t := range targets {
		t.SetFault(func() standin.Fault {
			if n.Add(1)%7 == 0 {
				return fault
			}
			return standin.None
		})
	}
	return func() {
		for _, t := range targets {
			t.SetFault(nil)
		}
	}
}

// inject runs faults until the deadline. One that takes state away waits until the one
// before it has ended and the site has had time to repair itself; others overlap.
func (s *site) inject(deadline time.Time, note func(string)) {
	var ends []func()
	heavyUntil := time.Time{}
	for time.Now().Before(deadline) {
		f := faults[s.rng.Intn(len(faults))]
		length := time.Duration(500+s.rng.Intn(2500)) * time.Millisecond
		pause := time.Duration(200+s.rng.Intn(1500)) * time.Millisecond
		if heavy(f.name) {
			if time.Now().Before(heavyUntil) {
				continue
			}
			heavyUntil = time.Now().Add(length + repairTime)
		}
		note(fmt.Sprintf("%s for %s", f.name, length))
		if end := f.run(s); end != nil {
			t := time.AfterFunc(length, end)
			ends = append(ends, func() {
				if t.Stop() {
					end()
				}
			})
		}
		time.Sleep(pause)
	}
	for _, end := range ends {
		end()
	}
}

// repairTime is the time after which the site bears the next loss of a controller.
const repairTime = 4 * time.Second

// heavy reports whether a fault takes a controller away.
func heavy(name string) bool {
	switch name {
	case "kill a controller", "freeze a controller", "silence a controller", "cut a controller one way",
		"wipe a controller's disk", "kill all controllers", "delay a controller":
		return true
	}
	return false
}
