package sched

import (
	"math/rand/v2"
	"time"

	"github.com/figlb/figlb/structs"
)

// Request is a queued request.
type Request struct {
	structs.AssignRequest
	// Enqueued is the time the request entered the queue.
	Enqueued time.Duration
	// Data belongs to the caller.
	Data any
	// Avoid counts by target what keeps the request off it for now; nil: nothing. It
	// belongs to the caller, who changes it between decisions.
	Avoid map[string]int

	seq      uint64
	due      time.Duration // place in the order within the organisation
	fifoPos  int
	heapPos  int           // position in the organisation's heap; indexheap.Outside if in none
	parkedOn *Target       // the caching target the request waits for
	parkedTo time.Duration // end of that wait
}

// InProgress reports whether the request belongs to a program that has had an answer.
func (r *Request) InProgress() bool { return r.Turn > 1 || r.Attained > 0 }

// excludes reports whether target name has failed this request.
func (r *Request) excludes(name string) bool {
	for _, x := range r.Exclude {
		if x == name {
			return true
		}
	}
	return false
}

// blocked reports whether the request may not go to target name now.
func (r *Request) blocked(name string) bool { return r.excludes(name) || r.Avoid[name] > 0 }

// weight returns the organisation's weight, at least 1.
func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

// Decision puts a request on a target.
type Decision struct {
	Request *Request
	Target  *Target
	// Cached is the estimated number of prompt tokens that the target holds in cache.
	Cached int64
}

// View is what a policy decides on.
type View struct {
	Now     time.Duration
	Rand    *rand.Rand
	Targets []*Target
	Queue   *Queue
	Cost    *CostModel
	Cache   *CacheMap
	Shares  *Shares
}

// Policy decides which queued request goes to which target now. It returns false when
// no request fits. A decision must name a queued request and a target with a free slot.
type Policy interface {
	Next(v *View) (Decision, bool)
}

// Slot is a request that occupies a target.
type Slot struct {
	ID      string
	Entry   string
	Request string // id of the request; empty for a slot of an earlier term
	Target  *Target
	Org     string
	Weight  int
	Program string
	Service string
	Prompt  int64 // tokens
	// Cached and Output are estimates, in tokens, made at assignment.
	Cached int64
	Output int64
	// AssignedAt is the time of assignment or, for a slot of an earlier term, of the
	// first report that named it.
	AssignedAt time.Duration
	// OrphanedAt is the time at which the slot's entry was found to be gone; 0: it is not.
	OrphanedAt time.Duration

	charged   float64 // cost charged to the organisation
	firstAt   time.Duration
	endAt     time.Duration // estimates of first token and completion
	ttft      time.Duration // estimated time to first token
	batch     int           // slots in use on the target at assignment, this one included
	prefill   time.Duration // estimated time to compute the prompt
	queuedPre int64         // prompt tokens ahead of this request on the target
}

// Options tunes a pool. Zero values select the defaults.
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
