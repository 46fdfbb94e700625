package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt. Targets cache prompts by the sequence of their parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a turn and the output that is expected.
type Prompt struct {
	// Parts are the parts of the prompt from its beginning. All but the last may be shared by
	// several programs; the last belongs to the request or to its session.
	Parts []PromptPart
	// Tokens is the length of the whole prompt, MaxOutput the most tokens that the turn generates;
	// 0: not stated.
	Tokens, MaxOutput int
}

const (
	// promptTokensPerStep is the number of prompt tokens that an engine reads in the time in
	// which it generates one token: 175 to 383 on the known kinds of engines.
	promptTokensPerStep = 256
	// usualOutput is the output assumed for a turn that states no maximum, and outputShare the
	// part of a stated maximum that a turn generates on average.
	usualOutput = 128
	outputShare = 0.5
	// minOutput bounds the effect of the prompt for turns of very few tokens.
	minOutput = 16
)

// output returns the number of tokens that the turn is expected to generate.
func (p *Prompt) output() float64 {
	if p.MaxOutput <= 0 {
		return usualOutput
	}
	return max(float64(p.MaxOutput)*outputShare, minOutput)
}

// total returns the length of the prompt in tokens, or 0 if it is not known.
func (p *Prompt) total() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return max(n, p.Tokens)
}

// shared returns a hash of the parts that programs may share and their number of tokens.
func (p *Prompt) shared() (hash uint64, tokens int) {
	if len(p.Parts) < 2 {
		return 0, 0
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		hash = mix(hash ^ xxhash.Sum64String(part.ID))
		tokens += part.Tokens
	}
	return hash, tokens
}

// mix is the finalizer of SplitMix64, which disperses keys that differ in only a few bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	// maxPrefixes bounds the shared prefixes remembered for a target, and maxPrefixAge the time
	// for which one counts as cached there.
	maxPrefixes  = 32
	maxPrefixAge = 30 * time.Second
)

// sentPrefix is a shared prefix that this gateway has sent to a target.
type sentPrefix struct {
	hash uint64
	at   time.Duration
}

// sentPrefixes holds the shared prefixes that this gateway has recently sent to a target.
type sentPrefixes []sentPrefix

// has reports whether a prefix was sent within maxPrefixAge.
func (s sentPrefixes) has(now time.Duration, hash uint64) bool {
	for i := range s {
		if s[i].hash == hash {
			return now-s[i].at < maxPrefixAge
		}
	}
	return false
}

// add records a prefix. It replaces the one that was sent longest ago if there are too many.
func (s *sentPrefixes) add(now time.Duration, hash uint64) {
	oldest := 0
	for i := range *s {
		if (*s)[i].hash == hash {
			(*s)[i].at = now
			return
		}
		if (*s)[i].at < (*s)[oldest].at {
			oldest = i
		}
	}
	if len(*s) < maxPrefixes {
		*s = append(*s, sentPrefix{hash: hash, at: now})
		return
	}
	(*s)[oldest] = sentPrefix{hash: hash, at: now}
}

// prefixShares estimates which share of the turns of a service begins with each shared prefix, as
// moving averages over this gateway's turns.
type prefixShares struct {
	byHash map[uint64]float64
	turns  int // recorded so far
}

const (
	// prefixShareWeight is the weight of the newest turn in the shares, except for the first ones. A
	// gateway that sees 1.6 turns/s averages over about a minute.
	prefixShareWeight = 0.01
	// maxPrefixShares bounds the prefixes of a service; the rarest are dropped.
	maxPrefixShares = 64
)

// add records a turn.
func (p *prefixShares) add(hash uint64) {
	if p.byHash == nil {
		p.byHash = map[uint64]float64{}
	}
	p.turns++
	weight := max(prefixShareWeight, 1/float64(p.turns))
	rarest, least := hash, 1.0
	for h, share := range p.byHash {
		share *= 1 - weight
		p.byHash[h] = share
		if share < least && h != hash {
			rarest, least = h, share
		}
	}
	p.byHash[hash] += weight
	if len(p.byHash) > maxPrefixShares {
		delete(p.byHash, rarest)
	}
}
