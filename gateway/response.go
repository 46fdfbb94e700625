package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// maxBufferedBytes is the length up to which a response is read completely before it is
	// passed on, so that a truncated one can still be turned into an error. Longer responses
	// are passed on as they arrive, because a host with little memory handles many responses at
	// once.
	maxBufferedBytes = 256 << 10
	// streamBufferBytes is the size of reads from a stream. An event usually fits.
	streamBufferBytes = 4 << 10
)

// writeResponse passes on a response once it is complete, or a long one as it arrives.
func (x *exchange) writeResponse(t *balance.Target, sent time.Duration, resp *upstream.Response) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		resp.Finish(false)
		return x.rejectResponse(t, err)
	}
	ok := resp.StatusCode < http.StatusInternalServerError
	x.observe(t, &balance.Outcome{OK: ok, Errored: !ok, Slowness: x.slowness(sent), Load: -1})
	if !ok {
		x.g.rollouts.recordBad(x.route.Name, t)
	} else {
		x.g.rollouts.recordFirst(x.route.Name, t, clock.Now()-sent)
	}
	if len(body) > maxBufferedBytes {
		return x.writeLongResponse(t, resp, body, ok)
	}
	if ok {
		x.g.rollouts.recordGood(x.route.Name, t, 0)
	}
	resp.Finish(true)
	if err := x.writeWhole(resp.Response, body); err != nil {
		return sendResult{responded: true, err: err}
	}
	x.status = resp.StatusCode
	return sendResult{responded: true}
}

// writeLongResponse passes on the first bytes of a response, which have been read, and the rest
// as it arrives. If the response is truncated the connection to the caller is closed, so that
// it does not look complete.
func (x *exchange) writeLongResponse(t *balance.Target, resp *upstream.Response, head []byte, ok bool) sendResult {
	length := ""
	if resp.ContentLength >= 0 {
		length = strconv.FormatInt(resp.ContentLength, 10)
	}
	x.note = noteStarted
	x.writeHeader(resp.Response, length)
	copied, err := x.copyLong(resp, head)
	if err != nil {
		x.observe(t, &balance.Outcome{Failed: x.r.Context().Err() == nil && !isCallerError(err), Load: -1})
		if ok && x.r.Context().Err() == nil && !isCallerError(err) {
			x.g.rollouts.recordBad(x.route.Name, t)
		}
		e := errs.New(errs.TargetFailed, "send the request again if it may be repeated",
			"the response of target %s ended early after %d bytes: %v", t.ID, copied, x.abortCause(x.r.Context(), err)).WithRun(errs.Ran)
		return sendResult{responded: true, err: e}
	}
	if ok {
		x.g.rollouts.recordGood(x.route.Name, t, 0)
	}
	x.status, x.note = resp.StatusCode, ""
	return sendResult{responded: true}
}

// recordEventInterval records the mean time between the events of a stream.
func (x *exchange) recordEventInterval(rec *eventRecorder) {
	if rec.count < minIntervalEvents {
		return
	}
	ms := float64((rec.lastAt - rec.firstAt).Microseconds()) / 1000 / float64(rec.count-1)
	now := clock.Now()
	x.g.intervals.record(now, x.service(), ms, x.g.targets.Utilisation(now, x.service()))
}

// slowness returns the time since the request was sent as a multiple of the usual latency of
// its route.
func (x *exchange) slowness(sent time.Duration) float64 {
	return x.g.latencies.slowness(x.route.Name, x.service(), clock.Now()-sent)
}

// writeHeader sends the status and header of a target's response. Without a length the response
// is chunked.
func (x *exchange) writeHeader(resp *http.Response, length string) {
	h := x.w.Header()
	for name, values := range x.g.opts.Adapter.CallerHeader(resp.Header) {
		h[name] = values
	}
	if length != "" {
		h.Set("Content-Length", length)
	}
	x.w.WriteHeader(resp.StatusCode)
}

