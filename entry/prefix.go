package entry

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a common estimate for text. It is only used until the engine
	// has counted the history.
	bytesPerToken = 4
	// maxPrefixes bounds the prefixes of a request; the longest ones are kept.
	maxPrefixes = 64
)

// promptPrefixes describes a prompt to the scheduler.
type promptPrefixes struct {
	hashes []uint64
	tokens []int64
	total  int64 // tokens of the whole prompt
}

// prefixesOf returns the prefixes of a prompt at which earlier requests ended: the
// system messages, the prompt of each earlier turn (up to the answer), and the whole
// prompt. known is the engine's token count of the history; 0: not counted yet.
func prefixesOf(service string, hist, messages [][]byte, known int64) promptPrefixes {
	var p promptPrefixes
	var seen int64 // bytes
	scale := tokenScale(hist, known)
	d := xxhash.New()
	_, _ = d.WriteString(service) // never fails
	system := true
	for i, m := range append(hist[:len(hist):len(hist)], messages...) {
		r := role(m)
		if i > 0 && (r == "assistant" || system && r != "system") {
			p.hashes = append(p.hashes, d.Sum64())
			p.tokens = append(p.tokens, int64(float64(seen)*scale))
		}
		system = system && r == "system"
		_, _ = d.Write(m)
		_, _ = d.Write([]byte{0})
		seen += int64(len(m))
	}
	p.total = int64(float64(seen) * scale)
	p.hashes = append(p.hashes, d.Sum64())
	p.tokens = append(p.tokens, p.total)
	if drop := len(p.hashes) - maxPrefixes; drop > 0 {
		p.hashes, p.tokens = p.hashes[drop:], p.tokens[drop:]
	}
	return p
}

// tokenScale returns the tokens per byte of a history that the engine has counted.
func tokenScale(hist [][]byte, known int64) float64 {
	n := 0
	for _, m := range hist {
		n += len(m)
	}
	if n == 0 || known <= 0 {
		return 1.0 / bytesPerToken
	}
	return float64(known) / float64(n)
}
