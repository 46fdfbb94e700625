package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
)

// Snapshot is an encoded state: the head followed by the chunks in order.
type Snapshot struct {
	Head   []byte
	Chunks []Chunk
}

// Chunk is a part of a state that stays the same from one snapshot to the next, so that it is
// stored only once. Chunks with equal keys have equal contents.
type Chunk struct {
	Key   string
	Size  int64    // bytes
	Parts [][]byte // contents, to be concatenated
}

// NewChunk returns a chunk with the given contents. Its key is the SHA-256 digest of them.
func NewChunk(parts [][]byte) Chunk {
	c := Chunk{Parts: parts}
	h := sha256.New()
	for _, p := range parts {
		h.Write(p) // Write of a hash.Hash never returns an error
		c.Size += int64(len(p))
	}
	c.Key = hex.EncodeToString(h.Sum(nil))
	return c
}

// Size returns the size of the encoded state in bytes.
func (s Snapshot) Size() int64 {
	n := int64(len(s.Head))
	for _, c := range s.Chunks {
		n += c.Size
	}
	return n
}

// Bytes returns the encoded state as one slice.
func (s Snapshot) Bytes() []byte {
	out := make([]byte, 0, s.Size())
	out = append(out, s.Head...)
	for _, c := range s.Chunks {
		for _, p := range c.Parts {
			out = append(out, p...)
		}
	}
	return out
}
