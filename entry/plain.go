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
	// openOrganisation is the pseudo-organisation of open routes; it holds their token
	// bucket and their calls. The tilde cannot occur in declared names. openRate (requests
	// per second) and openBurst limit the load from callers without a key.
	openOrganisation = "~open"
	openRate         = 100
	openBurst        = 200
)

// plainRequest is a request to a plain service, that is, a service that is not a model.
type plainRequest struct {
	entry   *Entry
	id      auth.Identity // zero on open routes
	org     string
	weight  int
	limits  structs.Limits
	service *structs.Service
	method  string
	uri     string
	header  http.Header
	body    []byte
	digest  string

	// preDispatchCheck, if set, is an additional check immediately before the dispatch.
	preDispatchCheck func(context.Context) *errs.Error

	excludedTargets []string
	crashCount      int
	lastFailure     *engine.Failure
	// busyReply is the response to the last attempt if it had a busy status; see
	// isBusyStatus.
	busyReply *engine.PlainResponse
	// written reports whether a target may have received the request.
	written bool
}

// handlePlain serves all paths that have no route of their own.
func (e *Entry) handlePlain(w http.ResponseWriter, r *http.Request) {
	svc := e.config.snapshot().plainService(r.URL.Path)
	if svc == nil {
		reply.Error(w, r, errs.New(errs.NotFound, "use a declared path", "no service has the path %q", r.URL.Path))
		return
	}
	q, apiErr := e.newPlainRequest(r, svc)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	if svc.Repeatable {
		q.serveRepeatable(w, r)
		return
	}
	q.serveCall(w, r)
}

// openRoute reports whether the path of a request belongs to a service that needs no key.
func (e *Entry) openRoute(r *http.Request) bool {
	svc := e.config.snapshot().plainService(r.URL.Path)
	return svc != nil && svc.Open
}

func (e *Entry) newPlainRequest(r *http.Request, service *structs.Service) (*plainRequest, *errs.Error) {
	q := &plainRequest{
		entry:   e,
		service: service,
		method:  r.Method,
		uri:     r.URL.RequestURI(),
		header:  headersForTarget(r.Header),
		body:    bodylimit.Body(r),
	}
	q.digest = q.requestDigest()
	if service.Open {
		q.org, q.weight = openOrganisation, 1
		q.limits = structs.Limits{Revision: e.config.snapshot().revision, Rate: openRate, Burst: openBurst}
		return q, nil
	}
	q.id = auth.FromContext(r.Context())
	o, limits, apiErr := e.organisation(q.id)
	if apiErr != nil {
		return nil, apiErr
	}
	q.org, q.weight, q.limits = o.Name, o.Weight, limits
	return q, nil
}

