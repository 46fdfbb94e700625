package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/entry/middleware/bodylimit"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxQueryWait is the upper limit of the query parameter wait.
const maxQueryWait = 60 * time.Second

// openProgramRequest is the request body of POST /v1/programs.
type openProgramRequest struct {
	Service      string `json:"service"`
	BudgetTokens int64  `json:"budget_tokens"`
	MaxTurns     int    `json:"max_turns"`
	Parent       string `json:"parent"`
}

// handleOpenProgram serves POST /v1/programs.
func (e *Entry) handleOpenProgram(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	_, limits, apiErr := e.organisation(id)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	body, apiErr := e.parseProgram(bodylimit.Body(r))
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	ctx, cancel := e.commitContext(r.Context())
	defer cancel()
	p, err := e.state.OpenProgram(ctx, id.Org, structs.OpenProgram{
		ID:           newProgramID(),
		Parent:       body.Parent,
		Service:      body.Service,
		BudgetTokens: body.BudgetTokens,
		MaxTurns:     body.MaxTurns,
		Limits:       limits,
	})
	e.replyProgram(w, r, http.StatusCreated, p, err)
}

func (e *Entry) parseProgram(raw []byte) (*openProgramRequest, *errs.Error) {
	if _, apiErr := decodeObject(raw); apiErr != nil {
		return nil, apiErr
	}
	var b openProgramRequest
	if json.Unmarshal(raw, &b) != nil {
		return nil, badBodyError("service and parent are strings, budget_tokens and max_turns whole numbers")
	}
	if b.BudgetTokens < 0 || b.MaxTurns < 0 {
		return nil, badBodyError("budget_tokens and max_turns must not be negative")
	}
	svc := e.config.snapshot().services[b.Service]
	if svc == nil || !svc.IsModel() {
		return nil, errs.New(errs.UnknownModel, "use a service that GET /v1/models lists", "service %q is not known", b.Service)
	}
	return &b, nil
}

// handleGetProgram serves GET /v1/programs/{id}.
func (e *Entry) handleGetProgram(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	ctx, cancel := e.queryContext(r.Context(), 0)
	defer cancel()
	p, err := e.state.GetProgram(ctx, structs.ProgramQuery{Org: id.Org, Program: pathvar.Vars(r)["id"]})
	e.replyProgram(w, r, http.StatusOK, p, err)
}

// handleEndProgram serves POST /v1/programs/{id}/end.
func (e *Entry) handleEndProgram(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	program := pathvar.Vars(r)["id"]
	ctx, cancel := e.commitContext(r.Context())
	defer cancel()
	p, err := e.state.EndProgram(ctx, id.Org, structs.EndProgram{ID: program})
	e.histories.drop(historyKey(id.Org, program))
	e.replyProgram(w, r, http.StatusOK, p, err)
}

func (e *Entry) replyProgram(w http.ResponseWriter, r *http.Request, status int, p *structs.Program, err error) {
	if err != nil {
		reply.Error(w, r, stateError(err))
		return
	}
	w.Header().Set(headerProgram, p.ID)
	reply.JSON(w, r, status, p)
}

// turnResponse is the response body of GET /v1/programs/{id}/turns/{n}.
type turnResponse struct {
	*structs.Turn
	Program string          `json:"program"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// handleGetTurn serves GET /v1/programs/{id}/turns/{n}.
func (e *Entry) handleGetTurn(w http.ResponseWriter, r *http.Request) {
	id := auth.FromContext(r.Context())
	q, apiErr := turnQuery(r, id.Org)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	ctx, done := e.trackKey(r.Context(), id.KeyID)
	defer done()
	stream := wantsEvents(r)
	if t := e.turns.get(historyKey(id.Org, q.Program)); t != nil && stream && t.number.Load() == int64(q.Turn) {
		defer t.follow()()
		e.serveTurn(ctx, w, r, t, true, true)
		return
	}
	if stream && q.Wait == 0 {
		q.Wait = maxQueryWait // a turn that runs on another entry is streamed once it has ended
	}
	qctx, cancel := e.queryContext(ctx, q.Wait)
	defer cancel()
	rec, err := e.state.GetTurn(qctx, *q)
	if err != nil {
		reply.Error(w, r, stateError(err))
		return
	}
	w.Header().Set(headerProgram, q.Program)
	w.Header().Set(headerTurn, strconv.Itoa(q.Turn))
	if stream {
		e.replayTurn(w, r, q, rec)
		return
	}
	reply.JSON(w, r, http.StatusOK, turnResponse{Turn: rec, Program: q.Program, Answer: rec.Answer})
}

func turnQuery(r *http.Request, org string) (*structs.TurnQuery, *errs.Error) {
	vars := pathvar.Vars(r)
	n, err := strconv.Atoi(vars["n"])
	if err != nil || n < 1 {
		return nil, errs.New(errs.BadRequest, "number turns from 1", "%q is not a turn number", vars["n"])
	}
	wait, apiErr := waitParameter(r)
	return &structs.TurnQuery{Org: org, Program: vars["id"], Turn: n, Wait: wait}, apiErr
}

// waitParameter parses the query parameter wait, which is in seconds.
func waitParameter(r *http.Request) (time.Duration, *errs.Error) {
	raw := r.URL.Query().Get("wait")
	if raw == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(raw, 64)
	if err != nil || !(seconds >= 0) {
		return 0, errs.New(errs.BadRequest, "give wait in seconds", "%q is not a number of seconds", raw)
	}
	return time.Duration(min(seconds, maxQueryWait.Seconds()) * float64(time.Second)), nil
}

func wantsEvents(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "text/event-stream")
}

// replayTurn writes a recorded turn as an event stream.
func (e *Entry) replayTurn(w http.ResponseWriter, r *http.Request, q *structs.TurnQuery, rec *structs.Turn) {
	switch {
	case rec.State == structs.TurnRunning:
		apiErr := errs.New(errs.TurnInProgress, "ask again, with ?wait=SECONDS", "turn %d is still running", rec.Number)
		reply.Error(w, r, apiErr.WithRun(errs.RunUnknown).WithRetryAfter(time.Second))
	case rec.State == structs.TurnFailed && rec.Failure != nil:
		reply.Error(w, r, rec.Failure)
	case rec.State == structs.TurnFailed:
		reply.Error(w, r, errs.New(errs.TargetFailed, "send the turn again", "the turn failed").WithRun(errs.RunUnknown))
	default:
		chunks := newChunkEncoder(q.Program, e.serviceOf(r.Context(), q))
		res := recordedResult(rec)
		s := newEventWriter(w, r, true)
		s.add(chunks.answerChunk(res))
		s.add(chunks.finishChunk(res))
		s.add(chunks.usage(res))
		s.end(nil)
	}
}

// serviceOf returns the service name of a program, or an empty string if the program cannot
// be read.
func (e *Entry) serviceOf(ctx context.Context, q *structs.TurnQuery) string {
	ctx, cancel := e.queryContext(ctx, 0)
	defer cancel()
	p, err := e.state.GetProgram(ctx, structs.ProgramQuery{Org: q.Org, Program: q.Program})
	if err != nil {
		return ""
	}
	return p.Service
}

// handleModels serves GET /v1/models.
func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range e.config.snapshot().modelServices() {
		list = append(list, model{ID: name, Object: "model", OwnedBy: "figlb"})
	}
	reply.JSON(w, r, http.StatusOK, map[string]any{"object": "list", "data": list})
}
