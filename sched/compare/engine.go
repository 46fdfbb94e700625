package compare

import (
	"container/list"
	"time"
)

// Parameters of the engine model. With a batch of 12 requests, an engine generates 350
// tokens a second in total, with 34 ms between the tokens of a request. This is the mean
// load of a replica at the size that the sites are planned for.
const (
	// A step takes baseStepTime, plus stepTimePerSequence for each request that generates
	// a token and prefillTimePerToken for each prompt token that is computed.
	baseStepTime        = 20 * time.Millisecond
	stepTimePerSequence = 1200 * time.Microsecond
	prefillTimePerToken = 100 * time.Microsecond
	// maxPrefillTokens is the largest number of prompt tokens computed in one step.
	maxPrefillTokens = 1024
	// engineSlots is the largest batch, and the slots of a target in the pool; coldSlots is
	// the target's cold-start limit.
	engineSlots = 16
	coldSlots   = 4
)

// job is a request on an engine.
type job struct {
	req          *turnRequest
	cachedTokens int64 // prompt tokens found in cache
	promptLeft   int64 // prompt tokens that are still to be computed
	generated    int64 // tokens generated
	assignedAt   time.Duration
	firstTokenAt time.Duration
	onDone       func(*job)
}

// engine is a model engine with continuous batching and an LRU prefix cache.
type engine struct {
	sim        *simulation
	name       string
	kvCapacity int64 // tokens of KV cache, running requests included
	reservedKV int64 // tokens reserved for the prompts and outputs of running requests
	cachedKV   int64 // tokens of cached sessions
	running    []*job
	waiting    []*job
	sessions   map[string]*session // by program
	lru        *list.List          // of *session, most recently used first
	prefixes   map[uint64]int      // number of cached sessions by hash of a prompt prefix
	stepping   bool                // a step is in progress
	events     []cacheEvent        // since the last report
}

// session is the cached history of one program.
type session struct {
	program    string
	tokens     int64
	prefixes   []uint64
	lruElement *list.Element
}

// cacheEvent is a change of the cache.
type cacheEvent struct {
	stored  bool // otherwise evicted
	program string
	tokens  int64
}

func newEngine(sim *simulation, name string, kvCapacity int64) *engine {
	return &engine{
		sim: sim, name: name, kvCapacity: kvCapacity,
		sessions: map[string]*session{}, lru: list.New(), prefixes: map[uint64]int{},
	}
}

// submit queues a request and starts the engine if it is idle.
func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// step starts one iteration of the batch: requests with a computed prompt generate a token
// each, and the prompts of others are computed, up to maxPrefillTokens in total.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	budget := int64(maxPrefillTokens)
	var decoding []*job
	var prefilled []*job
	for _, j := range e.running {
		if j.promptLeft == 0 {
			decoding = append(decoding, j)
			continue
		}
		n := min(j.promptLeft, budget)
		j.promptLeft -= n
		budget -= n
		if j.promptLeft == 0 {
			prefilled = append(prefilled, j)
		}
	}
	took := baseStepTime + time.Duration(len(decoding))*stepTimePerSequence + time.Duration(maxPrefillTokens-budget)*prefillTimePerToken
	e.sim.schedule(took, func() { e.finishStep(decoding, prefilled) })
}

// finishStep ends a step, completes the requests that have all their tokens and starts the
// next step. A request generates its first token in the step that completes its prompt.
func (e *engine) finishStep(decoding, prefilled []*job) {
	for _, j := range prefilled {
		j.firstTokenAt = e.sim.now
		j.generated = 1
	}
	for _, j := range decoding {
		j.generated++
	}
	kept := e.running[:0]
	var ended []*job
	for _, j := range e.running {
		if j.promptLeft == 0 && j.generated >= j.req.outputTokens {
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, j := range ended {
		e.storeSession(j)
		j.onDone(j)
	}
	e.step()
}

// admit starts waiting requests in order while there are free slots and enough memory. A
// request is admitted whatever its size if none is running.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		j := e.waiting[0]
		need := j.req.promptTokens + j.req.outputTokens
		if len(e.running) > 0 && e.reservedKV+need > e.kvCapacity {
			return
		}
		e.waiting = e.waiting[1:]
		j.cachedTokens = min(e.cachedPromptTokens(j.req), j.req.promptTokens-1)
		j.promptLeft = j.req.promptTokens - j.cachedTokens
		e.removeSession(j.req.program)
		e.reservedKV += need
		e.evict()
		e.running = append(e.running, j)
	}
}

// cachedPromptTokens returns the number of cached tokens that the request can use: the
// largest of its program's session and of the prompt prefixes shared with other sessions.
func (e *engine) cachedPromptTokens(r *turnRequest) int64 {
	var held int64
	if s := e.sessions[r.program]; s != nil {
		held = s.tokens
	}
	for i, h := range r.prefix {
		if e.prefixes[h] > 0 {
			held = max(held, r.prefixTokens[i])
		}
	}
	return held
}

// storeSession caches the tokens of a finished request as the session of its program.
func (e *engine) storeSession(j *job) {
	e.reservedKV -= j.req.promptTokens + j.req.outputTokens
	e.removeSession(j.req.program)
	s := &session{program: j.req.program, tokens: j.req.promptTokens + j.req.outputTokens, prefixes: j.req.prefix}
	s.lruElement = e.lru.PushFront(s)
	e.sessions[s.program] = s
	for _, h := range s.prefixes {
		e.prefixes[h]++
	}
	e.cachedKV += s.tokens
	e.events = append(e.events, cacheEvent{stored: true, program: s.program, tokens: s.tokens})
	e.evict()
}

// removeSession removes a program's session from the cache, if there is one.
func (e *engine) removeSession(program string) {
	s := e.sessions[program]
	if s == nil {
		return
	}
	delete(e.sessions, program)
	e.lru.Remove(s.lruElement)
	for _, h := range s.prefixes {
		e.prefixes[h]--
	}
	e.cachedKV -= s.tokens
}

// evict removes the least recently used sessions until the cache fits the memory.
func (e *engine) evict() {
	for e.reservedKV+e.cachedKV > e.kvCapacity && e.lru.Len() > 0 {
		s := e.lru.Back().Value.(*session)
		e.removeSession(s.program)
		e.events = append(e.events, cacheEvent{program: s.program, tokens: s.tokens})
	}
}
