package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figlb/figlb/errs"
)

const (
	maxIdlePerEntry = 256
	maxEventBytes   = 1 << 20
	// defaultRetryAfter is used when a reply that may be retried does not say when.
	defaultRetryAfter = 200 * time.Millisecond
)

// Codes of errors that no entry reported.
const (
	codeBroken = "broken_connection"
	codeCut    = "cut_answer"
)

// httpClient follows no redirects. Requests are built without GetBody, so that the
// transport does not resend those that have an Idempotency-Key.
var httpClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// failure tells why an attempt got no answer.
type failure struct {
	Code       string
	Message    string
	Status     int // 0: no reply
	Run        errs.RunState
	RetryAfter time.Duration
}

// refused reports whether the request was turned away without being run.
func (f *failure) refused() bool {
	busy := f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
	return busy && f.Run == errs.NotRun
}

// retryable reports whether the caller may send the same request again.
func (f *failure) retryable() bool {
	switch {
	case f.Run == errs.Ran:
		return false
	case f.Status == 0, f.Status >= http.StatusInternalServerError, f.Status == http.StatusTooManyRequests:
		return true
	}
	return f.Code == string(errs.TurnInProgress) || f.Code == string(errs.CallInProgress)
}

// reply is what an attempt got.
type reply struct {
	fail   *failure
	body   []byte // of an answer that is no stream
	text   string // of a chat answer, also of a partial one
	finish string
	first  time.Duration // since the attempt was sent
	gaps   []time.Duration
}

// send makes one attempt. The reply's body is read unless it is an event stream.
func send(ctx context.Context, method, url string, header map[string]string, body any) *reply {
	req, err := newRequest(ctx, method, url, header, body)
	if err != nil {
		return broken(err)
	}
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return broken(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK {
		return readStream(resp, start)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken(err)
	}
	if resp.StatusCode/100 != 2 {
		return &reply{fail: readFailure(resp, data)}
	}
	return &reply{body: data, first: time.Since(start)}
}

func newRequest(ctx context.Context, method, url string, header map[string]string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		r = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return req, nil
}

func broken(err error) *reply {
	return &reply{fail: &failure{Code: codeBroken, Message: err.Error(), Run: errs.RunUnknown}}
}

type errorBody struct {
	Error struct {
		Code         json.RawMessage `json:"code"`
		Message      string          `json:"message"`
		Run          errs.RunState   `json:"run"`
		RetryAfterMS int64           `json:"retry_after_ms"`
	} `json:"error"`
}

func readFailure(resp *http.Response, data []byte) *failure {
	f := parseFailure(data)
	f.Status = resp.StatusCode
	if f.Code == "" {
		f.Code = "http_" + strconv.Itoa(resp.StatusCode)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil && f.RetryAfter == 0 {
		f.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return f
}

func parseFailure(data []byte) *failure {
	var b errorBody
	_ = json.Unmarshal(data, &b)
	return &failure{
		Code:       strings.Trim(string(b.Error.Code), `"`),
		Message:    b.Error.Message,
		Run:        b.Error.Run,
		RetryAfter: time.Duration(b.Error.RetryAfterMS) * time.Millisecond,
	}
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStream reads an answer up to [DONE].
func readStream(resp *http.Response, start time.Time) *reply {
	out := &reply{}
	var text strings.Builder
	last := start
	event := ""
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			event = strings.TrimSpace(name)
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if event == "error" {
			out.fail = parseFailure([]byte(data))
			out.fail.Status = resp.StatusCode
			break
		}
		if data == "[DONE]" {
			out.text = text.String()
			return out
		}
		if n := out.take([]byte(data), &text); n > 0 {
			now := time.Now()
			out.note(now.Sub(start), now.Sub(last))
			last = now
		}
	}
	out.text = text.String()
	if out.fail == nil {
		out.fail = endOfStream(lines.Err())
	}
	return out
}

// endOfStream tells a broken connection from an answer that ends too early.
func endOfStream(err error) *failure {
	code := codeBroken
	if err == nil {
		code, err = codeCut, errors.New("the stream ended before [DONE]")
	}
	return &failure{Code: code, Message: err.Error(), Run: errs.RunUnknown}
}

// take adds a chunk and returns the number of bytes of text in it.
func (r *reply) take(data []byte, text *strings.Builder) int {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return 0
	}
	n := 0
	for _, choice := range c.Choices {
		if choice.FinishReason != "" {
			r.finish = choice.FinishReason
		}
		text.WriteString(choice.Delta.Content + choice.Message.Content)
		n += len(choice.Delta.Content)
	}
	return n
}

// note records the time of an event with text.
func (r *reply) note(first, gap time.Duration) {
	if r.first == 0 {
		r.first = first
		return
	}
	r.gaps = append(r.gaps, gap)
}
