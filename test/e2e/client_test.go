package e2e_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/standin/engine"
)

// caller is an HTTP client that authenticates with one API key.
type caller struct {
	key  string
	http *http.Client
}

func newCaller(key string) *caller {
	return &caller{key: key, http: &http.Client{
		Timeout:   60 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
}

// apiError is the error object in figlb's error responses.
type apiError struct {
	Status       int
	Code         errs.Code     `json:"code"`
	Message      string        `json:"message"`
	Run          errs.RunState `json:"run"`
	RetryAfterMS int64         `json:"retry_after_ms"`
}

// serviceError is an error response of a plain service, which figlb forwards.
type serviceError struct {
	Status int
	Body   string
}

func (e *serviceError) Error() string {
	return fmt.Sprintf("service answered %d: %.200s", e.Status, e.Body)
}

func (e *apiError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Run, e.Message)
}

func (c *caller) request(method, url string, header map[string]string, body any) (*http.Response, error) {
	var r io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		// The struct hides the reader's type, so that net/http sets no GetBody and never resends.
		r = struct{ io.Reader }{bytes.NewReader(data)}
	}
	req, err := http.NewRequest(method, url, r)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.http.Do(req)
}

// do returns the body of a successful response. The error is an *apiError, a *serviceError or a
// transport error.
func (c *caller) do(method, url string, header map[string]string, body any) ([]byte, error) {
	resp, err := c.request(method, url, header, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, parseError(resp.StatusCode, data)
	}
	return data, nil
}

func parseError(status int, data []byte) error {
	var b struct{ Error *apiError }
	if json.Unmarshal(data, &b) != nil || b.Error == nil || b.Error.Code == "" {
		return &serviceError{Status: status, Body: string(data)}
	}
	b.Error.Status = status
	return b.Error
}

// openProgram opens a program and returns its id.
func (c *caller) openProgram(entry string, body map[string]any) (string, error) {
	data, err := c.do(http.MethodPost, "http://"+entry+"/v1/programs", nil, body)
	if err != nil {
		return "", err
	}
	var p struct{ ID string }
	return p.ID, json.Unmarshal(data, &p)
}

type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	Stream    bool             `json:"stream,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
}

func turnHeader(program string, turn int) map[string]string {
	return map[string]string{"Figlb-Program": program, "Figlb-Turn": fmt.Sprint(turn)}
}

// chat runs a turn without streaming and returns the answer's text.
func (c *caller) chat(entry string, header map[string]string, body chatBody) (string, error) {
	data, err := c.do(http.MethodPost, "http://"+entry+"/v1/chat/completions", header, body)
	if err != nil {
		return "", err
	}
	var r struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(data, &r); err != nil || len(r.Choices) != 1 {
		return "", errors.Errorf("malformed completion: %.200s", data)
	}
	return r.Choices[0].Message.Content, nil
}

// stream runs a turn as a stream and returns the text. It returns an error unless the stream ends
// with [DONE]. It calls onToken, unless nil, for each non-empty piece of text.
func (c *caller) stream(entry string, header map[string]string, body chatBody, onToken func()) (string, error) {
	body.Stream = true
	resp, err := c.request(http.MethodPost, "http://"+entry+"/v1/chat/completions", header, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return "", parseError(resp.StatusCode, data)
	}
	return readStream(resp.Body, onToken)
}

func readStream(r io.Reader, onToken func()) (string, error) {
	var text strings.Builder
	event := ""
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		line := scan.Text()
		if e, ok := strings.CutPrefix(line, "event: "); ok {
			event = e
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		if event == "error" {
			return text.String(), parseError(0, []byte(data))
		}
		piece, err := delta(data)
		if err != nil {
			return text.String(), err
		}
		if piece != "" && onToken != nil {
			onToken()
		}
		text.WriteString(piece)
	}
	return text.String(), errors.Errorf("stream ended without [DONE] after %d bytes: %v", text.Len(), scan.Err())
}

func delta(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", errors.Wrapf(err, "chunk %.100s", data)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}

// conversation is the history of a program from its caller's point of view.
type conversation struct {
	program  string
	messages []engine.Message
	turns    int
}

// nextTurn returns the user message of the next turn and the answer that an engine gives if it
// receives the complete history of this conversation and nothing else.
func (v *conversation) nextTurn(text string) (engine.Message, string) {
	m := engine.TextMessage("user", text)
	return m, engine.Answer(append(append([]engine.Message(nil), v.messages...), m))
}

func (v *conversation) record(m engine.Message, answer string) {
	v.messages = append(v.messages, m, engine.TextMessage("assistant", answer))
	v.turns++
}

// runTurn runs the next turn through random entries and checks the answer. It resends the turn under
// the same number until it is answered, the deadline passes or a non-retryable error is returned.
func (v *conversation) runTurn(c *caller, entries func() string, text string, deadline time.Time) error {
	m, want := v.nextTurn(text)
	var last error
	for time.Now().Before(deadline) {
		got, err := c.chat(entries(), turnHeader(v.program, v.turns+1), chatBody{Model: "chat", Messages: []engine.Message{m}})
		if err == nil {
			if got != want {
				return errors.Errorf("turn %d of %s: got %.60q, want %.60q", v.turns+1, v.program, got, want)
			}
			v.record(m, got)
			return nil
		}
		last = err
		var api *apiError
		if errors.As(err, &api) && api.Status/100 == 4 && api.Code != errs.TurnInProgress && api.Code != errs.RateLimited {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Wrapf(last, "turn %d of %s not answered in time", v.turns+1, v.program)
}
