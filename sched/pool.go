package sched

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/figlb/figlb/structs"
)

// orphanTTL is the time for which a slot of a gone entry counts without proof that its
// request has ended.
const orphanTTL = 60 * time.Second

// Pool is the account of one pool: queue, targets, slots. It is not safe for concurrent
// use.
type Pool struct {
	opts    Options
	policy  Policy
	view    View
	byName  map[string]*Target
	slots   map[string]*Slot
	weights map[string]float64
	rate    drainRate
	fresh   bool // no target list has been set yet
}

// NewPool returns an empty pool.
func NewPool(opts Options, policy Policy, rnd *rand.Rand) *Pool {
	p := &Pool{
		opts:    opts,
		policy:  policy,
		byName:  map[string]*Target{},
		slots:   map[string]*Slot{},
		weights: map[string]float64{},
		fresh:   true,
	}
	p.view = View{Rand: rnd, Queue: newQueue(), Cost: newCostModel(), Cache: newCacheMap(), Shares: newShares()}
	return p
}

// SetTargets takes over the target list. Slots on removed targets stay in use until they
// are released; the target gets no new work.
func (p *Pool) SetTargets(now time.Duration, specs []TargetSpec) {
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.Name] = true
		if t := p.byName[spec.Name]; t != nil {
			t.update(spec, now)
			continue
		}
		p.byName[spec.Name] = newTarget(spec, now, p.fresh)
	}
	for name, t := range p.byName {
		if listed[name] {
			continue
		}
		t.Out = true
		if len(t.slots) == 0 {
			p.view.Cache.clear(t)
			delete(p.byName, name)
		}
	}
	p.fresh = false
	p.rebuildTargets()
}

func (p *Pool) rebuildTargets() {
	p.view.Targets = p.view.Targets[:0]
	for _, t := range p.byName {
		p.view.Targets = append(p.view.Targets, t)
	}
	sort.Slice(p.view.Targets, func(i, j int) bool { return p.view.Targets[i].Name < p.view.Targets[j].Name })
}

// Targets returns the targets in order of name.
func (p *Pool) Targets() []*Target { return p.view.Targets }

// UsableFor reports whether any target in service may serve r once it has a free slot.
func (p *Pool) UsableFor(r *Request) bool {
	for _, t := range p.view.Targets {
		if !t.Out && !t.down && !r.excludes(t.Name) {
			return true
		}
	}
	return false
}

// Enqueue adds r to the queue. If the queue is too long, it returns the request that is
// to be refused, which may be r; that request is no longer queued.
func (p *Pool) Enqueue(now time.Duration, r *Request) (shed *Request) {
	r.Enqueued = now
	p.weights[r.Org] = r.weight()
	p.view.Queue.push(r)
	if p.view.Queue.Len() <= p.opts.maxQueue() {
		return nil
	}
	v := p.view.Queue.victim(p.weights)
	p.view.Queue.remove(v)
	return v
}

// Remove takes a waiting request out of the queue.
func (p *Pool) Remove(r *Request) { p.view.Queue.remove(r) }

// QueueLen returns the number of waiting requests.
func (p *Pool) QueueLen() int { return p.view.Queue.Len() }

// RetryAfter estimates when a request that is refused now would find a place.
func (p *Pool) RetryAfter(now time.Duration) time.Duration {
	return p.rate.timeFor(now, p.view.Queue.Len())
}

// Next asks the policy for a decision and carries it out: it returns the new slot and
// the request, which has left the queue.
func (p *Pool) Next(now time.Duration, slotID string) (*Slot, *Request, bool) {
	p.view.Now = now
	p.view.Cache.now = now
	d, ok := p.policy.Next(&p.view)
	if !ok {
		return nil, nil, false
	}
	p.view.Queue.remove(d.Request)
	s := p.occupy(now, d, slotID)
	return s, d.Request, true
}

func (p *Pool) occupy(now time.Duration, d Decision, slotID string) *Slot {
	r, t := d.Request, d.Target
	s := &Slot{
		ID: slotID, Entry: r.Entry, Request: r.ID, Target: t,
		Org: r.Org, Weight: r.Weight, Program: r.Program, Service: r.Service,
		Prompt: r.PromptTokens, Cached: d.Cached, AssignedAt: now,
	}
	p.view.Cost.estimate(now, s, r)
	q := p.view.Queue
	q.virtual = max(q.virtual, q.org(r.Org).served)
	s.charged = p.view.Cost.cost(r.PromptTokens-d.Cached, s.Output)
	q.charge(r.Org, s.charged, r.weight())
	t.Requests++
	p.add(s)
	p.view.Cache.dispatched(t, r)
	return s
}

func (p *Pool) add(s *Slot) {
	p.slots[s.ID] = s
	s.Target.slots[s] = struct{}{}
	p.view.Shares.add(s.Org, s.Weight)
	p.view.Queue.started(s.Org)
}

