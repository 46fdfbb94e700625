package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// permitTimeout bounds one request for a permit. The leader answers from memory.
	permitTimeout = 500 * time.Millisecond
	// maxPermitDelay is how long a request without an alternative waits for a permit. A longer wait
	// is left to the caller, which may find another service or give up.
	maxPermitDelay = 150 * time.Millisecond
	// maxAffinityDelay is how long a request waits for a permit of the target that has most of its
	// prompt cached: about the time in which another target would process the prompt again.
	maxAffinityDelay = 40 * time.Millisecond
	// permitRetryPause is the pause before a permit is requested again from a leader that has not
	// answered.
	permitRetryPause = 50 * time.Millisecond
	// maxLimitsPerPoll limits the statements of targets in one poll, so that a poll stays small when
	// most targets of a large site name a limit at once.
	maxLimitsPerPoll = 10
	// scarcityPeriod is the time after a refused permit for which a service takes no new programs.
	scarcityPeriod = 500 * time.Millisecond
)

// Requests to targets that name a request limit need a permit of the leader, which counts the requests
// of all gateways. While the leader does not respond, a gateway uses its share of each limit.

// permitScarcity remembers for which services requests were refused lately because all targets name a
// request limit.
type permitScarcity struct {
	mu        sync.Mutex
	byService map[string]refusedPermit
}

// refusedPermit is the last refusal of a request to a service.
type refusedPermit struct {
	at         time.Duration
	retryAfter time.Duration
}

// newProgramWait returns the time after which a new program of a service should try again, or 0 if
// there are permits for new programs.
func (s *permitScarcity) newProgramWait(now time.Duration, service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, refused := s.byService[service]
	if !refused || now-last.at >= scarcityPeriod {
		return 0
	}
	return max(scarcityPeriod, last.retryAfter) - (now - last.at)
}

func (s *permitScarcity) recordRefusal(now time.Duration, service string, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]refusedPermit{}
	}
	s.byService[service] = refusedPermit{at: now, retryAfter: retryAfter}
}

// acquire chooses a target and counts the request as in flight there. It fails if no target may
// take the request now.
func (x *exchange) acquire(ctx context.Context, c *balance.Criteria) (*balance.Target, error) {
	until := clock.Now() + maxAdmissionWait(x.timeLeft(), true)
	for limitsSent := false; ; {
		c.Limited = balance.ExcludeLimited
		req := x.g.targets.PermitCandidates(clock.Now(), c)
		if req == nil {
			return x.acquireWithoutPermit(c)
		}
		reply, err := x.requestPermit(ctx, c, req)
		if err == nil {
			return x.applyPermit(ctx, c, req, reply)
		}
		if errors.Is(err, errLimitsUnknown) && !limitsSent {
			x.g.targets.ReportLimits(req.Candidates)
			limitsSent = true
			continue
		}
		c.Limited = balance.LimitedByShare
		if t, err := x.acquireWithoutPermit(c); err == nil {
			return t, nil
		}
		if x.g.leaderContact.cutOff() {
			return nil, cutOffError()
		}
		if !x.g.config.leaderAbsent() || clock.Now() >= until || !sleep(ctx, permitRetryPause) {
			return nil, errs.New(errs.Unavailable, "retry", "no permit for a target with a request limit: %v", err).WithRetryAfter(leaderAbsentRetryAfter)
		}
	}
}

// acquireWithoutPermit chooses a target that needs no permit.
func (x *exchange) acquireWithoutPermit(c *balance.Criteria) (*balance.Target, error) {
	t, reason := x.g.targets.Acquire(clock.Now(), c)
	if t == nil {
		return nil, errs.New(errs.NoTarget, "retry", "service %q: %s", c.Service, reason).WithRetryAfter(noTargetRetryAfter)
	}
	return t, nil
}

// errLimitsUnknown is returned if the leader does not know the limits of the candidates, as may be
// after its election.
var errLimitsUnknown = errors.New("the leader does not know the request limits of the targets")

