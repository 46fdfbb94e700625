package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// callWaitMargin is added to the service timeout when waiting for a call that runs on
// another entry.
const callWaitMargin = 5 * time.Second

// call is a non-repeatable call that this entry runs, or whose outcome it waits for.
type call struct {
	request *plainRequest
	key     string
	// foundRunningAt is when the call was first found to be running already.
	foundRunningAt time.Time
	// beginSentAt is when the last begin command was sent.
	beginSentAt time.Time
	// attempt is the attempt number that the state assigned to the call.
	attempt int
	// outcomeRecorded reports whether the state holds an outcome, so that the call cannot be
	// mistaken for one that was never dispatched.
	outcomeRecorded bool

	// done is closed after result and apiErr are set.
	done   chan struct{}
	result *engine.PlainResponse
	apiErr *errs.Error
}

func (c *call) tableKey() string { return c.request.org + "/" + c.key }

// serveCall runs a call in a separate goroutine and waits for it. The goroutine is
// independent of the caller's connection, so the outcome is recorded even if the caller
// disconnects.
func (q *plainRequest) serveCall(w http.ResponseWriter, r *http.Request) {
	key, apiErr := idempotencyKey(r)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	w.Header().Set(headerIdempotencyKey, key)
	c := &call{request: q, key: key, done: make(chan struct{})}
	if running := q.entry.calls.get(c.tableKey()); running != nil && running.request.digest == q.digest {
		c = running
	} else {
		q.entry.runInBackground(func() { c.run(context.WithoutCancel(r.Context())) })
	}
	ctx, untrack := q.entry.trackKey(r.Context(), q.id.KeyID)
	defer untrack()
	select {
	case <-c.done:
	case <-ctx.Done():
		reply.Error(w, r, contextError(ctx).WithRun(errs.RunUnknown))
		return
	}
	if c.apiErr != nil {
		reply.Error(w, r, c.apiErr)
		return
	}
	writePlainReply(w, r, c.result)
}

// idempotencyKey returns the caller's idempotency key, or a generated one if the caller sent
// none.
func idempotencyKey(r *http.Request) (string, *errs.Error) {
	values := r.Header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "gen-" + uuid.NewString(), nil
	}
	if len(values) > 1 || !validCallKey(values[0]) {
		return "", errs.New(errs.BadRequest, "send one key of 1 to 256 visible ASCII characters without a slash", "the header %s is not valid", headerIdempotencyKey)
	}
	return values[0], nil
}

func validCallKey(key string) bool {
	if key == "" || len(key) > maxNameLength {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' || b == '/' {
			return false
		}
	}
	return true
}

func (c *call) close(res *engine.PlainResponse, apiErr *errs.Error) {
	c.result, c.apiErr = res, apiErr
	if apiErr != nil {
		c.request.entry.countError(apiErr)
	}
	close(c.done)
}

func (c *call) run(ctx context.Context) {
	deadline := time.Now().Add(c.request.timeout() + callWaitMargin)
	for {
		b, err := c.begin(ctx)
		if errors.Is(err, errClaimed) {
			sleep(c.request.entry.ctx, inProgressRetryInterval)
			if !c.keepWaiting(deadline) {
				return
			}
			continue
		}
		if err != nil {
			c.close(nil, stateError(err))
			if outcomeUnsettled(err) {
				c.cleanUpBegin(ctx)
			}
			return
		}
		if b.Begun {
			c.dispatch(ctx)
			return
		}
		if !c.awaitOutcome(ctx, &b.Call, deadline) {
			return
		}
	}
}

// errClaimed means that an earlier call with the same key is being settled.
var errClaimed = errors.New("the call is being settled")

// begin records the intent to run the call in the state before anything is sent to a target.
func (c *call) begin(ctx context.Context) (*structs.BeginCallReply, error) {
	cctx, cancel := c.request.entry.commitContext(ctx)
	defer cancel()
	if !c.request.entry.calls.startBegin(c.tableKey()) {
		return nil, errClaimed
	}
	c.beginSentAt = time.Now()
	defer c.request.entry.timeSince(metricBegin, time.Now())
	b, err := c.request.entry.state.BeginCall(cctx, c.request.org, structs.BeginCall{
		Key:         c.key,
		Service:     c.request.service.Name,
		Digest:      c.request.digest,
		Entry:       c.request.entry.incarnation,
		LiveEntries: c.request.entry.config.liveEntriesSince(c.foundRunningAt),
		Limits:      c.request.limits,
	})
	if err != nil || !b.Begun {
		c.request.entry.calls.finishBegin(c.tableKey(), nil)
		return b, err
	}
	c.attempt = b.Call.Attempt
	c.request.entry.calls.finishBegin(c.tableKey(), c)
	return b, nil
}

