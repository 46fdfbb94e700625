package engine

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

// Chunk is one chunk of a streamed chat completion.
type Chunk struct {
	ID string
	// Fields is the whole JSON object, Choice its only choice and Delta the delta of that
	// choice. Choice and Delta are nil if the chunk does not have them.
	Fields       map[string]json.RawMessage
	Choice       map[string]json.RawMessage
	Delta        map[string]json.RawMessage
	FinishReason string
	Usage        *structs.Usage
}

// HasContent reports whether the chunk has a non-empty delta, which may be only the role.
func (c *Chunk) HasContent() bool { return len(c.Delta) > 0 }

// HasTokens reports whether the chunk carries generated tokens. A chunk with only the
// role, which engines send before the first token, does not.
func (c *Chunk) HasTokens() bool {
	for name, raw := range c.Delta {
		if name != "role" && !isNull(raw) && string(raw) != `""` {
			return true
		}
	}
	return false
}

// Usage is the usage object of the OpenAI API.
type Usage struct {
	PromptTokens     int64               `json:"prompt_tokens"`
	CompletionTokens int64               `json:"completion_tokens"`
	TotalTokens      int64               `json:"total_tokens"`
	Details          PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how many prompt tokens came from the engine's cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// NewUsage converts u to the usage object of the OpenAI API.
func NewUsage(u structs.Usage) Usage {
	return Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.Total(),
		Details:          PromptTokensDetails{CachedTokens: u.CachedTokens},
	}
}

// parseChunk decodes one chunk. All errors wrap ErrMalformed.
func parseChunk(data []byte) (*Chunk, error) {
	c := &Chunk{}
	if err := json.Unmarshal(data, &c.Fields); err != nil || c.Fields == nil {
		return nil, errors.Wrap(ErrMalformed, "chunk is not a JSON object")
	}
	if _, ok := c.Fields["error"]; ok {
		return nil, errors.Wrap(ErrMalformed, "the engine sent an error")
	}
	if raw, ok := c.Fields["id"]; ok && json.Unmarshal(raw, &c.ID) != nil {
		return nil, errors.Wrap(ErrMalformed, "chunk id is not a string")
	}
	if err := c.parseUsage(); err != nil {
		return nil, err
	}
	return c, c.parseChoice()
}

func (c *Chunk) parseUsage() error {
	raw, ok := c.Fields["usage"]
	if !ok || isNull(raw) {
		return nil
	}
	var u Usage
	if err := json.Unmarshal(raw, &u); err != nil || u.PromptTokens < 0 || u.CompletionTokens < 0 {
		return errors.Wrap(ErrMalformed, "usage is invalid")
	}
	c.Usage = &structs.Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		CachedTokens:     u.Details.CachedTokens,
	}
	return nil
}

func (c *Chunk) parseChoice() error {
	var choices []map[string]json.RawMessage
	raw, ok := c.Fields["choices"]
	if !ok {
		return errors.Wrap(ErrMalformed, "chunk has no choices")
	}
	if err := json.Unmarshal(raw, &choices); err != nil || len(choices) > 1 {
		return errors.Wrap(ErrMalformed, "choices are not an array of at most one object")
	}
	if len(choices) == 0 {
		return nil
	}
	c.Choice = choices[0]
	if raw, ok := c.Choice["delta"]; ok && json.Unmarshal(raw, &c.Delta) != nil {
		return errors.Wrap(ErrMalformed, "delta is not an object")
	}
	if raw, ok := c.Choice["finish_reason"]; ok && json.Unmarshal(raw, &c.FinishReason) != nil {
		return errors.Wrap(ErrMalformed, "finish reason is not a string")
	}
	return nil
}

func isNull(raw json.RawMessage) bool { return bytes.Equal(bytes.TrimSpace(raw), []byte("null")) }
