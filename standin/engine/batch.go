package engine

import (
	"container/heap"
	"strings"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
)

// job is a request in the engine. Its fields are guarded by Engine.mu, but for out,
// which the loop fills and closes and the handler reads.
type job struct {
	id        uint64
	priority  int
	session   string
	links     []chainLink
	prefix    string   // partial answer that is continued
	tokens    []string // still to be generated
	limit     int      // most tokens to generate
	prompt    int      // prompt tokens
	history   int      // prompt tokens that an engine has processed or generated before
	cached    int
	uncached  int // prompt tokens still to be processed
	sent      int
	crash     bool
	cancelled bool
	index     int // position in the waiting heap, indexheap.Outside when running
	out       chan string
}

// waiting orders jobs by priority, then by arrival.
type waiting = indexheap.Heap[*job]

// Before implements indexheap.Item.
func (j *job) Before(o *job) bool {
	if j.priority != o.priority {
		return j.priority < o.priority
	}
	return j.id < o.id
}

// HeapIndex implements indexheap.Item.
func (j *job) HeapIndex() *int { return &j.index }

// submit counts a job, queues it and wakes the loop. It returns false if a cold engine
// does not take it.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if j.prefix != "" {
		e.stats.Continued++
	}
	if e.isCold() && len(e.queue)+len(e.running) >= e.coldSlots {
		e.stats.ColdOverloads++
		if e.cfg.ColdMode == ColdRefuse {
			return false
		}
	}
	e.nextJob++
	j.id = e.nextJob
	heap.Push(&e.queue, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// cancel takes a job out of the engine.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.cancelled = true
	if j.index >= 0 {
		heap.Remove(&e.queue, j.index)
	}
}

// run executes steps until the engine is closed.
func (e *Engine) run() {
	next := time.Now()
	for {
		d, busy := e.beginStep()
		if !busy {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(d)
		select {
		case <-time.After(time.Until(next)):
		case <-e.stop:
			return
		}
		e.endStep()
	}
}

// beginStep admits waiting jobs and returns the time of the next step.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	for len(e.queue) > 0 && len(e.running) < e.cfg.MaxBatch {
		e.admit(heap.Pop(&e.queue).(*job))
	}
	e.stats.MaxConcurrent = max(e.stats.MaxConcurrent, len(e.running))
	if len(e.running) == 0 {
		return 0, false
	}
	d := e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerRequest
	d += time.Duration(e.prefill()) * e.cfg.PrefillPerToken
	if e.isCold() && len(e.running)+len(e.queue) > e.coldSlots {
		d = time.Duration(float64(d) * e.cfg.ColdSlowdown)
	}
	return d, true
}

func (e *Engine) admit(j *job) {
	j.cached = e.cache.lookup(j.session, j.links)
	j.uncached = j.prompt - j.cached
	e.stats.PromptTokens += int64(j.prompt)
	e.stats.CachedTokens += int64(j.cached)
	e.stats.RecomputedTokens += int64(max(0, j.history-j.cached))
	e.cache.pin(j.session)
	e.running = append(e.running, j)
	if j.crash {
		go e.Crash()
	}
}

// prefill shares the step's chunk among the jobs whose prompt is not yet processed and
// returns the number of tokens processed.
func (e *Engine) prefill() int {
	left := e.cfg.PrefillChunk
	for _, j := range e.running {
		n := min(left, j.uncached)
		j.uncached -= n
		left -= n
	}
	return e.cfg.PrefillChunk - left
}

// endStep gives each running job whose prompt is processed its next token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	kept := e.running[:0]
	for _, j := range e.running {
		if j.uncached > 0 {
			kept = append(kept, j)
			continue
		}
		if j.sent < len(j.tokens) && j.sent < j.limit {
			j.out <- j.tokens[j.sent] // never blocks: out has room for all tokens
			j.sent++
			e.stats.GeneratedTokens++
		}
		if j.sent < len(j.tokens) && j.sent < j.limit {
			kept = append(kept, j)
			continue
		}
		e.leave(j, true)
		close(j.out)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) dropCancelled() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.cancelled {
			kept = append(kept, j)
			continue
		}
		e.stats.Cancelled++
		e.leave(j, false)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// leave keeps the KV cache of a job that ends: its prompt, if it was processed, and its
// answer, if it was generated up to the end.
func (e *Engine) leave(j *job, whole bool) {
	if j.uncached > 0 {
		e.cache.unpin(j.session, nil)
		return
	}
	links := j.links
	if whole {
		answer := Text("assistant", j.prefix+strings.Join(j.tokens[:j.sent], ""))
		links = append(links[:len(links):len(links)], nextLink(links, answer))
	}
	e.cache.unpin(j.session, links)
}
