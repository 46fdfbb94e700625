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

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := e.faults.Take(r.URL.Path, string(body))
	if fault.Kind == server.FaultCrash {
		e.Crash()
		server.Abort()
	}
	if fault.Before(w, r) {
		return
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		server.WriteError(w, http.StatusBadRequest, "body has no messages")
		return
	}
	j, problem := newJob(req)
	if problem != "" {
		server.WriteError(w, http.StatusBadRequest, problem)
		return
	}
	j.crash = e.cfg.CrashMarker != "" && strings.Contains(string(body), e.cfg.CrashMarker)
	if !e.arrive(req) {
		w.Header().Set("Retry-After", strconv.Itoa(coldRetryAfterSec))
		server.WriteError(w, http.StatusServiceUnavailable, "engine is cold")
		return
	}
	e.submit(j)
	defer e.cancel(j)
	a := &answer{w: w, r: r, job: j, model: req.Model, id: "chatcmpl-" + strconv.FormatUint(j.id, 10), fault: fault}
	if req.Stream {
		a.stream()
		return
	}
	a.whole()
}

// arrive counts a request and tells whether a cold engine takes it.
func (e *Engine) arrive(req chatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if req.ContinueFinal {
		e.stats.Continued++
	}
	if !e.isCold() || len(e.queue)+len(e.running) < e.coldSlots {
		return true
	}
	e.stats.ColdOverloads++
	return e.cfg.ColdMode != ColdRefuse
}

// newJob returns the job of a request, or what is wrong with the request.
func newJob(req chatRequest) (*job, string) {
	messages, partial := req.Messages, ""
	if req.ContinueFinal {
		last := messages[len(messages)-1]
		if last.Role != "assistant" {
			return nil, "continue_final_message needs an assistant message at the end"
		}
		messages, partial = messages[:len(messages)-1], last.text()
	}
	links := chain(messages)
	j := &job{priority: req.Priority, session: req.SessionID, links: links, prefix: partial}
	tokens, ok := remaining(answerTokens(messages, links), partial)
	if !ok {
		// A model would go on with any text; this makes the mistake visible.
		tokens = []string{"<the partial answer is of another conversation>"}
	}
	j.tokens = tokens
	j.limit = len(tokens)
	for _, limit := range []int{req.MaxTokens, req.MaxCompletionTokens} {
		if limit > 0 {
			j.limit = min(j.limit, limit)
		}
	}
	if len(links) > 0 {
		j.prompt = links[len(links)-1].Tokens
	}
	j.history = historyTokens(messages, links) + textTokens(partial)
	j.prompt += textTokens(partial)
	j.out = make(chan string, len(tokens))
	return j, ""
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
	r     *http.Request
	job   *job
	model string
	id    string
	fault server.Fault
	sent  int
}

// next returns the next tokens that are ready, waiting for at least one. ok is false
// after the last one.
func (a *answer) next() (text string, ok bool) {
	select {
	case t, more := <-a.job.out:
		if !more {
			return "", false
		}
		text = t
	case <-a.r.Context().Done():
		server.Abort()
	}
	a.sent++
	a.midFault()
	for a.fault.Kind == "" {
		select {
		case t, more := <-a.job.out:
			if !more {
				return text, true // the closed channel is seen again by the next call
			}
			text += t
			a.sent++
		default:
			return text, true
		}
	}
	return text, true
}

// midFault applies a fault that acts in mid-answer.
func (a *answer) midFault() {
	if a.sent <= a.fault.AfterTokens {
		return
	}
	switch a.fault.Kind {
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
}

// cut tells whether the answer is to end early.
func (a *answer) cut() bool {
	return a.fault.Kind == server.FaultCut && a.sent > a.fault.AfterTokens
}

func (a *answer) flush() { _ = http.NewResponseController(a.w).Flush() }

func (a *answer) stream() {
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	role := `"role":"assistant",`
	for {
		text, ok := a.next()
		if !ok {
			break
		}
		if a.cut() {
			return
		}
		content, _ := json.Marshal(text)
		a.chunk(`{`+role+`"content":`+string(content)+`}`, `null`, "")
		role = ""
	}
	use, _ := json.Marshal(a.usage())
	a.chunk(`{}`, `"`+a.finish()+`"`, `,"usage":`+string(use))
	_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
	a.flush()
}

func (a *answer) chunk(delta, finish, rest string) {
	const form = `data: {"id":%q,"object":"chat.completion.chunk","model":%q,` +
		`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]%s}` + "\n\n"
	_, _ = fmt.Fprintf(a.w, form, a.id, a.model, delta, finish, rest)
	a.flush()
}

func (a *answer) whole() {
	var b strings.Builder
	for {
		text, ok := a.next()
		if !ok {
			break
		}
		if a.cut() {
			break
		}
		b.WriteString(text)
	}
	server.WriteJSON(a.w, http.StatusOK, map[string]any{
		"id": a.id, "object": "chat.completion", "model": a.model,
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

func (a *answer) usage() usage {
	j := a.job
	return usage{
		PromptTokens:     j.prompt,
		CompletionTokens: j.sent,
		TotalTokens:      j.prompt + j.sent,
		Details:          promptDetails{CachedTokens: j.cached},
	}
}
