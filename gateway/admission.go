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
	// reserveTime is the time for which a gateway holds admissions in reserve. The reserves
	// of all gateways together stay below the 10% by which a rate may be exceeded in 5 s.
	reserveTime = 300 * time.Millisecond
	// demandShare is the weight of the newest poll interval in the mean demand.
	demandShare = 0.3
	// rateTimeout bounds one request for a grant.
	rateTimeout = 1200 * time.Millisecond
	// patienceShare is the part of its time left, in tenths, for which a request of a
	// program under way waits for its organisation's rate.
	patienceShare = 4
	// maxPatience bounds that wait.
	maxPatience = 1200 * time.Millisecond
	// absentShare and maxAbsent are the same while the leader does not answer: a new one is
	// in place within 2 s of a loss of power, and a request that waits keeps its program.
	absentShare = 7
	maxAbsent   = 2 * time.Second
	// absentRetry is when a caller may return while the leader does not answer: by then
	// another is elected.
	absentRetry = time.Second
	// minAskPause and maxAskPause bound the time between two requests for a grant.
	minAskPause = 5 * time.Millisecond
	maxAskPause = 250 * time.Millisecond
	// defaultRateRetry is when a caller may return if the leader did not tell.
	defaultRateRetry = 200 * time.Millisecond
	// idleAllowance is the demand, in requests for each poll, below which an organisation
	// is left out of polls.
	idleAllowance = 0.05
)

// admission keeps the requests that this gateway may admit by organisation. Load that it
// answers: an organisation begins programs at more than its rate. A program needs dozens
// of admissions and is lost with the first call that fails, so new programs are refused as
// soon as the rate is nearly used up, and what is left goes to programs under way, whose
// requests wait for it.
type admission struct {
	g        *Gateway
	programs programSet

	mu sync.Mutex
	m  map[string]*allowance
}

type allowance struct {
	tokens float64
	taken  float64 // since the last poll
	demand float64 // mean for each poll interval
	// waiting counts requests of programs under way, or of none, that wait for a token, fresh
	// those of programs of which that is not known.
	waiting, fresh float64
	// granted counts the tokens used since the last poll that was answered, pace is their mean
	// for each poll interval, and credit counts the requests admitted without one since then.
	granted, pace, credit float64
	// scarce tells that the rate is nearly used up; recover is when it will not be.
	scarce  bool
	recover time.Duration
	// asking is closed once the grant that is being asked for has arrived.
	asking chan struct{}
	// nextAsk is the time before which the leader has no token.
	nextAsk time.Duration
}

func newAdmission(g *Gateway) *admission {
	return &admission{g: g, m: map[string]*allowance{}}
}

// of returns the allowance of an organisation. The caller holds mu.
func (a *admission) of(org string) *allowance {
	al := a.m[org]
	if al == nil {
		al = &allowance{}
		a.m[org] = al
	}
	return al
}

// admit takes one admission of an organisation. A request of a program under way waits for
// one; others are refused while the rate is nearly used up. It fails with RateLimited.
func (a *admission) admit(ctx context.Context, org *routing.Organisation, program string, left time.Duration) error {
	if org.Rate <= 0 {
		return nil
	}
	q := &applicant{org: org.Name, program: program, began: clock.Now(), left: left}
	q.known = program == "" || a.programs.has(key(org.Name, program))
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.of(org.Name)
	al.taken++
	for {
		if al.scarce && !q.known {
			if err := a.findOut(ctx, q, al); err != nil {
				return err
			}
		}
		if al.tokens >= 1 {
			break
		}
		if q.known && program != "" && a.onCredit(org.Name, al) {
			return nil
		}
		if err := a.await(ctx, q, al); err != nil {
			return err
		}
	}
	al.tokens--
	al.granted++
	if !q.known {
		a.programs.add(key(org.Name, program))
	}
	return nil
}

// applicant is a request that asks for admission.
type applicant struct {
	org, program string
	began        time.Duration
	left         time.Duration // of the request's time when it began to ask
	// known tells that the request's program is under way, or that it has none.
	known bool
}

// findOut asks the ledger whether a request belongs to a program under way, and fails if it does
// not: the rate is nearly used up. The caller holds mu, which is free meanwhile.
func (a *admission) findOut(ctx context.Context, q *applicant, al *allowance) error {
	a.mu.Unlock()
	known := a.underWay(ctx, q.org, q.program)
	a.mu.Lock()
	q.known = known
	if !known {
		return rateLimited(q.org, al.recover-clock.Now())
	}
	return nil
}

// await waits for the next grant. It fails once the request has waited for long enough. The
// caller holds mu, which is free meanwhile.
func (a *admission) await(ctx context.Context, q *applicant, al *allowance) error {
	if a.g.contact.cutOff() {
		return hostCutOff()
	}
	absent := a.g.config.leaderAbsent()
	rest := q.began + patience(q.left, absent) - clock.Now()
	if rest <= 0 || ctx.Err() != nil {
		return notGranted(q.org, al, absent)
	}
	a.awaitGrant(ctx, min(rest, pollInterval), q, al)
	return nil
}

