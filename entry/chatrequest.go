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
	maxTokens    int64    // 0 if not set
	messages     [][]byte // compact JSON
	// fields are the request fields that are passed to the engine unchanged.
	fields map[string]json.RawMessage
}

// reservedFields are the request fields that figlb sets itself on each request to an engine.
var reservedFields = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens",
	"priority", "session_id", "continue_final_message",
}

func badBodyError(format string, args ...any) *errs.Error {
	return errs.New(errs.BadRequest, "correct the request body", format, args...)
}

// parseChat parses and validates the body of a chat completion request.
func parseChat(body []byte) (*chatRequest, *errs.Error) {
	fields, apiErr := decodeObject(body)
	if apiErr != nil {
		return nil, apiErr
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
			return nil, badBodyError("%s is not %s", f.name, f.kind)
		}
	}
	q.includeUsage = options.IncludeUsage
	if q.model == "" {
		return nil, badBodyError("model is missing")
	}
	if n != nil && *n != 1 {
		return nil, badBodyError("n must be 1")
	}
	if apiErr := q.setMaxTokens(maxTokens, maxCompletion); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := q.setMessages(messages); apiErr != nil {
		return nil, apiErr
	}
	for _, name := range reservedFields {
		delete(q.fields, name)
	}
	return q, nil
}

// decodeObject decodes a body that must consist of exactly one JSON object.
func decodeObject(body []byte) (map[string]json.RawMessage, *errs.Error) {
	var fields map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return nil, badBodyError("the body is not a JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, badBodyError("the body has text after the JSON object")
	}
	return fields, nil
}

func (q *chatRequest) setMaxTokens(values ...*int64) *errs.Error {
	for _, v := range values {
		if v == nil {
			continue
		}
		if *v < 1 {
			return badBodyError("max_tokens must be at least 1")
		}
		if q.maxTokens == 0 || *v < q.maxTokens {
			q.maxTokens = *v
		}
	}
	return nil
}

func (q *chatRequest) setMessages(raw []json.RawMessage) *errs.Error {
	if len(raw) == 0 {
		return badBodyError("messages is missing or empty")
	}
	for i, m := range raw {
		var head struct {
			Role string `json:"role"`
		}
		if bytes.TrimSpace(m)[0] != '{' || json.Unmarshal(m, &head) != nil || head.Role == "" {
			return badBodyError("message %d is not an object with a role", i)
		}
		var buf bytes.Buffer
		if err := json.Compact(&buf, m); err != nil {
			return badBodyError("message %d is not valid JSON", i)
		}
		q.messages = append(q.messages, buf.Bytes())
	}
	return nil
}

// digest identifies the request of a turn. A resend of the request has the same digest.
func (q *chatRequest) digest() string {
	return q.digestAfter(&history{})
}

// digestAfter identifies the whole prompt, that is, the history followed by the new
// messages.
func (q *chatRequest) digestAfter(h *history) string {
	params, err := json.Marshal(q.fields) // sorts the map keys
	if err != nil {                       // cannot fail: the raw messages are valid JSON
		panic(err)
	}
	d := sha256.New()
	writePart := func(b []byte) {
		d.Write(b)
		d.Write([]byte{0}) // separator; compact JSON contains no zero byte
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