// writeStream passes on the events of a stream as they arrive.
func (x *exchange) writeStream(ctx context.Context, t *balance.Target, sent time.Duration, resp *upstream.Response) sendResult {
	if err := x.awaitSource(); err != nil {
		resp.Finish(false)
		return sendResult{err: err}
	}
	rec := &eventRecorder{keepData: x.route.KeepsHistory, output: slices.Clip(x.before), log: x.events}
	err := x.copyEvents(resp, rec, func() {
		x.note = noteStarted
		x.observe(t, &balance.Outcome{OK: true, Slowness: x.slowness(sent), Load: -1})
		x.g.rollouts.recordFirst(x.route.Name, t, clock.Now()-sent)
		x.writeHeader(resp.Response, "")
	})
	x.recordEventInterval(rec)
	if err == nil && !x.resumes() { // the rest of a stream takes less time than a turn
		x.g.turns.record(x.route.Name, clock.Now()-sent)
	}
	if err == nil {
		x.g.rollouts.recordGood(x.route.Name, t, rec.meanPause())
	}
	switch {
	case err != nil && x.note != noteStarted:
		return x.rejectResponse(t, err)
	case err != nil:
		return x.abortStream(ctx, t, sent, rec, err)
	}
	return x.finishStream(ctx, rec)
}

// finishStream settles a completed stream. A turn with history is recorded durably before the
// caller sees the end of the stream, as it counts as done from then on.
func (x *exchange) finishStream(ctx context.Context, rec *eventRecorder) sendResult {
	s := &ledgersm.Settle{Tokens: x.tokensSent(rec), StreamEnded: x.resumable()}
	if !x.reserved {
		x.status, x.note = http.StatusOK, ""
		return sendResult{responded: true}
	}
	if !x.route.KeepsHistory {
		x.settleAsync(s)
		x.status, x.note = http.StatusOK, ""
		return sendResult{responded: true}
	}
	s.Keep, s.Input, s.Output = true, x.body, rec.output
	if err := x.settleKept(context.WithoutCancel(ctx), s); err != nil {
		e := errs.New(errs.OutcomeUnknown, "send the turn again", "the result of the turn could not be recorded: %v", err).WithRun(errs.Ran)
		return sendResult{responded: true, err: e}
	}
	x.status, x.note = http.StatusOK, ""
	return sendResult{responded: true}
}

// abortStream settles an incomplete stream and returns the error for which the connection to
// the caller is closed.
func (x *exchange) abortStream(ctx context.Context, t *balance.Target, sent time.Duration, rec *eventRecorder, err error) sendResult {
	if x.reserved {
		x.settleAsync(&ledgersm.Settle{Tokens: x.tokensSent(rec)})
	}
	if x.r.Context().Err() == nil && !isCallerError(err) && !x.g.links.CutOffSince(sent) {
		x.g.rollouts.recordBad(x.route.Name, t) // also if the time was up: a stream that does not end is bad
	}
	if ctx.Err() == nil && !isCallerError(err) && !x.g.links.CutOffSince(sent) {
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	}
	e := errs.New(errs.TargetFailed, "resume or send the request again",
		"the stream of target %s ended early after %d events: %v", t.ID, rec.count, x.abortCause(ctx, err)).WithRun(errs.Ran)
	return sendResult{responded: true, err: e}
}

// abortCause returns why the exchange with a target ended early. The gateway closes the
// connection to the target when the caller leaves or the time is up; the connection's error
// would hide this.
func (x *exchange) abortCause(ctx context.Context, err error) error {
	switch {
	case x.r.Context().Err() != nil:
		return errors.New("the caller left")
	case ctx.Err() != nil:
		return errors.Errorf("the request's time was up after %d ms", (clock.Now() - x.began).Milliseconds())
	}
	return err
}

// tokensSent returns the number of tokens in the events of a stream, or the maximum of the turn
// if the service does not state the tokens per event.
func (x *exchange) tokensSent(rec *eventRecorder) int64 {
	s := x.table.Service(x.service())
	if s == nil || s.TokensPerEvent <= 0 {
		return x.req.MaxTokens
	}
	return int64(rec.count * s.TokensPerEvent)
}
