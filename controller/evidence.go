package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/rollout"
	"github.com/figlb/figlb/statemachine/documentsm"
)

const (
	// recentWindow is the time over which the evidence of the last seconds is formed.
	recentWindow = 3 * time.Second
	// reportWait is the time after an election in which the leader grants nothing, since gateways have
	// not all reported yet what an earlier leader has granted.
	reportWait = 600 * time.Millisecond
	// oldGatewayLogInterval bounds the log lines about gateways that do not know roll-outs.
	oldGatewayLogInterval = time.Second
)

// rolloutTable holds what gateways have reported about the roll-outs in progress. Reports are sums, so that
// the table of a new leader is complete as soon as each gateway has polled it.
type rolloutTable struct {
	log    logr.Logger
	bounds rollout.Bounds

	mu          sync.Mutex
	term        uint64
	termStart   time.Duration
	tracks      map[string]*rolloutTrack // by service
	oldLoggedAt time.Duration
}

// rolloutTrack holds the reports about one roll-out.
type rolloutTrack struct {
	order   uint64
	reports map[string]*hostReport // by host
	// earlier sums up the outcomes of processes that have been replaced.
	earlier       rollout.Evidence
	sent, exposed uint64 // sums over all processes
	granted       uint64 // at least exposed
	share         float64
	// begin holds the sums when the new version got its first requests, and moved those when it began
	// to get all; nil: not yet.
	begin, moved rollout.Evidence
	recent       []evidenceAt
	// lately holds the sums of the last looks, the oldest first.
	lately []sums
}

// sums are the numbers of requests to a service, and of those to its new version.
type sums struct{ sent, exposed uint64 }

// latelyLooks is the number of looks over which requests to the old version count as recent: gateways
// report once in each interval.
const latelyLooks = 3

// hasMoved adds the present sums to those of the last looks and reports whether the new version has taken
// nearly all requests since the oldest of them.
func (k *rolloutTrack) hasMoved() bool {
	k.lately = append(k.lately, sums{k.sent, k.exposed})
	if len(k.lately) <= latelyLooks {
		return false
	}
	k.lately = k.lately[1:]
	return rollout.HasMoved(k.sent-k.lately[0].sent, k.exposed-k.lately[0].exposed)
}

// hostReport is the last report of a host.
type hostReport struct {
	fleet.RolloutReport
	at time.Duration
}

// evidenceAt holds the sums at one time.
type evidenceAt struct {
	at   time.Duration
	sums rollout.Evidence
}

// startTerm clears the table if the term is new. The caller holds mu.
func (t *rolloutTable) startTerm(now time.Duration, term uint64) {
	if t.term != term || t.tracks == nil {
		t.term, t.termStart, t.tracks = term, now, map[string]*rolloutTrack{}
	}
}

// track returns the reports about a roll-out. The caller holds mu.
func (t *rolloutTable) track(service string, order uint64) *rolloutTrack {
	k := t.tracks[service]
	if k == nil || k.order < order {
		k = &rolloutTrack{order: order, reports: map[string]*hostReport{}, earlier: rollout.Evidence{}}
		t.tracks[service] = k
	}
	return k
}

// record stores the reports of a poll.
func (t *rolloutTable) record(now time.Duration, term uint64, req *fleet.PollRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(now, term)
	for i := range req.VersionOutcomes {
		report := &req.VersionOutcomes[i]
		if k := t.track(report.Service, report.Order); k.order == report.Order {
			k.record(now, req.Host, report)
		}
	}
}

// record replaces the report of a host. Sums that have decreased come from a new process of the host.
func (k *rolloutTrack) record(now time.Duration, host string, report *fleet.RolloutReport) {
	last := k.reports[host]
	switch {
	case last == nil:
		k.sent, k.exposed = k.sent+report.Sent, k.exposed+report.Exposed
	case report.Sent < last.Sent || report.Exposed < last.Exposed:
		addOutcomes(k.earlier, last.Outcomes)
		k.sent, k.exposed = k.sent+report.Sent, k.exposed+report.Exposed
	default:
		k.sent, k.exposed = k.sent+report.Sent-last.Sent, k.exposed+report.Exposed-last.Exposed
	}
	k.reports[host] = &hostReport{RolloutReport: *report, at: now}
}

func addOutcomes(e rollout.Evidence, outcomes []fleet.VersionOutcome) {
	for i := range outcomes {
		e.Add(outcomes[i].Route, outcomes[i].Target, &outcomes[i].Counts)
	}
}

// evidence returns the sums over all hosts.
func (k *rolloutTrack) evidence() rollout.Evidence {
	e := k.earlier.Since(nil)
	for _, r := range k.reports {
		addOutcomes(e, r.Outcomes)
	}
	return e
}

