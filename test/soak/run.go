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

// Options configure the run of one seed.
type Options struct {
	Bin           string
	Seed          int64
	FaultDuration time.Duration
	LogDir        string
	Dir           string // for the files of the site; empty: the system's directory for temporary files
	// OldBin is the directory of the build with which the processes start; Bin replaces it host by host
	// during the faults. Empty: all processes start with Bin.
	OldBin string
}

// Report is the result of one seed.
type Report struct {
	Seed       int64
	Faults     []string
	Attempts   int
	Served     int
	Turns      int
	Resumed    int // streams that callers resumed while checkResumes counted them
	Joined     int // turns that a target ran after a kept turn whose stream had been resumed
	CutOff     int // requests at cut off gateways that checkCuts judged
	ToStores   int // gateways that were told to send bodies of turns to store hosts, counted each time
	Violations []string
	Logs       string // directory with the logs; set only if the seed failed
}

// Summary returns the report as a few lines of text.
func (r *Report) Summary() string {
	out := fmt.Sprintf("seed %d: %d faults, %d attempts, %d served, %d turns recorded, %d streams resumed, %d turns after resumed ones, %d requests at cut off gateways, bodies to store hosts %d times, %d guarantees violated",
		r.Seed, len(r.Faults), r.Attempts, r.Served, r.Turns, r.Resumed, r.Joined, r.CutOff, r.ToStores, len(r.Violations))
	if len(r.Violations) > 0 {
		out += "\n  " + strings.Join(r.Violations, "\n  ") + "\n  faults: " + strings.Join(r.Faults, "; ") + "\n  logs: " + r.Logs
	}
	return out
}

const (
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time within which all gateways must serve again after the last fault.
	recoveryTimeout = 12 * time.Second
	clientCount     = 12
	// limitSeed makes the random numbers of limitTargets differ from those of the other faults.
	limitSeed = 0x6c696d6974
	// answerSeed, zoneSeed and longSeed do the same for disturbAnswers, orderZones and runLongPrograms.
	answerSeed = 0x616e73776572
	zoneSeed   = 0x7a6f6e65
	longSeed   = 0x6c6f6e67
	// draftSeed and linkSeed do the same for runDrafts and disturbGateways.
	draftSeed = 0x6472616674
	linkSeed  = 0x6c696e6b
	// uploadSeed and buildSeed do the same for runUploads and replaceBuilds.
	uploadSeed = 0x75706c64
	buildSeed  = 0x6275696c64
	// listSeed and powerSeed do the same for disturbList and crash.
	listSeed  = 0x6c697374
	powerSeed = 0x706f776572
	// draftClientCount is the number of callers with streams that they resume.
	draftClientCount = 4
	// longClientCount is the number of callers with long turns.
	longClientCount = 4
)

