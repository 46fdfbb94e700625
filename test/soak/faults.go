package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// fault is a fault that the soak injects into the site. run starts it and returns a function
// that ends it, nil if it ends by itself or was not started.
type fault struct {
	name string
	run  func(s *site) (end func())
}

// randomHost returns a random host of a kind.
func (s *site) randomHost(kind string) *host {
	hs := s.hostsOfKind(kind)
	return hs[s.rng.Intn(len(hs))]
}

// acquireHost draws a random host of a kind and marks it as busy. It returns nil if another fault
// holds the host. The caller returns the host with release.
func (s *site) acquireHost(kind string) *host {
	h := s.randomHost(kind)
	if !h.busy.CompareAndSwap(false, true) {
		return nil
	}
	h.lastDisturbed.Store(time.Now().UnixNano())
	return h
}

// release ends the use of a host by a fault.
func (h *host) release() {
	h.lastDisturbed.Store(time.Now().UnixNano())
	h.busy.Store(false)
}

// calmSince reports whether no fault has stopped or resumed the host since the given time.
func (h *host) calmSince(at time.Time) bool {
	return !h.busy.Load() && h.lastDisturbed.Load() <= at.UnixNano()
}

// mustServe reports whether a gateway has to serve requests that were sent at a given time: it was not
// disturbed for contactTime before and since, and it or another such gateway, which it can reach, reaches the
// targets.
func (s *site) mustServe(gateway *host, sent time.Time) bool {
	since := sent.Add(-contactTime)
	if !gateway.calmSince(since) {
		return false
	}
	return slices.ContainsFunc(s.hostsOfKind("gateway"), func(h *host) bool {
		reachable := h == gateway || h.partitionedUntil.Load() <= since.UnixNano()
		return h.calmSince(since) && h.links.Up() && reachable
	})
}

// partition cuts the connections that other processes have opened to the host. The returned function ends the cut.
func (h *host) partition() (end func()) {
	h.partitionedUntil.Store(math.MaxInt64)
	h.relay.Cut(true)
	return func() {
		h.relay.Cut(false)
		h.partitionedUntil.Store(time.Now().UnixNano())
	}
}

// powerOffTimeout bounds the wait for a process to play the loss of power.
const powerOffTimeout = 2 * time.Second

