package main

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/platform/standin"
)

// Options configure the soak of one seed.
type Options struct {
	Bin    string
	Seed   int64
	Length time.Duration
	Keep   string
}

// Report is what one seed showed.
type Report struct {
	Seed     int64
	Faults   []string
	Attempts int
	Served   int
	Turns    int
	Broken   []string
	Logs     string // of a seed that failed
}

// Summary returns a few lines for people.
func (r *Report) Summary() string {
	out := fmt.Sprintf("seed %d: %d faults, %d attempts, %d served, %d turns recorded, %d promises broken",
		r.Seed, len(r.Faults), r.Attempts, r.Served, r.Turns, len(r.Broken))
	if len(r.Broken) > 0 {
		out += "\n  " + strings.Join(r.Broken, "\n  ") + "\n  faults: " + strings.Join(r.Faults, "; ") + "\n  logs: " + r.Logs
	}
	return out
}

const (
	startTimeout = 20 * time.Second
	// recoveryTime is the time after the last fault in which service has to be back.
	recoveryTime = 12 * time.Second
	clients      = 12
)

// Run plays one seed.
func Run(opts Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "figlb-soak-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := filepath.Abs(opts.Bin)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s, err := newSite(bin, dir, opts.Seed, rand.New(rand.NewSource(opts.Seed)))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return nil, err
	}
	rep := &Report{Seed: opts.Seed}
	w := newWorld(s)
	if err := w.begin(); err != nil {
		_ = s.saveLogs(filepath.Join(os.TempDir(), fmt.Sprint("figlb-soak-start-", opts.Seed)))
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { w.client(ctx, rand.New(rand.NewSource(opts.Seed*1000+int64(i))), i) })
	}
	wg.Go(func() { w.operate(ctx) })
	wg.Go(func() { w.probe(ctx) })
	wg.Go(func() { s.trouble(ctx, rand.New(rand.NewSource(^opts.Seed))) })
	s.inject(time.Now().Add(opts.Length), func(f string) { rep.Faults = append(rep.Faults, f) })
	w.checkRecovery()
	cancel()
	wg.Wait()
	w.check(rep)
	if w.probesServed == 0 {
		rep.Broken = append(rep.Broken, "no request with the rotating key was served, so withdrawn keys were not tested")
	}
	if len(rep.Broken) > 0 {
		rep.Logs = filepath.Join(opts.Keep, fmt.Sprintf("soak-%d", opts.Seed))
		if opts.Keep == "" {
			rep.Logs = filepath.Join(os.TempDir(), fmt.Sprintf("figlb-soak-%d", opts.Seed))
		}
		return rep, s.saveLogs(rep.Logs)
	}
	return rep, nil
}

// begin applies the first configuration and waits until all gateways are ready.
func (w *world) begin() error {
	deadline := time.Now().Add(startTimeout)
	for !w.put(1) {
		if time.Now().After(deadline) {
			return errors.New("the first configuration was not acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, h := range w.s.of("gateway") {
		for !ready(h) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s did not become ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, h := range w.s.hosts {
		if err := w.s.write(h); err != nil {
			return err
		}
	}
	return nil
}

// checkRecovery notes whether requests are served again after the last fault.
func (w *world) checkRecovery() {
	deadline := time.Now().Add(recoveryTime)
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; time.Now().Before(deadline); n++ {
		served := 0
		for i, h := range w.s.of("gateway") {
			c := w.plain(fmt.Sprintf("recover-%d-%d", n, i), "look", 0)
			if w.do(caller, h, c).Status == 200 {
				served++
			}
		}
		if served == gateways {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.broken("no recovery: not all gateways serve %s after the last fault", recoveryTime)
}
