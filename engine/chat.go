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
	// maxErrorBodyBytes limits how much of an engine's error response is read.
	maxErrorBodyBytes = 64 << 10
)

// ChatRequest is a streaming chat completion request to a model engine.
type ChatRequest struct {
	// Address is the host:port of the target.
	Address string
	// RequestID is sent in the header HeaderRequestID.
	RequestID string
	// Body is the JSON request body. It must request streaming with usage.
	Body []byte
	// MaxTokens is the maximum number of completion tokens. A response that reports
	// more is a failure. 0 disables the check.
	MaxTokens int64
}

// ChatResult describes a response stream, whether it is complete or was interrupted.
type ChatResult struct {
	FinishReason string
	// Usage is valid only if UsageKnown is true, that is, if the engine reported it.
	Usage      structs.Usage
	UsageKnown bool
	// TTFT is the time from dispatch to the first token, 0 if no token arrived.
	TTFT     time.Duration
	Duration time.Duration
}

// Chat sends req and calls emit for each chunk with content, in order. The returned
// failure is nil only for a complete response: it has a finish reason, ends with [DONE]
// and, if the engine reports usage, does not exceed req.MaxTokens. An error returned by
// emit ends the request. Its outcome is OutcomeError if the error wraps ErrMalformed, and
// OutcomeCancelled otherwise.
func (c *Client) Chat(ctx context.Context, req ChatRequest, emit func(*Chunk) error) (result ChatResult, fail *Failure) {
	ctx, span := startSpan(ctx, "engine.chat", req.Address)
	defer func() { endSpan(span, fail) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	defer func() { result.Duration = time.Since(start) }()
	x, err := newExchange(ctx, http.MethodPost, "http://"+req.Address+chatPath, chatHeader(req.RequestID), req.Body)
	if err != nil {
		return result, &Failure{Outcome: structs.OutcomeError, Err: err}
	}
	wd := startWatchdog(cancel, c.opts.FirstEventTimeout, c.opts.StallTimeout)
	defer wd.stop()
	resp, err := c.pooledTransport(req.Address).RoundTrip(x.req)
	if err != nil {
		return result, x.failure(ctx, err, 0)
	}
	defer resp.Body.Close()
	if fail := checkChatResponse(resp, req.RequestID); fail != nil {
		return result, fail
	}
	s := &chatStream{ctx: ctx, x: x, events: newEventReader(resp.Body), wd: wd, start: start, emit: emit, maxTokens: req.MaxTokens}
	fail = s.run()
	return s.result, fail
}

func chatHeader(requestID string) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, requestID)
	return h
}

// checkChatResponse checks the response header. It returns nil if the status is 200 and the
// response belongs to the request. Status 429 and 503 mean that the engine refused the
// request.
func checkChatResponse(resp *http.Response, requestID string) *Failure {
	f := &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode}
	if echoedID := resp.Header.Get(HeaderRequestID); echoedID != "" && echoedID != requestID {
		f.Err = ErrResponseMismatch
		return f
	}
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		return nil
	case status >= 300 && status < 400:
		f.Err = ErrRedirect
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		f.Outcome = structs.OutcomeRefused
		f.Err = errors.Wrapf(ErrBadStatus, "status %d", status)
	default:
		f.Message = errorMessage(resp.Body)
		f.Err = errors.Wrapf(ErrBadStatus, "status %d", status)
	}
	return f
}

// errorMessage returns the message in an OpenAI-style error body, or "" if there is none.
func errorMessage(body io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
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

// chatStream reads the event stream of one response.
type chatStream struct {
	ctx        context.Context
	x          *exchange
	events     *eventReader
	wd         *watchdog
	start      time.Time
	emit       func(*Chunk) error
	maxTokens  int64
	responseID string
	result     ChatResult
}

// run reads events until [DONE], the end of the stream or a failure.
func (s *chatStream) run() *Failure {
	for {
		ev, err := s.events.next()
		if err != nil {
			return s.readFailure(err)
		}
		s.wd.reset()
		if ev.data == "[DONE]" {
			return s.finish()
		}
		if fail := s.handleChunk(ev); fail != nil {
			return fail
		}
	}
}

// readFailure classifies an error of reading the event stream. An end of the stream before
// [DONE] is ErrTruncated.
func (s *chatStream) readFailure(err error) *Failure {
	if errors.Is(err, io.EOF) {
		err = ErrTruncated
	}
	if errors.Is(err, errLineTooLong) {
		return s.errorFailure(errors.Wrap(ErrMalformed, err.Error()))
	}
	return s.x.failure(s.ctx, err, http.StatusOK)
}

// errorFailure returns a failure with OutcomeError, for an invalid event stream.
func (s *chatStream) errorFailure(err error) *Failure {
	return &Failure{Outcome: structs.OutcomeError, Written: true, Status: http.StatusOK, Err: err}
}

// handleChunk parses one event, updates the result and passes content to emit.
func (s *chatStream) handleChunk(ev event) *Failure {
	if ev.name == "error" {
		return s.errorFailure(errors.Wrap(ErrMalformed, "the engine sent an error event"))
	}
	c, err := parseChunk([]byte(ev.data))
	if err != nil {
		return s.errorFailure(err)
	}
	if s.responseID != "" && c.ID != "" && c.ID != s.responseID {
		return s.errorFailure(ErrResponseMismatch)
	}
	if c.ID != "" {
		s.responseID = c.ID
	}
	if c.Usage != nil {
		s.result.Usage, s.result.UsageKnown = *c.Usage, true
	}
	if len(c.Delta) > 0 && s.result.FinishReason != "" {
		return s.errorFailure(errors.Wrap(ErrMalformed, "content after the finish reason"))
	}
	if c.FinishReason != "" {
		s.result.FinishReason = c.FinishReason
	}
	if !c.HasContent() {
		return nil
	}
	if s.result.TTFT == 0 && c.HasTokens() {
		s.result.TTFT = time.Since(s.start)
	}
	if err := s.emit(c); err != nil {
		if errors.Is(err, ErrMalformed) {
			return s.errorFailure(err)
		}
		return &Failure{Outcome: structs.OutcomeCancelled, Written: true, Status: http.StatusOK, Err: err}
	}
	return nil
}

// finish checks that a stream that ended with [DONE] is complete.
func (s *chatStream) finish() *Failure {
	if s.result.FinishReason == "" {
		return s.errorFailure(errors.Wrap(ErrTruncated, "no finish reason"))
	}
	if s.result.UsageKnown && s.maxTokens > 0 && s.result.Usage.CompletionTokens > s.maxTokens {
		return s.errorFailure(ErrTokenLimitExceeded)
	}
	return nil
}
