package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/routing"
)

const (
	// pollInterval is the time between two polls. A change of the configuration has to be
	// in force within 2 s, a leaving target unused within 3 s.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
	// paceInterval is the time between two reports of the paces of idle engines, which change
	// slowly, and peersInterval the age at which the addresses of peers are renewed.
	paceInterval  = time.Second
	peersInterval = 2 * time.Second
	// confirmPeriod is the age of the last confirmed poll up to which requests are served.
	// A withdrawn key has to stop working within 5 s at hosts that are cut off as well.
	confirmPeriod = 4 * time.Second
	// startPeriod is the time after the start in which requests wait for the first
	// configuration and list of targets. After a loss of power everywhere the controllers
	// need up to 1.2 s to answer, and a program whose calls fail meanwhile is lost.
	startPeriod = 2 * time.Second
	// startShare is the part of a request's time left, in tenths, for which it waits then.
	startShare = 4
	// unconfirmedRetry is when a caller may find another host or this one confirmed.
	unconfirmedRetry = 500 * time.Millisecond
)

// follower keeps the gateway's copy of the configuration.
type follower struct {
	g     *Gateway
	began time.Duration
	// first is closed once the gateway has a configuration and a list of targets.
	first     chan struct{}
	firstOnce sync.Once

	current   atomic.Pointer[routing.Table]
	confirmed atomic.Int64 // clock time at which the last confirmed poll was sent; 0: never
	answered  atomic.Int64 // clock time at which the last poll was answered; 0: never
	tried     atomic.Int64 // clock time at which the last poll that has ended was sent; 0: none
	lost      bool
	holds     fleet.Holds
	blocked   atomic.Pointer[map[uint64]bool]
	// reported is when the paces of idle engines were last told, asked when peers were last
	// asked for; 0: never.
	reported, asked time.Duration
}

// table returns the newest configuration, nil before the first.
func (f *follower) table() *routing.Table { return f.current.Load() }

// age returns the time since the last confirmed poll was sent.
func (f *follower) age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Hour
	}
	return clock.Now() - time.Duration(at)
}

// missedPolls is the number of polls without an answer after which the leader counts as
// absent. One is often lost with a connection.
const missedPolls = 2

// leaderAbsent reports whether the leader of the document group does not answer. A poll that was
// sent before the leader's election may be answered a second later: what counts here is the
// answer, while the age of the configuration counts from the send.
func (f *follower) leaderAbsent() bool {
	at := f.answered.Load()
	return at == 0 || clock.Now()-time.Duration(at) > missedPolls*pollInterval
}

// check fails if the configuration is not known or not confirmed recently.
func (f *follower) check() error {
	if f.table() == nil {
		return errs.New(errs.ConfigUnconfirmed, "retry at another host", "this host has no configuration yet").WithRetryAfter(unconfirmedRetry)
	}
	if age := f.age(); age > confirmPeriod {
		return errs.New(errs.ConfigUnconfirmed, "retry at another host",
			"the configuration was confirmed %d ms ago", age.Milliseconds()).WithRetryAfter(unconfirmedRetry)
	}
	return nil
}

// awaitFirst waits for the first configuration and list of targets if the gateway has just
// started.
func (f *follower) awaitFirst(ctx context.Context, deadline time.Duration) {
	wait := f.began + startPeriod - clock.Now()
	if deadline > 0 {
		wait = min(wait, deadline*startShare/10)
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-f.first:
	case <-ctx.Done():
	case <-t.C:
	}
}

const (
	// wakeWait is how long requests wait for the first poll of a host that has stood still, and
	// wakeCheck the time between two looks.
	wakeWait  = 300 * time.Millisecond
	wakeCheck = 5 * time.Millisecond
)

// awaitWake waits for the first poll after the host has stood still: the configuration looks
// unconfirmed then, and the leader answers within milliseconds. Load that it answers: requests that
// have waited at a frozen host, of which some callers still wait.
func (f *follower) awaitWake(ctx context.Context, deadline time.Duration) {
	wait := wakeWait
	if deadline > 0 {
		wait = min(wait, deadline*startShare/10)
	}
	for until := clock.Now() + wait; f.stoodStill() && ctx.Err() == nil && clock.Now() < until; {
		time.Sleep(wakeCheck)
	}
}

// stoodStill reports whether the configuration is unconfirmed because no poll has been tried.
func (f *follower) stoodStill() bool {
	if f.table() == nil || f.age() <= confirmPeriod {
		return false
	}
	return clock.Now()-time.Duration(f.tried.Load()) > pollTimeout+2*pollInterval
}

func (f *follower) run(ctx context.Context) {
	periodic.Run(ctx, pollInterval, periodic.Always(f.poll))
}

