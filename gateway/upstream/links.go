package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/internal/periodic"
)

const (
	// linkInterval is the time between two looks at the connections in use.
	linkInterval = 200 * time.Millisecond
	// silentAfter is the time without any byte from any target, while at least minSilentTargets have
	// requests, after which this host may be cut off from the targets. loneSilentAfter is that time while
	// only one target has requests: a sound one may fall silent for a second or so.
	silentAfter      = 600 * time.Millisecond
	loneSilentAfter  = 1500 * time.Millisecond
	minSilentTargets = 2
	// minFailedDials is the number of targets that accept no connection, with none in between that does,
	// from which this host may be cut off.
	minFailedDials = 2
	// checkTargets is the number of targets to which a check connects.
	checkTargets = 3
	// checkTimeout bounds the connections of a check, checkInterval is the time between two checks.
	checkTimeout  = 300 * time.Millisecond
	checkInterval = 500 * time.Millisecond
	// minRestored is the number of direct connections in a row that show that a cut has ended.
	minRestored = 2
)

// LinksOptions configures Links.
type LinksOptions struct {
	// Dial opens a direct connection to an address; nil: over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Targets returns the addresses of up to n targets in use, chosen at random.
	Targets func(n int) []string
	// Relays returns the addresses of other gateways that may reach the targets.
	Relays func() []string
	// OpenTunnel requests a connection to a target through a relay. An error with the code TargetFailed
	// means that the relay does not reach that target.
	OpenTunnel func(ctx context.Context, relay, target string) (net.Conn, error)
	// CutOffChanged is called when the host is cut off from the targets or reaches them again.
	CutOffChanged func(cutOff bool)
	Log           logr.Logger
}

// Links knows whether this host reaches the targets, from the connections that it uses anyway, and
// connects to targets through relays while it does not. It is safe for concurrent use.
type Links struct {
	opts LinksOptions
	// heardAt and heardRelayedAt are the clock times of the last byte from a target on a direct connection
	// and through a relay.
	heardAt, heardRelayedAt atomic.Int64

	mu          sync.Mutex
	inUse       map[*conn]struct{}
	failedDials map[string]bool // addresses to which no connection could be opened since the last that could
	checking    chan struct{}   // closed when the running check ends; nil if there is none
	checkedAt   time.Duration
	endSoughtAt time.Duration // when lookForEnd last opened a connection
	cutOff      bool
	silent      bool          // existing direct connections are of no use either
	changedAt   time.Duration // when cutOff last changed; 0: never
	restored    int           // direct connections in a row that could be opened during a cut
	relays      []string      // that reached a target when last asked
}

// NewLinks returns links that are not cut off. Without Targets in the options they never are.
func NewLinks(opts LinksOptions) *Links {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	return &Links{opts: opts, inUse: map[*conn]struct{}{}, failedDials: map[string]bool{}}
}

// Run watches the connections until ctx ends.
func (l *Links) Run(ctx context.Context) {
	periodic.RunLater(ctx, linkInterval, periodic.Always(l.watch))
}

// CutOff reports whether this host reaches no target directly.
func (l *Links) CutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff
}

// CutOffSince reports whether this host has been cut off at any moment since the given time.
func (l *Links) CutOffSince(at time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff || l.changedAt > at
}

// Stranded reports whether this host reaches the targets neither directly nor through relays.
func (l *Links) Stranded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff && len(l.relays) == 0
}

// ReachesOthers reports whether targets have answered on direct connections since the given time, and
// checks it if none has.
func (l *Links) ReachesOthers(ctx context.Context, since time.Duration) bool {
	if time.Duration(l.heardAt.Load()) > since {
		return true
	}
	l.check(ctx)
	return time.Duration(l.heardAt.Load()) > since
}

// reusable reports whether an idle connection may carry a request.
func (l *Links) reusable(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usable(c)
}

// usable reports whether a connection may lead to its target. The caller holds mu.
func (l *Links) usable(c *conn) bool {
	if c.relay != "" {
		return l.cutOff && slices.Contains(l.relays, c.relay)
	}
	return !l.silent
}

// heard records that bytes have arrived from a target.
func (l *Links) heard(relayed bool) {
	if relayed {
		l.heardRelayedAt.Store(int64(clock.Now()))
	} else {
		l.heardAt.Store(int64(clock.Now()))
	}
}

// begin and end frame the use of a connection by a request.
func (l *Links) begin(c *conn) {
	c.activeAt.Store(int64(clock.Now()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse[c] = struct{}{}
}

func (l *Links) end(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inUse, c)
}

// dial opens a connection to a target, through a relay while this host is cut off.
func (l *Links) dial(ctx context.Context, addr string) (*conn, error) {
	if !l.CutOff() {
		c, err := l.DialDirect(ctx, addr, dialTimeout)
		if err == nil {
			return newConn(c, l, addr, ""), nil
		}
		if !l.recordFailedDial(ctx, addr) {
			return nil, err
		}
		if l.check(ctx); !l.CutOff() {
			return nil, err
		}
	}
	return l.dialRelayed(ctx, addr)
}

// DialDirect opens a direct connection to a target. Its errors have the cause ErrNotSent.
func (l *Links) DialDirect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := l.opts.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	l.recordDial()
	return c, nil
}

// keepAlive ends a connection whose peer has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", addr)
}

// setKeepAlive sets keepAlive on a connection that has been opened elsewhere.
func setKeepAlive(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // fails on a closed connection, as will its use
	}
}

// recordDial records that a target has accepted a connection.
func (l *Links) recordDial() {
	l.heard(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.failedDials)
}

// recordFailedDial records that a target has accepted no connection, and reports whether this host may be
// cut off.
func (l *Links) recordFailedDial(ctx context.Context, addr string) bool {
	if ctx.Err() != nil {
		return false // the request ended first
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedDials[addr] = true
	return len(l.failedDials) >= minFailedDials
}

// dialRelayed opens a connection through one of the relays. Its errors have the cause ErrNotSent.
func (l *Links) dialRelayed(ctx context.Context, addr string) (*conn, error) {
	relays := l.currentRelays()
	if len(relays) == 0 {
		l.check(ctx)
		relays = l.currentRelays()
	}
	err := errors.New("no other gateway reaches a target")
	for _, relay := range relays {
		var c net.Conn
		c, err = l.openTunnel(ctx, relay, addr)
		if err == nil {
			return newConn(&tunnelConn{Conn: c}, l, addr, relay), nil
		}
		if errs.Is(err, errs.TargetFailed) {
			break
		}
		l.dropRelay(relay, err)
	}
	return nil, errors.Wrapf(ErrNotSent, "through a relay: %v", err)
}

func (l *Links) openTunnel(ctx context.Context, relay, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := l.opts.OpenTunnel(ctx, relay, addr)
	if err == nil {
		setKeepAlive(c)
	}
	return c, err
}

// currentRelays returns the relays in random order.
func (l *Links) currentRelays() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.relays)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (l *Links) dropRelay(relay string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = slices.DeleteFunc(l.relays, func(r string) bool { return r == relay })
	l.opts.Log.Info("relay to the targets is of no use", "relay", relay, "reason", err.Error())
}

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
