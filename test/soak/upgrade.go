package main

import (
	"context"
	"math/rand"
	"path/filepath"
	"time"
)

const (
	// upgradePause is the time between the replacements of two hosts: the site must be able to lose
	// another host by then.
	upgradePause = 1500 * time.Millisecond
	// hostRetryPause is the pause before another attempt to replace a host that another fault holds.
	hostRetryPause = 100 * time.Millisecond
)

// replaceBuilds stops the hosts one after the other, as planned work does, and starts each with the
// program of another build, until all have been replaced or ctx ends. The gateways come before or after
// the controllers, by the random numbers, and the stores last.
func (s *site) replaceBuilds(ctx context.Context, bin string, rng *rand.Rand) {
	kinds := []string{"controller", "gateway"}
	if rng.Intn(2) == 0 {
		kinds[0], kinds[1] = kinds[1], kinds[0]
	}
	for _, kind := range append(kinds, "store") {
		hosts := s.hostsOfKind(kind)
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, h := range hosts {
			if !s.replaceBuild(ctx, h, bin) {
				return
			}
		}
	}
}

// replaceBuild replaces the program of one host and reports whether it was replaced before ctx ended.
func (s *site) replaceBuild(ctx context.Context, h *host, bin string) bool {
	for !h.busy.CompareAndSwap(false, true) {
		if !sleepContext(ctx, hostRetryPause) {
			return false
		}
	}
	h.lastDisturbed.Store(time.Now().UnixNano())
	_ = h.process.Stop(stopTimeout)
	h.process.SetBinary(filepath.Join(bin, "figlb-"+h.kind))
	_ = h.process.Start() // the checks detect a process that does not start
	h.previousBuild.Store(false)
	h.release()
	return sleepContext(ctx, upgradePause)
}

// sleepContext sleeps and reports whether ctx is still valid.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
