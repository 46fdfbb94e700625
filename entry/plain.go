package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/entry/middleware/bodylimit"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	defaultPlainTimeout = 30 * time.Second
	// openOrganisation holds the bucket and the calls of open routes. The character
	// keeps it apart from declared names. openRate (requests per second) and openBurst
	// bound what callers without a key can cause.
	openOrganisation = "~open"
	openRate         = 100
	openBurst        = 200
)

// plainRequest is a request to a plain service.
type plainRequest struct {
	e      *Entry
	id     auth.Identity // the zero value on open routes
	org    string
	weight int
	limits structs.Limits
	svc    *structs.Service
	method string
	uri    string
	header http.Header
	body   []byte
	digest string

	// verify, if set, is another check right before the dispatch.
	verify func(context.Context) *errs.Error

	exclude []string
	crashes int
	last    *engine.Failure
	// busy is the last answer by which a target refused the request.
	busy *engine.PlainReply
	// written tells that a target may have seen the request.
	written bool
}

// handlePlain serves all paths that are not figlb's own.
func (e *Entry) handlePlain(w http.ResponseWriter, r *http.Request) {
	svc := e.config.snapshot().plainService(r.URL.Path)
	if svc == nil {
		reply.Error(w, r, errs.New(errs.NotFound, "use a declared path", "no service has the path %q", r.URL.Path))
		return
	}
	q, fail := e.newPlain(r, svc)
	if fail != nil {
		reply.Error(w, r, fail)
		return
	}
	if svc.Repeatable {
		q.serveRepeatable(w, r)
		return
	}
	q.serveCall(w, r)
}

func (e *Entry) openRoute(r *http.Request) bool {
	svc := e.config.snapshot().plainService(r.URL.Path)
	return svc != nil && svc.Open
}

func (e *Entry) newPlain(r *http.Request, svc *structs.Service) (*plainRequest, *errs.Error) {
	q := &plainRequest{
		e:      e,
		svc:    svc,
		method: r.Method,
		uri:    r.URL.RequestURI(),
		header: targetHeader(r.Header),
		body:   bodylimit.Body(r),
	}
	q.digest = q.requestDigest()
	if svc.Open {
		q.org, q.weight = openOrganisation, 1
		q.limits = structs.Limits{Revision: e.config.snapshot().revision, Rate: openRate, Burst: openBurst}
		return q, nil
	}
	q.id = auth.FromContext(r.Context())
	o, limits, fail := e.organisation(q.id)
	if fail != nil {
		return nil, fail
	}
	q.org, q.weight, q.limits = o.Name, o.Weight, limits
	return q, nil
}

