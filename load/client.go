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
	// defaultRetryAfter is the first backoff if a reply does not say when to retry.
	defaultRetryAfter = 200 * time.Millisecond
)

// Error codes for failures that the client itself detects, without an error reply.
const (
	codeConnectionBroken = "broken_connection"
	codeTruncated        = "cut_answer"
)

// httpClient does not follow redirects. Requests are built without GetBody, so that the
// transport does not transparently resend those that have an Idempotency-Key.
var httpClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// failure describes why an attempt got no complete answer.
type failure struct {
	Code       string
	Message    string
	Status     int // 0: no reply
	Run        errs.RunState
	RetryAfter time.Duration
}

// refused reports whether the request was rejected because of load, without being run.
func (f *failure) refused() bool {
	busy := f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
	return busy && f.Run == errs.NotRun
}

// retryable reports whether the caller may retry the request.
func (f *failure) retryable() bool {
	switch {
	case f.Run == errs.Ran:
		return false
	case f.Status == 0, f.Status >= http.StatusInternalServerError, f.Status == http.StatusTooManyRequests:
		return true
	}
	return f.Code == string(errs.TurnInProgress) || f.Code == string(errs.CallInProgress)
}

// reply is the outcome of one attempt.
type reply struct {
	fail       *failure
	body       []byte // of an answer that is not an event stream
	text       string // of a chat answer, complete or partial
	finish     string
	firstToken time.Duration // since the attempt was sent; sendWithRetries adds the time since the first attempt
	tokenGaps  []time.Duration
}

// send makes one attempt. An event stream is parsed while it arrives; any other body is
// read completely.
func send(ctx context.Context, method, url string, header map[string]string, body any) *reply {
	req, err := newRequest(ctx, method, url, header, body)
	if err != nil {
		return connectionFailure(err)
	}
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return connectionFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK {
		return readStream(resp, start)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionFailure(err)
	}
	if resp.StatusCode/100 != 2 {
		return &reply{fail: readFailure(resp, data)}
	}
	return &reply{body: data, firstToken: time.Since(start)}
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

// connectionFailure returns the reply for an attempt whose connection failed. Whether the
// request was run is unknown.
func connectionFailure(err error) *reply {
	return &reply{fail: &failure{Code: codeConnectionBroken, Message: err.Error(), Run: errs.RunUnknown}}
}

type errorBody struct {
	Error struct {
		Code         json.RawMessage `json:"code"`
		Message      string          `json:"message"`
		Run          errs.RunState   `json:"run"`
		RetryAfterMS int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// readFailure returns the failure that an error reply describes in its body and headers.
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

// readStream reads an event stream up to [DONE], an error event or its end.
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
		if n := out.addChunk([]byte(data), &text); n > 0 {
			now := time.Now()
			out.recordEventTime(now.Sub(start), now.Sub(last))
			last = now
		}
	}
	out.text = text.String()
	if out.fail == nil {
		out.fail = streamEndFailure(lines.Err())
	}
	return out
}

// streamEndFailure returns the failure for a stream that ended without [DONE]. A nil err
// means that the stream was closed cleanly, so the answer is truncated; otherwise the
// connection broke.
func streamEndFailure(err error) *failure {
	code := codeConnectionBroken
	if err == nil {
		code, err = codeTruncated, errors.New("the stream ended before [DONE]")
	}
	return &failure{Code: code, Message: err.Error(), Run: errs.RunUnknown}
}

// addChunk adds the text of a chunk, or of a whole answer, to text. It returns the number
// of bytes of streamed text in the chunk.
func (r *reply) addChunk(data []byte, text *strings.Builder) int {
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

// recordEventTime records the arrival of an event that contains text: the time to the first
// token for the first event, and the gap since the previous event for later ones.
func (r *reply) recordEventTime(firstToken, gap time.Duration) {
	if r.firstToken == 0 {
		r.firstToken = firstToken
		return
	}
	r.tokenGaps = append(r.tokenGaps, gap)
}
