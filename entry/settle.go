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
	// statusTimeout bounds one status query, settleTimeout all queries of a call.
	statusTimeout = 2 * time.Second
	settleTimeout = 5 * time.Second
	keyHolder     = "{key}"
	maxStatus     = 599
)

// settle asks the targets for the outcome of an unknown call and records it. It returns
// nil if the outcome stays unknown. Only an executed call is settled: a target that does not know the call proves nothing, because the request may
// still be on its way or may have gone to another target.
func (e *Entry) settle(ctx context.Context, org string, svc *structs.Service, rec *structs.Call) *structs.Call {
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
			URI:       strings.ReplaceAll(svc.StatusPath, keyHolder, url.PathEscape(rec.Key)),
			Header:    http.Header{},
			Timeout:   statusTimeout,
		})
		if f != nil || res.Status != http.StatusOK {
			continue
		}
		if cmd, ok := executed(rec.Key, res.Body); ok {
			return e.resolve(ctx, org, cmd)
		}
	}
	return nil
}

// statusTargets returns the target that got the call, or all of the service if it is
// not known.
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

// stateExecuted is the state of a call whose result the status query returns.
const stateExecuted = "executed"

// executed reads the answer of a status query. It is either an object with the fields
// state, status and body, or the result itself.
func executed(key string, answer []byte) (structs.ResolveCall, bool) {
	cmd := structs.ResolveCall{Key: key, State: structs.CallFinished, Status: http.StatusOK, Body: answer}
	var v struct {
		State  string          `json:"state"`
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	}
	if json.Unmarshal(answer, &v) == nil && v.State != "" {
		cmd.Status, cmd.Body = v.Status, v.Body
		if v.State != stateExecuted || v.Status < http.StatusOK || v.Status > maxStatus {
			return cmd, false
		}
	}
	if len(cmd.Body) > maxRecordedBody {
		cmd.Body = nil
	}
	return cmd, true
}

func (e *Entry) resolve(ctx context.Context, org string, cmd structs.ResolveCall) *structs.Call {
	cctx, cancel := e.commitContext(ctx)
	defer cancel()
	rec, err := e.state.ResolveCall(cctx, org, cmd)
	if err != nil {
		e.log.Info("settled call not recorded", "key", cmd.Key, "error", err.Error())
		return nil
	}
	return rec
}

// callBody is the answer of GET /v1/calls/{key}.
type callBody struct {
	*structs.Call
	Body json.RawMessage `json:"body,omitempty"`
}

// handleGetCall serves GET /v1/calls/{key}.
func (e *Entry) handleGetCall(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	q, fail := callQuery(r, id.Org)
	if fail != nil {
		reply.Error(w, r, fail)
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
		if settled := e.settle(r.Context(), id.Org, e.config.snapshot().services[rec.Service], rec); settled != nil {
			rec = settled
		}
	}
	w.Header().Set(headerIdempotencyKey, rec.Key)
	reply.JSON(w, r, http.StatusOK, callBody{Call: rec, Body: bodyJSON(rec.Body)})
}

func callQuery(r *http.Request, org string) (*structs.CallQuery, *errs.Error) {
	key := pathvar.Vars(r)["key"]
	if !validCallKey(key) {
		return nil, errs.New(errs.BadRequest, "use the key from the header "+headerIdempotencyKey, "the call key is not valid")
	}
	wait, fail := waitParameter(r)
	return &structs.CallQuery{Org: org, Key: key, Wait: wait}, fail
}

// bodyJSON returns a body as JSON: as it is if it is JSON, else as a string.
func bodyJSON(body []byte) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	if json.Valid(body) {
		return body
	}
	return mustJSON(string(body))
}