// grant reports whether one more request may go to a version on trial, and counts it.
func (t *rolloutTable) grant(now time.Duration, term uint64, service string, order uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(now, term)
	k := t.track(service, order)
	k.granted = max(k.granted, k.exposed)
	if k.order != order || now-t.termStart < reportWait || !rollout.MayExpose(t.bounds, k.sent, k.granted) {
		return false
	}
	k.granted++
	return true
}

// share returns the share of the new version in the present phase.
func (t *rolloutTable) share(service string, r *documentsm.Rollout) float64 {
	switch r.Phase {
	case rollout.Moving, rollout.Final, rollout.Completed:
		return 1
	case rollout.RolledBack:
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	share := rollout.OpenShare(t.bounds, 0, 0, r.Duration)
	if k := t.tracks[service]; k != nil && k.order == r.Order {
		share = max(share, k.share)
	}
	return share
}

// totals returns how many requests were sent to a service, and to its new version.
func (t *rolloutTable) totals(service string) (sent, exposed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.tracks[service]; k != nil {
		return k.sent, k.exposed
	}
	return 0, 0
}

// retain discards the reports about roll-outs that have ended.
func (t *rolloutTable) retain(rollouts map[string]documentsm.Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, k := range t.tracks {
		if r := rollouts[service]; r.Order > k.order || r.Order == k.order && r.Phase.Ended() {
			delete(t.tracks, service)
		}
	}
}

// progress returns what the reports say about a roll-out. names are the gateways in contact.
func (t *rolloutTable) progress(now time.Duration, term uint64, service string, r *documentsm.Rollout, names []string) rollout.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(now, term)
	k := t.track(service, r.Order)
	p := rollout.Progress{Phase: r.Phase, Duration: r.Duration}
	p.Verdict = k.judge(now, r)
	if r.Phase == rollout.Moving {
		p.Moved = k.hasMoved()
	}
	p.Applied, p.Empty = k.applied(now, t.termStart, r, names)
	return p
}

// judge adds the present sums to those kept and returns the verdict.
func (k *rolloutTrack) judge(now time.Duration, r *documentsm.Rollout) rollout.Verdict {
	sums := k.evidence()
	if k.begin == nil || sums.New() == 0 {
		k.begin = rollout.Evidence{}
		if sums.New() == 0 {
			k.begin = sums
		}
	}
	if r.Phase != rollout.Open {
		if k.moved == nil {
			k.moved = sums
		}
		return rollout.JudgeLoaded(k.loaded(sums))
	}
	k.recent = append(k.recent, evidenceAt{now, sums})
	k.recent = slices.DeleteFunc(k.recent, func(e evidenceAt) bool { return now-e.at > recentWindow })
	return rollout.Judge(sums.Since(k.begin), sums.Since(k.recent[0].sums))
}

// loaded returns the new version's counts since it gets all requests, beside the old version's before.
func (k *rolloutTrack) loaded(sums rollout.Evidence) rollout.Evidence {
	out := rollout.Evidence{}
	for route, c := range k.moved.Since(k.begin) {
		out.Add(route, "", &c.Old)
	}
	for route, c := range sums.Since(k.moved) {
		for target, n := range c.New {
			out.Add(route, target, n)
		}
	}
	return out
}

// applied reports whether all gateways apply the present phase, and whether moreover the old version is
// empty for good. Gateways out of contact serve nothing after hostTimeout. A leader of less than that age
// may not know all of them, and relies on the gateways that were recorded when the version was accepted:
// gateways that have started since learn of the roll-out together with their first targets.
func (k *rolloutTrack) applied(now, termStart time.Duration, r *documentsm.Rollout, names []string) (applied, empty bool) {
	reported := map[string]bool{}
	applied, empty = true, r.Phase == rollout.Final
	for host, report := range k.reports {
		if now-report.at > hostTimeout {
			continue
		}
		reported[host] = report.Phase >= r.Phase
		applied = applied && reported[host]
		empty = empty && report.OldInFlight == 0
	}
	for _, name := range names {
		applied = applied && reported[name]
	}
	if now-termStart <= hostTimeout {
		for _, name := range r.Gateways {
			empty = empty && reported[name]
		}
	}
	return applied, empty && applied
}

// logOldGateways logs that gateways are not bound by the share.
func (t *rolloutTable) logOldGateways(now time.Duration, service string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.oldLoggedAt < oldGatewayLogInterval {
		return
	}
	t.oldLoggedAt = now
	t.log.Info("gateways of an older build are not bound by the share of a roll-out", "service", service, "gateways", len(names), "first", names[0])
}
