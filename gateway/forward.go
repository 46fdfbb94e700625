package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// maxSends bounds how often a request is offered to targets that refuse it.
	maxSends = 6
	// refusedPause is the time before a request is offered again once all targets have
	// refused it.
	refusedPause = 25 * time.Millisecond
	// noTargetRetry is when a request that no target could take is worth sending again.
	noTargetRetry = 250 * time.Millisecond
)

// result is the outcome of one offer of the request to a target.
type result struct {
	err    error
	notRun bool // the target has not run the request and will not
	done   bool // the caller has its answer, or part of it
}

// forward offers the request to targets until one has run it, and relays the answer.
func (x *exchange) forward(ctx context.Context) error {
	defer x.release()
	choice := balance.Choice{Service: x.service(), Connected: x.g.connected, Once: !x.route.Repeatable()}
	if x.route.Sticky || x.route.Kind == routing.Streaming {
		choice.Affinity = x.affinity()
	}
	ran := 0
	var last result
	for n := 0; n < maxSends && ctx.Err() == nil; n++ {
		t, reason := x.g.targets.Acquire(clock.Now(), &choice)
		if t == nil {
			if len(choice.Exclude) > 0 && x.pause(ctx) {
				choice.Exclude = nil
				continue
			}
			return x.noTarget(reason, last, ran)
		}
		x.targets = append(x.targets, t.ID)
		last = x.offer(ctx, t)
		x.g.targets.Release(t)
		if last.done {
			return last.err
		}
		choice.Exclude = append(choice.Exclude, t.ID)
		if last.notRun {
			continue
		}
		ran++
		if !x.route.Repeatable() || ran >= x.maxAttempts() {
			return x.failed(last.err, ran)
		}
	}
	return x.exhausted(ctx, last, ran)
}

func (x *exchange) maxAttempts() int { return max(x.route.MaxAttempts, 1) }

