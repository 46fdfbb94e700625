package sched

import (
	"time"

	"github.com/figlb/figlb/structs"
)

// Parameters of the cost model. The priors are used until the pool has observations of its own.
const (
	priorPrefillPerToken = 250 * time.Microsecond  // per prompt token that is not cached
	priorFirstToken      = 30 * time.Millisecond   // time to the first token of a fully cached prompt
	priorTokenTime       = 25 * time.Millisecond   // per generated token on an idle target
	priorTokenSlope      = 1500 * time.Microsecond // added per generated token by each slot in use
	priorOutputTokens    = 200                     // generated tokens per request
	// minSampleWeight is the weight of a new observation in a moving average, once there are
	// enough of them; the first ones weigh more.
	minSampleWeight = 0.05
	// adoptedTimeLeft is how long a slot assigned in an earlier term is expected to stay in use.
	adoptedTimeLeft = 2 * time.Second
	// decodeWeight is the cost of a generated token, in prompt tokens. Generated tokens cost more
	// because each decode step produces only one token of a request.
	decodeWeight = 4
	// plainRequestCost is the cost of a request to a plain service, which has no tokens.
	plainRequestCost = 1
	// minSlowFactor is the relative time per token from which a target is treated as slow.
	minSlowFactor = 1.25
	// minSamples is the number of observations that it takes before an estimate is used to judge
	// that a target is slow or cold or that caches are thrashing.
	minSamples = 20
)

// ewma is an exponentially weighted moving average. The first observations are averaged with
// equal weights.
type ewma struct {
	value   float64
	samples int
}

func (e *ewma) add(x float64) {
	e.samples++
	w := max(minSampleWeight, 1/float64(e.samples))
	e.value += w * (x - e.value)
}

// slowFactor returns the target's time per generated token relative to the pool's average, or 1
// if it is below minSlowFactor: smaller differences are noise, and following them would send all
// requests to one target.
func (t *Target) slowFactor() float64 {
	if t.relativeTokenTime.samples < minSamples || t.relativeTokenTime.value < minSlowFactor {
		return 1
	}
	return t.relativeTokenTime.value
}

// CostModel estimates the duration and cost of requests from earlier requests of the pool.
type CostModel struct {
	firstTokenFit   linearFit        // seconds to the first token, by prompt tokens to compute
	tokenTimeFit    linearFit        // seconds per generated token, by slots in use
	outputByService map[string]*ewma // generated tokens per request
}

func newCostModel() *CostModel {
	return &CostModel{
		firstTokenFit:   newLinearFit(priorFirstToken.Seconds(), priorPrefillPerToken.Seconds(), 1000),
		tokenTimeFit:    newLinearFit(priorTokenTime.Seconds(), priorTokenSlope.Seconds(), 4),
		outputByService: map[string]*ewma{},
	}
}

// prefillTime returns the time to compute n prompt tokens, without the constant part of the time
// to the first token.
func (c *CostModel) prefillTime(n int64) time.Duration {
	return seconds(c.firstTokenFit.slope() * float64(max(n, 0)))
}

// firstTokenTime returns the time to the first token if n prompt tokens have to be computed.
func (c *CostModel) firstTokenTime(n int64) time.Duration {
	return seconds(c.firstTokenFit.valueAt(float64(max(n, 0))))
}

// tokenTime returns the time per generated token while batch slots are in use.
func (c *CostModel) tokenTime(batch int) time.Duration {
	return seconds(c.tokenTimeFit.valueAt(float64(batch)))
}

// tokenTimeSlope returns the time that one more slot in use adds to each token.
func (c *CostModel) tokenTimeSlope() time.Duration { return seconds(c.tokenTimeFit.slope()) }

// expectedOutput returns the expected number of generated tokens of a request to a service. limit
// is the request's own limit; 0 means none.
func (c *CostModel) expectedOutput(service string, limit int64) int64 {
	n := int64(priorOutputTokens)
	if e := c.outputByService[service]; e != nil {
		n = int64(e.value)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

// serviceCost returns the cost of a request that is charged to its organisation, in prompt
// tokens.
func (c *CostModel) serviceCost(computed, generated int64) float64 {
	n := float64(max(computed, 0)) + decodeWeight*float64(generated)
	return max(n, plainRequestCost)
}

// estimate sets the estimates of a new slot and adds its prompt to those that the target has
// still to compute.
func (c *CostModel) estimate(now time.Duration, s *Slot, r *Request) {
	s.batchSize = s.Target.InUse() + 1
	t := s.Target
	uncached := max(r.PromptTokens-s.Cached, 0)
	ahead := t.pendingPrefill(now)
	s.queuedPrefillTokens = int64(ahead.Seconds() / c.firstTokenFit.slope())
	s.prefillTime = c.prefillTime(uncached)
	t.prefillDoneAt = now + ahead + s.prefillTime
	if r.PromptTokens > 0 {
		s.Output = c.expectedOutput(r.Service, r.MaxTokens)
	}
	s.expectedTTFT = ahead + c.firstTokenTime(uncached)
	s.expectedFirstToken = now + s.expectedTTFT
	s.expectedEnd = s.expectedFirstToken + time.Duration(s.Output)*c.tokenTime(s.batchSize)
}

// estimateAdopted sets the estimates of a slot that was assigned in an earlier term.
func (c *CostModel) estimateAdopted(now time.Duration, s *Slot) {
	s.expectedFirstToken = now
	s.expectedEnd = now + adoptedTimeLeft
}

// observe updates the estimates from a successful response. It ignores slots assigned in an
// earlier term, which have no estimates to compare with, and responses without token usage.
func (c *CostModel) observe(s *Slot, rel *structs.ReleaseSlot) {
	if s.Request == "" || rel.TTFT <= 0 || rel.Usage.PromptTokens == 0 {
		return
	}
	computed := rel.Usage.PromptTokens - rel.Usage.CachedTokens + s.queuedPrefillTokens
	c.firstTokenFit.add(float64(computed), rel.TTFT.Seconds())
	n := rel.Usage.CompletionTokens
	e := c.outputByService[s.Service]
	if e == nil {
		e = &ewma{}
		c.outputByService[s.Service] = e
	}
	e.add(float64(n))
	if n < 2 || rel.Duration <= rel.TTFT {
		return
	}
	perToken := (rel.Duration - rel.TTFT).Seconds() / float64(n-1)
	s.Target.relativeTokenTime.add(perToken / c.tokenTimeFit.valueAt(float64(s.batchSize)))
	c.tokenTimeFit.add(float64(s.batchSize), perToken)
}

// indicatesColdStart reports whether a first token was so late that the target must have become
// cold.
func (c *CostModel) indicatesColdStart(s *Slot, ttft time.Duration) bool {
	if s.Request == "" || c.firstTokenFit.samples < minSamples {
		return false
	}
	return ttft > slowTTFTFactor*s.expectedTTFT+slowTTFTMargin
}

// pendingPrefill returns the estimated time that the target still needs to compute the prompts
// of its requests.
func (t *Target) pendingPrefill(now time.Duration) time.Duration {
	return max(t.prefillDoneAt-now, 0)
}

// removePendingPrefill updates the time for which the target computes prompts when the request of
// s has ended: if it ended before its expected first token, the rest of its prompt need not be
// computed. A target without slots in use has nothing left to compute.
func (t *Target) removePendingPrefill(now time.Duration, s *Slot) {
	switch {
	case len(t.slots) == 0:
		t.prefillDoneAt = now
	case s.expectedFirstToken > now:
		t.prefillDoneAt -= min(s.prefillTime, s.expectedFirstToken-now)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
