package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

const (
	// reserveWindow is the period of demand for which a gateway holds tokens in reserve. The
	// reserves of all gateways together stay below the 10% by which a rate may be exceeded in a
	// window of 5 s.
	reserveWindow = 300 * time.Millisecond
	// demandWeight is the weight of the newest poll interval in the exponential moving averages
	// of demand and admissions.
	demandWeight = 0.3
	// grantTimeout bounds one request for a grant, and one query whether a program has begun.
	grantTimeout = 1200 * time.Millisecond
	// rateWaitTenths is the part of its remaining time, in tenths, for which a request waits
	// for a token while the leader responds.
	rateWaitTenths = 4
	// maxRateWait bounds that wait.
	maxRateWait = 1200 * time.Millisecond
	// leaderWaitTenths and maxLeaderWait are the corresponding limits while the leader does not
	// respond. They are higher because a new leader is in place within 2 s of a power failure,
	// and a request that fails ends its program.
	leaderWaitTenths = 7
	maxLeaderWait    = 2 * time.Second
	// leaderAbsentRetryAfter is the Retry-After of requests that fail because the leader does
	// not respond. A new leader is elected within this time.
	leaderAbsentRetryAfter = time.Second
	// minGrantPause and maxGrantPause bound the pause before the next request for a grant.
	minGrantPause = 5 * time.Millisecond
	maxGrantPause = 250 * time.Millisecond
	// minRateRetryAfter is the lower bound of the Retry-After of rate-limited requests.
	minRateRetryAfter = 200 * time.Millisecond
	// minPolledDemand is the demand, in requests per poll, up to which an organisation that
	// needs no tokens is left out of polls.
	minPolledDemand = 0.05
)

// admission enforces the request rates of organisations at this gateway. It spends tokens that
// the leader grants from one token bucket per organisation.
//
// If an organisation starts programs faster than its rate allows, admitting requests in the
// order of arrival would break most programs: a program needs dozens of admissions and fails
// with its first refused call. New programs are therefore refused as soon as the rate is nearly
// used up, and the rest of the rate is left to the programs that have begun, whose requests
// wait for a token.
type admission struct {
	g        *Gateway
	programs programSet

	mu         sync.Mutex
	allowances map[string]*allowance
}

// allowance is the admission state of one organisation. Tokens are admissions of one request.
type allowance struct {
	tokens   float64
	requests float64 // admission requests since the last poll
	demand   float64 // moving average of requests per poll interval
	// waiting counts the requests that wait for a token and belong to a program that has begun
	// or to no program. waitingUnknown counts those whose program is not known to have begun.
	waiting, waitingUnknown float64
	// admitted counts the tokens spent since the last poll reply, and meanAdmitted is their
	// moving average per poll interval. onCredit counts the requests admitted without a token
	// since the last poll reply.
	admitted, meanAdmitted, onCredit float64
	// scarce is set while the rate is nearly used up; recover is the clock time at which the
	// leader expects this to end.
	scarce  bool
	recover time.Duration
	// grantPending is non-nil while a grant is being requested, and closed when the request
	// ends.
	grantPending chan struct{}
	// nextRequest is the clock time before which the leader has no token.
	nextRequest time.Duration
}

func newAdmission(g *Gateway) *admission {
	return &admission{g: g, allowances: map[string]*allowance{}}
}

// forOrg returns the allowance of an organisation. The caller holds mu.
func (a *admission) forOrg(org string) *allowance {
	al := a.allowances[org]
	if al == nil {
		al = &allowance{}
		a.allowances[org] = al
	}
	return al
}

