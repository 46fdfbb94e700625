package gateway

import (
	"context"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/rollout"
)

const (
	// exposureTimeout bounds the request for a grant, which the leader answers from memory. Without one
	// the request goes to the old version.
	exposureTimeout = 100 * time.Millisecond
	// exposurePause is the time after a refused or lost grant in which none is requested. Each request for
	// one delays a caller's request.
	exposurePause = 100 * time.Millisecond
	// versionHold is longer than the 5 s within which an order is acknowledged and the time in which
	// gateways learn of it.
	versionHold = 8 * time.Second
	// loadedGroups is the number of groups by which the targets of a version that gets all requests are
	// reported. A report by target would make polls of some KB at sites with many targets.
	loadedGroups = 4
	// maxOutcomeKeys limits the routes and targets for which outcomes are kept in one roll-out.
	maxOutcomeKeys = 256
)

// rollouts holds the roll-outs that restrict the choice of a version, and what this gateway has seen of
// the versions. While a version is on trial, the leader grants each request to it, so that no gateway
// holds a part of the budget that another one needs.
type rollouts struct {
	g         *Gateway
	mu        sync.Mutex
	byService map[string]*trial
}

// trial is the roll-out of a service.
type trial struct {
	fleet.Rollout
	expiresAt   time.Duration
	deniedUntil time.Duration
	sent        uint64 // to the service since the roll-out is known
	exposed     uint64 // of these, to the new version
	outcomes    map[outcomeKey]*rollout.Counts
}

type outcomeKey struct{ route, target string }

// apply replaces the roll-outs by those of a poll's reply. A phase never goes back.
func (r *rollouts) apply(sent time.Duration, list []fleet.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(list) == 0 && len(r.byService) == 0 {
		return
	}
	next := make(map[string]*trial, len(list))
	rules := map[string]balance.VersionRule{}
	for _, state := range list {
		t := r.byService[state.Service]
		switch {
		case t == nil || t.Order < state.Order:
			t = &trial{Rollout: state, expiresAt: sent + state.Lifetime, outcomes: map[outcomeKey]*rollout.Counts{}}
			r.logPhase(t)
		case t.Order == state.Order && t.Phase <= state.Phase:
			changed := t.Phase != state.Phase
			t.Rollout, t.expiresAt = state, sent+state.Lifetime
			if changed {
				r.logPhase(t)
			}
		}
		next[state.Service] = t
		switch t.Phase {
		case rollout.Open, rollout.RolledBack:
			rules[t.Service] = balance.VersionRule{Not: t.To}
		case rollout.Final, rollout.Completed:
			rules[t.Service] = balance.VersionRule{Only: t.To}
		}
	}
	r.byService = next
	r.g.targets.SetVersionRules(rules)
}

func (r *rollouts) logPhase(t *trial) {
	r.g.log.Info("phase of a roll-out changed", "service", t.Service, "to", t.To, "order", t.Order, "phase", t.Phase.String(),
		"share", t.Share, "sent", t.sent, "exposed", t.exposed)
}

// reports returns what the leader has to know of the roll-outs. The requests in flight are counted after
// the applied phase was read: a request that is counted later is not admitted by that phase.
func (r *rollouts) reports() []fleet.RolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.RolloutReport
	for _, t := range r.byService {
		if t.Phase.Ended() {
			continue
		}
		report := fleet.RolloutReport{Service: t.Service, Order: t.Order, Phase: t.Phase,
			OldInFlight: r.g.targets.InFlightExcept(t.Service, t.To), Sent: t.sent, Exposed: t.exposed}
		for k, c := range t.outcomes {
			var sum rollout.Counts
			sum.Merge(c) // a copy, as the report is encoded without the lock
			report.Outcomes = append(report.Outcomes, fleet.VersionOutcome{Route: k.route, Target: k.target, Counts: sum})
		}
		out = append(out, report)
	}
	return out
}

// versionChoice is the part of a trial that decides about one request.
type versionChoice struct {
	fleet.Rollout
	expired bool
	asks    bool // a grant may be requested
}

