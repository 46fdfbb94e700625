package sched

import (
	"time"

	"github.com/figlb/figlb/structs"
)

// Priors of the cost model, used until the pool has observations of its own.
const (
	priorPrefill    = 250 * time.Microsecond // per prompt token that is not cached
	priorFirst      = 30 * time.Millisecond  // first token of a fully cached prompt
	priorToken      = 25 * time.Millisecond  // per generated token on an idle target
	priorTokenSlope = 1500 * time.Microsecond
	priorOutput     = 200 // generated tokens
	// outputDecay is the weight of a new observation in an average.
	outputDecay = 0.05
	// adoptedLeft is the time a slot of an earlier term is assumed to have left.
	adoptedLeft = 2 * time.Second
	// decodeWeight is the cost of a generated token in prompt tokens. Generated tokens
	// are charged more because a decode step serves one token of a request at a time.
	decodeWeight = 4
	// plainCost is the cost of a request to a plain service, which has no tokens.
	plainCost  = 1
	slowTarget = 1.25
	// minSamples is the number of observations after which estimates may judge a target.
	minSamples = 20
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	n     int
}

func (e *ewma) add(x float64) {
	e.n++
	w := max(outputDecay, 1/float64(e.n))
	e.value += w * (x - e.value)
}

// slowFactor returns the target's time per token relative to the pool's. Differences
// below slowTarget are noise, and following them would send all work to one target.
func (t *Target) slowFactor() float64 {
	if t.speed.n < minSamples || t.speed.value < slowTarget {
		return 1
	}
	return t.speed.value
}

// CostModel estimates times from what the pool's targets have shown.
type CostModel struct {
	first   line // seconds to the first token over prompt tokens to be computed
	token   line // seconds per generated token over slots in use
	outputs map[string]*ewma
}

func newCostModel() *CostModel {
	return &CostModel{
		first:   newLine(priorFirst.Seconds(), priorPrefill.Seconds(), 1000),
		token:   newLine(priorToken.Seconds(), priorTokenSlope.Seconds(), 4),
		outputs: map[string]*ewma{},
	}
}

// prefill returns the time to compute n prompt tokens, without the constant part.
func (c *CostModel) prefill(n int64) time.Duration {
	return seconds(c.first.slope() * float64(max(n, 0)))
}

// firstToken returns the time to the first token with n prompt tokens to be computed.
func (c *CostModel) firstToken(n int64) time.Duration {
	return seconds(c.first.at(float64(max(n, 0))))
}

// perToken returns the time per generated token with batch slots in use.
func (c *CostModel) perToken(batch int) time.Duration { return seconds(c.token.at(float64(batch))) }

// perTokenSlope returns the time that one more slot in use adds to each token.
func (c *CostModel) perTokenSlope() time.Duration { return seconds(c.token.slope()) }

// output returns the expected number of generated tokens.
func (c *CostModel) output(service string, limit int64) int64 {
	n := int64(priorOutput)
	if e := c.outputs[service]; e != nil {
		n = int64(e.value)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

// cost is the service of a request in tokens, as charged to organisations.
func (c *CostModel) cost(computed, generated int64) float64 {
	n := float64(max(computed, 0)) + decodeWeight*float64(generated)
	return max(n, plainCost)
}

// estimate fills in the estimates of a new slot.
func (c *CostModel) estimate(now time.Duration, s *Slot, r *Request) {
	s.batch = s.Target.InUse() + 1
	t := s.Target
	computed := max(r.PromptTokens-s.Cached, 0)
	ahead := t.pendingPrefill(now)
	s.queuedPre = int64(ahead.Seconds() / c.first.slope())
	s.prefill = c.prefill(computed)
	t.prefillDone = now + ahead + s.prefill
	if r.PromptTokens > 0 {
		s.Output = c.output(r.Service, r.MaxTokens)
	}
	s.ttft = ahead + c.firstToken(computed)
	s.firstAt = now + s.ttft
	s.endAt = s.firstAt + time.Duration(s.Output)*c.perToken(s.batch)
}

func (c *CostModel) estimateAdopted(now time.Duration, s *Slot) {
	s.firstAt = now
	s.endAt = now + adoptedLeft
}

// observe learns from a good answer.
func (c *CostModel) observe(s *Slot, rel *structs.ReleaseSlot) {
	if s.Request == "" || rel.TTFT <= 0 || rel.Usage.PromptTokens == 0 {
		return
	}
	computed := rel.Usage.PromptTokens - rel.Usage.CachedTokens + s.queuedPre
	c.first.add(float64(computed), rel.TTFT.Seconds())
	n := rel.Usage.CompletionTokens
	e := c.outputs[s.Service]
	if e == nil {
		e = &ewma{}
		c.outputs[s.Service] = e
	}
	e.add(float64(n))
	if n < 2 || rel.Duration <= rel.TTFT {
		return
	}
	perToken := (rel.Duration - rel.TTFT).Seconds() / float64(n-1)
	s.Target.speed.add(perToken / c.token.at(float64(s.batch)))
	c.token.add(float64(s.batch), perToken)
}

// slowStart tells that a first token was so late that the target must have become cold.
func (c *CostModel) slowStart(s *Slot, ttft time.Duration) bool {
	if s.Request == "" || c.first.n < minSamples {
		return false
	}
	return ttft > slowTTFTFactor*s.ttft+slowTTFTFloor
}

// pendingPrefill returns the time that the target still needs to compute the prompts of
// the requests it has.
func (t *Target) pendingPrefill(now time.Duration) time.Duration {
	return max(t.prefillDone-now, 0)
}

// endedEarly takes a request that has ended before its estimated first token out of the
// prompts to be computed.
func (t *Target) endedEarly(now time.Duration, s *Slot) {
	switch {
	case len(t.slots) == 0:
		t.prefillDone = now
	case s.firstAt > now:
		t.prefillDone -= min(s.prefill, s.firstAt-now)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
