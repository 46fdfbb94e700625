package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/entry/middleware/bodylimit"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// Headers of the API.
const (
	headerProgram        = "Figlb-Program"
	headerTurn           = "Figlb-Turn"
	headerIdempotencyKey = "Idempotency-Key"
	headerCallKey        = "Figlb-Call-Key"
	// maxNameLength bounds the ids and keys that callers choose, in bytes.
	maxNameLength = 256
)

// handleChat serves POST /v1/chat/completions.
func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request) {
	t, fail := e.newTurn(r)
	if fail != nil {
		reply.Error(w, r, fail)
		return
	}
	if running := e.turns.get(t.key()); running != nil && running.same(t) {
		t = running
	} else {
		t.start(r.Context())
	}
	ctx, done := e.trackKey(r.Context(), t.id.KeyID)
	defer done()
	defer t.follow()()
	e.serveTurn(ctx, w, r, t, t.req.stream, t.req.includeUsage)
}

// same reports whether o is a resend of t.
func (t *turn) same(o *turn) bool {
	n := o.number.Load()
	return t.digest == o.req.digest() && (n == 0 || n == t.number.Load())
}

// newTurn checks a request and returns its turn.
func (e *Entry) newTurn(r *http.Request) (*turn, *errs.Error) {
	id := auth.FromContext(r.Context())
	org, limits, fail := e.organisation(id)
	if fail != nil {
		return nil, fail
	}
	req, fail := parseChat(bodylimit.Body(r))
	if fail != nil {
		return nil, fail
	}
	svc := e.config.snapshot().services[req.model]
	if svc == nil || !svc.IsModel() {
		return nil, errs.New(errs.UnknownModel, "use a model that GET /v1/models lists", "model %q is not known", req.model)
	}
	t := &turn{e: e, id: id, org: org, limits: limits, svc: svc, req: req, log: newEventLog()}
	if fail := t.setProgram(r); fail != nil {
		return nil, fail
	}
	t.chunks = newChunkWriter(t.program, svc.Name)
	return t, nil
}

func (t *turn) setProgram(r *http.Request) *errs.Error {
	t.program = r.Header.Get(headerProgram)
	if t.program == "" {
		t.program = newProgramID()
		t.implicit = true
	}
	if len(t.program) > maxNameLength {
		return errs.New(errs.UnknownProgram, "open a program first", "the program id is too long")
	}
	raw := r.Header.Get(headerTurn)
	if raw == "" {
		return nil
	}
	n, err := strconv.Atoi(raw)
	if err != nil || n < 1 {
		return errs.New(errs.BadRequest, "number turns from 1", "the header %s is not a turn number", headerTurn)
	}
	if t.implicit && n != 1 {
		return errs.New(errs.BadRequest, "send the header "+headerProgram+" too", "a program of one call has only turn 1")
	}
	t.number.Store(int64(n))
	return nil
}

func newProgramID() string { return "prg-" + uuid.NewString() }

// serveTurn writes a turn's answer. Before the first event a failure is an HTTP error;
// after it the failure is an error event.
func (e *Entry) serveTurn(ctx context.Context, w http.ResponseWriter, r *http.Request, t *turn, stream, usage bool) {
	if !stream {
		e.serveWhole(ctx, w, r, t)
		return
	}
	events, done, fail, err := t.log.next(ctx, 0)
	if err != nil {
		writeGone(ctx, w, r)
		return
	}
	t.setHeaders(w)
	if len(events) == 0 && done && fail != nil {
		reply.Error(w, r, fail)
		return
	}
	s := newEventWriter(w, r, usage)
	n := 0
	for {
		if s.write(events) != nil {
			return // the caller has left; the turn goes on
		}
		n += len(events)
		if done {
			s.end(fail)
			return
		}
		if events, done, fail, err = t.log.next(ctx, n); err != nil {
			s.endContext(ctx)
			return
		}
	}
}

func (e *Entry) serveWhole(ctx context.Context, w http.ResponseWriter, r *http.Request, t *turn) {
	n := 0
	for {
		events, done, fail, err := t.log.next(ctx, n)
		if err != nil {
			writeGone(ctx, w, r)
			return
		}
		n += len(events)
		if !done {
			continue
		}
		t.setHeaders(w)
		if fail != nil {
			reply.Error(w, r, fail)
			return
		}
		reply.JSON(w, r, http.StatusOK, t.chunks.completion(t.result.Load()))
		return
	}
}

// writeGone answers a request whose context ended: the key was revoked, or the caller
// has left and reads nothing.
func writeGone(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	reply.Error(w, r, contextError(ctx))
}

func (t *turn) setHeaders(w http.ResponseWriter) {
	w.Header().Set(headerProgram, t.program)
	if n := t.number.Load(); n > 0 {
		w.Header().Set(headerTurn, strconv.FormatInt(n, 10))
	}
}