// choiceOf returns the state of the roll-out of a service, and false if there is none.
func (r *rollouts) choiceOf(now time.Duration, service string) (versionChoice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byService[service]
	if t == nil {
		return versionChoice{}, false
	}
	return versionChoice{Rollout: t.Rollout, expired: now >= t.expiresAt, asks: now >= t.deniedUntil}, true
}

// offersNew reports whether a request with an affinity key is offered to the new version. Each key moves
// once while the share grows.
func (c *versionChoice) offersNew(affinity string) bool {
	switch c.Phase {
	case rollout.Open:
		return !c.expired && c.asks && keyPosition(c, affinity) < c.Share
	case rollout.Moving:
		return !c.expired
	}
	return c.onlyNew()
}

// onlyNew reports whether the old version gets no requests.
func (c *versionChoice) onlyNew() bool {
	return c.Phase == rollout.Final || c.Phase == rollout.Completed
}

// keyPosition maps an affinity key to a number from 0 to 1.
func keyPosition(c *versionChoice, affinity string) float64 {
	h := xxhash.Sum64String(c.Service + "\x00" + strconv.FormatUint(c.Order, 10) + "\x00" + affinity)
	return float64(h) / math.MaxUint64
}

// beginSend reports whether a request may be sent to a target now, and counts it. It is called after the
// request was counted as in flight, so that a gateway which reports none in flight sends none later.
func (r *rollouts) beginSend(target *balance.Target, granted bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byService[target.Service]
	if t == nil {
		return true
	}
	isNew := target.Version == t.To
	switch t.Phase {
	case rollout.Open:
		if isNew && !granted {
			return false
		}
	case rollout.Final, rollout.Completed:
		if !isNew {
			return false
		}
	case rollout.RolledBack:
		if isNew {
			return false
		}
	}
	t.sent++
	if isNew {
		t.exposed++
	}
	r.counter(target, "sent").Inc(1)
	return true
}

// counter returns a counter of a version of a service during its roll-out.
func (r *rollouts) counter(t *balance.Target, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.rollout."+t.Service+"."+t.Version+"."+name, r.g.metrics.registry)
}

// counts returns the counts of a route at a target while a roll-out is in progress, or nil. The caller
// holds mu.
func (r *rollouts) counts(route string, target *balance.Target) *rollout.Counts {
	t := r.byService[target.Service]
	if t == nil || t.Phase.Ended() {
		return nil
	}
	key := outcomeKey{route: route}
	if target.Version == t.To {
		key.target = target.ID
		if t.Phase != rollout.Open {
			key.target = "group " + strconv.FormatUint(xxhash.Sum64String(target.ID)%loadedGroups, 10)
		}
	}
	c := t.outcomes[key]
	if c == nil && len(t.outcomes) < maxOutcomeKeys {
		c = &rollout.Counts{}
		t.outcomes[key] = c
	}
	return c
}