// requestPermit sends the request for a permit to the leader. It fails if the leader does not respond,
// and with errLimitsUnknown.
func (x *exchange) requestPermit(ctx context.Context, c *balance.Criteria, req *fleet.PermitRequest) (*fleet.PermitReply, error) {
	if x.g.config.leaderAbsent() {
		return nil, errs.New(errs.Unavailable, "retry", "no poll has been answered for %d ms", x.g.config.age().Milliseconds())
	}
	switch {
	case req.NoAlternative:
		req.MaxDelay = maxPermitDelay
	case c.Affinity != "":
		req.MaxDelay = maxAffinityDelay
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	x.g.metrics.permitsRequested.Inc(1)
	reply, err := x.g.opts.Client.Permit(ctx, req)
	if err == nil && reply.Granted == 0 && len(reply.WaitMs) == 0 {
		return nil, errLimitsUnknown
	}
	return reply, err
}

// applyPermit acquires the target for which a permit was granted, if need be after the granted
// delay. Without a permit it chooses a target without a limit or refuses the request.
func (x *exchange) applyPermit(ctx context.Context, c *balance.Criteria, req *fleet.PermitRequest, reply *fleet.PermitReply) (*balance.Target, error) {
	if i := reply.Granted; i > 0 && i <= len(req.Candidates) {
		if !sleep(ctx, reply.Delay) {
			return nil, errs.New(errs.Unavailable, "retry", "the request ended while it waited for a limited target").WithRetryAfter(noTargetRetryAfter)
		}
		if t := x.g.targets.AcquirePermitted(clock.Now(), req.Candidates[i-1], c); t != nil {
			return t, nil
		}
		return x.acquireWithoutPermit(c)
	}
	x.g.metrics.permitsDenied.Inc(1)
	x.g.targets.PermitDenied(clock.Now(), req, reply)
	if !req.NoAlternative {
		return x.acquireWithoutPermit(c)
	}
	anyVersion := *c
	anyVersion.Version = ""
	if !x.g.targets.TakesWithoutPermit(clock.Now(), &anyVersion) {
		x.g.scarcity.recordRefusal(clock.Now(), c.Service, reply.RetryAfter)
	}
	return nil, targetsLimitedError(c.Service, reply.RetryAfter)
}

// targetsLimitedError refuses a request because all targets of its service name a request limit
// and have reached it.
func targetsLimitedError(service string, retryAfter time.Duration) error {
	return errs.New(errs.Overloaded, "retry later", "service %q: all targets are at the request limit that they name", service).WithRetryAfter(retryAfter)
}

// sleep waits and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hearLimit records what a response says about the request limit of its target. A response that
// does not come from the target, or may not, cannot end the limit.
func (x *exchange) hearLimit(t *balance.Target, a *TargetResponse) {
	perSecond := float64(fleet.NoLimit)
	switch {
	case a.Misdirected:
		return
	case a.Limit.Malformed != "":
		x.g.log.Info("target names a request limit that is not a number; ignoring it", "target", t.ID, "request", x.req.ID, "value", a.Limit.Malformed)
		return
	case a.Limit.Named:
		perSecond = a.Limit.PerSecond
	case !a.Signed && !a.NotRun || a.RequestID != x.req.ID:
		return
	}
	if x.g.targets.HearLimit(clock.Now(), t, perSecond) {
		x.g.log.Info("request limit of target changed", "target", t.ID, "service", t.Service, "request", x.req.ID,
			"limited", a.Limit.Named, "per_second", a.Limit.PerSecond)
	}
}

// countLimitedSend counts a request that is about to be sent to a target which names a request
// limit.
func (x *exchange) countLimitedSend(t *balance.Target) {
	switch {
	case !x.g.targets.Limited(t):
	case len(x.targets) > 1:
		x.g.metrics.limitedRepeated.Inc(1)
	default:
		x.g.metrics.limitedFirst.Inc(1)
	}
}
