package gateway

import (
	"context"
	"math"
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
	// maxSends bounds the attempts to send a request to a target, pauses after refusals
	// included.
	maxSends = 6
	// allRefusedPause is the pause before a request is sent again to targets that have refused
	// it, once no other target is left.
	allRefusedPause = 25 * time.Millisecond
	// noTargetRetryAfter is the Retry-After of a request that no target could take.
	noTargetRetryAfter = 250 * time.Millisecond
)

// sendResult is the outcome of sending the request to one target.
type sendResult struct {
	err       error
	notRun    bool // the target has not run the request and will not run it
	cutOff    bool // this host was cut off from the target, which may have run the request
	responded bool // the caller has received the response or part of it
}

// forward sends the request to one target after another until one has run it, and passes its
// response on to the caller.
func (x *exchange) forward(ctx context.Context) error {
	criteria := x.criteria()
	ran, lost := 0, 0 // lost counts the targets from which this host was cut off
	var last sendResult
	for n := 0; n < maxSends && ctx.Err() == nil; n++ {
		t, err := x.acquireVersion(ctx, &criteria)
		if err != nil {
			if len(criteria.Exclude) > 0 && sleep(ctx, allRefusedPause) {
				criteria.Exclude = nil
				continue
			}
			return x.noTargetError(err, last, ran)
		}
		x.targets, x.version = append(x.targets, t.ID), t.Version
		last = x.sendAndRelease(ctx, t, criteria.Prompt)
		if last.responded {
			return last.err
		}
		criteria.Exclude = append(criteria.Exclude, t.ID)
		if last.notRun {
			continue
		}
		ran++
		if last.cutOff {
			lost++
		}
		if !x.route.Repeatable() || ran-lost >= x.maxAttempts() {
			return x.targetFailedError(last.err, ran)
		}
	}
	return x.exhaustedError(ctx, last, ran)
}

// criteria returns the criteria by which the target is chosen.
func (x *exchange) criteria() balance.Criteria {
	c := balance.Criteria{Service: x.service(), Connected: x.g.hasIdleConn, NonRepeatable: !x.route.Repeatable()}
	if x.route.Sticky || x.route.Kind == routing.Streaming {
		c.Affinity = x.affinity()
		c.SingleUse = c.Affinity == x.req.ID
		c.Attempt, c.Previous = x.req.ID, x.req.PreviousTurn
	}
	if x.route.Kind == routing.Streaming && (x.req.PromptTokens > 0 || len(x.req.PromptParts) > 0) {
		c.Prompt = &balance.Prompt{Parts: x.req.PromptParts, Tokens: x.req.PromptTokens, MaxOutput: int(min(max(x.req.MaxTokens, 0), math.MaxInt32))}
	}
	return c
}

func (x *exchange) maxAttempts() int { return max(x.route.MaxAttempts, 1) }

// cancelReservation settles the reservation with no tokens if it has not been settled yet.
func (x *exchange) cancelReservation() {
	if x.reserved {
		x.settleAsync(&ledgersm.Settle{Tokens: 0})
	}
}

// noTargetError returns the error of a request for which no further target was found.
func (x *exchange) noTargetError(err error, last sendResult, ran int) error {
	if ran > 0 {
		return x.targetFailedError(last.err, ran)
	}
	return err
}

// targetFailedError returns the error of a request that may have run at one or more targets.
func (x *exchange) targetFailedError(err error, ran int) error {
	return errs.New(errs.TargetFailed, "check the outcome before sending the request again",
		"%d targets received the request, and the last one failed: %v", ran, err).WithRun(errs.RunUnknown)
}

// exhaustedError returns the error of a request that has been sent as often as is permitted or
// has reached its deadline.
func (x *exchange) exhaustedError(ctx context.Context, last sendResult, ran int) error {
	if ran > 0 {
		return x.targetFailedError(last.err, ran)
	}
	if ctx.Err() != nil {
		return errs.New(errs.Unavailable, "retry", "no target accepted the request before its deadline").WithRetryAfter(noTargetRetryAfter)
	}
	return errs.New(errs.Overloaded, "retry later", "%d targets refused the request", len(x.targets)).WithRetryAfter(noTargetRetryAfter)
}