// Slot returns a slot in use.
func (p *Pool) Slot(id string) *Slot { return p.slots[id] }

// Slots calls fn for each slot in use.
func (p *Pool) Slots(fn func(*Slot)) {
	for _, s := range p.slots {
		fn(s)
	}
}

// Adopt adds a slot of an earlier term. It returns false if the target is unknown.
func (p *Pool) Adopt(now time.Duration, entry string, info structs.SlotInfo) bool {
	t := p.byName[info.Target]
	if t == nil {
		return false
	}
	s := &Slot{
		ID: info.Slot, Entry: entry, Target: t, Org: info.Org, Weight: 1,
		Program: info.Program, Prompt: info.PromptTokens, AssignedAt: now,
	}
	p.view.Cost.estimateAdopted(now, s)
	p.add(s)
	p.view.Cache.adopted(t, info)
	return true
}

// Drop frees a slot without an outcome.
func (p *Pool) Drop(now time.Duration, s *Slot) {
	delete(p.slots, s.ID)
	t := s.Target
	delete(t.slots, s)
	t.endedEarly(now, s)
	t.prune(now)
	t.recent = append(t.recent, span{from: s.AssignedAt, to: now})
	p.rate.add(now)
	p.view.Shares.remove(s.Org)
	p.view.Queue.ended(s.Org)
}

// Release frees a slot and accounts for its outcome. Times of the release are of the
// entry's own measurement.
func (p *Pool) Release(now time.Duration, s *Slot, rel *structs.ReleaseSlot) {
	p.view.Cache.now = now
	p.correct(s, rel)
	p.learn(now, s, rel)
	p.Drop(now, s)
}

// correct replaces the estimated charge with the actual cost.
func (p *Pool) correct(s *Slot, rel *structs.ReleaseSlot) {
	if s.charged == 0 || rel.Usage.PromptTokens == 0 && rel.Outcome == structs.OutcomeOK {
		return
	}
	actual := p.view.Cost.cost(rel.Usage.PromptTokens-rel.Usage.CachedTokens, rel.Usage.CompletionTokens)
	p.view.Queue.charge(s.Org, actual-s.charged, float64(max(s.Weight, 1)))
}

func (p *Pool) learn(now time.Duration, s *Slot, rel *structs.ReleaseSlot) {
	t := s.Target
	switch rel.Outcome {
	case structs.OutcomeOK:
		if p.view.Cost.slowStart(s, rel.TTFT) {
			t.setCold(now)
		} else {
			t.onGood(now)
			p.view.Cost.observe(s, rel)
		}
		p.view.Cache.answered(t, s, rel.Usage)
	case structs.OutcomeError:
		t.onError(now, s.AssignedAt)
	case structs.OutcomeCrash:
		t.onBroken(now, s.AssignedAt)
		p.view.Cache.clear(t)
	case structs.OutcomeRefused:
		t.onBroken(now, s.AssignedAt)
	}
}

// Load accounts for a load report of a target.
func (p *Pool) Load(now time.Duration, target string, r LoadReport) {
	t := p.byName[target]
	if t == nil {
		return
	}
	wasCold := t.reportedCold()
	for _, s := range t.onReport(now, r) {
		p.Drop(now, s)
	}
	if r.Cold && !wasCold {
		p.view.Cache.clear(t)
	}
	p.view.Cache.resize(t, r.KVTotal)
}

// Orphan marks the slots of a gone entry.
func (p *Pool) Orphan(now time.Duration, entry string) {
	for _, s := range p.slots {
		if s.Entry == entry && s.OrphanedAt == 0 {
			s.OrphanedAt = now
		}
	}
}

// Expire drops orphaned slots whose time is over.
func (p *Pool) Expire(now time.Duration) {
	for _, s := range p.slots {
		if s.OrphanedAt > 0 && now-s.OrphanedAt >= orphanTTL {
			p.Drop(now, s)
		}
	}
	for _, t := range p.view.Targets {
		t.prune(now)
	}
}

// CacheEvent is a change of a target's cache.
type CacheEvent struct {
	Stored  bool // else evicted
	Program string
	Tokens  int64
}

// CacheEvents applies cache events of a target. restarted tells that the target's
// sequence numbers began anew, so that it holds nothing from before. Evictions of
// programs that are running on the target are late: they are older than the dispatch.
func (p *Pool) CacheEvents(target string, restarted bool, events []CacheEvent) {
	t := p.byName[target]
	if t == nil {
		return
	}
	if restarted {
		p.view.Cache.clear(t)
	}
	running := map[string]bool{}
	for s := range t.slots {
		running[s.Program] = true
	}
	for _, e := range events {
		switch {
		case e.Stored:
			p.view.Cache.Stored(t, e.Program, e.Tokens)
		case !running[e.Program]:
			p.view.Cache.Evicted(t, e.Program, e.Tokens)
		}
	}
}
