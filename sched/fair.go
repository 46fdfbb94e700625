package sched

import (
	"container/heap"
	"sort"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
)

const (
	// maxCacheWait bounds the wait for a target that holds the prompt in cache, beside the
	// time that the cache saves. A long history takes several seconds to compute.
	maxCacheWait = 10 * time.Second
	// externality weighs the delay that a request causes to the other requests on its
	// target against its own.
	externality = 0.5
	// holdBatch and holdInteractive are the excesses over the organisation's share of the
	// slots from which new programs are held back while caches are thrashing.
	holdBatch       = 1.0
	holdInteractive = 2.0
	// tieTolerance is the difference in estimated time below which targets are equal:
	// estimates are not better than this, and it is more than the latency between zones.
	tieTolerance = 3 * time.Millisecond
	// plainLoadCost is the cost of a full target to a request without tokens.
	plainLoadCost = time.Second
)

// Fair is the policy in use. It shares service between organisations by weight, orders
// the requests of an organisation by due time and sends each request to the target with
// the lowest estimated completion time, where caching and load count. A request waits a
// bounded time for a full target that holds its prompt if that is sooner than computing
// the prompt elsewhere.
type Fair struct {
	scores  []score
	skipped []*Request
	passed  []*Org
	held    bool // new programs may have to wait
}

type score struct {
	target *Target
	value  time.Duration
}

// NewFair returns the policy.
func NewFair() *Fair { return &Fair{} }

// Next implements Policy.
func (p *Fair) Next(v *View) (Decision, bool) {
	if v.Queue.Len() == 0 || !v.anyFree() {
		return Decision{}, false
	}
	v.unparkReady()
	p.held = v.Cache.thrashing(v.Now) && v.halfBusy()
	d, ok := p.search(v)
	for _, o := range p.passed {
		heap.Push(&v.Queue.active, o)
	}
	p.passed = p.passed[:0]
	return d, ok
}

// unparkReady returns requests to the queue whose wait for a target is over.
func (v *View) unparkReady() {
	for r := range v.Queue.parked {
		t := r.parkedOn
		if r.parkedTo <= v.Now || t.Limit(v.Now) == 0 || t.Free(v.Now) > 0 {
			v.Queue.unpark(r)
		}
	}
}

// search goes through the organisations, the least served first.
func (p *Fair) search(v *View) (Decision, bool) {
	q := v.Queue
	for len(q.active) > 0 {
		o := q.active[0]
		if d, ok := p.searchOrg(v, o); ok {
			return d, true
		}
		if o.heapPos != indexheap.Outside {
			heap.Remove(&q.active, o.heapPos)
			p.passed = append(p.passed, o)
		}
	}
	return Decision{}, false
}

// searchOrg goes through the requests of an organisation in order. Requests that no free
// target may serve are skipped; those that wait for a caching target are parked.
func (p *Fair) searchOrg(v *View, o *Org) (Decision, bool) {
	defer p.restore(o)
	n := p.openSides(v, o)
	for r := o.head(n); r != nil; r = o.head(n) {
		d, wait := p.choose(v, r)
		if d.Target != nil {
			return d, true
		}
		if wait.target != nil {
			v.Queue.park(r, wait.target, v.Now+wait.value)
			continue
		}
		heap.Pop(&o.waiting[r.side()])
		p.skipped = append(p.skipped, r)
	}
	return Decision{}, false
}

func (p *Fair) restore(o *Org) {
	for _, r := range p.skipped {
		heap.Push(&o.waiting[r.side()], r)
	}
	p.skipped = p.skipped[:0]
}

// openSides returns the number of sides of an organisation's queue that may be served.
// New programs wait, although slots are free, while the caches evict programs that are
// still in progress, at least half of the slots are in use and the organisation has more
// than its share of them: more programs would make every program compute its history
// again and again, also those of the other organisations.
func (p *Fair) openSides(v *View, o *Org) int {
	if !p.held {
		return sides
	}
	switch excess := v.Shares.excess(o.Name); {
	case excess > holdInteractive:
		return newInteractive
	case excess > holdBatch:
		return newBatch
	}
	return sides
}

// halfBusy reports whether at least half of the slots are in use.
func (v *View) halfBusy() bool {
	limit := 0
	for _, t := range v.Targets {
		limit += t.Limit(v.Now)
	}
	return 2*v.Shares.slots >= limit
}

