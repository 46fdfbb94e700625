package entry

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a common estimate for text. It is used only until an engine has
	// counted the tokens of the history.
	bytesPerToken = 4
	// maxPrefixes bounds the number of prefixes sent with a request. The longest ones are
	// kept.
	maxPrefixes = 64
)

// promptChain is a hash chain over a sequence of messages, with the hashes of its prefixes.
// It is extended message by message, so that the cost of a turn does not grow with the
// length of the history. The zero value is the empty sequence. Values may be copied; copies
// share their slices, which are never modified in place.
type promptChain struct {
	prefixHash   xxhash.Digest
	sum          [sha256.Size]byte // over the previous sum and the last message
	bytes        int64
	messageCount int
	onlySystem   bool // whether all messages so far are system messages
	// prefixHashes and prefixEnds hold the hash and the length in bytes of each prefix that
	// later prompts may share: the system messages, and each prompt before its answer.
	prefixHashes []uint64
	prefixEnds   []int64
}

// add returns the chain extended by one message.
func (c promptChain) add(message []byte) promptChain {
	r := role(message)
	if c.messageCount == 0 {
		c.prefixHash.Reset()
		c.onlySystem = true
	} else if r == "assistant" || c.onlySystem && r != "system" {
		c.prefixHashes = append(c.prefixHashes[:len(c.prefixHashes):len(c.prefixHashes)], c.prefixHash.Sum64())
		c.prefixEnds = append(c.prefixEnds[:len(c.prefixEnds):len(c.prefixEnds)], c.bytes)
	}
	c.onlySystem = c.onlySystem && r == "system"
	_, _ = c.prefixHash.Write(message) // never returns an error
	_, _ = c.prefixHash.Write([]byte{0})
	c.sum = sha256.Sum256(append(c.sum[:], message...))
	c.bytes += int64(len(message))
	c.messageCount++
	return c
}

func (c promptChain) addAll(messages [][]byte) promptChain {
	for _, m := range messages {
		c = c.add(m)
	}
	return c
}

// promptPrefixes describes a prompt to the scheduler for prefix-cache affinity.
type promptPrefixes struct {
	prefixHashes []uint64
	tokens       []int64
	total        int64 // number of tokens of the whole prompt
}

// prefixes returns the prefixes of a prompt; the last one is the whole prompt. known is the
// token count of the first historyBytes bytes as reported by the engine, or 0 if it is not
// known yet.
func (c promptChain) prefixes(model string, historyBytes, known int64) promptPrefixes {
	scale := 1.0 / bytesPerToken
	if historyBytes > 0 && known > 0 {
		scale = float64(known) / float64(historyBytes)
	}
	seed := xxhash.Sum64String(model)
	var p promptPrefixes
	first := max(0, len(c.prefixHashes)-maxPrefixes+1)
	for i := first; i < len(c.prefixHashes); i++ {
		p.prefixHashes = append(p.prefixHashes, seed^c.prefixHashes[i])
		p.tokens = append(p.tokens, int64(float64(c.prefixEnds[i])*scale))
	}
	p.total = int64(float64(c.bytes) * scale)
	p.prefixHashes = append(p.prefixHashes, seed^c.prefixHash.Sum64())
	p.tokens = append(p.tokens, p.total)
	return p
}