// Run starts a site, injects the faults of one seed under load and checks the guarantees.
func Run(opts Options) (*Report, error) {
	dir, err := os.MkdirTemp(opts.Dir, "figlb-soak-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := filepath.Abs(opts.Bin)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	first := bin
	if opts.OldBin != "" {
		if first, err = filepath.Abs(opts.OldBin); err != nil {
			return nil, err
		}
	}
	s, err := newSite(first, dir, opts.Seed, rand.New(rand.NewSource(opts.Seed)))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return nil, err
	}
	s.upgrading = opts.OldBin != ""
	for _, h := range s.hosts {
		h.previousBuild.Store(s.upgrading)
	}
	report := &Report{Seed: opts.Seed}
	w := newWorkload(s)
	if err := w.start(); err != nil {
		_ = s.saveLogs(filepath.Join(os.TempDir(), fmt.Sprint("figlb-soak-start-", opts.Seed)))
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range clientCount {
		wg.Go(func() { w.runClient(ctx, rand.New(rand.NewSource(opts.Seed*1000+int64(i))), i) })
	}
	wg.Go(func() { w.runOperator(ctx) })
	wg.Go(func() { w.probeKeys(ctx) })
	wg.Go(func() { s.disturbTargets(ctx, rand.New(rand.NewSource(^opts.Seed))) })
	for i := range longClientCount {
		wg.Go(func() { w.runLongPrograms(ctx, rand.New(rand.NewSource(opts.Seed*1000^longSeed+int64(i))), i) })
	}
	for i := range draftClientCount {
		wg.Go(func() { w.runDrafts(ctx, rand.New(rand.NewSource(opts.Seed*1000^draftSeed+int64(i))), i) })
	}
	wg.Go(func() { w.runUploads(ctx, rand.New(rand.NewSource(opts.Seed^uploadSeed))) })
	faultCtx, endFaults := context.WithCancel(ctx)
	var limits []limitPeriod
	var evacuations []evacuation
	var cuts []linkCut
	var drains []drain
	var disturbing sync.WaitGroup
	disturbing.Go(func() { limits = s.limitTargets(faultCtx, rand.New(rand.NewSource(opts.Seed^limitSeed))) })
	disturbing.Go(func() { evacuations = w.orderZones(faultCtx, rand.New(rand.NewSource(opts.Seed^zoneSeed))) })
	disturbing.Go(func() { s.disturbAnswers(faultCtx, rand.New(rand.NewSource(opts.Seed^answerSeed))) })
	disturbing.Go(func() { cuts = s.disturbGateways(faultCtx, rand.New(rand.NewSource(opts.Seed^linkSeed))) })
	if opts.OldBin == "" { // earlier builds do not follow a list that moves
		disturbing.Go(func() { drains = s.disturbList(faultCtx, rand.New(rand.NewSource(opts.Seed^listSeed))) })
	} else {
		disturbing.Go(func() { s.replaceBuilds(faultCtx, bin, rand.New(rand.NewSource(opts.Seed^buildSeed))) })
	}
	s.injectFaults(time.Now().Add(opts.FaultDuration), func(f string) { report.Faults = append(report.Faults, f) })
	endFaults()
	disturbing.Wait()
	w.checkRecovery()
	cancel()
	wg.Wait()
	w.check(report, limits, evacuations, cuts, drains)
	for _, h := range s.hostsOfKind("gateway") {
		report.ToStores += strings.Count(h.process.Stdout(), `"msg":"storage of turns on store hosts changed"`)
	}
	if w.probesServed == 0 {
		report.Violations = append(report.Violations, "no request with the rotating key was served, so key revocation was not tested")
	}
	if len(report.Violations) > 0 {
		report.Logs = filepath.Join(opts.LogDir, fmt.Sprintf("soak-%d", opts.Seed))
		if opts.LogDir == "" {
			report.Logs = filepath.Join(os.TempDir(), fmt.Sprintf("figlb-soak-%d", opts.Seed))
		}
		return report, s.saveLogs(report.Logs)
	}
	return report, nil
}

// start applies the first configuration, waits until all gateways are ready and rewrites the
// settings files, so that restarted processes do not bootstrap again.
func (w *workload) start() error {
	deadline := time.Now().Add(startTimeout)
	for !w.putConfig(1) {
		if time.Now().After(deadline) {
			return errors.New("the first configuration was not acknowledged in time")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, h := range w.site.hostsOfKind("gateway") {
		for !ready(h) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s did not become ready in time", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, h := range w.site.hosts {
		if err := w.site.writeConfig(h); err != nil {
			return err
		}
	}
	return nil
}

// checkRecovery records a violation unless all gateways serve requests again within
// recoveryTimeout of the last fault, in which the operator takes back a zone that has all plain targets.
func (w *workload) checkRecovery() {
	deadline := time.Now().Add(recoveryTimeout)
	caller := standin.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		w.returnNeededZone(ctx)
		served := 0
		for i, h := range w.site.hostsOfKind("gateway") {
			c := w.newAttempt(fmt.Sprintf("recover-%d-%d", n, i), "look", 0)
			if w.send(caller, h, c).Status == 200 {
				served++
			}
		}
		if served == gatewayCount {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.recordViolation("NO RECOVERY: not all gateways served requests within %s of the last fault", recoveryTimeout)
}
