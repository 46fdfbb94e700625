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
	// pollInterval is the time between two polls. A change of the configuration must be in
	// force within 2 s, and a target that leaves must be unused within 3 s.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
	// idleIntervalReportInterval is the time between two reports of the event intervals of idle
	// engines, which change slowly. peersRefreshInterval is the age at which the addresses of
	// peers are renewed.
	idleIntervalReportInterval = time.Second
	peersRefreshInterval       = 2 * time.Second
	// confirmPeriod is the age of the last confirmed poll up to which requests are served. A
	// revoked key must stop working within 5 s, also at hosts that are cut off.
	confirmPeriod = 4 * time.Second
	// startWait is the time after the start during which requests wait for the first
	// configuration and list of targets. After a complete power failure the controllers need up
	// to 1.2 s to answer, and a program fails if one of its calls fails in that time.
	startWait = 2 * time.Second
	// startWaitTenths is the part of the caller's stated deadline, in tenths, that bounds this
	// wait and the wait after a suspension.
	startWaitTenths = 4
	// unconfirmedRetryAfter is the time after which a caller may find another host, or this one
	// with a confirmed configuration.
	unconfirmedRetryAfter = 500 * time.Millisecond
)

// follower polls the leader of the controllers and keeps this gateway's copy of the
// configuration, the list of targets and the blocked requests up to date.
type follower struct {
	g         *Gateway
	startedAt time.Duration
	// ready is closed once the gateway has a configuration and a list of targets.
	ready     chan struct{}
	readyOnce sync.Once

	current     atomic.Pointer[routing.Table]
	confirmedAt atomic.Int64 // clock time at which the last confirmed poll was sent; 0: never
	answeredAt  atomic.Int64 // clock time at which the reply to the last confirmed poll arrived; 0: never
	attemptedAt atomic.Int64 // clock time at which the last completed poll, successful or not, was sent; 0: none
	pollFailing bool         // the last completed poll failed
	known       fleet.KnownVersions
	blocked     atomic.Pointer[map[uint64]bool]
	// intervalsReportedAt is the clock time of the last report of idle event intervals, and
	// peersRequestedAt that of the last answered poll that asked for peers; 0: never.
	intervalsReportedAt, peersRequestedAt time.Duration
}

// table returns the configuration in force, or nil before the first one.
func (f *follower) table() *routing.Table { return f.current.Load() }

// age returns the time since the last confirmed poll was sent, or an hour if there was none.
func (f *follower) age() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return clock.Now() - time.Duration(at)
}

// maxMissedPolls is the number of poll intervals without a confirmed poll after which the
// leader counts as absent. A single poll is often lost together with its connection.
const maxMissedPolls = 2

// leaderAbsent reports whether the leader of the document group does not respond. It measures
// the time since the last reply and not, as age does, since its poll was sent: a poll that was
// sent before the leader's election may be answered a second later.
func (f *follower) leaderAbsent() bool {
	at := f.answeredAt.Load()
	return at == 0 || clock.Now()-time.Duration(at) > maxMissedPolls*pollInterval
}

// checkConfirmed fails if there is no configuration or it was not confirmed recently.
func (f *follower) checkConfirmed() error {
	if f.table() == nil {
		return errs.New(errs.ConfigUnconfirmed, "retry at another host", "this host has no configuration yet").WithRetryAfter(unconfirmedRetryAfter)
	}
	if age := f.age(); age > confirmPeriod {
		return errs.New(errs.ConfigUnconfirmed, "retry at another host",
			"the configuration was confirmed %d ms ago", age.Milliseconds()).WithRetryAfter(unconfirmedRetryAfter)
	}
	return nil
}

// awaitReady waits for the first configuration and list of targets if the gateway has just
// started.
func (f *follower) awaitReady(ctx context.Context, deadline time.Duration) {
	wait := f.startedAt + startWait - clock.Now()
	if deadline > 0 {
		wait = min(wait, deadline*startWaitTenths/10)
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-f.ready:
	case <-ctx.Done():
	case <-t.C:
	}
}

