package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// maxRecordedBody bounds the response body that is kept in the replicated state, in
	// bytes.
	maxRecordedBody    = 1 << 20
	maxRecordedHeaders = 32
	// headerBodyOmitted marks a recorded response whose body was too large to keep.
	headerBodyOmitted = "Figlb-Body-Omitted"
)

// closeNotRun returns the error to the caller at once and then records that the call was not
// run. If the call was settled by another entry, the run state of the error is kept, because
// the call may have been begun again there.
func (c *call) closeNotRun(ctx context.Context, apiErr *errs.Error) {
	if apiErr.Code != errs.Superseded {
		apiErr = apiErr.WithRun(errs.NotRun)
	}
	c.close(nil, apiErr)
	c.recordWithRetry(ctx, structs.FinishCall{State: structs.CallNotRun})
}

// closeFinished records the response and then returns it to the caller.
func (c *call) closeFinished(ctx context.Context, res *engine.PlainResponse) {
	cmd := finishedCall(res)
	if err := c.record(ctx, cmd); err != nil {
		apiErr := errs.New(errs.OutcomeUnknown, "read the outcome with GET /v1/calls/{key}; do not send the call under another key",
			"the call was run, but its result could not be recorded in time")
		c.close(nil, apiErr.WithRun(errs.Ran).WithRetryAfter(time.Second))
		c.recordWithRetry(ctx, cmd)
		return
	}
	c.close(res, nil)
}

// closeLost handles a call that may have been run but whose response was lost.
func (c *call) closeLost(ctx context.Context, f *engine.Failure) {
	cmd := structs.FinishCall{State: structs.CallUnknown, Target: f.Target}
	err := c.record(ctx, cmd)
	c.closeUnknown(ctx, &structs.Call{Key: c.key, Service: c.request.service.Name, Target: f.Target})
	if err != nil {
		c.recordWithRetry(ctx, cmd)
	}
}

// closeUnknown closes the call with the result of its service's status query, or with the
// error outcome_unknown if that query does not settle it.
func (c *call) closeUnknown(ctx context.Context, rec *structs.Call) {
	if settled := c.request.entry.settleUnknownCall(ctx, c.request.org, c.request.service, rec); settled != nil {
		c.close(storedReply(settled), nil)
		return
	}
	c.close(nil, outcomeUnknownError(c.key))
}

func outcomeUnknownError(key string) *errs.Error {
	apiErr := errs.New(errs.OutcomeUnknown, "check with the service whether the call was run, then ask the operator to resolve it; do not send it under another key",
		"the outcome of the call %q is not known", key)
	return apiErr.WithRun(errs.RunUnknown)
}

func (c *call) record(ctx context.Context, cmd structs.FinishCall) error {
	cctx, cancel := c.request.entry.commitContext(ctx)
	defer cancel()
	cmd.Key, cmd.Entry = c.key, c.request.entry.incarnation
	if cmd.Attempt == 0 {
		cmd.Attempt = c.attempt
	}
	defer c.request.entry.timeSince(metricFinish, time.Now())
	_, err := c.request.entry.state.FinishCall(cctx, c.request.org, cmd)
	if err == nil || errs.Is(err, errs.Superseded) {
		c.outcomeRecorded = true
	}
	if err != nil {
		c.request.entry.log.Info("failed to record call outcome", "key", c.key, "state", cmd.State, "error", err.Error())
	}
	return err
}

// recordWithRetry tries to record an outcome until the state has accepted or refused it or
// the entry stops.
func (c *call) recordWithRetry(ctx context.Context, cmd structs.FinishCall) {
	for {
		err := c.record(ctx, cmd)
		if err == nil || !outcomeUnsettled(err) || c.request.entry.ctx.Err() != nil {
			return
		}
		sleep(c.request.entry.ctx, recordRetryInterval)
	}
}

// finishedCall returns the command that records a response.
func finishedCall(res *engine.PlainResponse) structs.FinishCall {
	cmd := structs.FinishCall{
		State:  structs.CallFinished,
		Target: res.Target,
		Status: res.Status,
		Header: map[string]string{},
		Body:   res.Body,
	}
	for name, values := range headersForCaller(res.Header) {
		if len(cmd.Header) < maxRecordedHeaders && len(values) > 0 && name != "Date" {
			cmd.Header[name] = values[0]
		}
	}
	if len(cmd.Body) > maxRecordedBody {
		cmd.Body = nil
		cmd.Header[headerBodyOmitted] = "true"
	}
	return cmd
}

// storedReply returns the response of a recorded call.
func storedReply(rec *structs.Call) *engine.PlainResponse {
	h := http.Header{}
	for name, v := range rec.Header {
		h.Set(name, v)
	}
	status := rec.Status
	if status == 0 {
		status = http.StatusOK
	}
	return &engine.PlainResponse{Target: rec.Target, Status: status, Header: h, Body: rec.Body}
}