// crash kills the process of a host. If the host has a disk, every other time its power is lost: the programs of a test
// build (tag powerloss) then leave what may be found on the disk afterwards; SIGUSR1 ends others like a kill.
func (s *site) crash(h *host) {
	if h.kind != "gateway" && s.power.Intn(2) == 0 {
		h.process.Signal(syscall.SIGUSR1)
		for until := time.Now().Add(powerOffTimeout); h.process.Running() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	h.process.Kill()
}

// killHost kills the process of a random host, and with wipe deletes its data directory. The
// returned function starts the process again.
func (s *site) killHost(kind string, wipe bool) func() {
	h := s.acquireHost(kind)
	if h == nil {
		return nil
	}
	s.crash(h)
	if wipe {
		// A failed removal leaves a non-empty directory, which the restarted process sees.
		_ = os.RemoveAll(h.settings.DataDir)
	}
	return func() {
		_ = h.process.Start() // the checks detect a process that does not start
		h.release()
	}
}

// freezeHost suspends the process of a random host with SIGSTOP. The returned function resumes it.
func (s *site) freezeHost(kind string) func() {
	h := s.acquireHost(kind)
	if h == nil {
		return nil
	}
	h.process.Suspend()
	return func() {
		h.process.Resume()
		h.release()
	}
}

// restartGateway stops a random gateway gracefully and starts it again. The checks detect requests
// that it breaks off.
func (s *site) restartGateway() {
	h := s.acquireHost("gateway")
	if h == nil {
		return
	}
	go func() {
		_ = h.process.Stop(stopTimeout)
		_ = h.process.Start()
		h.release()
	}()
}

// stopTimeout is longer than the shutdown grace period in the settings.
const stopTimeout = 9 * time.Second

// killAll kills all hosts of a kind that no other fault holds. The returned function starts them again.
func (s *site) killAll(kind string) func() {
	var taken []*host
	for _, h := range s.hostsOfKind(kind) {
		if h.busy.CompareAndSwap(false, true) {
			h.lastDisturbed.Store(time.Now().UnixNano())
			s.crash(h)
			taken = append(taken, h)
		}
	}
	return func() {
		for _, h := range taken {
			_ = h.process.Start()
			h.release()
		}
	}
}

// faults lists the faults that injectFaults draws from with equal probability. Listing a fault more
// than once would make it more likely.
var faults = []fault{
	{"kill a gateway", func(s *site) func() { return s.killHost("gateway", false) }},
	{"kill a controller", func(s *site) func() { return s.killHost("controller", false) }},
	{"freeze a gateway", func(s *site) func() { return s.freezeHost("gateway") }},
	{"freeze a controller", func(s *site) func() { return s.freezeHost("controller") }},
	{"partition a controller", func(s *site) func() {
		r := s.randomHost("controller").relay
		r.Cut(true)
		return func() { r.Cut(false) }
	}},
	{"drop a controller's replies", func(s *site) func() {
		r := s.randomHost("controller").relay
		r.Mute(true)
		return func() { r.Mute(false) }
	}},
	{"delay a controller", func(s *site) func() {
		r := s.randomHost("controller").relay
		r.Delay(40 * time.Millisecond)
		return func() { r.Delay(0) }
	}},
	{"partition a gateway from the other processes", func(s *site) func() { return s.randomHost("gateway").partition() }},
	{"reset a controller's connections", func(s *site) func() { s.randomHost("controller").relay.Reset(); return nil }},
	{"wipe a controller's disk", func(s *site) func() { return s.killHost("controller", true) }},
	{"kill a store", func(s *site) func() { return s.killHost("store", false) }},
	{"freeze a store", func(s *site) func() { return s.freezeHost("store") }},
	{"wipe a store's disk", func(s *site) func() { return s.killHost("store", true) }},
	{"partition a store", func(s *site) func() { return s.randomHost("store").partition() }},
	{"stop a gateway", func(s *site) func() { s.restartGateway(); return nil }},
	{"reload a gateway's settings", func(s *site) func() { s.randomHost("gateway").process.Signal(syscall.SIGHUP); return nil }},
	{"kill all controllers", func(s *site) func() { return s.killAll("controller") }},
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
	{"targets drop answers", func(s *site) func() { return s.injectTargetFault(standin.DropConnection) }},
	{"targets answer wrongly", func(s *site) func() {
		return s.injectTargetFault([]standin.Fault{standin.RefuseRequest, standin.TruncateResponse, standin.DuplicateResponse, standin.SlowResponse}[s.rng.Intn(4)])
	}},
}

// injectTargetFault injects a fault into one in seven of the requests that reach the targets. The
// returned function ends it.
func (s *site) injectTargetFault(fault standin.Fault) (end func()) {
	var n atomic.Int64
	targets := s.allTargets() // a copy: other faults may add targets before this one ends
	for _, t := range targets {
		t.SetFault(func() standin.Fault {
			if n.Add(1)%7 == 0 {
				return fault
			}
			return standin.NoFault
		})
	}
	return func() {
		for _, t := range targets {
			t.SetFault(nil)
		}
	}
}

// injectFaults injects random faults until the deadline, then ends those that are still active. A
// fault that disables a host with a disk is skipped until the previous one has ended and repairInterval
// has passed; other faults may overlap.
func (s *site) injectFaults(deadline time.Time, note func(string)) {
	var ends []func()
	disksSettledAt := time.Time{}
	for time.Now().Before(deadline) {
		f := faults[s.rng.Intn(len(faults))]
		length := time.Duration(500+s.rng.Intn(2500)) * time.Millisecond
		pause := time.Duration(200+s.rng.Intn(1500)) * time.Millisecond
		if disablesHostWithDisk(f.name) {
			if time.Now().Before(disksSettledAt) {
				continue
			}
			disksSettledAt = time.Now().Add(length + repairInterval)
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

// repairInterval is the time that the site needs after the loss of a controller before it
// tolerates the next one.
const repairInterval = 4 * time.Second

// disablesHostWithDisk reports whether a fault makes a controller, or a store host, unavailable or slow: the
// site tolerates the loss of one host with a disk at a time.
func disablesHostWithDisk(name string) bool {
	switch name {
	case "kill a store", "freeze a store", "wipe a store's disk", "partition a store",
		"kill a controller", "freeze a controller", "partition a controller", "drop a controller's replies",
		"wipe a controller's disk", "kill all controllers", "delay a controller":
		return true
	}
	return false
}
