package sched

import (
	"container/heap"
	"sort"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
)

const (
	// maxCacheWait bounds the wait for a full target that has the prompt in its cache. The wait
	// is also bounded by the time that the cache saves, which is several seconds for a long
	// history.
	maxCacheWait = 10 * time.Second
	// externalityWeight is the weight of the delay that a request causes to the other requests on
	// its target, relative to its own duration.
	externalityWeight = 0.5
	// While caches are thrashing, new batch programs of an organisation are held back if its
	// slots in use exceed holdBatchRatio times its fair share, and new interactive programs if
	// they exceed holdInteractiveRatio times its fair share.
	holdBatchRatio       = 1.0
	holdInteractiveRatio = 2.0
	// tieTolerance is the difference in estimated time up to which targets are considered equal:
	// estimates are not more accurate than this, and it exceeds the latency between availability
	// zones.
	tieTolerance = 3 * time.Millisecond
	// plainLoadCost is the estimated time of a request without tokens on a full target; it is
	// lower in proportion on less loaded ones.
	plainLoadCost = time.Second
)

// Fair is the policy used in production. It shares service between organisations by weight
// (weighted fair queueing), orders the requests of an organisation by due time and assigns each
// request to the target with the lowest estimated completion time, taking into account the
// target's cache and load. A request waits a bounded time for a full target that has its prompt
// in the cache, if it is expected to complete sooner there than on a free target.
type Fair struct {
	// The slices hold the intermediate results of one call of Next; they are kept to save
	// allocations.
	candidates []candidate
	skipped    []*Request // requests of the current organisation that no free target may serve
	passedOrgs []*Org     // organisations without an assignable request
	holdNew    bool       // caches are thrashing, so new programs may be held back
}

// candidate is a target for a request, with an estimated time: until completion, or the longest
// wait for a slot.
type candidate struct {
	target   *Target
	estimate time.Duration
}

// NewFair returns a Fair policy.
func NewFair() *Fair { return &Fair{} }

// Next implements Policy.
func (p *Fair) Next(v *View) (Decision, bool) {
	if v.Queue.Len() == 0 || !v.anyFreeSlot() {
		return Decision{}, false
	}
	v.unparkDue()
	p.holdNew = v.Cache.thrashing(v.Now) && v.halfBusy()
	d, ok := p.searchOrgs(v)
	for _, o := range p.passedOrgs {
		heap.Push(&v.Queue.active, o)
	}
	p.passedOrgs = p.passedOrgs[:0]
	return d, ok
}

// unparkDue makes the parked requests eligible again whose wait has timed out or whose target
// has a free slot or is no longer in service.
func (v *View) unparkDue() {
	for r := range v.Queue.parked {
		t := r.parkedOn
		if r.parkedUntil <= v.Now || t.Limit(v.Now) == 0 || t.Free(v.Now) > 0 {
			v.Queue.unpark(r)
		}
	}
}

// searchOrgs looks for an assignable request in each organisation, the least served first.
func (p *Fair) searchOrgs(v *View) (Decision, bool) {
	q := v.Queue
	for len(q.active) > 0 {
		o := q.active[0]
		if d, ok := p.searchOrg(v, o); ok {
			return d, true
		}
		if o.heapIndex != indexheap.NotInHeap {
			heap.Remove(&q.active, o.heapIndex)
			p.passedOrgs = append(p.passedOrgs, o)
		}
	}
	return Decision{}, false
}

// searchOrg looks for an assignable request of an organisation, in order of due time. Requests
// that no free target may serve are skipped; those for which it is better to wait for a full
// target with their prompt in its cache are parked.
func (p *Fair) searchOrg(v *View, o *Org) (Decision, bool) {
	defer p.restoreSkipped(v, o)
	n := p.admittedBands(v, o)
	for r := o.firstDue(n); r != nil; r = o.firstDue(n) {
		d, wait := p.chooseTarget(v, r)
		if d.Target != nil {
			return d, true
		}
		if wait.target != nil {
			v.Queue.park(r, wait.target, v.Now+wait.estimate)
			continue
		}
		heap.Pop(&o.waiting[r.band()])
		p.skipped = append(p.skipped, r)
	}
	return Decision{}, false
}

// restoreSkipped returns the skipped requests to the organisation's heaps. The organisation may have
// left the active ones meanwhile, if its last other request was parked.
func (p *Fair) restoreSkipped(v *View, o *Org) {
	for _, r := range p.skipped {
		v.Queue.addReady(o, r)
	}
	p.skipped = p.skipped[:0]
}

// admittedBands returns the number of bands of an organisation's queue that may be served now.
// New programs are held back, even if slots are free, while the caches evict programs that are
// still in progress, at least half of the slots are in use and the organisation uses more than
// its fair share of them. Further programs would make all programs, including those of other
// organisations, compute their history again on each turn.
func (p *Fair) admittedBands(v *View, o *Org) int {
	if !p.holdNew {
		return bandCount
	}
	switch shareRatio := v.Shares.shareRatio(o.Name); {
	case shareRatio > holdInteractiveRatio:
		return bandNewInteractive
	case shareRatio > holdBatchRatio:
		return bandNewBatch
	}
	return bandCount
}

// halfBusy reports whether at least half of the slots are in use.
func (v *View) halfBusy() bool {
	limit := 0
	for _, t := range v.Targets {
		limit += t.Limit(v.Now)
	}
	return 2*v.Shares.slots >= limit
}