// sendAndRelease sends the request to one target and ends its count there, also if a handler panics.
func (x *exchange) sendAndRelease(ctx context.Context, t *balance.Target, prompt *balance.Prompt) sendResult {
	defer x.g.targets.ReleaseTurn(t, prompt)
	return x.sendTo(ctx, t)
}

// sendTo sends the request to one target and, if the target has run it, passes the response on.
func (x *exchange) sendTo(ctx context.Context, t *balance.Target) sendResult {
	if err := x.g.config.checkConfirmed(); err != nil {
		x.g.targets.RecordResponse(clock.Now(), t)
		return sendResult{err: err, notRun: true}
	}
	if !x.g.rollouts.beginSend(t, x.granted) {
		x.g.targets.RecordResponse(clock.Now(), t)
		return sendResult{err: errors.Errorf("the roll-out of service %s does not admit version %q now", t.Service, t.Version), notRun: true}
	}
	x.recordSource(ctx, t)
	x.countLimitedSend(t)
	sent := clock.Now()
	resp, err := x.g.pool(t).Do(ctx, x.targetRequest(t))
	x.g.targets.RecordResponse(clock.Now(), t)
	if err != nil {
		return x.handleNoResponse(ctx, t, sent, err)
	}
	defer resp.Finish(false) // has no effect after the regular end; releases the connection on a panic
	a := x.g.opts.Adapter.DecodeResponse(resp.StatusCode, resp.Header)
	x.observeLoad(t, &a)
	x.hearLimit(t, &a)
	if a.Leaving && x.g.targets.MarkLeaving(t) {
		x.g.log.Info("target leaves", "target", t.ID, "service", t.Service, "request", x.req.ID)
	}
	if a.NotRun {
		resp.Discard()
		if x.g.metrics.refusalLines.allow() {
			x.g.log.Info("target refused", "request", x.req.ID, "target", t.ID, "status", resp.StatusCode, "misdirected", a.Misdirected,
				"send", len(x.targets), "connection", resp.Connection(), "after_ms", (clock.Now() - sent).Milliseconds())
		}
		if a.Misdirected {
			x.observe(t, &balance.Outcome{Failed: true, Load: -1})
		}
		return sendResult{err: errors.Errorf("target %s refused with status %d", t.ID, resp.StatusCode), notRun: true}
	}
	if err := x.validateResponse(resp.StatusCode, &a); err != nil {
		resp.Finish(false)
		return x.rejectResponse(t, err)
	}
	if a.Stream && resp.StatusCode == http.StatusOK {
		return x.writeStream(ctx, t, sent, resp)
	}
	return x.writeResponse(t, sent, resp)
}

// targetRequest builds the request to a target.
func (x *exchange) targetRequest(t *balance.Target) *upstream.Request {
	d := &ForwardMetadata{Target: t.ID, Org: x.org, Deadline: max(x.timeLeft(), time.Millisecond), Priority: x.targetPriority(t)}
	body := x.body
	if len(x.history) > 0 {
		body = slices.Concat(x.history, x.body)
	}
	return &upstream.Request{
		Method:        x.r.Method,
		Path:          x.r.RequestURI,
		Host:          x.r.Host,
		Header:        x.g.opts.Adapter.TargetHeader(x.r.Header, d),
		Body:          body,
		NonRepeatable: !x.route.Repeatable(),
		Matches: func(h http.Header) bool {
			id := x.responseRequestID(h)
			return id == "" || id == x.req.ID
		},
		Unidentified: func(h http.Header) bool { return x.responseRequestID(h) == "" },
		Carriers:     &x.carriers,
	}
}

// responseRequestID returns the id of the request to which a response claims to belong.
func (x *exchange) responseRequestID(h http.Header) string {
	return x.g.opts.Adapter.DecodeResponse(http.StatusOK, h).RequestID
}