const (
	// resumeWait bounds the wait of requests for the first poll after the host was suspended,
	// and resumeCheckInterval is the time between two checks.
	resumeWait          = 300 * time.Millisecond
	resumeCheckInterval = 5 * time.Millisecond
)

// awaitPollAfterSuspension waits for the first poll after the host was suspended. The
// configuration is unconfirmed at that moment although the leader would answer within
// milliseconds, and requests that arrived at the suspended host would be refused while some of
// their callers still wait.
func (f *follower) awaitPollAfterSuspension(ctx context.Context, deadline time.Duration) {
	wait := resumeWait
	if deadline > 0 {
		wait = min(wait, deadline*startWaitTenths/10)
	}
	for until := clock.Now() + wait; f.wasSuspended() && ctx.Err() == nil && clock.Now() < until; {
		time.Sleep(resumeCheckInterval)
	}
}

// wasSuspended reports whether the configuration is unconfirmed only because no poll has
// completed for longer than a poll can take, so that this host must have been suspended.
func (f *follower) wasSuspended() bool {
	if f.table() == nil || f.age() <= confirmPeriod {
		return false
	}
	return clock.Now()-time.Duration(f.attemptedAt.Load()) > pollTimeout+2*pollInterval
}

func (f *follower) run(ctx context.Context) {
	periodic.Run(ctx, pollInterval, periodic.Always(f.poll))
}

// poll sends one poll and applies its reply.
func (f *follower) poll(ctx context.Context) {
	g := f.g
	req := f.pollRequest()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := clock.Now()
	reply, err := g.opts.Client.Poll(ctx, req)
	f.attemptedAt.Store(int64(sent))
	if err != nil {
		f.pollFailed(err)
		return
	}
	if f.pollFailing {
		f.pollFailing = false
		g.log.Info("connection to the controllers restored", "age_ms", f.age().Milliseconds())
	}
	f.applyReply(sent, req, reply)
}

// pollRequest builds the next poll. It takes the outcomes collected since the last one.
func (f *follower) pollRequest() *fleet.PollRequest {
	g := f.g
	now := clock.Now()
	f.known.Version = f.version()
	reports := g.rollouts.reports() // states what is applied before the requests in flight are counted
	req := &fleet.PollRequest{
		VersionOutcomes: reports,
		Host:            g.opts.Host, Kind: fleet.KindGateway, Zone: g.opts.Zone, Address: g.opts.Address,
		KnownVersions:     f.known,
		InFlight:          g.targets.InFlight(),
		Outcomes:          g.targets.TakeOutcomes(),
		Want:              g.admissions.pollDemand(),
		Leaving:           g.stoppingFor() > stopGracePeriod,
		Limits:            g.targets.UnreportedLimits(now, maxLimitsPerPoll),
		WantEventInterval: g.intervals.noneMeasured(),
		WantPeers:         now-f.peersRequestedAt >= peersRefreshInterval || len(g.leaderContact.knownPeers()) < minPeers || g.links.Stranded(),
		CutOff:            g.links.CutOff(),
		Features:          g.features(),
	}
	req.CrashReport, req.Crashes = g.crashes.report()
	if now-f.intervalsReportedAt >= idleIntervalReportInterval {
		f.intervalsReportedAt = now
		req.IdleEventInterval = g.intervals.idleIntervals()
	}
	return req
}

// pollFailed counts a poll without a reply, and logs the first one in a row.
func (f *follower) pollFailed(err error) {
	f.g.metrics.pollFailures.Inc(1)
	if !f.pollFailing {
		f.g.log.Info("connection to the controllers lost", "error", err.Error(), "confirmed_ms", f.age().Milliseconds())
	}
	f.pollFailing = true
}

