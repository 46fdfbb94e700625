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
	boundWriteBuffer(c)
	l.recordDial()
	return c, nil
}

// writeBufferBytes is what the operating system may keep of a request. Without this bound it may keep 4 MB of it, and a
// request that a target does not read seems to be written.
const writeBufferBytes = 512 << 10

// boundWriteBuffer sets the write buffer of a connection.
func boundWriteBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes) // fails on a closed connection, as will the write
	}
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
