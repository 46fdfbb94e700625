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
	reportInterval = 500 * time.Millisecond
	reportLag      = 700 * time.Millisecond
	// eventLoss is the share of cache events that are lost.
	eventLoss = 0.1
	hopTime   = 2 * time.Millisecond
	pumpTick  = 20 * time.Millisecond
)

// simulation is one run of a policy on a site.
type simulation struct {
	now     time.Duration
	queue   eventHeap
	seq     int
	rnd     *rand.Rand
	pool    *sched.Pool
	engines map[string]*engine
	names   []string
	slots   int
	ticking bool
	result  *Result
	// Calls that end between from and to are measured.
	from, to time.Duration
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

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

func (s *simulation) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, fn: fn})
}

// newSimulation returns a site with the policy.
func newSimulation(site Site, policy sched.Policy, seed uint64, from, to time.Duration) *simulation {
	s := &simulation{
		now: time.Second, rnd: rand.New(rand.NewPCG(seed, 77)),
		engines: map[string]*engine{}, result: newResult(), from: from, to: to,
	}
	s.pool = sched.NewPool(sched.Options{}, policy, rand.New(rand.NewPCG(seed, 78)))
	var specs []sched.TargetSpec
	for i := range site.Replicas {
		name := fmt.Sprintf("t%02d", i)
		s.names = append(s.names, name)
		s.engines[name] = newEngine(s, name, site.KVTokens)
		specs = append(specs, sched.TargetSpec{
			Name: name, Zone: fmt.Sprintf("z%d", i%site.Zones), Slots: engineSlots, ColdSlots: coldSlots,
		})
	}
	s.pool.SetTargets(s.now, specs)
	return s
}

// run lets the programs arrive and runs until all counted ones have ended or until end.
func (s *simulation) run(programs []*program, end time.Duration) *Result {
	open := 0
	for _, p := range programs {
		if p.counted {
			open++
		}
	}
	for _, p := range programs {
		s.after(p.arrival, func() {
			r := &programRun{sim: s, spec: p, started: s.now}
			r.finished = func() {
				if p.counted {
					open--
					s.result.program(p, s.now-r.started)
				}
			}
			r.begin()
		})
	}
	for i, name := range s.names {
		s.after(time.Duration(i)*reportInterval/time.Duration(len(s.names)), func() { s.report(name) })
	}
	for len(s.queue) > 0 && open > 0 && s.now < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.result.Unfinished = open
	for _, p := range programs {
		if p.counted && !s.result.ended[p.id] {
			s.result.program(p, s.now-p.arrival)
		}
	}
	return s.result
}

// report sends a load report and the cache events of an engine, which arrive late.
func (s *simulation) report(name string) {
	e := s.engines[name]
	r := sched.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsed: e.pinned + e.cachedKV, KVTotal: e.capacity, At: s.now,
	}
	var events []sched.CacheEvent
	for _, x := range e.events {
		if s.rnd.Float64() >= eventLoss {
			events = append(events, sched.CacheEvent{Stored: x.stored, Program: x.program, Tokens: x.tokens})
		}
	}
	e.events = nil
	s.after(time.Duration(s.rnd.Int64N(int64(reportLag))), func() {
		s.pool.Load(s.now, name, r)
		s.pool.CacheEvents(name, false, events)
		s.pump()
	})
	s.after(reportInterval, func() { s.report(name) })
}

// pump assigns what fits, and again later while requests wait.
func (s *simulation) pump() {
	for {
		s.slots++
		slot, req, ok := s.pool.Next(s.now, fmt.Sprint(s.slots))
		if !ok {
			break
		}
		req.Data.(*call).assigned(slot)
	}
	if s.pool.QueueLen() == 0 || s.ticking {
		return
	}
	s.ticking = true
	s.after(pumpTick, func() {
		s.ticking = false
		s.pump()
	})
}

// programRun is a program in progress.
type programRun struct {
	sim          *simulation
	spec         *program
	started      time.Duration
	turn         int
	attained     int64
	prompt       int64
	history      int64
	prefix       []uint64
	prefixTokens []int64
	waitFor      int // sub-agents in progress
	finished     func()
}