// awaitOutcome handles a call that was begun before. It returns true if the call should be
// begun again; otherwise the call has been closed.
func (c *call) awaitOutcome(ctx context.Context, rec *structs.Call, deadline time.Time) bool {
	if rec.Digest != c.request.digest || rec.Service != c.request.service.Name {
		c.close(nil, errs.New(errs.IdempotencyMismatch, "use a new key for a new request", "the key %q was used for another request", c.key))
		return false
	}
	switch rec.State {
	case structs.CallFinished:
		c.close(storedReply(rec), nil)
		return false
	case structs.CallUnknown:
		c.closeUnknown(ctx, rec)
		return false
	case structs.CallNotRun:
		return true
	}
	if c.foundRunningAt.IsZero() {
		c.foundRunningAt = time.Now()
	}
	if c.mayBeOrphan(rec) && c.endOrphan(ctx) == nil {
		return c.keepWaiting(deadline)
	}
	if !c.keepWaiting(deadline) {
		return false
	}
	qctx, cancel := c.request.entry.commitContext(ctx)
	defer cancel()
	q := structs.CallQuery{Org: c.request.org, Key: c.key, Wait: inProgressQueryWait}
	if _, err := c.request.entry.state.GetCall(qctx, q); err != nil {
		sleep(c.request.entry.ctx, inProgressRetryInterval)
	}
	return true
}

// keepWaiting reports whether there is time left to wait for a running call. If not, it
// closes the call with the error call_in_progress.
func (c *call) keepWaiting(deadline time.Time) bool {
	if time.Now().Before(deadline) && c.request.entry.ctx.Err() == nil {
		return true
	}
	apiErr := errs.New(errs.CallInProgress, "read the outcome with GET /v1/calls/{key}", "the call %q is still running", c.key)
	c.close(nil, apiErr.WithRun(errs.RunUnknown).WithRetryAfter(time.Second))
	return false
}

// mayBeOrphan reports whether a call is recorded as running on this entry although the
// in-flight table does not contain it.
func (c *call) mayBeOrphan(rec *structs.Call) bool {
	return rec.State == structs.CallRunning && rec.Entry == c.request.entry.incarnation && c.request.entry.calls.idle(c.tableKey())
}

// endOrphan records a call as not run if its record says that it is running on this entry
// but it is not. This happens if the reply to the begin command was lost; the call was then
// never dispatched. The key is claimed while the record is read and changed, so that no call
// can begin. Otherwise a call that begins and is dispatched in between, and whose answer is
// lost, could be mistaken for the orphan.
func (c *call) endOrphan(ctx context.Context) error {
	key := c.tableKey()
	if !c.request.entry.calls.claim(key) {
		return nil
	}
	defer c.request.entry.calls.unclaim(key)
	qctx, cancel := c.request.entry.queryContext(ctx, 0)
	defer cancel()
	rec, err := c.request.entry.state.GetCall(qctx, structs.CallQuery{Org: c.request.org, Key: c.key})
	if err != nil {
		return err
	}
	if rec.State == structs.CallRunning && rec.Entry == c.request.entry.incarnation {
		c.recordWithRetry(ctx, structs.FinishCall{State: structs.CallNotRun, Attempt: rec.Attempt})
	}
	return nil
}

// cleanUpBegin ends the call if its begin command was applied although the reply was lost.
// Without this, a resend to another entry would wait for this entry.
func (c *call) cleanUpBegin(ctx context.Context) {
	deadline := time.Now().Add(recordRetryLimit)
	for time.Now().Before(deadline) && c.request.entry.ctx.Err() == nil {
		err := c.endOrphan(ctx)
		if err == nil || !outcomeUnsettled(err) {
			return
		}
		sleep(c.request.entry.ctx, recordRetryInterval)
	}
}

// checkOwnership verifies, immediately before the dispatch, that the call is still recorded
// as running on this entry. Another entry may have considered this one dead since the call
// was begun, and may have settled the record. The state is only queried if enough time has
// passed for that.
func (c *call) checkOwnership(ctx context.Context) *errs.Error {
	if time.Since(c.beginSentAt) <= c.request.entry.timing.ConfirmValidity {
		return nil
	}
	qctx, cancel := c.request.entry.queryContext(ctx, 0)
	defer cancel()
	rec, err := c.request.entry.state.GetCall(qctx, structs.CallQuery{Org: c.request.org, Key: c.key})
	if err != nil {
		return stateError(err)
	}
	if rec.State == structs.CallRunning && rec.Entry == c.request.entry.incarnation {
		return nil
	}
	return errs.New(errs.Superseded, "read the outcome with GET /v1/calls/{key}", "the call %q was settled before it was dispatched", c.key).WithRun(errs.RunUnknown)
}

// unregister removes the call from the in-flight table once its outcome is recorded. Without
// a recorded outcome the call stays in the table until the process ends, because its record
// says that it is running on this entry.
func (c *call) unregister() {
	if c.outcomeRecorded {
		c.request.entry.calls.remove(c.tableKey(), c)
	}
}

// dispatch sends the call to a target. It is retried only if the failure proves that no byte
// of the request has left this process.
func (c *call) dispatch(ctx context.Context) {
	c.outcomeRecorded = false
	c.request.preDispatchCheck = c.checkOwnership
	defer c.unregister()
	stop := c.request.entry.cancelOnStop(&ctx)
	defer stop()
	queueCtx, untrack := c.request.entry.trackKey(ctx, c.request.id.KeyID)
	defer untrack()
	for n := 1; ; n++ {
		res, f, apiErr := c.request.attempt(queueCtx, ctx, c.key)
		switch {
		case apiErr != nil:
			c.closeNotRun(ctx, apiErr)
		case f == nil:
			c.closeFinished(ctx, res)
		case f.Written:
			c.closeLost(ctx, f)
		case c.request.entry.mayRetry(c.request.service.Pool(), n, c.request.excludedTargets):
			continue
		default:
			c.closeNotRun(ctx, targetFailedError(f))
		}
		return
	}
}