func (q *plainRequest) requestDigest() string {
	h := sha256.New()
	for _, part := range []string{q.svc.Name, q.method, q.uri, q.header.Get("Content-Type"), string(q.body)} {
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (q *plainRequest) timeout() time.Duration {
	if q.svc.Timeout > 0 {
		return q.svc.Timeout
	}
	return defaultPlainTimeout
}

// serveRepeatable runs a call that may be repeated. It ends when its caller leaves.
func (q *plainRequest) serveRepeatable(w http.ResponseWriter, r *http.Request) {
	ctx, done := q.e.trackKey(r.Context(), q.id.KeyID)
	defer done()
	stop := q.e.cancelOnStop(&ctx)
	defer stop()
	res, fail := q.runRepeatable(ctx)
	if fail != nil {
		q.e.countError(fail)
		reply.Error(w, r, fail)
		return
	}
	writePlain(w, r, res)
}

// cancelOnStop makes ctx end when the entry stops.
func (e *Entry) cancelOnStop(ctx *context.Context) (stop func()) {
	c, cancel := context.WithCancelCause(*ctx)
	*ctx = c
	unregister := context.AfterFunc(e.ctx, func() { cancel(context.Cause(e.ctx)) })
	return func() {
		unregister()
		cancel(nil)
	}
}

func (q *plainRequest) runRepeatable(ctx context.Context) (*engine.PlainReply, *errs.Error) {
	if fail := q.checkQuarantine(); fail != nil {
		return nil, fail
	}
	if err := q.e.state.Debit(ctx, q.org, structs.Debit{Limits: q.limits}); err != nil {
		return nil, stateError(err)
	}
	for n := 1; ; n++ {
		res, f, fail := q.attempt(ctx, ctx, "")
		switch {
		case fail != nil && fail.Code == errs.TargetFailed && q.busy != nil:
			return q.busy, nil // the target's own refusal is a whole answer
		case fail != nil:
			return nil, q.runState(fail)
		case f == nil && !busyStatus(res.Status):
			return res, nil
		case f != nil && ctx.Err() != nil:
			return nil, q.runState(contextError(ctx).WithRun(runState(f)))
		case q.crashes >= maxCrashes:
			return nil, q.quarantine(ctx)
		case q.e.mayRetry(q.svc.Pool(), n, q.exclude):
			continue
		case f == nil:
			return res, nil
		}
		return nil, q.runState(targetFailed(f))
	}
}

// runState corrects e's claim that the request was not run if a target may have seen it.
func (q *plainRequest) runState(e *errs.Error) *errs.Error {
	if q.written && e.Run == errs.NotRun {
		return e.WithRun(errs.RunUnknown)
	}
	return e
}

// quarantine records that the request crashes targets.
func (q *plainRequest) quarantine(ctx context.Context) *errs.Error {
	q.e.addFingerprint(ctx, q.digest)
	return quarantined(newFingerprint(q.digest)).WithRun(errs.Ran)
}

// busyStatus reports whether an answer tells that the target could not take the request.
func busyStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (q *plainRequest) checkQuarantine() *errs.Error {
	if f, ok := q.e.config.snapshot().quarantined(q.digest, time.Now()); ok {
		return quarantined(f)
	}
	return nil
}

// attempt dispatches once. wait bounds the time in the queue, ctx the exchange with the
// target. It returns a typed error if the request has not been dispatched, else the
// target's answer or failure. callKey marks a call that may not be repeated.
func (q *plainRequest) attempt(wait, ctx context.Context, callKey string) (*engine.PlainReply, *engine.Failure, *errs.Error) {
	asg, fail := q.assign(wait)
	if fail != nil {
		return nil, nil, fail
	}
	if fail := q.admit(wait); fail != nil {
		q.release(asg, structs.OutcomeCancelled, 0)
		return nil, nil, fail
	}
	header := q.header
	if callKey != "" {
		header = header.Clone()
		header.Set(headerCallKey, callKey)
	}
	start := time.Now()
	res, f := q.e.client.Plain(ctx, engine.PlainRequest{
		Address:   asg.Address,
		RequestID: uuid.NewString(),
		Method:    q.method,
		URI:       q.uri,
		Header:    header,
		Body:      q.body,
		Timeout:   q.timeout(),
		Fresh:     callKey != "",
	})
	q.release(asg, plainOutcome(res, f), time.Since(start))
	q.note(asg, res, f)
	return res, f, nil
}

// admit repeats the checks after the wait in the queue, right before the dispatch.
func (q *plainRequest) admit(ctx context.Context) *errs.Error {
	if q.verify != nil {
		if fail := q.verify(ctx); fail != nil {
			return fail
		}
	}
	if fail := q.e.admit(q.id); fail != nil {
		return fail
	}
	return q.checkQuarantine()
}

func (q *plainRequest) assign(ctx context.Context) (*structs.Assignment, *errs.Error) {
	req := &structs.AssignRequest{
		ID:      uuid.NewString(),
		Entry:   q.e.incarn,
		Zone:    q.e.opts.Settings.Zone,
		Pool:    q.svc.Pool(),
		Org:     q.org,
		Weight:  q.weight,
		Service: q.svc.Name,
		Class:   q.svc.Class,
		Exclude: q.exclude,
		Digest:  q.digest,
	}
	start := time.Now()
	asg, err := q.e.sched.Assign(ctx, req)
	q.e.timeSince(metricAssign, start)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx).WithRun(errs.NotRun)
		}
		e := assignError(err)
		if e.Code == errs.TargetFailed && q.last != nil {
			e = retryRefused(q.last, e.RetryAfter)
		}
		if e.Code == errs.RequestQuarantined {
			q.e.addFingerprint(ctx, q.digest)
		}
		return nil, e
	}
	return asg, nil
}

func (q *plainRequest) release(asg *structs.Assignment, o structs.Outcome, d time.Duration) {
	q.e.countOutcome(o)
	q.e.release(structs.ReleaseSlot{
		Pool: q.svc.Pool(), Entry: q.e.incarn, Slot: asg.Slot, Target: asg.Target, Outcome: o, Duration: d,
		Digest: crashDigest(o, q.digest),
	})
}

func (q *plainRequest) note(asg *structs.Assignment, res *engine.PlainReply, f *engine.Failure) {
	q.exclude = append(q.exclude, asg.Target)
	q.last = f
	if f == nil {
		res.Target = asg.Target
		q.written = true
		if busyStatus(res.Status) {
			q.busy = res
		}
		return
	}
	f.Target = asg.Target
	q.written = q.written || f.Written
	q.busy = nil
	if f.Outcome == structs.OutcomeCrash {
		q.crashes++
	}
	q.e.log.Info("target failed", "target", asg.Target, "outcome", f.Outcome, "error", cause(f), "service", q.svc.Name)
}

func plainOutcome(res *engine.PlainReply, f *engine.Failure) structs.Outcome {
	switch {
	case f != nil:
		return f.Outcome
	case busyStatus(res.Status):
		return structs.OutcomeRefused
	case res.Status >= http.StatusInternalServerError:
		return structs.OutcomeError
	}
	return structs.OutcomeOK
}

// writePlain passes a target's complete answer to the caller.
func writePlain(w http.ResponseWriter, r *http.Request, res *engine.PlainReply) {
	for name, values := range callerHeader(res.Header) {
		w.Header()[name] = values
	}
	if r.Method == http.MethodHead {
		if n := res.Header.Get("Content-Length"); n != "" {
			w.Header().Set("Content-Length", n)
		}
	} else if res.Status != http.StatusNoContent && res.Status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	}
	reply.Body(w, res.Status, res.Body)
}