// choose returns the target for r, or the full target to wait for and how long, or
// neither.
func (p *Fair) choose(v *View, r *Request) (Decision, score) {
	held := v.held(r)
	best, ok := p.bestFree(v, r, held)
	if !ok {
		return Decision{}, score{}
	}
	if wait, ok := p.worthWaiting(v, r, held, best.value); ok {
		return Decision{}, wait
	}
	return Decision{Request: r, Target: best.target, Cached: held[best.target]}, score{}
}

// held returns the estimated cached tokens of r on each target that holds any.
func (v *View) held(r *Request) map[*Target]int64 {
	if r.PromptTokens == 0 {
		return nil
	}
	var out map[*Target]int64
	v.Cache.Held(r, func(t *Target, tokens int64) {
		if out == nil {
			out = map[*Target]int64{}
		}
		out[t] = max(out[t], tokens)
	})
	return out
}

// bestFree returns the free target with the lowest score. Among equal ones it prefers
// the entry's zone and then picks at random, so that requests do not pile up on one.
func (p *Fair) bestFree(v *View, r *Request, held map[*Target]int64) (score, bool) {
	p.scores = p.scores[:0]
	var lowest time.Duration
	for _, t := range v.Targets {
		if t.Free(v.Now) <= 0 || r.blocked(t.Name) {
			continue
		}
		s := score{target: t, value: v.completion(r, t, held[t])}
		if len(p.scores) == 0 || s.value < lowest {
			lowest = s.value
		}
		p.scores = append(p.scores, s)
	}
	if len(p.scores) == 0 {
		return score{}, false
	}
	return p.pick(v, r, lowest+tieTolerance), true
}

func (p *Fair) pick(v *View, r *Request, highest time.Duration) score {
	var chosen score
	equal := 0
	sameZone := false
	for _, s := range p.scores {
		if s.value > highest {
			continue
		}
		same := s.target.Zone == r.Zone
		switch {
		case equal == 0 || same && !sameZone:
			chosen, equal, sameZone = s, 1, same
		case same == sameZone:
			equal++
			if v.Rand.IntN(equal) == 0 {
				chosen = s
			}
		}
	}
	return chosen
}

// completion estimates the time to complete r on t if it starts now, plus the weighted
// delay that it causes to the requests that run there.
func (v *View) completion(r *Request, t *Target, cached int64) time.Duration {
	inUse := t.InUse()
	if r.PromptTokens == 0 {
		return plainLoadCost * time.Duration(inUse) / time.Duration(max(t.Limit(v.Now), 1))
	}
	computed := max(r.PromptTokens-cached, 0)
	output := time.Duration(v.Cost.output(r.Service, r.MaxTokens))
	first := t.pendingPrefill(v.Now) + v.Cost.firstToken(computed)
	decode := output * v.Cost.perToken(inUse+1)
	own := float64(first) + float64(decode)*t.slowFactor()
	slowdown := v.Cost.prefill(computed) + output*v.Cost.perTokenSlope()
	return time.Duration(own + externality*float64(inUse)*float64(slowdown))
}

// worthWaiting returns the full target that is worth waiting for and the longest wait,
// which is what the cache saves.
func (p *Fair) worthWaiting(v *View, r *Request, held map[*Target]int64, elsewhere time.Duration) (score, bool) {
	var best score
	for t, tokens := range held {
		if t.Limit(v.Now) == 0 || t.Free(v.Now) > 0 || r.blocked(t.Name) || r.parkedTo > 0 {
			continue
		}
		wait, ok := t.waitFor(v.Now, t.parked)
		if !ok || wait > maxCacheWait {
			continue
		}
		saved := elsewhere - v.completion(r, t, tokens)
		if wait >= saved {
			continue
		}
		gain := saved - wait
		if best.target == nil || gain > best.value || gain == best.value && t.Name < best.target.Name {
			best = score{target: t, value: gain}
		}
	}
	if best.target == nil {
		return best, false
	}
	wait, _ := best.target.waitFor(v.Now, best.target.parked)
	best.value = min(wait+best.value, maxCacheWait)
	return best, true
}

// waitFor estimates when a slot becomes free for a request that has ahead others before
// it. It returns false if there are more of them than slots.
func (t *Target) waitFor(now time.Duration, ahead int) (time.Duration, bool) {
	ends := make([]time.Duration, 0, len(t.slots))
	for s := range t.slots {
		if s.OrphanedAt == 0 {
			ends = append(ends, s.endAt)
		}
	}
	if ahead >= len(ends) {
		return 0, false
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	return max(ends[ahead]-now, 0), true
}
