package main

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"syscall"
	"time"
)

const (
	// drainedFor is the time for which a target that the list shows as draining serves on.
	drainedFor = 10 * time.Second
	// drainBound is the time after which a gateway must not send to a target that the list shows as draining:
	// the platform's bound, and the time in which a controller or gateway is in touch again after a disturbance.
	drainBound = drainTimeout + contactTime
	// oldListFor is the time for which a list that has moved is served at its old address too. It is longer than the
	// interval at which processes read their settings.
	oldListFor = 4 * time.Second
	// signalSettled is the time after a disturbance in which a host gets no SIGHUP, which ends a process that has just
	// started and does not handle signals yet.
	signalSettled = time.Second
	// One in so many sets of foreign entries leaves one in the list for good.
	lastingOneIn = 3
)

// drain is the time at which the list began to show a target as draining.
type drain struct {
	target string
	at     time.Time
}

// disturbList makes trouble with the platform's list until ctx ends: entries of other writers, targets that drain and serve on, and a list
// that moves to another address. It returns the drains. It has its own random numbers, like disturbTargets.
func (s *site) disturbList(ctx context.Context, rng *rand.Rand) []drain {
	var drains []drain
	var lasting []string
	for ctx.Err() == nil {
		length := time.Duration(500+rng.Intn(3500)) * time.Millisecond
		switch rng.Intn(3) {
		case 0:
			entries := s.foreignEntries(rng)
			s.list.SetForeign(append(entries, lasting...))
			if rng.Intn(lastingOneIn) == 0 {
				lasting = append(lasting, entries[rng.Intn(len(entries))])
			}
		case 1:
			if t := s.randomHealthyTarget(rng); s.addTarget(t.Service) == nil {
				t.Drain()
				drains = append(drains, drain{t.ID, time.Now()})
				time.AfterFunc(drainedFor, t.Close)
			}
		case 2:
			s.moveList(rng)
		}
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		s.list.SetForeign(lasting)
	}
	return drains
}

// foreignEntries returns entries that name no target to use: with bytes that can't be read, values of other types, unknown
// states, or without fields, some of them with the id and address of a target.
func (s *site) foreignEntries(rng *rand.Rand) []string {
	all := s.allTargets()
	t := all[rng.Intn(len(all))]
	known := fmt.Sprintf(`"id":%q,"service":%q,"address":%q`, t.ID, t.Service, t.Address())
	choices := []string{
		"\x80\x04\x95{\"id\":\"x-1\"", `{"id":"x-2","slots":NaN}`, `"rubbish"`, `7`, `null`, `{}`, `{"id":3}`, `[]`,
		`{` + known + `,"zone":"z9","version":"v1","slots":"many","state":"ready","cold-remaining-ms":0}`,
		`{` + known + `,"zone":"z9","version":"v1","slots":16,"state":"asleep","cold-remaining-ms":0}`,
		`{` + known + `,"version":"v1","slots":16,"state":"ready","cold-remaining-ms":0}`,
		`{` + known + `,"state":"ready"}`,
	}
	rng.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	return choices[:1+rng.Intn(3)]
}

// moveList serves the list at a new address, writes the settings of all hosts and sends SIGHUP to some. The old address ends
// after oldListFor.
func (s *site) moveList(rng *rand.Rand) {
	old := s.listServer
	if s.startList() != nil {
		return
	}
	time.AfterFunc(oldListFor, func() { _ = old.Close() })
	signalled := rng.Intn(2) == 0
	for _, h := range s.hosts {
		h.settings.List = s.listAddr
		if err := s.writeConfig(h); err != nil {
			continue // the host keeps the old address, and the checks detect what follows
		}
		if signalled && h.calmSince(time.Now().Add(-signalSettled)) {
			h.process.Signal(syscall.SIGHUP)
		}
	}
}

// inTouch reports whether a gateway that gets a request at a given time was undisturbed for drainBound, and could reach a
// majority of controllers that were undisturbed for contactTime.
func (s *site) inTouch(gateway *host, sent time.Time) bool {
	since := sent.Add(-drainBound)
	if !gateway.calmSince(since) || gateway.partitionedUntil.Load() > since.UnixNano() {
		return false
	}
	calm := 0
	for _, h := range s.hostsOfKind("controller") {
		if h.calmSince(sent.Add(-contactTime)) {
			calm++
		}
	}
	return calm > controllerCount/2
}

// checkDrains checks that no gateway in touch sends requests to a target later than drainBound after the list began to show
// it as draining.
func (w *workload) checkDrains(drains []drain, attempts []attempt) {
	at := map[string]time.Time{}
	for _, d := range drains {
		at[d.target] = d.at
	}
	for _, a := range attempts {
		for _, run := range w.site.log.RunsOf(a.call.ID) {
			drained, known := at[run.Target]
			if late := a.result.Sent.Sub(drained); known && a.inTouch && late > drainBound {
				w.recordViolation("DRAINING TARGET USED (DRAIN): %s reached %s %s after the list had shown it as draining", a.call.ID, run.Target, late)
			}
		}
	}
}

// writeFile replaces a file as a whole, so that a process that starts never reads a part of it.
func writeFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