// chooseTarget returns the decision for r, or the full target to wait for and the longest wait.
// Both are zero if no free target may serve r.
func (p *Fair) chooseTarget(v *View, r *Request) (Decision, candidate) {
	cachedTokens := v.cachedTokens(r)
	best, ok := p.bestFreeTarget(v, r, cachedTokens)
	if !ok {
		return Decision{}, candidate{}
	}
	if wait, ok := p.bestWait(v, r, cachedTokens, best.estimate); ok {
		return Decision{}, wait
	}
	return Decision{Request: r, Target: best.target, Cached: cachedTokens[best.target]}, candidate{}
}

// cachedTokens returns the estimated number of tokens of r's prompt in the cache of each target
// that has any.
func (v *View) cachedTokens(r *Request) map[*Target]int64 {
	if r.PromptTokens == 0 {
		return nil
	}
	var out map[*Target]int64
	v.Cache.ForEachHolder(r, func(t *Target, tokens int64) {
		if out == nil {
			out = map[*Target]int64{}
		}
		out[t] = max(out[t], tokens)
	})
	return out
}

// bestFreeTarget returns the free target with the lowest estimated time. Among equal targets it
// prefers those in the entry's availability zone and then picks one at random, so that requests
// do not pile up on one target. It returns false if no free target may serve r.
func (p *Fair) bestFreeTarget(v *View, r *Request, cachedTokens map[*Target]int64) (candidate, bool) {
	p.candidates = p.candidates[:0]
	var lowest time.Duration
	for _, t := range v.Targets {
		if t.Free(v.Now) <= 0 || r.blocked(t) {
			continue
		}
		c := candidate{target: t, estimate: v.estimatedTime(r, t, cachedTokens[t])}
		if len(p.candidates) == 0 || c.estimate < lowest {
			lowest = c.estimate
		}
		p.candidates = append(p.candidates, c)
	}
	if len(p.candidates) == 0 {
		return candidate{}, false
	}
	return p.pickTied(v, r, lowest+tieTolerance), true
}

// pickTied picks one of the candidates whose estimated time is at most highest: one in the
// entry's availability zone if there is any, otherwise any, at random with equal probability.
func (p *Fair) pickTied(v *View, r *Request, highest time.Duration) candidate {
	var chosen candidate
	equal := 0
	sameZone := false
	for _, c := range p.candidates {
		if c.estimate > highest {
			continue
		}
		same := c.target.Zone == r.Zone
		switch {
		case equal == 0 || same && !sameZone:
			chosen, equal, sameZone = c, 1, same
		case same == sameZone:
			equal++
			if v.Rand.IntN(equal) == 0 {
				chosen = c
			}
		}
	}
	return chosen
}

// estimatedTime estimates the time to complete r on t if it is assigned now, plus the weighted
// delay that it causes to the requests that are running there.
func (v *View) estimatedTime(r *Request, t *Target, cached int64) time.Duration {
	inUse := t.InUse()
	if r.PromptTokens == 0 {
		return plainLoadCost * time.Duration(inUse) / time.Duration(max(t.Limit(v.Now), 1))
	}
	uncached := max(r.PromptTokens-cached, 0)
	expectedOutput := time.Duration(v.Cost.expectedOutput(r.Service, r.MaxTokens))
	first := t.pendingPrefill(v.Now) + v.Cost.firstTokenTime(uncached)
	decode := expectedOutput * v.Cost.tokenTime(inUse+1)
	own := float64(first) + float64(decode)*t.slowFactor()
	slowdown := v.Cost.prefillTime(uncached) + expectedOutput*v.Cost.tokenTimeSlope()
	return time.Duration(own + externalityWeight*float64(inUse)*float64(slowdown))
}

// bestWait returns the full target for which it is best to wait and the longest wait: the time
// that the target's cache saves, at most maxCacheWait. elsewhere is the estimated time of r on
// the best free target. bestWait returns false if no wait is worthwhile, or if r has already been
// parked once.
func (p *Fair) bestWait(v *View, r *Request, cachedTokens map[*Target]int64, elsewhere time.Duration) (candidate, bool) {
	var best candidate // within the loop, its estimate is the time gained by waiting
	for t, tokens := range cachedTokens {
		if t.Limit(v.Now) == 0 || t.Free(v.Now) > 0 || r.blocked(t) || r.parkedUntil > 0 {
			continue
		}
		wait, ok := t.timeToFreeSlot(v.Now, t.parked)
		if !ok || wait > maxCacheWait {
			continue
		}
		saved := elsewhere - v.estimatedTime(r, t, tokens)
		if wait >= saved {
			continue
		}
		gain := saved - wait
		if best.target == nil || gain > best.estimate || gain == best.estimate && t.Name < best.target.Name {
			best = candidate{target: t, estimate: gain}
		}
	}
	if best.target == nil {
		return best, false
	}
	wait, _ := best.target.timeToFreeSlot(v.Now, best.target.parked)
	best.estimate = min(wait+best.estimate, maxCacheWait)
	return best, true
}

// timeToFreeSlot estimates the time until a slot becomes free for a request with the given number
// of requests ahead of it. It returns false if no more slots than that are in use; orphaned slots
// do not count, as it is not known when their requests end.
func (t *Target) timeToFreeSlot(now time.Duration, ahead int) (time.Duration, bool) {
	ends := make([]time.Duration, 0, len(t.slots))
	for s := range t.slots {
		if s.OrphanedAt == 0 {
			ends = append(ends, s.expectedEnd)
		}
	}
	if ahead >= len(ends) {
		return 0, false
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	return max(ends[ahead]-now, 0), true
}
