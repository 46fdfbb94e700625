package engine

import (
	"container/heap"
	"strings"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
)

// job is a request in the engine. Its fields are guarded by Engine.mu, except for out,
// which the step loop fills and closes and the handler reads.
type job struct {
	id             uint64
	priority       int
	session        string
	links          []chainLink
	partialAnswer  string   // text of the partial answer that the request continues
	tokens         []string // tokens of the answer that follow partialAnswer
	limit          int      // maximum number of tokens to generate
	promptTokens   int      // size of the prompt
	history        int      // prompt tokens that an engine has processed or generated before
	cachedTokens   int
	uncachedTokens int // prompt tokens still to be processed
	sent           int
	crashesEngine  bool
	cancelled      bool
	index          int // position in the waiting heap, indexheap.Outside when running
	out            chan string
}

// jobQueue orders waiting jobs by priority, lowest number first, then by arrival.
type jobQueue = indexheap.Heap[*job]

// Before implements indexheap.Item.
func (j *job) Before(o *job) bool {
	if j.priority != o.priority {
		return j.priority < o.priority
	}
	return j.id < o.id
}

// HeapIndex implements indexheap.Item.
func (j *job) HeapIndex() *int { return &j.index }

// submit counts a job, queues it and wakes the step loop. It returns false if the engine is
// cold and refuses the job.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if j.partialAnswer != "" {
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

// cancel removes a waiting job at once, and lets the step loop remove a running one.
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

// beginStep admits waiting jobs and returns the duration of the next step, or false if no
// job is running.
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
	j.cachedTokens = e.cache.lookup(j.session, j.links)
	j.uncachedTokens = j.promptTokens - j.cachedTokens
	e.stats.PromptTokens += int64(j.promptTokens)
	e.stats.CachedTokens += int64(j.cachedTokens)
	e.stats.RecomputedTokens += int64(max(0, j.history-j.cachedTokens))
	e.cache.pin(j.session)
	e.running = append(e.running, j)
	if j.crashesEngine {
		go e.Crash()
	}
}

// prefill distributes PrefillChunk over the jobs whose prompt is not yet processed, in the
// order of their admission, and returns the number of tokens processed.
func (e *Engine) prefill() int {
	left := e.cfg.PrefillChunk
	for _, j := range e.running {
		n := min(left, j.uncachedTokens)
		j.uncachedTokens -= n
		left -= n
	}
	return e.cfg.PrefillChunk - left
}

// endStep sends the next token of each running job whose prompt is processed, and removes
// the jobs that are complete.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	kept := e.running[:0]
	for _, j := range e.running {
		if j.uncachedTokens > 0 {
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
		e.releaseCache(j, true)
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
		e.releaseCache(j, false)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// releaseCache unpins the session of a job that ends. The cache keeps the prompt, if it was
// processed, and the answer, if whole says that the job ran to its end.
func (e *Engine) releaseCache(j *job, whole bool) {
	if j.uncachedTokens > 0 {
		e.cache.unpin(j.session, nil)
		return
	}
	links := j.links
	if whole {
		answer := TextMessage("assistant", j.partialAnswer+strings.Join(j.tokens[:j.sent], ""))
		links = append(links[:len(links):len(links)], nextLink(links, answer))
	}
	e.cache.unpin(j.session, links)
}
