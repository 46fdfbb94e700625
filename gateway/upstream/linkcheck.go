package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/figlb/figlb/internal/clock"
)

// watch starts a check if this host may be cut off, and looks for the end of a cut.
func (l *Links) watch(ctx context.Context) {
	now := clock.Now()
	silent := l.isSilent(now, false)
	l.mu.Lock()
	cutOff, silentBefore, noRelay := l.cutOff, l.silent, len(l.relays) == 0
	l.mu.Unlock()
	if !cutOff {
		if silent {
			l.check(ctx)
		}
		return
	}
	if silent && !silentBefore {
		l.setSilent()
	}
	if noRelay || l.isSilent(now, true) {
		l.check(ctx)
	}
	l.lookForEnd(ctx)
}

// isSilent reports whether the targets that have requests, direct ones or through relays, have left them
// without a byte for so long that they may be out of reach.
func (l *Links) isSilent(now time.Duration, relayed bool) bool {
	heardAt := &l.heardAt
	if relayed {
		heardAt = &l.heardRelayedAt
	}
	heard := now - time.Duration(heardAt.Load())
	if heard < silentAfter {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	targets := map[string]bool{}
	longest := time.Duration(0)
	for c := range l.inUse {
		if waited := now - time.Duration(c.activeAt.Load()); (c.relay != "") == relayed && waited >= silentAfter {
			targets[c.target] = true
			longest = max(longest, waited)
		}
	}
	return len(targets) >= minSilentTargets || min(heard, longest) >= loneSilentAfter
}

// check finds out whether this host is cut off: it connects to a few targets, and if none accepts, it has
// other gateways do so. Concurrent callers wait for the running check; a check that has just ended is not
// repeated.
func (l *Links) check(ctx context.Context) {
	l.mu.Lock()
	running := l.checking
	if running == nil && (l.opts.Targets == nil || l.checkedAt > 0 && clock.Now()-l.checkedAt < checkInterval) {
		l.mu.Unlock()
		return
	}
	done := make(chan struct{})
	if running == nil {
		l.checking = done
	}
	l.mu.Unlock()
	if running != nil {
		select {
		case <-running:
		case <-ctx.Done():
		}
		return
	}
	l.runCheck()
	l.mu.Lock()
	l.checking, l.checkedAt = nil, clock.Now()
	l.mu.Unlock()
	close(done)
}

// runCheck runs a check, which is not bound to the request that has caused it.
func (l *Links) runCheck() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*checkTimeout)
	defer cancel()
	targets := l.opts.Targets(checkTargets)
	if len(targets) == 0 {
		return
	}
	if !l.CutOff() && l.anyAccepts(ctx, targets) {
		return
	}
	var relays []string
	for _, target := range targets {
		if relays = l.findRelays(ctx, target); len(relays) > 0 {
			break
		}
	}
	l.mu.Lock()
	l.relays = relays
	l.mu.Unlock()
	if len(relays) > 0 {
		l.setCutOff(true)
	}
	l.endUnusable()
}

// anyAccepts reports whether one of the targets accepts a direct connection.
func (l *Links) anyAccepts(ctx context.Context, targets []string) bool {
	accepted := make(chan bool, len(targets))
	for _, addr := range targets {
		go func() { accepted <- l.accepts(ctx, addr) }()
	}
	for range targets {
		if <-accepted {
			return true
		}
	}
	return false
}

// accepts reports whether a target accepts a direct connection.
func (l *Links) accepts(ctx context.Context, addr string) bool {
	c, err := l.DialDirect(ctx, addr, checkTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// findRelays returns the gateways that reach a target.
func (l *Links) findRelays(ctx context.Context, target string) []string {
	candidates := l.opts.Relays()
	found := make(chan string, len(candidates))
	for _, relay := range candidates {
		go func() {
			c, err := l.openTunnel(ctx, relay, target)
			if err != nil {
				found <- ""
				return
			}
			_ = c.Close()
			found <- relay
		}()
	}
	var out []string
	for range candidates {
		if relay := <-found; relay != "" {
			out = append(out, relay)
		}
	}
	return out
}

// lookForEnd connects to a random target to find out whether a cut has ended.
func (l *Links) lookForEnd(ctx context.Context) {
	l.mu.Lock()
	due := clock.Now()-l.endSoughtAt >= checkInterval
	if due {
		l.endSoughtAt = clock.Now()
	}
	l.mu.Unlock()
	if !due {
		return
	}
	targets := l.opts.Targets(1)
	if len(targets) == 0 {
		return
	}
	ok := l.accepts(ctx, targets[0])
	l.mu.Lock()
	if ok {
		l.restored++
	} else {
		l.restored = 0
	}
	ended := l.restored >= minRestored
	l.mu.Unlock()
	if ended {
		l.setCutOff(false)
	}
}

// setCutOff changes the state.
func (l *Links) setCutOff(cutOff bool) {
	silent := cutOff && l.isSilent(clock.Now(), false)
	l.mu.Lock()
	changed := l.cutOff != cutOff
	if changed {
		l.changedAt = clock.Now()
		l.silent = silent
	}
	l.cutOff, l.restored = cutOff, 0
	relays := slices.Clone(l.relays)
	clear(l.failedDials)
	l.mu.Unlock()
	if !changed {
		return
	}
	l.opts.Log.Info("direct connections to the targets changed", "cut_off", cutOff, "silent", silent, "relays", relays)
	l.opts.CutOffChanged(cutOff)
}

// setSilent stops the use of the existing direct connections during a cut.
func (l *Links) setSilent() {
	l.mu.Lock()
	l.silent = true
	l.mu.Unlock()
	l.opts.Log.Info("existing connections to the targets are of no use")
	l.endUnusable()
}

// endUnusable ends repeatable requests that wait for a response on connections of no use, so that they are
// sent again. Others go on waiting: their response may still come.
func (l *Links) endUnusable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.inUse {
		if !l.usable(c) && c.awaitsRepeatable.Load() {
			_ = c.Close()
		}
	}
}