func (q *plainRequest) requestDigest() string {
	h := sha256.New()
	for _, part := range []string{q.service.Name, q.method, q.uri, q.header.Get("Content-Type"), string(q.body)} {
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (q *plainRequest) timeout() time.Duration {
	if q.service.Timeout > 0 {
		return q.service.Timeout
	}
	return defaultPlainTimeout
}

// serveRepeatable runs a call that may be repeated. It is cancelled if the caller
// disconnects.
func (q *plainRequest) serveRepeatable(w http.ResponseWriter, r *http.Request) {
	ctx, done := q.entry.trackKey(r.Context(), q.id.KeyID)
	defer done()
	stop := q.entry.cancelOnStop(&ctx)
	defer stop()
	res, apiErr := q.runRepeatable(ctx)
	if apiErr != nil {
		q.entry.countError(apiErr)
		reply.Error(w, r, apiErr)
		return
	}
	writePlainReply(w, r, res)
}

// cancelOnStop replaces ctx by a context that is also cancelled when the entry stops.
func (e *Entry) cancelOnStop(ctx *context.Context) (stop func()) {
	c, cancel := context.WithCancelCause(*ctx)
	*ctx = c
	unregister := context.AfterFunc(e.ctx, func() { cancel(context.Cause(e.ctx)) })
	return func() {
		unregister()
		cancel(nil)
	}
}

func (q *plainRequest) runRepeatable(ctx context.Context) (*engine.PlainResponse, *errs.Error) {
	if apiErr := q.checkQuarantine(); apiErr != nil {
		return nil, apiErr
	}
	if err := q.entry.state.Debit(ctx, q.org, structs.Debit{Limits: q.limits}); err != nil {
		return nil, stateError(err)
	}
	for n := 1; ; n++ {
		res, f, apiErr := q.attempt(ctx, ctx, "")
		switch {
		case apiErr != nil && apiErr.Code == errs.TargetFailed && q.busyReply != nil:
			return q.busyReply, nil // pass on the busy response of the target
		case apiErr != nil:
			return nil, q.correctRunState(apiErr)
		case f == nil && !isBusyStatus(res.Status):
			return res, nil
		case f != nil && ctx.Err() != nil:
			return nil, q.correctRunState(contextError(ctx).WithRun(failureRunState(f)))
		case q.crashCount >= maxCrashes:
			return nil, q.quarantine(ctx)
		case q.entry.mayRetry(q.service.Pool(), n, q.excludedTargets):
			continue
		case f == nil:
			return res, nil
		}
		return nil, q.correctRunState(targetFailedError(f))
	}
}

// correctRunState changes the run state from not run to unknown if a target may have
// received the request.
func (q *plainRequest) correctRunState(apiErr *errs.Error) *errs.Error {
	if q.written && apiErr.Run == errs.NotRun {
		return apiErr.WithRun(errs.RunUnknown)
	}
	return apiErr
}

// quarantine records that the request crashes targets, so that it is refused from now on.
func (q *plainRequest) quarantine(ctx context.Context) *errs.Error {
	q.entry.addFingerprint(ctx, q.digest)
	return quarantinedError(newFingerprint(q.digest)).WithRun(errs.Ran)
}

// isBusyStatus reports whether a status means that the target could not handle the request
// at the time.
func isBusyStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (q *plainRequest) checkQuarantine() *errs.Error {
	if f, ok := q.entry.config.snapshot().quarantined(q.digest, time.Now()); ok {
		return quarantinedError(f)
	}
	return nil
}

// attempt dispatches the request once. queueCtx bounds the wait in the queue, ctx the
// exchange with the target. It returns an *errs.Error if the request was not dispatched, and
// otherwise the response or the failure of the target. callKey is the idempotency key of a
// non-repeatable call, and empty for a repeatable one.
func (q *plainRequest) attempt(queueCtx, ctx context.Context, callKey string) (*engine.PlainResponse, *engine.Failure, *errs.Error) {
	assignment, apiErr := q.assign(queueCtx)
	if apiErr != nil {
		return nil, nil, apiErr
	}
	if apiErr := q.admit(queueCtx); apiErr != nil {
		q.release(assignment, structs.OutcomeCancelled, 0)
		return nil, nil, apiErr
	}
	header := q.header
	if callKey != "" {
		header = header.Clone()
		header.Set(headerCallKey, callKey)
	}
	start := time.Now()
	res, f := q.entry.client.Plain(ctx, engine.PlainRequest{
		Address:       assignment.Address,
		RequestID:     uuid.NewString(),
		Method:        q.method,
		URI:           q.uri,
		Header:        header,
		Body:          q.body,
		Timeout:       q.timeout(),
		NewConnection: callKey != "",
	})
	q.release(assignment, plainOutcome(res, f), time.Since(start))
	q.recordAttempt(assignment, res, f)
	return res, f, nil
}

// admit repeats the admission checks after the wait in the queue, immediately before the
// dispatch.
func (q *plainRequest) admit(ctx context.Context) *errs.Error {
	if q.preDispatchCheck != nil {
		if apiErr := q.preDispatchCheck(ctx); apiErr != nil {
			return apiErr
		}
	}
	if apiErr := q.entry.admit(q.id); apiErr != nil {
		return apiErr
	}
	return q.checkQuarantine()
}

func (q *plainRequest) assign(ctx context.Context) (*structs.Assignment, *errs.Error) {
	req := &structs.AssignRequest{
		ID:      uuid.NewString(),
		Entry:   q.entry.incarnation,
		Zone:    q.entry.opts.Settings.Zone,
		Pool:    q.service.Pool(),
		Org:     q.org,
		Weight:  q.weight,
		Service: q.service.Name,
		Class:   q.service.Class,
		Exclude: q.excludedTargets,
		Digest:  q.digest,
	}
	start := time.Now()
	assignment, err := q.entry.scheduler.Assign(ctx, req)
	q.entry.timeSince(metricAssign, start)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx).WithRun(errs.NotRun)
		}
		apiErr := assignError(err)
		if apiErr.Code == errs.TargetFailed && q.lastFailure != nil {
			apiErr = retryRefusedError(q.lastFailure, apiErr.RetryAfter)
		}
		if apiErr.Code == errs.RequestQuarantined {
			q.entry.addFingerprint(ctx, q.digest)
		}
		return nil, apiErr
	}
	return assignment, nil
}

func (q *plainRequest) release(assignment *structs.Assignment, o structs.Outcome, d time.Duration) {
	q.entry.countOutcome(o)
	q.entry.release(structs.ReleaseSlot{
		Pool: q.service.Pool(), Entry: q.entry.incarnation, Slot: assignment.Slot, Target: assignment.Target, Outcome: o, Duration: d,
		Digest: crashDigest(o, q.digest),
	})
}

// recordAttempt updates the retry state of the request after an attempt.
func (q *plainRequest) recordAttempt(assignment *structs.Assignment, res *engine.PlainResponse, f *engine.Failure) {
	q.excludedTargets = append(q.excludedTargets, assignment.Target)
	q.lastFailure = f
	if f == nil {
		res.Target = assignment.Target
		q.written = true
		if isBusyStatus(res.Status) {
			q.busyReply = res
		}
		return
	}
	f.Target = assignment.Target
	q.written = q.written || f.Written
	q.busyReply = nil
	if f.Outcome == structs.OutcomeCrash {
		q.crashCount++
	}
	q.entry.log.Info("target failed", "target", assignment.Target, "outcome", f.Outcome, "error", failureCause(f), "service", q.service.Name)
}

func plainOutcome(res *engine.PlainResponse, f *engine.Failure) structs.Outcome {
	switch {
	case f != nil:
		return f.Outcome
	case isBusyStatus(res.Status):
		return structs.OutcomeRefused
	case res.Status >= http.StatusInternalServerError:
		return structs.OutcomeError
	}
	return structs.OutcomeOK
}

// writePlainReply writes the complete response of a target to the caller.
func writePlainReply(w http.ResponseWriter, r *http.Request, res *engine.PlainResponse) {
	for name, values := range headersForCaller(res.Header) {
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
