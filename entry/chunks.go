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

// chunkEncoder encodes the chunks and the completion of one turn as JSON. They all have the
// same ID, even if several engines contributed to the answer.
type chunkEncoder struct {
	id      string
	model   string
	created int64 // Unix seconds
}

func newChunkEncoder(program, model string) *chunkEncoder {
	return &chunkEncoder{id: "chatcmpl-" + program, model: model, created: time.Now().Unix()}
}

func (w *chunkEncoder) envelope(kind string) map[string]any {
	return map[string]any{"id": w.id, "object": kind, "created": w.created, "model": w.model}
}

// contentChunk returns an engine's chunk under the ID of this turn, without finish reason
// and usage. All other fields are kept.
func (w *chunkEncoder) contentChunk(c *engine.Chunk) []byte {
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
	maps.Copy(out, w.envelope(objectChunk))
	out["choices"] = []any{choice}
	return mustJSON(out)
}

// answerChunk returns a complete recorded answer as a single chunk.
func (w *chunkEncoder) answerChunk(r *turnResult) []byte {
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
	out := w.envelope(objectChunk)
	out["choices"] = []any{map[string]any{"index": 0, "delta": delta, "finish_reason": nil}}
	return mustJSON(out)
}

// finishChunk returns the chunk with the finish reason.
func (w *chunkEncoder) finishChunk(r *turnResult) []byte {
	out := w.envelope(objectChunk)
	out["choices"] = []any{map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": r.finish}}
	return mustJSON(out)
}

// usage returns the chunk with the token usage, which is sent only to callers that requested
// it.
func (w *chunkEncoder) usage(r *turnResult) []byte {
	out := w.envelope(objectChunk)
	out["choices"] = []any{}
	out["usage"] = engine.NewUsage(r.usage)
	return mustJSON(out)
}

// completion returns the response to a non-streaming request.
func (w *chunkEncoder) completion(r *turnResult) map[string]any {
	out := w.envelope(objectCompletion)
	out["choices"] = []any{map[string]any{
		"index":         0,
		"message":       json.RawMessage(r.message),
		"finish_reason": r.finish,
		"logprobs":      nil,
	}}
	out["usage"] = engine.NewUsage(r.usage)
	return out
}

// mustJSON encodes a value that is known to be encodable and panics otherwise.
func mustJSON(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}
