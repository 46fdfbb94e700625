package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

const (
	chatPath = "/v1/chat/completions"
	// maxErrorBody bounds what is read of an engine's error answer, in bytes.
	maxErrorBody = 64 << 10
)

// ChatRequest is one streaming request to a model engine.
type ChatRequest struct {
	Address   string
	RequestID string
	// Body is the JSON object; it asks for a stream with usage.
	Body []byte
	// MaxTokens is the most the engine may generate; more is a failure. 0: unchecked.
	MaxTokens int64
}

// ChatResult describes a finished or broken stream.
type ChatResult struct {
	FinishReason string
	Usage        structs.Usage
	UsageKnown   bool
	// TTFT is the time from dispatch to the first token; 0 if there was none.
	TTFT     time.Duration
	Duration time.Duration
}

// Chat sends req and calls emit for each chunk with content, in order. The returned
// failure is nil only for a complete answer: finish reason, [DONE], and a usage that
// does not exceed the request. An error of emit cancels the request.
func (c *Client) Chat(ctx context.Context, req ChatRequest, emit func(*Chunk) error) (res ChatResult, fail *Failure) {
	ctx, span := startSpan(ctx, "engine.chat", req.Address)
	defer func() { endSpan(span, fail) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	defer func() { res.Duration = time.Since(start) }()
	x, err := newExchange(ctx, http.MethodPost, "http://"+req.Address+chatPath, chatHeader(req.RequestID), req.Body)
	if err != nil {
		return res, &Failure{Outcome: structs.OutcomeError, Err: err}
	}
	dog := startWatchdog(cancel, c.opts.FirstByte, c.opts.Stall)
	defer dog.stop()
	resp, err := c.pool(req.Address).RoundTrip(x.req)
	if err != nil {
		return res, x.failure(ctx, err, 0)
	}
	defer resp.Body.Close()
	if fail := checkChatHead(resp, req.RequestID); fail != nil {
		return res, fail
	}
	s := &chatStream{ctx: ctx, x: x, events: newEventReader(resp.Body), dog: dog, start: start, emit: emit, limit: req.MaxTokens}
	fail = s.run()
	return s.res, fail
}

func chatHeader(requestID string) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, requestID)
	return h
}

func checkChatHead(resp *http.Response, requestID string) *Failure {
	f := &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != requestID {
		f.Err = ErrMismatch
		return f
	}
	switch s := resp.StatusCode; {
	case s == http.StatusOK:
		return nil
	case s >= 300 && s < 400:
		f.Err = ErrRedirect
	case s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable:
		f.Outcome = structs.OutcomeRefused
		f.Err = errors.Wrapf(ErrBadStatus, "status %d", s)
	default:
		f.Message = errorMessage(resp.Body)
		f.Err = errors.Wrapf(ErrBadStatus, "status %d", s)
	}
	return f
}

// errorMessage reads the message of an OpenAI-style error body.
func errorMessage(body io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBody))
	if err != nil {
		return ""
	}
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &e) != nil {
		return ""
	}
	return e.Error.Message
}

// chatStream reads one answer.
type chatStream struct {
	ctx    context.Context
	x      *exchange
	events *eventReader
	dog    *watchdog
	start  time.Time
	emit   func(*Chunk) error
	limit  int64 // tokens
	id     string
	res    ChatResult
}

func (s *chatStream) run() *Failure {
	for {
		ev, err := s.events.next()
		if err != nil {
			return s.readFailure(err)
		}
		s.dog.progress()
		if ev.data == "[DONE]" {
			return s.finish()
		}
		if fail := s.chunk(ev); fail != nil {
			return fail
		}
	}
}

func (s *chatStream) readFailure(err error) *Failure {
	if errors.Is(err, io.EOF) {
		err = ErrCut
	}
	if errors.Is(err, errLineTooLong) {
		return s.bad(errors.Wrap(ErrGarbled, err.Error()))
	}
	return s.x.failure(s.ctx, err, http.StatusOK)
}

func (s *chatStream) bad(err error) *Failure {
	return &Failure{Outcome: structs.OutcomeError, Written: true, Status: http.StatusOK, Err: err}
}

func (s *chatStream) chunk(ev event) *Failure {
	if ev.name == "error" {
		return s.bad(errors.Wrap(ErrGarbled, "the engine sent an error event"))
	}
	c, err := parseChunk([]byte(ev.data))
	if err != nil {
		return s.bad(err)
	}
	if s.id != "" && c.ID != "" && c.ID != s.id {
		return s.bad(ErrMismatch)
	}
	if c.ID != "" {
		s.id = c.ID
	}
	if c.Usage != nil {
		s.res.Usage, s.res.UsageKnown = *c.Usage, true
	}
	if len(c.Delta) > 0 && s.res.FinishReason != "" {
		return s.bad(errors.Wrap(ErrGarbled, "content after the finish reason"))
	}
	if c.FinishReason != "" {
		s.res.FinishReason = c.FinishReason
	}
	if !c.HasContent() {
		return nil
	}
	if s.res.TTFT == 0 && c.HasTokens() {
		s.res.TTFT = time.Since(s.start)
	}
	if err := s.emit(c); err != nil {
		if errors.Is(err, ErrGarbled) {
			return s.bad(err)
		}
		return &Failure{Outcome: structs.OutcomeCancelled, Written: true, Status: http.StatusOK, Err: err}
	}
	return nil
}

func (s *chatStream) finish() *Failure {
	if s.res.FinishReason == "" {
		return s.bad(errors.Wrap(ErrCut, "no finish reason"))
	}
	if s.res.UsageKnown && s.limit > 0 && s.res.Usage.CompletionTokens > s.limit {
		return s.bad(ErrOverlong)
	}
	return nil
}