// applyReply applies a poll reply. The poll confirms the configuration unless the reply has an
// older one, or a configuration or list of targets that cannot be decoded.
func (f *follower) applyReply(sent time.Duration, req *fleet.PollRequest, reply *fleet.PollReply) {
	g := f.g
	if !reply.CrashesNotRecorded {
		g.crashes.recorded(req.CrashReport)
	}
	g.opts.Client.SetMembers(reply.Members)
	if req.WantPeers {
		f.peersRequestedAt = sent
		g.leaderContact.setPeers(reply.Peers)
	}
	if len(reply.Document) > 0 && !f.installConfig(reply) {
		return
	}
	if reply.Version < f.version() {
		// A controller that does not know the version in force here cannot confirm it.
		g.log.Info("ignoring a poll reply with an older configuration", "version", reply.Version, "in_force", f.version())
		return
	}
	if reply.ZoneRevision != f.known.ZoneRevision {
		f.known.ZoneRevision = reply.ZoneRevision
		g.targets.SetZonesOut(reply.ZonesOut)
		g.log.Info("availability zones out of service changed", "zones", reply.ZonesOut, "marks", reply.ZoneRevision)
	}
	if reply.RolloutsKnown {
		g.rollouts.apply(sent, reply.Rollouts) // before targets of a new version are known
	}
	if err := f.applyTargetChange(reply.Targets); err != nil {
		g.log.Error(err, "cannot decode the list of targets; keeping the previous one")
		return
	}
	g.adoptStores(reply)
	f.known.Update(reply)
	if !g.targets.SetFleetLoad(reply.Gateways, req.InFlight, reply.Loads) {
		g.log.Info("loads do not match the list of targets; requesting the whole list", "loads", len(reply.Loads), "targets", g.targets.Size())
		f.known.Targets = 0
	}
	if !f.applyLimits(req, reply.Limits) {
		f.known.LimitVersion = fleet.LimitVersion{} // requests all of them again
	}
	g.targets.UpdateLimitWeights(clock.Now())
	g.targets.SetZoneFailureRates(reply.FailurePercent)
	g.admissions.applyPollGrants(reply.Grants)
	g.intervals.adopt(reply.IdleEventInterval)
	if reply.BlockedChanged {
		f.setBlocked(reply.Blocked)
	}
	f.confirmedAt.Store(int64(sent))
	f.answeredAt.Store(int64(clock.Now()))
	if f.table() != nil && g.targets.Size() > 0 {
		f.readyOnce.Do(func() { close(f.ready) })
	}
}

// applyLimits merges what other gateways have heard from targets. A leader of a new term knows
// nothing of that yet, so it is told all that this gateway knows.
func (f *follower) applyLimits(req *fleet.PollRequest, change *fleet.LimitChange) bool {
	g := f.g
	g.targets.LimitsReported(req.Limits)
	if change == nil {
		return true
	}
	limits, err := change.Limits.Decode()
	if err != nil {
		g.log.Error(err, "cannot decode the request limits of targets; keeping the previous ones")
		return false
	}
	if change.Version.Term != req.KnownVersions.LimitVersion.Term {
		g.targets.ReportAllLimits()
	}
	if !g.targets.ApplyLimits(clock.Now(), limits) {
		g.log.Info("request limits do not match the list of targets; requesting the whole list", "limits", len(limits), "targets", g.targets.Size())
		f.known.Targets = 0
		return false
	}
	return true
}

// applyTargetChange applies a change of the list of targets.
func (f *follower) applyTargetChange(change *fleet.TargetChange) error {
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
	if change.Full {
		g.closePools(g.targets.Update(now, changed))
		return nil
	}
	g.closePools(g.targets.ApplyChange(now, changed, change.Removed))
	return nil
}

func (f *follower) setBlocked(digests []uint64) {
	m := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		m[d] = true
	}
	f.blocked.Store(&m)
}

// isBlocked reports whether requests with this digest are blocked because they crash targets.
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

// installConfig decodes a new version of the configuration and puts it in force.
func (f *follower) installConfig(reply *fleet.PollReply) bool {
	g := f.g
	t, err := g.opts.Adapter.DecodeDocument(reply.Document)
	if err != nil {
		g.log.Error(err, "cannot decode the configuration; keeping the previous version", "version", reply.Version)
		return false
	}
	cold := map[string]float64{}
	for _, s := range t.Services {
		cold[s.Name] = s.ColdRequestsPerSecond
	}
	g.targets.SetColdLimits(cold)
	f.current.Store(t)
	g.log.Info("configuration in force", "version", t.Version, "routes", len(t.Routes), "organisations", len(t.Organisations))
	return true
}
