package sched

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/figlb/figlb/structs"
)

// orphanTTL is how long an orphaned slot stays in use if no load report shows that its request
// has ended.
const orphanTTL = 60 * time.Second

// Pool is the state of one pool: its queue, its targets and the slots in use. It is not safe
// for concurrent use.
type Pool struct {
	opts         Options
	policy       Policy
	view         View
	byName       map[string]*Target
	slots        map[string]*Slot
	releases     releaseRate
	targetsUnset bool // SetTargets has not been called yet
}

// NewPool returns a pool without targets and with an empty queue.
func NewPool(opts Options, policy Policy, rnd *rand.Rand) *Pool {
	p := &Pool{
		opts:         opts,
		policy:       policy,
		byName:       map[string]*Target{},
		slots:        map[string]*Slot{},
		targetsUnset: true,
	}
	p.view = View{Rand: rnd, Queue: newQueue(), Cost: newCostModel(), Cache: newCacheMap(), Shares: newShares()}
	return p
}

// SetTargets replaces the list of targets. A removed target gets no new requests. If it has
// slots in use, it stays in the pool, marked OutOfService, until a later call finds them released.
func (p *Pool) SetTargets(now time.Duration, specs []TargetSpec) {
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.Name] = true
		if t := p.byName[spec.Name]; t != nil {
			t.update(spec, now)
			continue
		}
		p.byName[spec.Name] = newTarget(spec, now, p.targetsUnset)
	}
	for name, t := range p.byName {
		if listed[name] {
			continue
		}
		t.OutOfService = true
		if len(t.slots) == 0 {
			p.view.Cache.clear(t)
			delete(p.byName, name)
		}
	}
	p.targetsUnset = false
	p.rebuildTargetList()
}

// rebuildTargetList updates the view's list of targets, which is sorted by name.
func (p *Pool) rebuildTargetList() {
	p.view.Targets = p.view.Targets[:0]
	for _, t := range p.byName {
		p.view.Targets = append(p.view.Targets, t)
	}
	sort.Slice(p.view.Targets, func(i, j int) bool { return p.view.Targets[i].Name < p.view.Targets[j].Name })
}

// Targets returns the targets in order of name.
func (p *Pool) Targets() []*Target { return p.view.Targets }

// HasTargetFor reports whether there is any target, neither out of service nor down, that may
// serve r once it has a free slot.
func (p *Pool) HasTargetFor(r *Request) bool {
	for _, t := range p.view.Targets {
		if !t.OutOfService && !t.down && !r.rejects(t) {
			return true
		}
	}
	return false
}

// Enqueue adds r to the queue. If the queue is then too long, Enqueue removes a request, which
// may be r, and returns it; the caller must refuse it.
func (p *Pool) Enqueue(now time.Duration, r *Request) (shed *Request) {
	r.Enqueued = now
	p.view.Queue.push(r)
	if p.view.Queue.Len() <= p.opts.maxQueue() {
		return nil
	}
	toShed := p.view.Queue.victim()
	p.Remove(toShed)
	return toShed
}

// Remove removes a waiting request from the queue.
func (p *Pool) Remove(r *Request) {
	p.view.Queue.remove(r)
	p.view.Queue.forgetIdle(r.Org)
}

// QueueLen returns the number of waiting requests.
func (p *Pool) QueueLen() int { return p.view.Queue.Len() }

// RetryAfter estimates after which time a request that is refused now would be admitted: the
// time in which as many slots become free as requests are queued.
func (p *Pool) RetryAfter(now time.Duration) time.Duration {
	return p.releases.timeToRelease(now, p.view.Queue.Len())
}

// Next assigns the next request that the policy chooses and removes it from the queue. It
// returns the new slot, whose id is slotID, and the request, or false if no request can be
// assigned now.
func (p *Pool) Next(now time.Duration, slotID string) (*Slot, *Request, bool) {
	p.view.Now = now
	p.view.Cache.now = now
	d, ok := p.policy.Next(&p.view)
	if !ok {
		return nil, nil, false
	}
	p.view.Queue.remove(d.Request)
	s := p.assign(now, d, slotID)
	return s, d.Request, true
}

// assign creates the slot of a decision and charges its estimated cost to the organisation.
func (p *Pool) assign(now time.Duration, d Decision, slotID string) *Slot {
	r, t := d.Request, d.Target
	s := &Slot{
		ID: slotID, Entry: r.Entry, Request: r.ID, Target: t,
		Org: r.Org, Weight: r.Weight, Program: r.Program, Service: r.Service,
		Prompt: r.PromptTokens, Cached: d.Cached, AssignedAt: now,
	}
	p.view.Cost.estimate(now, s, r)
	q := p.view.Queue
	q.virtualTime = max(q.virtualTime, q.org(r.Org).normalisedService)
	s.chargedCost = p.view.Cost.serviceCost(r.PromptTokens-d.Cached, s.Output)
	q.charge(r.Org, s.chargedCost, r.weight())
	t.Requests++
	p.addSlot(s)
	p.view.Cache.onDispatch(t, r)
	return s
}

