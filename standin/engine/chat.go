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
	// wrongPartialText is the answer to a partial answer that the engine would not have
	// given. A model would go on with any text; this makes the mistake visible.
	wrongPartialText = "<the partial answer is of another conversation>"
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

// valid reports whether the request can be run.
func (req *chatRequest) valid() bool {
	n := len(req.Messages)
	if n == 0 || !req.ContinueFinal {
		return n > 0
	}
	return n > 1 && req.Messages[n-1].Role == "assistant"
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *server.Request) {
	var req chatRequest
	if !r.Decode(w, &req) {
		return
	}
	if !req.valid() {
		server.WriteError(w, http.StatusBadRequest, "messages are missing, or there is no assistant message to continue")
		return
	}
	j := newJob(req)
	j.crash = e.cfg.CrashMarker != "" && strings.Contains(string(r.Payload), e.cfg.CrashMarker)
	if !e.submit(j) {
		w.Header().Set("Retry-After", strconv.Itoa(coldRetryAfterSec))
		server.WriteError(w, http.StatusServiceUnavailable, "engine is cold")
		return
	}
	defer e.cancel(j)
	model, _ := json.Marshal(req.Model)
	a := &answer{w: w, r: r, job: j, model: model, id: "chatcmpl-" + strconv.FormatUint(j.id, 10)}
	if req.Stream {
		a.stream()
		return
	}
	a.whole()
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
		tokens = []string{wrongPartialText}
	}
	limit := len(tokens)
	for _, n := range []int{req.MaxTokens, req.MaxCompletionTokens} {
		if n > 0 {
			limit = min(limit, n)
		}
	}
	return &job{
		priority: req.Priority,
		session:  req.SessionID,
		links:    links,
		prefix:   partial,
		tokens:   tokens,
		limit:    limit,
		prompt:   links[len(links)-1].Tokens + textTokens(partial),
		history:  historyTokens(messages, links) + textTokens(partial),
		out:      make(chan string, limit),
	}
}

// historyTokens returns the tokens up to the last assistant message.
func historyTokens(messages []Message, links []chainLink) int {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role == "assistant" {
			return links[i].Tokens
		}
	}
	return 0
}

// answer sends the tokens of a job to the caller.
type answer struct {
	w     http.ResponseWriter
	r     *server.Request
	job   *job
	model []byte // as JSON
	id    string
	sent  int
}

// next returns the next token, waiting for it. It returns "" after the last one, or where
// an injected fault cuts the answer.
func (a *answer) next() string {
	select {
	case t, ok := <-a.job.out:
		if !ok {
			return ""
		}
		if a.sent >= a.r.Fault.AfterTokens && a.midFault() {
			return ""
		}
		a.sent++
		return t
	case <-a.r.Context().Done():
		server.Abort()
		return ""
	}
}

// midFault applies a fault that acts in mid-answer. It returns true if the answer is to
// end early.
func (a *answer) midFault() bool {
	switch a.r.Fault.Kind {
	case server.FaultHalf:
		server.Abort()
	case server.FaultHangMid:
		<-a.r.Context().Done()
		server.Abort()
	case server.FaultGarbage:
		_, _ = io.WriteString(a.w, garbageText)
		a.flush()
		server.Abort()
	}
	return a.r.Fault.Kind == server.FaultCut
}

func (a *answer) flush() { _ = http.NewResponseController(a.w).Flush() }

func (a *answer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	role := `"role":"assistant",`
	for t := a.next(); t != ""; t = a.next() {
		content, _ := json.Marshal(t)
		a.chunk(`{`+role+`"content":`+string(content)+`}`, `null`, "")
		role = ""
	}
	if a.r.Fault.Kind == server.FaultCut {
		return
	}
	usage, _ := json.Marshal(a.usage())
	a.chunk(`{}`, `"`+a.finish()+`"`, `,"usage":`+string(usage))
	_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
	a.flush()
}

func (a *answer) chunk(delta, finish, rest string) {
	const form = `data: {"id":%q,"object":"chat.completion.chunk","model":%s,` +
		`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]%s}` + "\n\n"
	_, _ = fmt.Fprintf(a.w, form, a.id, a.model, delta, finish, rest)
	a.flush()
}

func (a *answer) whole() {
	var b strings.Builder
	for t := a.next(); t != ""; t = a.next() {
		b.WriteString(t)
	}
	server.WriteJSON(a.w, http.StatusOK, map[string]any{
		"id": a.id, "object": "chat.completion", "model": json.RawMessage(a.model),
		"choices": []any{map[string]any{"index": 0, "finish_reason": a.finish(), "message": Text("assistant", b.String())}},
		"usage":   a.usage(),
	})
}

func (a *answer) finish() string {
	if a.job.limit < len(a.job.tokens) {
		return "length"
	}
	return "stop"
}

func (a *answer) usage() map[string]any {
	return map[string]any{
		"prompt_tokens":         a.job.prompt,
		"completion_tokens":     a.sent,
		"total_tokens":          a.job.prompt + a.sent,
		"prompt_tokens_details": map[string]int{"cached_tokens": a.job.cached},
	}
}