// validateResponse fails if a response cannot be passed on: a successful one that the target
// has not signed, that has an encoded body or that belongs to another request, or a status that
// suggests that the request has not run, without a statement of the target that this is so.
func (x *exchange) validateResponse(status int, a *TargetResponse) error {
	if status/100 == 2 && (!a.Signed || a.Encoded || a.RequestID != x.req.ID) {
		return errors.Errorf("successful response that is unsigned, encoded or for another request")
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return errors.Errorf("status %d without a statement that the request has not run", status)
	}
	return nil
}

// handleNoResponse classifies a request to which the target sent no usable response head.
func (x *exchange) handleNoResponse(ctx context.Context, t *balance.Target, sent time.Duration, err error) sendResult {
	notSent := errors.Is(err, upstream.ErrNotSent)
	if ctx.Err() != nil {
		x.recordCancel(t, sent)
		return sendResult{err: ctx.Err(), notRun: notSent}
	}
	full := errors.Is(err, upstream.ErrFull)
	if x.g.links.CutOffSince(sent) {
		x.g.log.Info("cut off from the target", "request", x.req.ID, "target", t.ID, "not_sent", notSent, "reason", err.Error(), "after_ms", (clock.Now() - sent).Milliseconds())
		return sendResult{err: err, notRun: notSent, cutOff: true}
	}
	if !full {
		x.g.rollouts.recordBad(x.route.Name, t)
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
		x.g.log.Info("target failed", "request", x.req.ID, "target", t.ID, "not_sent", notSent, "reason", err.Error(), "after_ms", (clock.Now() - sent).Milliseconds())
	}
	if !notSent {
		x.reportCrash(ctx, t)
	}
	return sendResult{err: err, notRun: notSent}
}

// recordCancel counts a target as failed if it had not responded for a long time when the
// request ended.
func (x *exchange) recordCancel(t *balance.Target, sent time.Duration) {
	if clock.Now()-sent > slowResponse && !x.g.links.CutOffSince(sent) {
		x.g.rollouts.recordBad(x.route.Name, t)
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	}
}

// slowResponse is the time without a response after which a target counts as failed when its
// request ends.
const slowResponse = time.Second

// rejectResponse handles a response that cannot be passed on although the request has run.
func (x *exchange) rejectResponse(t *balance.Target, err error) sendResult {
	if x.r.Context().Err() == nil {
		x.g.rollouts.recordBad(x.route.Name, t)
	}
	x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	x.g.log.Info("target sent an invalid response", "request", x.req.ID, "target", t.ID, "reason", err.Error())
	return sendResult{err: err}
}

// reportCrash reports the request to the controllers if the target went down while it handled
// the request: the connection broke and the target accepts no new one.
func (x *exchange) reportCrash(ctx context.Context, t *balance.Target) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	failedAt := clock.Now()
	if x.g.pool(t).Reachable(ctx) {
		return
	}
	if !x.g.links.ReachesOthers(ctx, failedAt) { // this host may be cut off
		return
	}
	d := x.digest()
	x.g.crashes.add(d)
	x.g.log.Info("target is down after a request", "request", x.req.ID, "target", t.ID, "digest", d)
}

// crashProbeTimeout bounds the check whether a target accepts connections.
const crashProbeTimeout = 50 * time.Millisecond

// observeLoad records the load that a target reported in its response.
func (x *exchange) observeLoad(t *balance.Target, a *TargetResponse) {
	load := -1
	if a.Running >= 0 {
		load = a.Running + a.Waiting
	}
	x.observe(t, &balance.Outcome{Load: load, PacePercent: a.PacePercent, ColdFor: a.ColdFor})
}

// observe records an outcome at a target and logs if this ejects the target.
func (x *exchange) observe(t *balance.Target, o *balance.Outcome) {
	if x.g.targets.Observe(clock.Now(), t, o) {
		x.g.log.Info("target ejected after failures", "target", t.ID, "service", t.Service, "request", x.req.ID)
	}
}