// admit takes one token of an organisation, waiting for it if necessary. Requests of new
// programs are refused while the rate is nearly used up. It fails with RateLimited if no token
// is available in time, and with Unavailable if the leader cannot be reached.
func (a *admission) admit(ctx context.Context, org *routing.Organisation, program string, timeLeft time.Duration) error {
	if org.Rate <= 0 {
		return nil
	}
	req := &admissionRequest{org: org.Name, program: program, began: clock.Now(), timeLeft: timeLeft}
	req.begun = program == "" || a.programs.has(programKey(org.Name, program))
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.forOrg(org.Name)
	al.requests++
	for {
		if al.scarce && !req.begun {
			if err := a.requireBegun(ctx, req, al); err != nil {
				return err
			}
		}
		if al.tokens >= 1 {
			break
		}
		if req.begun && program != "" && a.admitOnCredit(org.Name, al) {
			return nil
		}
		if err := a.waitForGrant(ctx, req, al); err != nil {
			return err
		}
	}
	al.tokens--
	al.admitted++
	if !req.begun {
		a.programs.add(programKey(org.Name, program))
	}
	return nil
}

// admissionRequest is a request that needs a token.
type admissionRequest struct {
	org, program string
	began        time.Duration
	timeLeft     time.Duration // remaining time of the request at began
	// begun is set if the request's program is known to have begun, or if it has no program.
	begun bool
}

// requireBegun asks the ledger whether the request's program has begun. If not, it refuses the
// request, because the rate is nearly used up. The caller holds mu, which is released during
// the query.
func (a *admission) requireBegun(ctx context.Context, req *admissionRequest, al *allowance) error {
	a.mu.Unlock()
	begun := a.programBegun(ctx, req.org, req.program)
	a.mu.Lock()
	req.begun = begun
	if !begun {
		return rateLimitedError(req.org, al.recover-clock.Now())
	}
	return nil
}

// waitForGrant waits for the next grant, at most for a poll interval. It fails if the gateway
// is cut off or the request has waited for its maximum time. The caller holds mu, which is
// released during the wait.
func (a *admission) waitForGrant(ctx context.Context, req *admissionRequest, al *allowance) error {
	if a.g.leaderContact.cutOff() {
		return cutOffError()
	}
	absent := a.g.config.leaderAbsent()
	wait := req.began + maxAdmissionWait(req.timeLeft, absent) - clock.Now()
	if wait <= 0 || ctx.Err() != nil {
		return waitExpiredError(req.org, al, absent)
	}
	a.awaitGrant(ctx, min(wait, pollInterval), req, al)
	return nil
}

// maxAdmissionWait returns how long a request with the given remaining time may wait for a
// token.
func maxAdmissionWait(timeLeft time.Duration, leaderAbsent bool) time.Duration {
	if leaderAbsent {
		return min(timeLeft*leaderWaitTenths/10, maxLeaderWait)
	}
	return min(timeLeft*rateWaitTenths/10, maxRateWait)
}

// waitExpiredError returns the error of a request that has waited for its maximum time. It does
// not blame the organisation's rate if the leader does not respond, as the state of the rate is
// unknown then.
func waitExpiredError(org string, al *allowance, leaderAbsent bool) error {
	if leaderAbsent {
		return errs.New(errs.Unavailable, "retry", "the leader that grants requests does not respond").WithRetryAfter(leaderAbsentRetryAfter)
	}
	return rateLimitedError(org, al.nextRequest-clock.Now())
}

// cutOffRetryAfter is the Retry-After of a gateway that is cut off. It is short because another
// host can serve the retry.
const cutOffRetryAfter = 10 * time.Millisecond

func cutOffError() error {
	return errs.New(errs.Unavailable, "retry at another host", "this host is cut off from the controllers").WithRetryAfter(cutOffRetryAfter)
}

// programBegun reports whether a program has begun. The requests of one program reach several
// gateways, so the ledger is asked about programs that this gateway does not know. A request
// without a program is treated as one of a program that has begun.
func (a *admission) programBegun(ctx context.Context, org, program string) bool {
	if program == "" || a.programs.has(programKey(org, program)) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	begun, err := a.g.opts.Client.ProgramBegun(ctx, &fleet.ProgramRequest{Org: org, Program: program})
	if err != nil {
		a.g.log.Info("ledger query for the program failed", "org", org, "program", program, "reason", err.Error())
		return false
	}
	if begun {
		a.programs.add(programKey(org, program))
	}
	return begun
}

