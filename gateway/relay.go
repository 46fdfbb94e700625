package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
	// maxHeldBytes is the length up to which an answer is read whole before it is passed on, so
	// that one which breaks off can still become a failure. Longer ones are passed on as they
	// arrive: a host with little memory holds many answers at once.
	maxHeldBytes = 256 << 10
	// streamBufferBytes is the size of reads from a stream: an event fits.
	streamBufferBytes = 4 << 10
)

// relayWhole passes on an answer once it is complete, or a long one as it arrives.
func (x *exchange) relayWhole(t *balance.Target, sent time.Duration, answer *upstream.Answer) result {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldBytes+1))
	if err != nil {
		answer.Finish(false)
		return x.spoiled(t, err)
	}
	ok := answer.StatusCode < http.StatusInternalServerError
	x.observe(t, &balance.Outcome{OK: ok, Errored: !ok, Slowness: x.slowness(sent), Load: -1})
	if len(body) > maxHeldBytes {
		return x.relayLong(t, answer, body)
	}
	answer.Finish(true)
	x.status = answer.StatusCode
	x.writeHead(answer.Response, strconv.Itoa(len(body)))
	_, _ = x.w.Write(body) // a caller that has left is seen by the server
	return result{done: true}
}

// relayLong passes on the beginning of an answer and the rest as it arrives. If that breaks off
// the connection to the caller is closed, so that the answer does not look complete.
func (x *exchange) relayLong(t *balance.Target, answer *upstream.Answer, begun []byte) result {
	length := ""
	if answer.ContentLength >= 0 {
		length = strconv.FormatInt(answer.ContentLength, 10)
	}
	x.note = noteStarted
	x.writeHead(answer.Response, length)
	copied, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(begun), answer.Body))
	answer.Finish(err == nil)
	if err != nil {
		x.observe(t, &balance.Outcome{Failed: x.r.Context().Err() == nil, Load: -1})
		e := errs.New(errs.TargetFailed, "send the request again if it may be repeated",
			"the answer of target %s broke off after %d bytes: %v", t.ID, copied, x.endOf(x.r.Context(), err)).WithRun(errs.Ran)
		return result{done: true, err: e}
	}
	x.status, x.note = answer.StatusCode, ""
	return result{done: true}
}

// notePace takes the time between the events of a stream into account.
func (x *exchange) notePace(rec *eventRecorder) {
	if rec.events < minPaceEvents {
		return
	}
	ms := float64((rec.last - rec.first).Microseconds()) / 1000 / float64(rec.events-1)
	now := clock.Now()
	x.g.paces.note(now, x.service(), ms, x.g.targets.Share(now, x.service()))
}

// slowness compares the time since a request was sent with what is usual on its route.
func (x *exchange) slowness(sent time.Duration) float64 {
	return x.g.usual.slowness(x.route.Name, x.service(), clock.Now()-sent)
}

// writeHead sends the status and header of a target's answer. An empty length makes it a
// chunked answer.
func (x *exchange) writeHead(answer *http.Response, length string) {
	h := x.w.Header()
	for name, values := range x.g.opts.Adapter.CallerHeader(answer.Header) {
		h[name] = values
	}
	if length != "" {
		h.Set("Content-Length", length)
	}
	x.w.WriteHeader(answer.StatusCode)
}

// relayStream passes on the events of a stream as they arrive.
func (x *exchange) relayStream(ctx context.Context, t *balance.Target, sent time.Duration, answer *upstream.Answer) result {
	rec := &eventRecorder{keep: x.route.KeepsHistory}
	err := x.copyEvents(answer, rec, t, sent)
	answer.Finish(err == nil)
	x.notePace(rec)
	if err == nil {
		x.g.turns.note(x.route.Name, clock.Now()-sent)
	}
	switch {
	case err != nil && x.note != noteStarted:
		return x.spoiled(t, err)
	case err != nil:
		return x.brokenStream(ctx, t, rec, err)
	}
	return x.endStream(ctx, rec)
}

func (x *exchange) copyEvents(answer *upstream.Answer, rec *eventRecorder, t *balance.Target, sent time.Duration) error {
	flush := http.NewResponseController(x.w)
	buf := make([]byte, streamBufferBytes)
	first := true
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if first {
				first = false
				x.note = noteStarted
				x.observe(t, &balance.Outcome{OK: true, Slowness: x.slowness(sent), Load: -1})
				x.writeHead(answer.Response, "")
			}
			if rerr := rec.add(buf[:n]); rerr != nil {
				return rerr
			}
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := flush.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF && first {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// endStream makes the turn durable before the stream ends: a turn counts from then on.
func (x *exchange) endStream(ctx context.Context, rec *eventRecorder) result {
	s := &ledgersm.Settle{Tokens: x.tokens(rec)}
	if !x.reserved {
		x.status, x.note = http.StatusOK, ""
		return result{done: true}
	}
	if !x.route.KeepsHistory {
		x.settleLater(s)
		x.status, x.note = http.StatusOK, ""
		return result{done: true}
	}
	s.Keep, s.Input, s.Output = true, x.body, rec.output
	if err := x.settle(context.WithoutCancel(ctx), s); err != nil {
		e := errs.New(errs.OutcomeUnknown, "send the turn again", "the end of the turn could not be recorded: %v", err).WithRun(errs.Ran)
		return result{done: true, err: e}
	}
	x.status, x.note = http.StatusOK, ""
	return result{done: true}
}

// brokenStream ends a stream that is not whole. The connection to the caller is closed.
func (x *exchange) brokenStream(ctx context.Context, t *balance.Target, rec *eventRecorder, err error) result {
	if x.reserved {
		x.settleLater(&ledgersm.Settle{Tokens: x.tokens(rec)})
	}
	if ctx.Err() == nil {
		x.observe(t, &balance.Outcome{Failed: true, Load: -1})
	}
	e := errs.New(errs.TargetFailed, "resume or send the request again",
		"the stream of target %s broke after %d events: %v", t.ID, rec.events, x.endOf(ctx, err)).WithRun(errs.Ran)
	return result{done: true, err: e}
}

// endOf returns why an exchange with a target ended. The gateway closes the connection to the
// target when the caller leaves or the time is up, so the error of the connection hides that.
func (x *exchange) endOf(ctx context.Context, err error) error {
	switch {
	case x.r.Context().Err() != nil:
		return errors.New("the caller left")
	case ctx.Err() != nil:
		return errors.Errorf("the request's time was up after %d ms", (clock.Now() - x.began).Milliseconds())
	}
	return err
}

// tokens returns the tokens in the events that the caller was sent.
func (x *exchange) tokens(rec *eventRecorder) int64 {
	s := x.table.Service(x.service())
	if s == nil || s.EventTokens <= 0 {
		return x.req.MaxTokens
	}
	return int64(rec.events * s.EventTokens)
}