func (f *follower) poll(ctx context.Context) {
	g := f.g
	req := f.request()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := clock.Now()
	reply, err := g.opts.Client.Poll(ctx, req)
	f.tried.Store(int64(sent))
	if err != nil {
		f.failed(err)
		return
	}
	if f.lost {
		f.lost = false
		g.log.Info("controllers regained", "age_ms", f.age().Milliseconds())
	}
	f.accept(sent, req, reply)
}

// request returns the next poll.
func (f *follower) request() *fleet.PollRequest {
	g := f.g
	now := clock.Now()
	f.holds.Version = f.version()
	req := &fleet.PollRequest{
		Host: g.opts.Host, Kind: fleet.KindGateway, Zone: g.opts.Zone, Address: g.opts.Address,
		Holds:     f.holds,
		InFlight:  g.targets.InFlight(),
		Outcomes:  g.targets.TakeOutcomes(),
		Want:      g.rates.wanted(),
		Crashes:   g.crashes.take(),
		Leaving:   g.stoppingFor() > leaveAfter,
		WantPace:  g.paces.unmeasured(),
		WantPeers: now-f.asked >= peersInterval || len(g.contact.known()) < minPeers,
	}
	if now-f.reported >= paceInterval {
		f.reported = now
		req.IdlePace = g.paces.idle()
	}
	return req
}

// failed notes a poll without an answer.
func (f *follower) failed(err error) {
	f.g.metrics.pollFailures.Inc(1)
	if !f.lost {
		f.g.log.Info("controllers lost", "error", err.Error(), "confirmed_ms", f.age().Milliseconds())
	}
	f.lost = true
}

func (f *follower) accept(sent time.Duration, req *fleet.PollRequest, reply *fleet.PollReply) {
	g := f.g
	g.opts.Client.SetMembers(reply.Members)
	if req.WantPeers {
		f.asked = sent
		g.contact.setPeers(reply.Peers)
	}
	if len(reply.Document) > 0 && !f.install(reply) {
		return
	}
	if reply.Version < f.version() {
		// A member that does not know the version in force here cannot confirm it.
		g.log.Info("poll answered with an older configuration", "version", reply.Version, "in_force", f.version())
		return
	}
	if reply.Marks != f.holds.Marks {
		f.holds.Marks = reply.Marks
		g.targets.SetZonesOut(reply.ZonesOut)
		g.log.Info("zones out of service changed", "zones", reply.ZonesOut, "marks", reply.Marks)
	}
	if err := f.changeTargets(reply.Targets); err != nil {
		g.log.Error(err, "list of targets not understood; the one before stays in force")
		return
	}
	f.holds.Learn(reply)
	if !g.targets.SetFleet(reply.Gateways, req.InFlight, reply.Loads) {
		g.log.Info("loads of another list of targets; asking for the whole list", "loads", len(reply.Loads), "targets", g.targets.Size())
		f.holds.Targets = 0
	}
	g.targets.SetUnsound(reply.Unsound)
	g.rates.granted(reply.Grants)
	g.paces.adopt(reply.IdlePace)
	if reply.BlockedChanged {
		f.setBlocked(reply.Blocked)
	}
	f.confirmed.Store(int64(sent))
	f.answered.Store(int64(clock.Now()))
	if f.table() != nil && g.targets.Size() > 0 {
		f.firstOnce.Do(func() { close(f.first) })
	}
}

// changeTargets takes over what has changed of the list of targets.
func (f *follower) changeTargets(change *fleet.TargetChange) error {
	if change == nil {
		return nil
	}
	changed, err := change.Changed.Decode()
	if err != nil {
		return err
	}
	for i := range changed {
		changed[i].ColdFor = max(changed[i].ColdFor-change.Age, 0)
	}
	g, now := f.g, clock.Now()
	if change.Whole {
		g.dropPools(g.targets.Update(now, changed))
		return nil
	}
	g.dropPools(g.targets.Change(now, changed, change.Gone))
	return nil
}

func (f *follower) setBlocked(digests []uint64) {
	m := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		m[d] = true
	}
	f.blocked.Store(&m)
}

// isBlocked reports whether requests with the digest crash their targets.
func (f *follower) isBlocked(digest uint64) bool {
	m := f.blocked.Load()
	return m != nil && (*m)[digest]
}

func (f *follower) version() uint64 {
	if t := f.table(); t != nil {
		return t.Version
	}
	return 0
}

// install puts a new version in force.
func (f *follower) install(reply *fleet.PollReply) bool {
	g := f.g
	t, err := g.opts.Adapter.DecodeDocument(reply.Document)
	if err != nil {
		g.log.Error(err, "configuration not understood; the version before stays in force", "version", reply.Version)
		return false
	}
	cold := map[string]float64{}
	for _, s := range t.Services {
		cold[s.Name] = s.ColdPerSecond
	}
	g.targets.SetCold(cold)
	f.current.Store(t)
	g.log.Info("configuration in force", "version", t.Version, "routes", len(t.Routes), "organisations", len(t.Organisations))
	return true
}
