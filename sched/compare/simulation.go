package compare

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

const (
	// reportInterval is the interval at which each engine sends a load report and its cache
	// events. They arrive after a random delay of less than maxReportDelay.
	reportInterval = 500 * time.Millisecond
	maxReportDelay = 700 * time.Millisecond
	// eventLossRate is the fraction of cache events that are lost.
	eventLossRate = 0.1
	// networkDelay is the time of a message between scheduler and engine.
	networkDelay = 2 * time.Millisecond
	// assignRetryInterval is the interval at which assignment is tried again while requests
	// are queued.
	assignRetryInterval = 20 * time.Millisecond
)

// simulation is one run of a policy on a site.
type simulation struct {
	now            time.Duration
	events         eventHeap
	seq            int // number of the last event
	rnd            *rand.Rand
	pool           *sched.Pool
	engines        map[string]*engine
	engineNames    []string
	slotSeq        int  // number of the last slot id
	retryScheduled bool // assignQueued is scheduled to run again
	result         *Result
	// Calls that end before measureFrom are not measured. Tokens that calls generate count
	// as service to their organisation if the calls end before serviceUntil.
	measureFrom, serviceUntil time.Duration
}

// event is a function that runs at a point of virtual time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventHeap is a heap of events in the order in which they run.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule runs fn after a delay of virtual time.
func (s *simulation) schedule(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, fn: fn})
}

// newSimulation returns a simulation of a site with the given policy. See simulation for
// measureFrom and serviceUntil.
func newSimulation(site Site, policy sched.Policy, seed uint64, measureFrom, serviceUntil time.Duration) *simulation {
	s := &simulation{
		now: time.Second, rnd: rand.New(rand.NewPCG(seed, 77)),
		engines: map[string]*engine{}, result: newResult(), measureFrom: measureFrom, serviceUntil: serviceUntil,
	}
	s.pool = sched.NewPool(sched.Options{}, policy, rand.New(rand.NewPCG(seed, 78)))
	var specs []sched.TargetSpec
	for i := range site.Replicas {
		name := fmt.Sprintf("t%02d", i)
		s.engineNames = append(s.engineNames, name)
		s.engines[name] = newEngine(s, name, site.KVTokens)
		specs = append(specs, sched.TargetSpec{
			Name: name, Zone: fmt.Sprintf("z%d", i%site.Zones), Slots: engineSlots, ColdSlots: coldSlots,
		})
	}
	s.pool.SetTargets(s.now, specs)
	return s
}

// run simulates the programs until all counted ones have ended, or until end. A counted
// program that has not ended is recorded with its latency until then.
func (s *simulation) run(programs []*program, end time.Duration) *Result {
	unfinished := 0
	for _, p := range programs {
		if p.counted {
			unfinished++
		}
	}
	for _, p := range programs {
		s.schedule(p.arrival, func() {
			r := &programRun{sim: s, spec: p, startedAt: s.now}
			r.onFinished = func() {
				if p.counted {
					unfinished--
					s.result.recordProgram(p, s.now-r.startedAt)
				}
			}
			r.start()
		})
	}
	for i, name := range s.engineNames {
		s.schedule(time.Duration(i)*reportInterval/time.Duration(len(s.engineNames)), func() { s.report(name) })
	}
	for len(s.events) > 0 && unfinished > 0 && s.now < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.result.Unfinished = unfinished
	for _, p := range programs {
		if p.counted && !s.result.finished[p.id] {
			s.result.recordProgram(p, s.now-p.arrival)
		}
	}
	return s.result
}

// report sends a load report and the cache events of an engine to the pool, where they
// arrive late, and schedules the next report.
func (s *simulation) report(name string) {
	e := s.engines[name]
	r := sched.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsed: e.reservedKV + e.cachedKV, KVTotal: e.kvCapacity, MeasuredAt: s.now,
	}
	var events []sched.CacheEvent
	for _, x := range e.events {
		if s.rnd.Float64() >= eventLossRate {
			events = append(events, sched.CacheEvent{Stored: x.stored, Program: x.program, Tokens: x.tokens})
		}
	}
	e.events = nil
	s.schedule(time.Duration(s.rnd.Int64N(int64(maxReportDelay))), func() {
		s.pool.ApplyLoadReport(s.now, name, r)
		s.pool.ApplyCacheEvents(name, false, events)
		s.assignQueued()
	})
	s.schedule(reportInterval, func() { s.report(name) })
}

// assignQueued assigns queued requests until the policy finds no further assignment. While
// requests remain queued, it schedules itself to run again.
func (s *simulation) assignQueued() {
	for {
		s.slotSeq++
		slot, req, ok := s.pool.Next(s.now, fmt.Sprint(s.slotSeq))
		if !ok {
			break
		}
		req.Data.(*call).onAssigned(slot)
	}
	if s.pool.QueueLen() == 0 || s.retryScheduled {
		return
	}
	s.retryScheduled = true
	s.schedule(assignRetryInterval, func() {
		s.retryScheduled = false
		s.assignQueued()
	})
}

// programRun is the state of a running program or sub-agent.
type programRun struct {
	sim             *simulation
	spec            *program
	startedAt       time.Duration
	turn            int      // index of the current turn
	attainedTokens  int64    // tokens generated so far
	promptTokens    int64    // prompt of the current turn
	historyTokens   int64    // leading prompt tokens that have been computed before
	prefix          []uint64 // hashes of the prompt's prefixes, longest last
	prefixTokens    []int64  // token counts of the same prefixes
	pendingChildren int      // sub-agents in progress
	onFinished      func()
}