func (r *rollouts) record(route string, t *balance.Target, add func(*rollout.Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.counts(route, t); c != nil {
		add(c)
	}
}

// recordBad counts a request that the target has failed.
func (r *rollouts) recordBad(route string, t *balance.Target) {
	r.record(route, t, func(c *rollout.Counts) {
		c.Requests++
		c.Bad++
		r.counter(t, "bad").Inc(1)
	})
}

// recordGood counts a completed request. pace is the mean time between the events of a stream; 0: not
// measured.
func (r *rollouts) recordGood(route string, t *balance.Target, pace time.Duration) {
	cold := r.g.targets.IsCold(clock.Now(), t)
	r.record(route, t, func(c *rollout.Counts) {
		c.Requests++
		switch {
		case pace <= 0:
		case cold:
			c.ColdPace.Add(pace)
		default:
			c.Pace.Add(pace)
		}
	})
}

// recordFirst counts the time to the first event of a stream, or to the complete response.
func (r *rollouts) recordFirst(route string, t *balance.Target, took time.Duration) {
	cold := r.g.targets.IsCold(clock.Now(), t)
	r.record(route, t, func(c *rollout.Counts) {
		if cold {
			c.ColdFirst.Add(took)
			return
		}
		c.First.Add(took)
	})
}

// requestGrant asks the leader to permit one request to the version on trial.
func (r *rollouts) requestGrant(ctx context.Context, c *versionChoice) bool {
	if r.g.config.leaderAbsent() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exposureTimeout)
	defer cancel()
	reply, err := r.g.opts.Client.Exposure(ctx, &fleet.ExposureRequest{Service: c.Service, Order: c.Order})
	if err == nil && reply.Granted {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.byService[c.Service]; t != nil {
		t.deniedUntil = clock.Now() + exposurePause
	}
	return false
}

// acquireVersion chooses a target of the version that the roll-out of the service, if there is one, gives
// the request.
func (x *exchange) acquireVersion(ctx context.Context, c *balance.Criteria) (*balance.Target, error) {
	x.granted = false
	c.NotVersion, c.TrialPart = "", 0
	choice, rollingOut := x.g.rollouts.choiceOf(clock.Now(), c.Service)
	if !rollingOut {
		return x.acquireFromSource(ctx, c)
	}
	if x.resumes() {
		return x.acquireForResume(ctx, c, &choice)
	}
	if choice.offersNew(x.affinity()) && (len(c.Exclude) == 0 || choice.Phase != rollout.Open) {
		t, err := x.acquireNew(ctx, c, &choice)
		if t != nil || choice.onlyNew() {
			return t, err
		}
	}
	c.Version, c.NotVersion, c.TrialPart = "", choice.To, 0
	return x.acquireFromSource(ctx, c)
}

// acquireNew chooses a target of the new version. It returns nil if there is none, or no grant.
func (x *exchange) acquireNew(ctx context.Context, c *balance.Criteria, choice *versionChoice) (*balance.Target, error) {
	c.Version = choice.To
	if choice.Phase == rollout.Open {
		c.TrialPart = choice.Share
	}
	t, err := x.acquire(ctx, c)
	if err != nil || x.obtainGrant(ctx, choice) {
		return t, err
	}
	x.g.targets.RecordResponse(clock.Now(), t)
	x.g.targets.Release(t)
	return nil, errs.New(errs.NoTarget, "retry", "service %q: version %q has reached its share", c.Service, choice.To).WithRetryAfter(noTargetRetryAfter)
}

// obtainGrant reports whether one request may go to the new version.
func (x *exchange) obtainGrant(ctx context.Context, choice *versionChoice) bool {
	if choice.Phase == rollout.Open {
		x.granted = x.g.rollouts.requestGrant(ctx, choice)
		return x.granted
	}
	return true
}

// acquireForResume chooses a target for a stream that is resumed, which only the version that began it can
// continue. A stream of a version that gets no requests has to begin anew.
func (x *exchange) acquireForResume(ctx context.Context, c *balance.Criteria, choice *versionChoice) (*balance.Target, error) {
	c.Version = x.source.Version
	fromNew := c.Version == choice.To
	if fromNew && choice.Phase == rollout.RolledBack || !fromNew && choice.onlyNew() {
		return nil, notResumableError("version %q of service %q, which began the stream, gets no more requests", c.Version, c.Service)
	}
	t, err := x.acquire(ctx, c)
	if err != nil || !fromNew || x.obtainGrant(ctx, choice) {
		return t, err
	}
	x.g.targets.RecordResponse(clock.Now(), t)
	x.g.targets.Release(t)
	return nil, notResumableError("version %q of service %q, which began the stream, has reached its share", c.Version, c.Service)
}

// preferredVersion returns the version that a stream will most likely begin at.
func (x *exchange) preferredVersion(c *balance.Criteria) (string, bool) {
	now := clock.Now()
	choice, rollingOut := x.g.rollouts.choiceOf(now, c.Service)
	if !rollingOut {
		return x.g.targets.PreferredVersion(now, c)
	}
	if choice.offersNew(x.affinity()) {
		c.Version = choice.To
		if version, ok := x.g.targets.PreferredVersion(now, c); ok || choice.onlyNew() {
			return version, ok
		}
	}
	c.Version, c.NotVersion = "", choice.To
	return x.g.targets.PreferredVersion(now, c)
}
