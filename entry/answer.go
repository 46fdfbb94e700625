package entry

import (
	"encoding/json"
	"strings"

	"github.com/figlb/figlb/engine"
)

// answerBuilder merges the deltas of a streamed answer into the assistant's message.
type answerBuilder struct {
	text          strings.Builder // the field "content"
	hasText       bool
	toolCalls     map[int]map[string]any
	toolCallOrder []int
	otherFields   map[string]any
	// tokenChunks counts the chunks that contain tokens; it approximates the number of
	// tokens received.
	tokenChunks int64
}

func newAnswerBuilder() *answerBuilder {
	return &answerBuilder{toolCalls: map[int]map[string]any{}, otherFields: map[string]any{}}
}

// continuable reports whether another engine can continue the answer, which is only possible
// if it consists of text alone.
func (a *answerBuilder) continuable() bool { return len(a.toolCalls) == 0 && len(a.otherFields) == 0 }

// empty reports whether no part of the answer has been received.
func (a *answerBuilder) empty() bool { return !a.hasText && a.continuable() }

// add merges one chunk. It returns engine.ErrGarbled if the delta does not follow the OpenAI
// schema.
func (a *answerBuilder) add(c *engine.Chunk) error {
	if c.HasTokens() {
		a.tokenChunks++
	}
	for name, raw := range c.Delta {
		var v any
		if err := json.Unmarshal(raw, &v); err != nil {
			return engine.ErrMalformed
		}
		if v == nil || name == "role" {
			continue
		}
		if err := a.addField(name, v); err != nil {
			return err
		}
	}
	return nil
}

func (a *answerBuilder) addField(name string, v any) error {
	s, isText := v.(string)
	switch {
	case name == "content" && isText:
		a.text.WriteString(s)
		a.hasText = a.hasText || s != ""
	case name == "content":
		return engine.ErrMalformed
	case name == "tool_calls":
		return a.addToolCalls(v)
	case isText:
		if s == "" {
			return nil
		}
		old, _ := a.otherFields[name].(string)
		a.otherFields[name] = old + s
	default:
		a.otherFields[name] = v
	}
	return nil
}

func (a *answerBuilder) addToolCalls(v any) error {
	list, ok := v.([]any)
	if !ok {
		return engine.ErrMalformed
	}
	for _, item := range list {
		part, ok := item.(map[string]any)
		if !ok {
			return engine.ErrMalformed
		}
		index, _ := part["index"].(float64)
		call, ok := a.toolCalls[int(index)]
		if !ok {
			call = map[string]any{}
			a.toolCalls[int(index)] = call
			a.toolCallOrder = append(a.toolCallOrder, int(index))
		}
		delete(part, "index")
		mergeToolCall(call, part)
	}
	return nil
}

// mergeToolCall merges a delta into a tool call. The id, type and name of a tool call arrive
// in a single delta; only the arguments are split over several deltas and are concatenated.
func mergeToolCall(call, part map[string]any) {
	for name, v := range part {
		switch v := v.(type) {
		case map[string]any:
			sub, ok := call[name].(map[string]any)
			if !ok {
				sub = map[string]any{}
				call[name] = sub
			}
			mergeToolCall(sub, v)
		case string:
			old, _ := call[name].(string)
			if name == "arguments" {
				call[name] = old + v
			} else if old == "" {
				call[name] = v
			}
		default:
			call[name] = v
		}
	}
}

// message returns the assistant's message as JSON.
func (a *answerBuilder) message() []byte {
	m := map[string]any{"role": "assistant", "content": nil}
	if a.hasText || len(a.toolCalls) == 0 {
		m["content"] = a.text.String()
	}
	for name, v := range a.otherFields {
		m[name] = v
	}
	if len(a.toolCalls) > 0 {
		calls := make([]any, 0, len(a.toolCalls))
		for _, i := range a.toolCallOrder {
			calls = append(calls, a.toolCalls[i])
		}
		m["tool_calls"] = calls
	}
	out, err := json.Marshal(m)
	if err != nil { // cannot fail: all values were decoded from JSON
		panic(err)
	}
	return out
}

// partialMessage returns the text received so far as a message for a request with
// continue_final_message.
func (a *answerBuilder) partialMessage() []byte {
	out, err := json.Marshal(map[string]string{"role": "assistant", "content": a.text.String()})
	if err != nil { // cannot fail: strings always have a JSON form
		panic(err)
	}
	return out
}