// addSlot records a slot as in use.
func (p *Pool) addSlot(s *Slot) {
	p.slots[s.ID] = s
	s.Target.slots[s] = struct{}{}
	p.view.Shares.addSlot(s.Org, s.Weight)
	p.view.Queue.requestStarted(s.Org)
}

// Slot returns the slot in use with the given id, or nil.
func (p *Pool) Slot(id string) *Slot { return p.slots[id] }

// Slots calls fn for each slot in use.
func (p *Pool) Slots(fn func(*Slot)) {
	for _, s := range p.slots {
		fn(s)
	}
}

// Adopt adds a slot that was assigned in an earlier term and that its entry has reported. It
// returns false if the target is unknown.
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
	p.addSlot(s)
	p.view.Cache.onAdopt(t, info)
	return true
}

// Drop frees a slot whose outcome is not known.
func (p *Pool) Drop(now time.Duration, s *Slot) {
	delete(p.slots, s.ID)
	t := s.Target
	delete(t.slots, s)
	t.removePendingPrefill(now, s)
	t.dropExpired(now)
	t.recentSlots = append(t.recentSlots, interval{from: s.AssignedAt, to: now})
	p.releases.add(now)
	p.view.Shares.removeSlot(s.Org)
	p.view.Queue.requestEnded(s.Org)
}

// Release frees a slot and records its outcome. The times in rel are measured by the entry.
func (p *Pool) Release(now time.Duration, s *Slot, rel *structs.ReleaseSlot) {
	p.view.Cache.now = now
	p.correctCharge(s, rel)
	p.recordOutcome(now, s, rel)
	p.Drop(now, s)
}

// correctCharge replaces the estimated cost charged to the organisation with the actual cost.
// The estimate stays if the request succeeded without reporting its token usage.
func (p *Pool) correctCharge(s *Slot, rel *structs.ReleaseSlot) {
	if s.chargedCost == 0 || rel.Usage.PromptTokens == 0 && rel.Outcome == structs.OutcomeOK {
		return
	}
	actual := p.view.Cost.serviceCost(rel.Usage.PromptTokens-rel.Usage.CachedTokens, rel.Usage.CompletionTokens)
	p.view.Queue.charge(s.Org, actual-s.chargedCost, float64(max(s.Weight, 1)))
}

// recordOutcome updates the target's health and the estimates from the outcome of a request.
func (p *Pool) recordOutcome(now time.Duration, s *Slot, rel *structs.ReleaseSlot) {
	t := s.Target
	switch rel.Outcome {
	case structs.OutcomeOK:
		if p.view.Cost.indicatesColdStart(s, rel.TTFT) {
			t.setCold(now)
		} else {
			t.onSuccess(now)
			p.view.Cost.observe(s, rel)
		}
		p.view.Cache.onCompletion(t, s, rel.Usage)
	case structs.OutcomeError:
		t.onErrorResponse(now, s.AssignedAt)
	case structs.OutcomeCrash:
		t.onConnectionFailure(now, s.AssignedAt)
		p.view.Cache.clear(t)
	case structs.OutcomeRefused:
		t.onConnectionFailure(now, s.AssignedAt)
	}
}

// ApplyLoadReport applies a load report of a target. It frees the orphaned slots whose requests
// have ended according to the report, and clears the cache estimate of a target that has become
// cold.
func (p *Pool) ApplyLoadReport(now time.Duration, target string, r LoadReport) {
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
	p.view.Cache.setCapacity(t, r.KVTotal)
}

// MarkOrphans marks the slots of an entry that has stopped reporting.
func (p *Pool) MarkOrphans(now time.Duration, entry string) {
	for _, s := range p.slots {
		if s.Entry == entry && s.OrphanedAt == 0 {
			s.OrphanedAt = now
		}
	}
}

// DropExpired frees the slots that have been orphaned for orphanTTL, and drops expired load reports.
func (p *Pool) DropExpired(now time.Duration) {
	for _, s := range p.slots {
		if s.OrphanedAt > 0 && now-s.OrphanedAt >= orphanTTL {
			p.Drop(now, s)
		}
	}
	for _, t := range p.view.Targets {
		t.dropExpired(now)
	}
}

// CacheEvent is a change of a target's prompt cache that the target has reported.
type CacheEvent struct {
	Stored  bool // stored if true, evicted if false
	Program string
	Tokens  int64
}

// ApplyCacheEvents applies cache events of a target. restarted is set if the sequence numbers of
// the target's events have started over, which means that the target has restarted and its
// earlier cache is lost. Evictions of programs that are running on the target are ignored: such
// events happened before the request was dispatched and arrived late.
func (p *Pool) ApplyCacheEvents(target string, restarted bool, events []CacheEvent) {
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
