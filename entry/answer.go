package entry

import (
	"encoding/json"
	"strings"

	"github.com/figlb/figlb/engine"
)

// answer collects the deltas of an answer into the assistant's message.
type answer struct {
	text      strings.Builder // field "content"
	hasText   bool
	tools     map[int]map[string]any
	toolOrder []int
	other     map[string]any
	// chunks is the number of chunks with tokens, an estimate of the tokens received.
	chunks int64
}

func newAnswer() *answer {
	return &answer{tools: map[int]map[string]any{}, other: map[string]any{}}
}

// continuable reports whether another engine can continue the answer: it is text only.
func (a *answer) continuable() bool { return len(a.tools) == 0 && len(a.other) == 0 }

// empty reports whether nothing has arrived.
func (a *answer) empty() bool { return !a.hasText && a.continuable() }

// add takes one chunk. It fails if the delta does not have the OpenAI shape.
func (a *answer) add(c *engine.Chunk) error {
	if c.HasTokens() {
		a.chunks++
	}
	for name, raw := range c.Delta {
		var v any
		if err := json.Unmarshal(raw, &v); err != nil {
			return engine.ErrGarbled
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

func (a *answer) addField(name string, v any) error {
	s, isText := v.(string)
	switch {
	case name == "content" && isText:
		a.text.WriteString(s)
		a.hasText = a.hasText || s != ""
	case name == "content":
		return engine.ErrGarbled
	case name == "tool_calls":
		return a.addToolCalls(v)
	case isText:
		if s == "" {
			return nil
		}
		old, _ := a.other[name].(string)
		a.other[name] = old + s
	default:
		a.other[name] = v
	}
	return nil
}

func (a *answer) addToolCalls(v any) error {
	list, ok := v.([]any)
	if !ok {
		return engine.ErrGarbled
	}
	for _, item := range list {
		part, ok := item.(map[string]any)
		if !ok {
			return engine.ErrGarbled
		}
		index, _ := part["index"].(float64)
		call, ok := a.tools[int(index)]
		if !ok {
			call = map[string]any{}
			a.tools[int(index)] = call
			a.toolOrder = append(a.toolOrder, int(index))
		}
		delete(part, "index")
		mergeDelta(call, part)
	}
	return nil
}

// mergeDelta appends the strings of part to those of call. The id, type and name of a
// tool call arrive whole; only arguments come in pieces.
func mergeDelta(call, part map[string]any) {
	for name, v := range part {
		switch v := v.(type) {
		case map[string]any:
			sub, ok := call[name].(map[string]any)
			if !ok {
				sub = map[string]any{}
				call[name] = sub
			}
			mergeDelta(sub, v)
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
func (a *answer) message() []byte {
	m := map[string]any{"role": "assistant", "content": nil}
	if a.hasText || len(a.tools) == 0 {
		m["content"] = a.text.String()
	}
	for name, v := range a.other {
		m[name] = v
	}
	if len(a.tools) > 0 {
		calls := make([]any, 0, len(a.tools))
		for _, i := range a.toolOrder {
			calls = append(calls, a.tools[i])
		}
		m["tool_calls"] = calls
	}
	out, err := json.Marshal(m)
	if err != nil { // values came from JSON: cannot fail
		panic(err)
	}
	return out
}

// partialMessage returns the text so far for continue_final_message.
func (a *answer) partialMessage() []byte {
	out, err := json.Marshal(map[string]string{"role": "assistant", "content": a.text.String()})
	if err != nil { // a string: cannot fail
		panic(err)
	}
	return out
}