// patience is how long a request with some time left waits for an admission.
func patience(left time.Duration, leaderAbsent bool) time.Duration {
	if leaderAbsent {
		return min(left*absentShare/10, maxAbsent)
	}
	return min(left*patienceShare/10, maxPatience)
}

// notGranted returns the error of a request that has waited in vain. Without the leader
// nothing is known of the organisation's rate.
func notGranted(org string, al *allowance, leaderAbsent bool) error {
	if leaderAbsent {
		return errs.New(errs.Unavailable, "retry", "the leader that shares out the rates does not answer").WithRetryAfter(absentRetry)
	}
	return rateLimited(org, al.nextAsk-clock.Now())
}

// cutOffRetry is when a caller may return: at once, since another host serves it.
const cutOffRetry = 10 * time.Millisecond

func hostCutOff() error {
	return errs.New(errs.Unavailable, "retry at another host", "this host is cut off from the controllers").WithRetryAfter(cutOffRetry)
}

// underWay reports whether a program has begun. Requests of one program reach several gateways,
// so the ledger is asked where this gateway does not know it. A request without a program
// competes with those of programs under way.
func (a *admission) underWay(ctx context.Context, org, program string) bool {
	if program == "" || a.programs.has(key(org, program)) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	begun, err := a.g.opts.Client.Begun(ctx, &fleet.ProgramRequest{Org: org, Program: program})
	if err != nil {
		a.g.log.Info("program not found out", "org", org, "program", program, "reason", err.Error())
		return false
	}
	if begun {
		a.programs.add(key(org, program))
	}
	return begun
}

func key(org, program string) string { return org + "\x00" + program }

// awaitGrant waits for the next grant, at most for a time. The caller holds mu, which is free
// meanwhile.
func (a *admission) awaitGrant(ctx context.Context, atMost time.Duration, q *applicant, al *allowance) {
	waiting := &al.waiting
	if !q.known {
		waiting = &al.fresh
	}
	*waiting++
	if al.asking == nil {
		al.asking = make(chan struct{})
		go a.ask(q.org, al, al.asking)
	}
	asking := al.asking
	a.mu.Unlock()
	t := time.NewTimer(atMost)
	defer t.Stop()
	select {
	case <-asking:
	case <-ctx.Done():
	case <-t.C:
	}
	a.mu.Lock()
	*waiting--
}

func rateLimited(org string, wait time.Duration) error {
	return errs.New(errs.RateLimited, "send fewer requests, or ask the operator for a higher rate",
		"organisation %q is at its rate", org).WithRetryAfter(max(wait, defaultRateRetry))
}

// ask asks the leader for admissions of one organisation once it may have some.
func (a *admission) ask(org string, al *allowance, done chan struct{}) {
	a.mu.Lock()
	pause := al.nextAsk - clock.Now()
	a.mu.Unlock()
	if pause > 0 {
		time.Sleep(min(max(pause, minAskPause), maxAskPause))
	}
	ctx, cancel := context.WithTimeout(a.g.ctx, rateTimeout)
	defer cancel()
	a.mu.Lock()
	req := &fleet.RateRequest{Host: a.g.opts.Host, Org: org, Want: al.want(), Fresh: al.fresh}
	a.mu.Unlock()
	grant, err := a.g.opts.Client.Rate(ctx, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	al.asking = nil
	close(done)
	if err != nil {
		al.nextAsk = clock.Now() + minAskPause
		return
	}
	a.add(org, al, *grant)
}

// add takes over a grant. The caller holds mu.
func (a *admission) add(org string, al *allowance, grant fleet.Grant) {
	al.tokens += grant.Tokens
	now := clock.Now()
	al.nextAsk = now + grant.Wait
	al.recover = now + grant.Recover
	scarce := grant.Recover > 0
	if scarce != al.scarce {
		al.scarce = scarce
		a.g.log.Info("rate of organisation", "org", org, "scarce", scarce, "recover_ms", grant.Recover.Milliseconds(), "waiting", al.waiting)
	}
}

// want returns the admissions that fill the reserve and serve those who wait. A reserve of
// less than one request is none: one in each of many gateways would use up a small burst
// and be admitted long after it was granted.
func (al *allowance) want() float64 {
	reserve := math.Floor(al.demand * float64(reserveTime) / float64(pollInterval))
	return math.Max(math.Max(reserve, al.waiting)-al.tokens, 0)
}

// wanted returns what to ask for with the next poll. An organisation with traffic is asked
// for even if nothing is wanted, to learn how much of its rate is left.
func (a *admission) wanted() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for org, al := range a.m {
		al.demand += demandShare * (al.taken - al.demand)
		al.taken = 0
		if w := al.want(); w > 0 || al.demand > idleAllowance || al.scarce {
			out[org] = w
		}
	}
	return out
}

// granted takes over the grants of a poll that was answered.
func (a *admission) granted(grants map[string]fleet.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, al := range a.m {
		al.pace += demandShare * (al.granted - al.pace)
		al.granted, al.credit = 0, 0
	}
	for org, grant := range grants {
		a.add(org, a.of(org), grant)
	}
}
