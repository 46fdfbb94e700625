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

// Request and response headers of the API.
const (
	headerProgram        = "Figlb-Program"
	headerTurn           = "Figlb-Turn"
	headerIdempotencyKey = "Idempotency-Key"
	headerCallKey        = "Figlb-Call-Key"
	// maxNameLength bounds the IDs and keys chosen by callers, in bytes.
	maxNameLength = 256
)

// handleChat serves POST /v1/chat/completions.
func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request) {
	t, apiErr := e.newTurn(r)
	if apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	if running := e.turns.get(t.key()); running != nil && running.sameRequest(t) {
		t = running
	} else {
		t.start(r.Context())
	}
	ctx, done := e.trackKey(r.Context(), t.id.KeyID)
	defer done()
	defer t.follow()()
	e.serveTurn(ctx, w, r, t, t.request.stream, t.request.includeUsage)
}

// sameRequest reports whether o repeats the request of t.
func (t *turn) sameRequest(o *turn) bool {
	n := o.number.Load()
	return t.digest == o.request.digest() && (n == 0 || n == t.number.Load())
}

// newTurn validates a request and returns a turn for it.
func (e *Entry) newTurn(r *http.Request) (*turn, *errs.Error) {
	id := auth.FromContext(r.Context())
	org, limits, apiErr := e.organisation(id)
	if apiErr != nil {
		return nil, apiErr
	}
	request, apiErr := parseChat(bodylimit.Body(r))
	if apiErr != nil {
		return nil, apiErr
	}
	service := e.config.snapshot().services[request.model]
	if service == nil || !service.IsModel() {
		return nil, errs.New(errs.UnknownModel, "use a model that GET /v1/models lists", "model %q is not known", request.model)
	}
	t := &turn{entry: e, id: id, org: org, limits: limits, service: service, request: request, log: newEventLog()}
	if apiErr := t.setProgram(r); apiErr != nil {
		return nil, apiErr
	}
	t.encoder = newChunkEncoder(t.program, service.Name)
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

// serveTurn writes the answer of a turn. A failure before the first event is returned as an
// HTTP error, a later one as an error event.
func (e *Entry) serveTurn(ctx context.Context, w http.ResponseWriter, r *http.Request, t *turn, stream, usage bool) {
	if !stream {
		e.serveNonStreaming(ctx, w, r, t)
		return
	}
	events, done, apiErr, err := t.log.next(ctx, 0)
	if err != nil {
		writeContextError(ctx, w, r)
		return
	}
	t.setHeaders(w)
	if len(events) == 0 && done && apiErr != nil {
		reply.Error(w, r, apiErr)
		return
	}
	s := newEventWriter(w, r, usage)
	n := 0
	for {
		if s.write(events) != nil {
			return // the caller has disconnected; the turn continues
		}
		n += len(events)
		if done {
			s.end(apiErr)
			return
		}
		if events, done, apiErr, err = t.log.next(ctx, n); err != nil {
			s.endContext(ctx)
			return
		}
	}
}

func (e *Entry) serveNonStreaming(ctx context.Context, w http.ResponseWriter, r *http.Request, t *turn) {
	n := 0
	for {
		events, done, apiErr, err := t.log.next(ctx, n)
		if err != nil {
			writeContextError(ctx, w, r)
			return
		}
		n += len(events)
		if !done {
			continue
		}
		t.setHeaders(w)
		if apiErr != nil {
			reply.Error(w, r, apiErr)
			return
		}
		reply.JSON(w, r, http.StatusOK, t.encoder.completion(t.result.Load()))
		return
	}
}

// writeContextError writes the error for a request whose context has ended, either because
// its key was revoked or because the caller disconnected. In the latter case nobody reads
// the response.
func writeContextError(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	reply.Error(w, r, contextError(ctx))
}

func (t *turn) setHeaders(w http.ResponseWriter) {
	w.Header().Set(headerProgram, t.program)
	if n := t.number.Load(); n > 0 {
		w.Header().Set(headerTurn, strconv.FormatInt(n, 10))
	}
}
