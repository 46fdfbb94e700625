package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// statusTimeout bounds one status query; settleTimeout bounds all queries for a call.
	statusTimeout  = 2 * time.Second
	settleTimeout  = 5 * time.Second
	keyPlaceholder = "{key}"
	maxHTTPStatus  = 599
)

// settleUnknownCall queries the targets for the outcome of an unknown call and records it.
// It returns nil if the outcome remains unknown. Only an executed call can be settled: if a
// target does not know the call, this proves nothing, because the request may still be in
// flight or may have gone to another target.
func (e *Entry) settleUnknownCall(ctx context.Context, org string, svc *structs.Service, rec *structs.Call) *structs.Call {
	if svc == nil || svc.StatusPath == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, t := range e.statusTargets(svc, rec.Target) {
		res, f := e.client.Plain(ctx, engine.PlainRequest{
			Address:   t.Address,
			RequestID: uuid.NewString(),
			Method:    http.MethodGet,
			URI:       strings.ReplaceAll(svc.StatusPath, keyPlaceholder, url.PathEscape(rec.Key)),
			Header:    http.Header{},
			Timeout:   statusTimeout,
		})
		if f != nil || res.Status != http.StatusOK {
			continue
		}
		if cmd, ok := parseStatusReply(rec.Key, res.Body); ok {
			return e.recordResolution(ctx, org, cmd)
		}
	}
	return nil
}

// statusTargets returns the target that received the call, or all targets of the service if
// that target is not declared.
func (e *Entry) statusTargets(svc *structs.Service, name string) []*structs.Target {
	s := e.config.snapshot()
	if t := s.targets[name]; t != nil {
		return []*structs.Target{t}
	}
	var out []*structs.Target
	for _, t := range s.targets {
		if t.Service == svc.Name {
			out = append(out, t)
		}
	}
	return out
}

// stateExecuted is the state in a status reply for a call that was executed.
const stateExecuted = "executed"

// parseStatusReply parses the reply to a status query. The reply is either an object with
// the fields state, status and body, or the result itself. It returns false if the call was
// not executed.
func parseStatusReply(key string, answer []byte) (structs.ResolveCall, bool) {
	cmd := structs.ResolveCall{Key: key, State: structs.CallFinished, Status: http.StatusOK, Body: answer}
	var v struct {
		State  string          `json:"state"`
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	}
	if json.Unmarshal(answer, &v) == nil && v.State != "" {
		cmd.Status, cmd.Body = v.Status, v.Body
		if v.State != stateExecuted || v.Status < http.StatusOK || v.Status > maxHTTPStatus {
			return cmd, false
		}
	}
	if len(cmd.Body) > maxRecordedBody {
		cmd.Body = nil
	}
	return cmd, true
}

func (e *Entry) recordResolution(ctx context.Context, org string, cmd structs.ResolveCall) *structs.Call {
	cctx, cancel := e.commitContext(ctx)
	defer cancel()
	rec, err := e.state.ResolveCall(cctx, org, cmd)
	if err != nil {
		e.log.Info("failed to record outcome from status query", "key", cmd.Key, "error", err.Error())
		return nil
	}
	return rec
}

// callResponse is the response body of GET /v1/calls/{key}.
type callResponse struct {
	*structs.Call
	Body json.RawMessage `json:"body,omitempty"`
}

// handleGetCall serves GET /v1/calls/{key}.
func (e *Entry) handleGetCall(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	q, apiErr := callQuery(r, id.Org)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	ctx, cancel := e.queryContext(r.Context(), q.Wait)
	defer cancel()
	rec, err := e.state.GetCall(ctx, *q)
	if err != nil {
		reply.Error(w, r, stateError(err))
		return
	}
	if rec.State == structs.CallUnknown {
		if settled := e.settleUnknownCall(r.Context(), id.Org, e.config.snapshot().services[rec.Service], rec); settled != nil {
			rec = settled
		}
	}
	w.Header().Set(headerIdempotencyKey, rec.Key)
	reply.JSON(w, r, http.StatusOK, callResponse{Call: rec, Body: bodyJSON(rec.Body)})
}

func callQuery(r *http.Request, org string) (*structs.CallQuery, *errs.Error) {
	key := pathvar.Vars(r)["key"]
	if !validCallKey(key) {
		return nil, errs.New(errs.BadRequest, "use the key from the header "+headerIdempotencyKey, "the call key is not valid")
	}
	wait, apiErr := waitParameter(r)
	return &structs.CallQuery{Org: org, Key: key, Wait: wait}, apiErr
}

// bodyJSON returns a body unchanged if it is valid JSON, and otherwise as a JSON string.
func bodyJSON(body []byte) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	if json.Valid(body) {
		return body
	}
	return mustJSON(string(body))
}
