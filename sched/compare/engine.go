package compare

import (
	"container/list"
	"time"
)

// Model of an engine. At a batch of 12 it generates 350 tokens a second with 34 ms
// between tokens, which is the mean load of a replica at the target size.
const (
	stepBase     = 20 * time.Millisecond
	stepPerSeq   = 1200 * time.Microsecond
	prefillToken = 100 * time.Microsecond
	// prefillChunk is the most prompt tokens computed in one step.
	prefillChunk = 1024
	engineSlots  = 16
	coldSlots    = 4
)

// job is a request on an engine.
type job struct {
	req    *turnRequest
	cached int64
	left   int64 // prompt tokens to compute
	made   int64 // tokens generated
	sentAt time.Duration
	first  time.Duration // time of the first token
	done   func(*job)
}

// engine is a model engine with continuous batching and an LRU prefix cache.
type engine struct {
	sim      *simulation
	name     string
	capacity int64 // tokens of KV cache, running requests included
	pinned   int64
	cachedKV int64
	running  []*job
	waiting  []*job
	sessions map[string]*session
	lru      *list.List // of *session, most recent first
	prefixes map[uint64]int
	stepping bool
	events   []cacheEvent
}

type session struct {
	program  string
	tokens   int64
	prefixes []uint64
	place    *list.Element
}

type cacheEvent struct {
	stored  bool
	program string
	tokens  int64
}

func newEngine(sim *simulation, name string, capacity int64) *engine {
	return &engine{
		sim: sim, name: name, capacity: capacity,
		sessions: map[string]*session{}, lru: list.New(), prefixes: map[uint64]int{},
	}
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// step runs one iteration of the batch.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	budget := int64(prefillChunk)
	var decoding []*job
	var prefilled []*job
	for _, j := range e.running {
		if j.left == 0 {
			decoding = append(decoding, j)
			continue
		}
		n := min(j.left, budget)
		j.left -= n
		budget -= n
		if j.left == 0 {
			prefilled = append(prefilled, j)
		}
	}
	took := stepBase + time.Duration(len(decoding))*stepPerSeq + time.Duration(prefillChunk-budget)*prefillToken
	e.sim.after(took, func() { e.finishStep(decoding, prefilled) })
}

func (e *engine) finishStep(decoding, prefilled []*job) {
	for _, j := range prefilled {
		j.first = e.sim.now
		j.made = 1
	}
	for _, j := range decoding {
		j.made++
	}
	kept := e.running[:0]
	var ended []*job
	for _, j := range e.running {
		if j.left == 0 && j.made >= j.req.output {
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, j := range ended {
		e.store(j)
		j.done(j)
	}
	e.step()
}

// admit starts waiting requests as far as slots and memory allow.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		j := e.waiting[0]
		need := j.req.prompt + j.req.output
		if len(e.running) > 0 && e.pinned+need > e.capacity {
			return
		}
		e.waiting = e.waiting[1:]
		j.cached = min(e.lookup(j.req), j.req.prompt-1)
		j.left = j.req.prompt - j.cached
		e.release(j.req.program)
		e.pinned += need
		e.evict()
		e.running = append(e.running, j)
	}
}

// lookup returns the tokens of the request's prompt that are in cache.
func (e *engine) lookup(r *turnRequest) int64 {
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

// store keeps the finished request's tokens in cache.
func (e *engine) store(j *job) {
	e.pinned -= j.req.prompt + j.req.output
	e.release(j.req.program)
	s := &session{program: j.req.program, tokens: j.req.prompt + j.req.output, prefixes: j.req.prefix}
	s.place = e.lru.PushFront(s)
	e.sessions[s.program] = s
	for _, h := range s.prefixes {
		e.prefixes[h]++
	}
	e.cachedKV += s.tokens
	e.events = append(e.events, cacheEvent{stored: true, program: s.program, tokens: s.tokens})
	e.evict()
}

// release takes a session out of the cache.
func (e *engine) release(program string) {
	s := e.sessions[program]
	if s == nil {
		return
	}
	delete(e.sessions, program)
	e.lru.Remove(s.place)
	for _, h := range s.prefixes {
		e.prefixes[h]--
	}
	e.cachedKV -= s.tokens
}

func (e *engine) evict() {
	for e.pinned+e.cachedKV > e.capacity && e.lru.Len() > 0 {
		s := e.lru.Back().Value.(*session)
		e.release(s.program)
		e.events = append(e.events, cacheEvent{program: s.program, tokens: s.tokens})
	}
}
