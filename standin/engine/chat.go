package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/figlb/figlb/standin/server"
)

const (
	chatPath          = "/v1/chat/completions"
	coldRetryAfterSec = 1
	garbageText       = "\x00\xff<html>this is no event stream</html>\n\n"
	// mismatchedPartialText is the answer to a request that continues a partial answer which
	// the engine would not have given to its messages. A real model would continue any text;
	// the fixed answer makes the mistake visible.
	mismatchedPartialText = "<the partial answer is of another conversation>"
)

type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Priority            int       `json:"priority"`
	SessionID           string    `json:"session_id"`
	ContinueFinal       bool      `json:"continue_final_message"`
}

// valid reports whether the request has messages and, if it continues an answer, ends with
// an assistant message after at least one other.
func (req *chatRequest) valid() bool {
	n := len(req.Messages)
	if n == 0 || !req.ContinueFinal {
		return n > 0
	}
	return n > 1 && req.Messages[n-1].Role == "assistant"
}

// handleChat serves POST /v1/chat/completions.
func (e *Engine) handleChat(w http.ResponseWriter, r *server.Request) {
	var req chatRequest
	if !r.Decode(w, &req) {
		return
	}
	if !req.valid() {
		server.WriteError(w, http.StatusBadRequest, "messages are missing, or there is no assistant message to continue")
		return
	}
	j := newJob(req)
	j.crashesEngine = e.cfg.CrashMarker != "" && strings.Contains(string(r.Payload), e.cfg.CrashMarker)
	if !e.submit(j) {
		w.Header().Set("Retry-After", strconv.Itoa(coldRetryAfterSec))
		server.WriteError(w, http.StatusServiceUnavailable, "engine is cold")
		return
	}
	defer e.cancel(j)
	model, _ := json.Marshal(req.Model)
	a := &answerWriter{w: w, r: r, job: j, model: model, id: "chatcmpl-" + strconv.FormatUint(j.id, 10)}
	if req.Stream {
		a.writeStream()
		return
	}
	a.writeWhole()
}

// newJob returns the job of a valid request.
func newJob(req chatRequest) *job {
	messages, partial := req.Messages, ""
	if req.ContinueFinal {
		last := len(messages) - 1
		messages, partial = messages[:last], messages[last].text()
	}
	links := chain(messages)
	tokens, ok := remaining(answerTokens(messages, links), partial)
	if !ok {
		tokens = []string{mismatchedPartialText}
	}
	limit := len(tokens)
	for _, n := range []int{req.MaxTokens, req.MaxCompletionTokens} {
		if n > 0 {
			limit = min(limit, n)
		}
	}
	return &job{
		priority:      req.Priority,
		session:       req.SessionID,
		links:         links,
		partialAnswer: partial,
		tokens:        tokens,
		limit:         limit,
		promptTokens:  links[len(links)-1].Tokens + textTokens(partial),
		history:       historyTokens(messages, links) + textTokens(partial),
		out:           make(chan string, limit),
	}
}

// historyTokens returns the number of tokens up to and including the last assistant message.
func historyTokens(messages []Message, links []chainLink) int {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role == "assistant" {
			return links[i].Tokens
		}
	}
	return 0
}

// answerWriter sends the tokens of a job to the caller.
type answerWriter struct {
	w     http.ResponseWriter
	r     *server.Request
	job   *job
	model []byte // as JSON
	id    string
	sent  int
}

// nextToken waits for the next token and returns it. It returns "" after the last token, or
// where an injected fault truncates the answer.
func (a *answerWriter) nextToken() string {
	select {
	case t, ok := <-a.job.out:
		if !ok {
			return ""
		}
		if a.sent >= a.r.Fault.AfterTokens && a.applyMidAnswerFault() {
			return ""
		}
		a.sent++
		return t
	case <-a.r.Context().Done():
		server.Abort()
		return ""
	}
}

// applyMidAnswerFault applies a fault that acts in the middle of an answer. It returns true
// if the answer is to be truncated.
func (a *answerWriter) applyMidAnswerFault() bool {
	switch a.r.Fault.Kind {
	case server.FaultDropMid:
		server.Abort()
	case server.FaultHangMid:
		<-a.r.Context().Done()
		server.Abort()
	case server.FaultGarbage:
		_, _ = io.WriteString(a.w, garbageText)
		a.flush()
		server.Abort()
	}
	return a.r.Fault.Kind == server.FaultTruncate
}

func (a *answerWriter) flush() { _ = http.NewResponseController(a.w).Flush() }

func (a *answerWriter) writeStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	role := `"role":"assistant",`
	for t := a.nextToken(); t != ""; t = a.nextToken() {
		content, _ := json.Marshal(t)
		a.writeChunk(`{`+role+`"content":`+string(content)+`}`, `null`, "")
		role = ""
	}
	if a.r.Fault.Kind == server.FaultTruncate {
		return
	}
	usage, _ := json.Marshal(a.usage())
	a.writeChunk(`{}`, `"`+a.finishReason()+`"`, `,"usage":`+string(usage))
	_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
	a.flush()
}

func (a *answerWriter) writeChunk(delta, finish, rest string) {
	const form = `data: {"id":%q,"object":"chat.completion.chunk","model":%s,` +
		`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]%s}` + "\n\n"
	_, _ = fmt.Fprintf(a.w, form, a.id, a.model, delta, finish, rest)
	a.flush()
}

func (a *answerWriter) writeWhole() {
	var b strings.Builder
	for t := a.nextToken(); t != ""; t = a.nextToken() {
		b.WriteString(t)
	}
	server.WriteJSON(a.w, http.StatusOK, map[string]any{
		"id": a.id, "object": "chat.completion", "model": json.RawMessage(a.model),
		"choices": []any{map[string]any{"index": 0, "finish_reason": a.finishReason(), "message": TextMessage("assistant", b.String())}},
		"usage":   a.usage(),
	})
}

func (a *answerWriter) finishReason() string {
	if a.job.limit < len(a.job.tokens) {
		return "length"
	}
	return "stop"
}

func (a *answerWriter) usage() map[string]any {
	return map[string]any{
		"prompt_tokens":         a.job.promptTokens,
		"completion_tokens":     a.sent,
		"total_tokens":          a.job.promptTokens + a.sent,
		"prompt_tokens_details": map[string]int{"cached_tokens": a.job.cachedTokens},
	}
}
