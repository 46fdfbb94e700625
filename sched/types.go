package sched

import (
	"math/rand/v2"
	"time"

	"github.com/figlb/figlb/structs"
)

// Request is a request for a slot.
type Request struct {
	structs.AssignRequest
	// Enqueued is the time the request entered the queue.
	Enqueued time.Duration
	// Data is for the caller's use; this package does not read it.
	Data any
	// AvoidTargets holds the targets that the request must not be assigned to for now: those
	// whose count is above zero. Nil means no restriction. The caller owns the map and may
	// change it between calls of Pool.Next.
	AvoidTargets map[string]int

	seq         uint64
	due         time.Duration // sort key within the organisation; see dueTime
	fifoIndex   int           // index in Queue.fifo
	heapIndex   int           // index in the organisation's heap; indexheap.NotInHeap if in none
	parkedOn    *Target       // target with the prompt in its cache that the request waits for
	parkedUntil time.Duration // when that wait ends; stays set after the request has been unparked
}

// InProgress reports whether the request's program has already had a response.
func (r *Request) InProgress() bool { return r.Turn > 1 || r.AttainedTokens > 0 }

// excludes reports whether the named target has already failed this request.
func (r *Request) excludes(name string) bool {
	for _, x := range r.Exclude {
		if x == name {
			return true
		}
	}
	return false
}

// rejects reports whether the request must never be assigned to the target.
func (r *Request) rejects(t *Target) bool {
	return r.Software != "" && r.Software != t.Software || r.excludes(t.Name)
}

// blocked reports whether the request must not be assigned to the target now.
func (r *Request) blocked(t *Target) bool { return r.rejects(t) || r.AvoidTargets[t.Name] > 0 }

// weight returns the organisation's weight, at least 1.
func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

// Decision assigns a request to a target.
type Decision struct {
	Request *Request
	Target  *Target
	// Cached is the estimated number of prompt tokens that the target has in its cache.
	Cached int64
}

// View is the state of a pool that a policy bases its decisions on.
type View struct {
	Now     time.Duration
	Rand    *rand.Rand
	Targets []*Target
	Queue   *Queue
	Cost    *CostModel
	Cache   *CacheMap
	Shares  *Shares
}

// Policy decides which queued request is assigned next, and to which target.
type Policy interface {
	// Next returns the next assignment, or false if no queued request can be assigned now.
	// The decision must name a queued request and a target with a free slot.
	Next(v *View) (Decision, bool)
}

// Slot is a slot in use on a target, with the request that occupies it.
type Slot struct {
	ID      string
	Entry   string
	Request string // id of the request; empty for a slot assigned in an earlier term
	Target  *Target
	Org     string
	Weight  int
	Program string
	Service string
	Prompt  int64 // prompt tokens
	// Cached and Output are the numbers of cached prompt tokens and of generated tokens, as
	// estimated at assignment.
	Cached int64
	Output int64
	// AssignedAt is the time of assignment or, for a slot assigned in an earlier term, the
	// time of the first report that named it.
	AssignedAt time.Duration
	// OrphanedAt is when the slot's entry was found to have stopped reporting; 0 if it has
	// not.
	OrphanedAt time.Duration

	chargedCost float64 // cost charged to the organisation
	// The fields below are estimates made at assignment.
	expectedFirstToken  time.Duration // time of the first token
	expectedEnd         time.Duration // time of completion
	expectedTTFT        time.Duration // time from assignment to the first token
	batchSize           int           // slots in use on the target at assignment, including this one
	prefillTime         time.Duration // time to compute the uncached part of the prompt
	queuedPrefillTokens int64         // prompt tokens to compute on the target before this request's
}

// Options configures a pool. Zero values select the defaults.
type Options struct {
	// MaxQueue is the queue length above which requests are shed.
	MaxQueue int
}

const defaultMaxQueue = 4096

func (o Options) maxQueue() int {
	if o.MaxQueue > 0 {
		return o.MaxQueue
	}
	return defaultMaxQueue
}