// programKey returns the key of a program in a programSet.
func programKey(org, program string) string { return org + "\x00" + program }

// awaitGrant waits until a pending grant arrives, the timeout passes or ctx ends. It requests a
// grant if none is pending. The caller holds mu, which is released during the wait.
func (a *admission) awaitGrant(ctx context.Context, timeout time.Duration, req *admissionRequest, al *allowance) {
	waiting := &al.waiting
	if !req.begun {
		waiting = &al.waitingUnknown
	}
	*waiting++
	if al.grantPending == nil {
		al.grantPending = make(chan struct{})
		go a.requestGrant(req.org, al, al.grantPending)
	}
	grantPending := al.grantPending
	a.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-grantPending:
	case <-ctx.Done():
	case <-t.C:
	}
	a.mu.Lock()
	*waiting--
}

func rateLimitedError(org string, wait time.Duration) error {
	return errs.New(errs.RateLimited, "send fewer requests, or ask the operator for a higher rate",
		"organisation %q has reached its rate limit", org).WithRetryAfter(max(wait, minRateRetryAfter))
}

// requestGrant requests tokens for one organisation from the leader, after waiting until the
// leader is expected to have some. It closes done when the request has ended.
func (a *admission) requestGrant(org string, al *allowance, done chan struct{}) {
	a.mu.Lock()
	pause := al.nextRequest - clock.Now()
	a.mu.Unlock()
	if pause > 0 {
		time.Sleep(min(max(pause, minGrantPause), maxGrantPause))
	}
	ctx, cancel := context.WithTimeout(a.g.ctx, grantTimeout)
	defer cancel()
	a.mu.Lock()
	req := &fleet.RateRequest{Host: a.g.opts.Host, Org: org, Want: al.tokensWanted(), WantNewPrograms: al.waitingUnknown}
	a.mu.Unlock()
	grant, err := a.g.opts.Client.RequestGrant(ctx, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	al.grantPending = nil
	close(done)
	if err != nil {
		al.nextRequest = clock.Now() + minGrantPause
		return
	}
	a.applyGrant(org, al, *grant)
}

// applyGrant adds the tokens of a grant and updates the state of the rate. The caller holds mu.
func (a *admission) applyGrant(org string, al *allowance, grant fleet.Grant) {
	al.tokens += grant.Tokens
	now := clock.Now()
	al.nextRequest = now + grant.Wait
	al.recover = now + grant.NewProgramWait
	scarce := grant.NewProgramWait > 0
	if scarce != al.scarce {
		al.scarce = scarce
		a.g.log.Info("rate limit state of organisation changed", "org", org, "scarce", scarce, "recover_ms", grant.NewProgramWait.Milliseconds(), "waiting", al.waiting)
	}
}

// tokensWanted returns the number of tokens that fill the reserve and serve the waiting
// requests. The reserve is rounded down to whole tokens: a token held at each of many gateways
// that rarely see a request of the organisation would use up a small burst and be spent long
// after its grant.
func (al *allowance) tokensWanted() float64 {
	reserve := math.Floor(al.demand * float64(reserveWindow) / float64(pollInterval))
	return math.Max(math.Max(reserve, al.waiting)-al.tokens, 0)
}

// pollDemand returns the tokens to request with the next poll. An organisation with traffic is
// included even if it needs none, to learn whether its rate is nearly used up.
func (a *admission) pollDemand() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for org, al := range a.allowances {
		al.demand += demandWeight * (al.requests - al.demand)
		al.requests = 0
		if w := al.tokensWanted(); w > 0 || al.demand > minPolledDemand || al.scarce {
			out[org] = w
		}
	}
	return out
}

// applyPollGrants applies the grants of a poll reply and starts new counts of admissions.
func (a *admission) applyPollGrants(grants map[string]fleet.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, al := range a.allowances {
		al.meanAdmitted += demandWeight * (al.admitted - al.meanAdmitted)
		al.admitted, al.onCredit = 0, 0
	}
	for org, grant := range grants {
		a.applyGrant(org, a.forOrg(org), grant)
	}
}
