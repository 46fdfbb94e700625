package entry

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/structs"
)

const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
)

// turnResult is a complete answer.
type turnResult struct {
	message []byte // the assistant's message, JSON
	finish  string
	usage   structs.Usage
}

func recordedResult(t *structs.Turn) *turnResult {
	return &turnResult{message: t.Answer, finish: t.FinishReason, usage: t.Usage}
}

// chunkWriter writes the JSON of chunks and completions of one turn. All have the same
// id, also when several engines contributed.
type chunkWriter struct {
	id      string
	model   string
	created int64 // Unix seconds
}

func newChunkWriter(program, model string) *chunkWriter {
	return &chunkWriter{id: "chatcmpl-" + program, model: model, created: time.Now().Unix()}
}

func (w *chunkWriter) object(kind string) map[string]any {
	return map[string]any{"id": w.id, "object": kind, "created": w.created, "model": w.model}
}

// content returns an engine's chunk under this turn's id, without its finish reason
// and usage. The engine's other fields stay as they are.
func (w *chunkWriter) content(c *engine.Chunk) []byte {
	choice := map[string]any{}
	for name, raw := range c.Choice {
		choice[name] = raw
	}
	choice["index"] = 0
	choice["delta"] = c.Delta
	choice["finish_reason"] = nil
	out := map[string]any{}
	for name, raw := range c.Fields {
		out[name] = raw
	}
	delete(out, "usage")
	maps.Copy(out, w.object(objectChunk))
	out["choices"] = []any{choice}
	return mustJSON(out)
}

// whole returns a recorded answer as one chunk.
func (w *chunkWriter) whole(r *turnResult) []byte {
	var delta map[string]any
	if json.Unmarshal(r.message, &delta) != nil {
		delta = map[string]any{"role": "assistant"}
	}
	if calls, ok := delta["tool_calls"].([]any); ok {
		for i, c := range calls {
			if call, ok := c.(map[string]any); ok {
				call["index"] = i
			}
		}
	}
	out := w.object(objectChunk)
	out["choices"] = []any{map[string]any{"index": 0, "delta": delta, "finish_reason": nil}}
	return mustJSON(out)
}

// final returns the chunk with the finish reason.
func (w *chunkWriter) final(r *turnResult) []byte {
	out := w.object(objectChunk)
	out["choices"] = []any{map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": r.finish}}
	return mustJSON(out)
}

// usage returns the chunk for callers that asked for the usage.
func (w *chunkWriter) usage(r *turnResult) []byte {
	out := w.object(objectChunk)
	out["choices"] = []any{}
	out["usage"] = engine.ToJSON(r.usage)
	return mustJSON(out)
}

// completion returns the answer of a request without streaming.
func (w *chunkWriter) completion(r *turnResult) map[string]any {
	out := w.object(objectCompletion)
	out["choices"] = []any{map[string]any{
		"index":         0,
		"message":       json.RawMessage(r.message),
		"finish_reason": r.finish,
		"logprobs":      nil,
	}}
	out["usage"] = engine.ToJSON(r.usage)
	return out
}

// mustJSON encodes values that are known to have a JSON form.
func mustJSON(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}