// start sends the first turn. Its prompt begins with the system prompt of the service, or
// with the parent's history for a sub-agent that inherits it.
func (r *programRun) start() {
	if len(r.prefix) == 0 {
		r.prefix = []uint64{prefixHash(r.spec.service, 0)}
		r.prefixTokens = []int64{systemTokens}
		r.promptTokens = systemTokens
		r.historyTokens = systemTokens
	}
	r.promptTokens += r.spec.firstPrompt
	r.sendTurn()
}

// sendTurn sends the call of the current turn.
func (r *programRun) sendTurn() {
	r.prefix = append(r.prefix, prefixHash(r.spec.id, r.turn))
	r.prefixTokens = append(r.prefixTokens, r.promptTokens)
	c := &call{run: r, queuedAt: r.sim.now, req: &turnRequest{
		program: r.spec.id, promptTokens: r.promptTokens, outputTokens: r.spec.turns[r.turn].outputTokens,
		prefix: r.prefix, prefixTokens: r.prefixTokens, historyTokens: r.historyTokens,
	}}
	c.enqueue()
}

// finishTurn is called when the answer to a turn has arrived. It ends the program after its
// last turn or when its prompt has become too long. Otherwise it starts the turn's
// sub-agents, and schedules the next turn once they have ended.
func (r *programRun) finishTurn() {
	t := &r.spec.turns[r.turn]
	r.promptTokens += t.outputTokens
	r.attainedTokens += t.outputTokens
	r.historyTokens = r.promptTokens
	r.turn++
	if r.turn == len(r.spec.turns) || r.promptTokens > maxContextTokens {
		r.onFinished()
		return
	}
	r.pendingChildren = len(t.children)
	for _, c := range t.children {
		r.spawn(c)
	}
	if r.pendingChildren == 0 {
		r.scheduleNextTurn(t)
	}
}

// spawn starts a sub-agent.
func (r *programRun) spawn(spec *program) {
	child := &programRun{sim: r.sim, spec: spec, startedAt: r.sim.now}
	if spec.inheritsHistory {
		child.prefix = append([]uint64{}, r.prefix...)
		child.prefixTokens = append([]int64{}, r.prefixTokens...)
		child.promptTokens = r.promptTokens
		child.historyTokens = r.promptTokens
	}
	child.onFinished = func() {
		r.pendingChildren--
		if r.pendingChildren == 0 {
			r.scheduleNextTurn(&r.spec.turns[r.turn-1])
		}
	}
	child.start()
}

// scheduleNextTurn sends the next turn after the tool pause of turn t.
func (r *programRun) scheduleNextTurn(t *turn) {
	r.sim.schedule(t.pause, func() {
		r.promptTokens += t.addedTokens
		r.sendTurn()
	})
}

// call is the request of one turn, from the queue to its answer.
type call struct {
	run      *programRun
	req      *turnRequest
	queuedAt time.Duration
	slot     *sched.Slot
	attempts int
}

// enqueue adds the call to the pool's queue. If the pool sheds a call, that call is enqueued
// again after the retry delay.
func (c *call) enqueue() {
	s, r := c.run.sim, c.run
	c.attempts++
	age := s.now - r.startedAt
	left := time.Duration(0)
	if r.spec.deadline > 0 {
		left = max(r.spec.deadline-age, time.Second)
	}
	req := &sched.Request{Data: c, AssignRequest: structs.AssignRequest{
		ID: fmt.Sprintf("%s/%d/%d", r.spec.id, r.turn, c.attempts), Entry: "e", Org: r.spec.org, Weight: 1,
		Program: r.spec.id, Service: r.spec.service, Class: r.spec.class, AttainedTokens: r.attainedTokens,
		Turn: r.turn + 1, ProgramAge: age, Deadline: left, PromptTokens: c.req.promptTokens, MaxTokens: 4096,
		Prefix: c.req.prefix, PrefixTokens: c.req.prefixTokens,
	}}
	if shed := s.pool.Enqueue(s.now, req); shed != nil {
		refused := shed.Data.(*call)
		s.result.Refused++
		s.result.OrgRefused[refused.run.spec.org]++
		s.schedule(s.pool.RetryAfter(s.now), refused.enqueue)
	}
	s.assignQueued()
}

// onAssigned sends the call to the engine of its slot.
func (c *call) onAssigned(slot *sched.Slot) {
	c.slot = slot
	s := c.run.sim
	j := &job{req: c.req, assignedAt: s.now, onDone: c.onJobDone}
	s.schedule(networkDelay, func() { s.engines[slot.Target.Name].submit(j) })
}

// onJobDone records the call and, when the answer has arrived, releases the slot and
// continues the program.
func (c *call) onJobDone(j *job) {
	s := c.run.sim
	s.result.recordCall(c, j)
	s.schedule(networkDelay, func() {
		s.pool.Release(s.now, c.slot, &structs.ReleaseSlot{
			Outcome: structs.OutcomeOK, TTFT: j.firstTokenAt - j.assignedAt, Duration: s.now - j.assignedAt,
			Usage: structs.Usage{PromptTokens: j.req.promptTokens, CompletionTokens: j.req.outputTokens, CachedTokens: j.cachedTokens},
		})
		s.assignQueued()
		c.run.finishTurn()
	})
}
