package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"strconv"

	"github.com/figlb/figlb/errs"
)

// chatRequest is a parsed chat completion request.
type chatRequest struct {
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int64    // 0: not given
	messages     [][]byte // compact JSON
	// fields are the caller's fields that go to the engine untouched.
	fields map[string]json.RawMessage
}

// ownFields are set by figlb on each request to an engine.
var ownFields = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens",
	"priority", "session_id", "continue_final_message",
}

func badBody(format string, args ...any) *errs.Error {
	return errs.New(errs.BadRequest, "correct the request body", format, args...)
}

// parseChat reads a request body.
func parseChat(body []byte) (*chatRequest, *errs.Error) {
	fields, e := decodeObject(body)
	if e != nil {
		return nil, e
	}
	q := &chatRequest{fields: fields}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var n *int64
	var maxTokens, maxCompletion *int64
	var messages []json.RawMessage
	for _, f := range []struct {
		name string
		kind string
		out  any
	}{
		{"model", "a string", &q.model},
		{"stream", "a boolean", &q.stream},
		{"stream_options", "an object with the boolean include_usage", &options},
		{"n", "a number", &n},
		{"max_tokens", "a whole number", &maxTokens},
		{"max_completion_tokens", "a whole number", &maxCompletion},
		{"messages", "an array", &messages},
	} {
		if raw, ok := fields[f.name]; ok && json.Unmarshal(raw, f.out) != nil {
			return nil, badBody("%s is not %s", f.name, f.kind)
		}
	}
	q.includeUsage = options.IncludeUsage
	if q.model == "" {
		return nil, badBody("model is missing")
	}
	if n != nil && *n != 1 {
		return nil, badBody("n must be 1")
	}
	if e := q.setMaxTokens(maxTokens, maxCompletion); e != nil {
		return nil, e
	}
	if e := q.setMessages(messages); e != nil {
		return nil, e
	}
	for _, name := range ownFields {
		delete(q.fields, name)
	}
	return q, nil
}

// decodeObject reads exactly one JSON object.
func decodeObject(body []byte) (map[string]json.RawMessage, *errs.Error) {
	var fields map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return nil, badBody("the body is not a JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, badBody("the body has text after the JSON object")
	}
	return fields, nil
}

func (q *chatRequest) setMaxTokens(values ...*int64) *errs.Error {
	for _, v := range values {
		if v == nil {
			continue
		}
		if *v < 1 {
			return badBody("max_tokens must be at least 1")
		}
		if q.maxTokens == 0 || *v < q.maxTokens {
			q.maxTokens = *v
		}
	}
	return nil
}

func (q *chatRequest) setMessages(raw []json.RawMessage) *errs.Error {
	if len(raw) == 0 {
		return badBody("messages is missing or empty")
	}
	for i, m := range raw {
		var head struct {
			Role string `json:"role"`
		}
		if bytes.TrimSpace(m)[0] != '{' || json.Unmarshal(m, &head) != nil || head.Role == "" {
			return badBody("message %d is not an object with a role", i)
		}
		var buf bytes.Buffer
		if err := json.Compact(&buf, m); err != nil {
			return badBody("message %d is not valid JSON", i)
		}
		q.messages = append(q.messages, buf.Bytes())
	}
	return nil
}

// digest identifies the request of a turn: a resend has the same one.
func (q *chatRequest) digest() string {
	return q.digestAfter(&history{})
}

// digestAfter identifies the whole prompt: the history and the new messages.
func (q *chatRequest) digestAfter(h *history) string {
	params, err := json.Marshal(q.fields) // map keys are sorted
	if err != nil {                       // raw messages were parsed before
		panic(err)
	}
	d := sha256.New()
	writePart := func(b []byte) {
		d.Write(b)
		d.Write([]byte{0}) // JSON never contains it
	}
	writePart([]byte(q.model))
	writePart(params)
	writePart(strconv.AppendInt(nil, q.maxTokens, 10))
	d.Write(h.chain.sum[:])
	for _, m := range q.messages {
		writePart(m)
	}
	return hex.EncodeToString(d.Sum(nil))
}

// role returns the role of a message.
func role(message []byte) string {
	var head struct {
		Role string `json:"role"`
	}
	if json.Unmarshal(message, &head) != nil {
		return ""
	}
	return head.Role
}