func (r *programRun) begin() {
	if len(r.prefix) == 0 {
		r.prefix = []uint64{prefixHash(r.spec.service, 0)}
		r.prefixTokens = []int64{systemTokens}
		r.prompt = systemTokens
		r.history = systemTokens
	}
	r.prompt += r.spec.first
	r.send()
}

// send calls the model for the current turn.
func (r *programRun) send() {
	r.prefix = append(r.prefix, prefixHash(r.spec.id, r.turn))
	r.prefixTokens = append(r.prefixTokens, r.prompt)
	c := &call{run: r, queued: r.sim.now, req: &turnRequest{
		program: r.spec.id, prompt: r.prompt, output: r.spec.turns[r.turn].output,
		prefix: r.prefix, prefixTokens: r.prefixTokens, history: r.history,
	}}
	c.enqueue()
}

// answered continues the program after a turn.
func (r *programRun) answered() {
	t := &r.spec.turns[r.turn]
	r.prompt += t.output
	r.attained += t.output
	r.history = r.prompt
	r.turn++
	if r.turn == len(r.spec.turns) || r.prompt > maxContext {
		r.finished()
		return
	}
	r.waitFor = len(t.children)
	for _, c := range t.children {
		r.spawn(c)
	}
	if r.waitFor == 0 {
		r.resume(t)
	}
}

func (r *programRun) spawn(spec *program) {
	child := &programRun{sim: r.sim, spec: spec, started: r.sim.now}
	if spec.forks {
		child.prefix = append([]uint64{}, r.prefix...)
		child.prefixTokens = append([]int64{}, r.prefixTokens...)
		child.prompt = r.prompt
		child.history = r.prompt
	}
	child.finished = func() {
		r.waitFor--
		if r.waitFor == 0 {
			r.resume(&r.spec.turns[r.turn-1])
		}
	}
	child.begin()
}

func (r *programRun) resume(t *turn) {
	r.sim.after(t.pause, func() {
		r.prompt += t.added
		r.send()
	})
}

// call is one turn on its way.
type call struct {
	run    *programRun
	req    *turnRequest
	queued time.Duration
	slot   *sched.Slot
	tries  int
}

func (c *call) enqueue() {
	s, r := c.run.sim, c.run
	c.tries++
	age := s.now - r.started
	left := time.Duration(0)
	if r.spec.deadline > 0 {
		left = max(r.spec.deadline-age, time.Second)
	}
	req := &sched.Request{Data: c, AssignRequest: structs.AssignRequest{
		ID: fmt.Sprintf("%s/%d/%d", r.spec.id, r.turn, c.tries), Entry: "e", Org: r.spec.org, Weight: 1,
		Program: r.spec.id, Service: r.spec.service, Class: r.spec.class, Attained: r.attained,
		Turn: r.turn + 1, ProgramAge: age, Deadline: left, PromptTokens: c.req.prompt, MaxTokens: 4096,
		Prefix: c.req.prefix, PrefixTokens: c.req.prefixTokens,
	}}
	if shed := s.pool.Enqueue(s.now, req); shed != nil {
		refused := shed.Data.(*call)
		s.result.Refused++
		s.result.OrgRefused[refused.run.spec.org]++
		s.after(s.pool.RetryAfter(s.now), refused.enqueue)
	}
	s.pump()
}

func (c *call) assigned(slot *sched.Slot) {
	c.slot = slot
	s := c.run.sim
	j := &job{req: c.req, sentAt: s.now, done: c.ended}
	s.after(hopTime, func() { s.engines[slot.Target.Name].submit(j) })
}

func (c *call) ended(j *job) {
	s := c.run.sim
	s.result.call(c, j)
	s.after(hopTime, func() {
		s.pool.Release(s.now, c.slot, &structs.ReleaseSlot{
			Outcome: structs.OutcomeOK, TTFT: j.first - j.sentAt, Duration: s.now - j.sentAt,
			Usage: structs.Usage{PromptTokens: j.req.prompt, CompletionTokens: j.req.output, CachedTokens: j.cached},
		})
		s.pump()
		c.run.answered()
	})
}
