package entry

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a common estimate for text. It is only used until the engine
	// has counted the history.
	bytesPerToken = 4
	// maxPrefixes bounds the prefixes of a request; the longest ones are kept.
	maxPrefixes = 64
)

// promptChain summarizes a sequence of messages. It is extended message by message, so
// that the cost of a turn does not grow with the length of the history. The zero value
// is the empty sequence. Values may be copied; the slices are shared and append-only.
type promptChain struct {
	hash   xxhash.Digest
	sum    [sha256.Size]byte // over the sum before and the message
	bytes  int64
	count  int
	system bool // all messages so far are system messages
	// hashes and ends (in bytes) of the prefixes at which earlier prompts ended: the
	// system messages, and each prompt before its answer.
	hashes []uint64
	ends   []int64
}

// add returns the chain with one more message.
func (c promptChain) add(message []byte) promptChain {
	r := role(message)
	if c.count == 0 {
		c.hash.Reset()
		c.system = true
	} else if r == "assistant" || c.system && r != "system" {
		c.hashes = append(c.hashes[:len(c.hashes):len(c.hashes)], c.hash.Sum64())
		c.ends = append(c.ends[:len(c.ends):len(c.ends)], c.bytes)
	}
	c.system = c.system && r == "system"
	_, _ = c.hash.Write(message) // never fails
	_, _ = c.hash.Write([]byte{0})
	c.sum = sha256.Sum256(append(c.sum[:], message...))
	c.bytes += int64(len(message))
	c.count++
	return c
}

func (c promptChain) addAll(messages [][]byte) promptChain {
	for _, m := range messages {
		c = c.add(m)
	}
	return c
}

// promptPrefixes describes a prompt to the scheduler.
type promptPrefixes struct {
	hashes []uint64
	tokens []int64
	total  int64 // tokens of the whole prompt
}

// prefixes returns the prefixes of a prompt, the whole prompt last. known is the
// engine's token count of the first historyBytes bytes; 0: not counted yet.
func (c promptChain) prefixes(model string, historyBytes, known int64) promptPrefixes {
	scale := 1.0 / bytesPerToken
	if historyBytes > 0 && known > 0 {
		scale = float64(known) / float64(historyBytes)
	}
	seed := xxhash.Sum64String(model)
	var p promptPrefixes
	first := max(0, len(c.hashes)-maxPrefixes+1)
	for i := first; i < len(c.hashes); i++ {
		p.hashes = append(p.hashes, seed^c.hashes[i])
		p.tokens = append(p.tokens, int64(float64(c.ends[i])*scale))
	}
	p.total = int64(float64(c.bytes) * scale)
	p.hashes = append(p.hashes, seed^c.hash.Sum64())
	p.tokens = append(p.tokens, p.total)
	return p
}