// pause waits before targets that have refused the request are asked again.
func (x *exchange) pause(ctx context.Context) bool {
	t := time.NewTimer(refusedPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// release takes back a reservation of a turn that has not run.
func (x *exchange) release() {
	if x.reserved {
		x.settleLater(&ledgersm.Settle{Tokens: 0})
	}
}

func (x *exchange) noTarget(reason string, last result, ran int) error {
	if ran > 0 {
		return x.failed(last.err, ran)
	}
	return errs.New(errs.NoTarget, "retry", "service %q: %s", x.service(), reason).WithRetryAfter(noTargetRetry)
}

// failed is the error of a request that may have run.
func (x *exchange) failed(err error, ran int) error {
	return errs.New(errs.TargetFailed, "check the outcome before sending the request again",
		"%d targets got the request, the last failed: %v", ran, err).WithRun(errs.RunUnknown)
}

func (x *exchange) exhausted(ctx context.Context, last result, ran int) error {
	if ran > 0 {
		return x.failed(last.err, ran)
	}
	if ctx.Err() != nil {
		return errs.New(errs.Unavailable, "retry", "no target took the request before its deadline").WithRetryAfter(noTargetRetry)
	}
	return errs.New(errs.Overloaded, "retry later", "%d targets refused the request", len(x.targets)).WithRetryAfter(noTargetRetry)
}

// offer sends the request to one target and relays its answer if it has run.
func (x *exchange) offer(ctx context.Context, t *balance.Target) result {
	if err := x.g.config.check(); err != nil {
		x.g.targets.Answered(clock.Now(), t)
		return result{err: err, notRun: true}
	}
	sent := clock.Now()
	answer, err := x.g.pool(t).Do(ctx, x.targetRequest(t))
	x.g.targets.Answered(clock.Now(), t)
	if err != nil {
		return x.noAnswer(ctx, t, sent, err)
	}
	a := x.g.opts.Adapter.DecodeAnswer(answer.StatusCode, answer.Header)
	x.observeLoad(t, &a)
	if a.Leaving && x.g.targets.Leave(t) {
		x.g.log.Info("target leaves", "target", t.ID, "service", t.Service, "request", x.req.ID)
	}
	if a.NotRun {
		answer.Discard()
		x.g.log.V(1).Info("target refused", "request", x.req.ID, "target", t.ID, "status", answer.StatusCode, "misdirected", a.Misdirected)
		if a.Misdirected {
			x.observe(t, &balance.Outcome{Failed: true, Load: -1})
		}
		return result{err: errors.Errorf("target %s refused with status %d", t.ID, answer.StatusCode), notRun: true}
	}
	if err := x.sound(answer.StatusCode, &a); err != nil {
		answer.Finish(false)
		return x.spoiled(t, err)
	}
	if a.Stream && answer.StatusCode == http.StatusOK {
		return x.relayStream(ctx, t, sent, answer)
	}
	return x.relayWhole(t, sent, answer)
}

// targetRequest builds the request for a target.
func (x *exchange) targetRequest(t *balance.Target) *upstream.Request {
	d := &Delivery{Target: t.ID, Org: x.org, Deadline: max(x.left(), time.Millisecond), Priority: x.priority()}
	body := x.body
	if len(x.history) > 0 {
		body = slices.Concat(x.history, x.body)
	}
	return &upstream.Request{
		Method: x.r.Method,
		Path:   x.r.RequestURI,
		Host:   x.r.Host,
		Header: x.g.opts.Adapter.TargetHeader(x.r.Header, d),
		Body:   body,
		Once:   !x.route.Repeatable(),
		Owns: func(h http.Header) bool {
			id := x.answerTo(h)
			return id == "" || id == x.req.ID
		},
		Anonymous: func(h http.Header) bool { return x.answerTo(h) == "" },
	}
}

// answerTo returns the id of the request that an answer says it belongs to.
func (x *exchange) answerTo(h http.Header) string {
	return x.g.opts.Adapter.DecodeAnswer(http.StatusOK, h).RequestID
}

// sound fails if an answer cannot be passed on: a status that promises not to have run
// without the target's word for it, a success that the target does not vouch for, or a
// body that is not the target's.
func (x *exchange) sound(status int, a *Answer) error {
	if status/100 == 2 && (!a.Signed || a.Encoded || a.RequestID != x.req.ID) {
		return errors.Errorf("success without the target's signature or with an encoded body")
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return errors.Errorf("status %d without the word that the request has not run", status)
	}
	return nil
}

// noAnswer judges a request without an answer.
func (x *exchange) noAnswer(ctx context.Context, t *balance.Target, sent time.Duration, err error) result {
	notSent := errors.Is(err, upstream.ErrNotSent)
	if ctx.Err() != nil {
		x.noteCancel(t, sent)
		return result{err: ctx.Err(), notRun: notSent}
	}
	full := errors.Is(err, upstream.ErrFull)
	if !full {
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
		x.g.log.Info("target failed", "request", x.req.ID, "target", t.ID, "not_sent", notSent, "reason", err.Error(), "after_ms", (clock.Now() - sent).Milliseconds())
	}
	if !notSent {
		x.reportCrash(ctx, t)
	}
	return result{err: err, notRun: notSent}
}

// noteCancel judges a target that had not answered when the request ended.
func (x *exchange) noteCancel(t *balance.Target, sent time.Duration) {
	if clock.Now()-sent > slowAnswer {
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	}
}

// slowAnswer is the time without an answer after which a target counts as failed when its
// request ends.
const slowAnswer = time.Second

// spoiled judges an answer that cannot be passed on: the request has run.
func (x *exchange) spoiled(t *balance.Target, err error) result {
	x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	x.g.log.Info("target answered wrongly", "request", x.req.ID, "target", t.ID, "reason", err.Error())
	return result{err: err}
}

// reportCrash tells the controllers that a target went down under the request: a broken
// connection after which the target refuses new ones.
func (x *exchange) reportCrash(ctx context.Context, t *balance.Target) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	if x.g.pool(t).Up(ctx) {
		return
	}
	d := x.digest()
	x.g.crashes.add(d)
	x.g.log.Info("target down after request", "request", x.req.ID, "target", t.ID, "digest", d)
}

// crashProbeTimeout bounds the check whether a target is down.
const crashProbeTimeout = 50 * time.Millisecond

func (x *exchange) observeLoad(t *balance.Target, a *Answer) {
	load := -1
	if a.Running >= 0 {
		load = a.Running + a.Waiting
	}
	x.observe(t, &balance.Outcome{Load: load, ColdFor: a.ColdFor})
}

func (x *exchange) observe(t *balance.Target, o *balance.Outcome) {
	if x.g.targets.Observe(clock.Now(), t, o) {
		x.g.log.Info("target left out", "target", t.ID, "service", t.Service, "request", x.req.ID)
	}
}
