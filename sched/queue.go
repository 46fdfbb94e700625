package sched

import (
	"container/heap"
	"math"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
	"github.com/figlb/figlb/structs"
)

// Offsets that make up a request's due time, by which the queue of an organisation is ordered.
// The due time is the time of arrival plus the offsets that apply, so a waiting request goes
// before all requests that arrive later by more than the sum of the offsets, whatever their
// kind: no request starves.
const (
	lookupOffset = 15 * time.Second
	batchOffset  = 180 * time.Second
	// newProgramOffset gives programs in progress precedence over new ones.
	newProgramOffset = 4 * time.Second
	// attainedOffset is added for each doubling of the service that the program has received
	// beyond attainedThreshold, up to maxAttainedOffset (least attained service first).
	attainedOffset    = time.Second
	attainedThreshold = 256 // tokens
	maxAttainedOffset = 12 * time.Second
	// deadlineMargin is how long before its deadline a batch request is due at the latest.
	deadlineMargin = 30 * time.Second
)

// dueTime returns the time that gives a request its place in the queue of its organisation;
// the earliest due time goes first.
func dueTime(r *Request) time.Duration {
	due := r.Enqueued
	switch r.Class {
	case structs.ClassLookup:
		due += lookupOffset
	case structs.ClassBatch:
		due += batchOffset
	}
	if !r.InProgress() {
		due += newProgramOffset
	}
	if r.AttainedTokens > attainedThreshold {
		doublings := math.Log2(float64(r.AttainedTokens) / attainedThreshold)
		due += min(time.Duration(doublings*float64(attainedOffset)), maxAttainedOffset)
	}
	if r.Class == structs.ClassBatch && r.Deadline > 0 {
		due = min(due, max(r.Enqueued, r.Enqueued+r.Deadline-deadlineMargin))
	}
	return due
}

// Org is the queue of one organisation and the service that it has received.
type Org struct {
	Name string
	// normalisedService is the service received divided by the weight, on the scale of
	// Queue.virtualTime.
	normalisedService float64
	// waiting holds the requests that are not parked, by band.
	waiting      [bandCount]requestHeap
	queuedByRank [shedRankCount]int // waiting requests, including parked ones
	running      int                // slots in use
	heapIndex    int                // index in Queue.active; indexheap.NotInHeap if not in it
	weight       float64            // of the latest request
}

// Queue holds the waiting requests of a pool.
type Queue struct {
	orgs   map[string]*Org
	active orgHeap // organisations with requests that are not parked
	fifo   fifo    // all waiting requests, for the baseline policies
	parked map[*Request]struct{}
	size   int    // waiting requests, including parked ones
	seq    uint64 // number of the latest request
	// virtualTime is the highest normalisedService that an organisation had when one of its
	// requests was assigned.
	virtualTime float64
}

func newQueue() *Queue {
	return &Queue{orgs: map[string]*Org{}, parked: map[*Request]struct{}{}}
}

// Len returns the number of waiting requests, including parked ones.
func (q *Queue) Len() int { return q.size }

// org returns the named organisation, which it adds if necessary.
func (q *Queue) org(name string) *Org {
	o := q.orgs[name]
	if o == nil {
		o = &Org{Name: name, heapIndex: indexheap.NotInHeap}
		q.orgs[name] = o
	}
	return o
}

// push adds a request to the queue.
func (q *Queue) push(r *Request) {
	q.seq++
	r.seq = q.seq
	r.due = dueTime(r)
	o := q.org(r.Org)
	if o.queued() == 0 {
		// An organisation must not accumulate a claim to service while it has nothing
		// queued.
		o.normalisedService = max(o.normalisedService, q.virtualTime)
	}
	o.weight = r.weight()
	o.queuedByRank[shedRank(r)]++
	q.size++
	q.fifo.push(r)
	q.addReady(o, r)
}

// idle reports whether the organisation has no requests, waiting or running.
func (o *Org) idle() bool { return o.running == 0 && o.queued() == 0 }

// queued returns the number of waiting requests, including parked ones.
func (o *Org) queued() int {
	n := 0
	for _, c := range o.queuedByRank {
		n += c
	}
	return n
}

// Bands of an organisation's queue: requests that are never held back, then those of new
// interactive programs and those of new batch programs, which may be held back while caches are
// thrashing. Lookups are never held back, because they are too short for it to be worthwhile.
const (
	bandUnheld = iota
	bandNewInteractive
	bandNewBatch
	bandCount
)

// band returns the band that r belongs to.
func (r *Request) band() int {
	switch {
	case r.InProgress() || r.Class == structs.ClassLookup:
		return bandUnheld
	case r.Class == structs.ClassBatch:
		return bandNewBatch
	}
	return bandNewInteractive
}

// firstDue returns the request with the earliest due time in the first n bands, or nil if
// they are empty.
func (o *Org) firstDue(n int) *Request {
	var first *Request
	for _, h := range o.waiting[:n] {
		if len(h) > 0 && (first == nil || h[0].Before(first)) {
			first = h[0]
		}
	}
	return first
}

// readyCount returns the number of waiting requests that are not parked.
func (o *Org) readyCount() int {
	n := 0
	for _, h := range o.waiting {
		n += len(h)
	}
	return n
}

// addReady makes r eligible for assignment by adding it to its organisation's heap.
func (q *Queue) addReady(o *Org, r *Request) {
	heap.Push(&o.waiting[r.band()], r)
	if o.heapIndex == indexheap.NotInHeap {
		heap.Push(&q.active, o)
	}
}

// removeReady removes r from its organisation's heap.
func (q *Queue) removeReady(o *Org, r *Request) {
	heap.Remove(&o.waiting[r.band()], r.heapIndex)
	if o.readyCount() == 0 {
		heap.Remove(&q.active, o.heapIndex)
	}
}

// remove removes a waiting request from the queue.
func (q *Queue) remove(r *Request) {
	o := q.org(r.Org)
	if r.parkedOn != nil {
		delete(q.parked, r)
		r.parkedOn.parked--
		r.parkedOn = nil
	} else {
		q.removeReady(o, r)
	}
	o.queuedByRank[shedRank(r)]--
	q.size--
	q.fifo.remove(r)
}

// park makes r wait for a slot on t until the given time. Until then it is not eligible for
// assignment.
func (q *Queue) park(r *Request, t *Target, until time.Duration) {
	q.removeReady(q.org(r.Org), r)
	r.parkedOn, r.parkedUntil = t, until
	t.parked++
	q.parked[r] = struct{}{}
}

// unpark makes a parked request eligible for assignment again.
func (q *Queue) unpark(r *Request) {
	delete(q.parked, r)
	r.parkedOn.parked--
	r.parkedOn = nil
	q.addReady(q.org(r.Org), r)
}

// charge adds a cost, in tokens, to the service that the organisation has received. A negative
// cost corrects an earlier charge.
func (q *Queue) charge(name string, cost, weight float64) {
	o := q.org(name)
	o.normalisedService += cost / weight
	if o.heapIndex != indexheap.NotInHeap {
		heap.Fix(&q.active, o.heapIndex)
	}
}

// requestStarted counts a running request of an organisation.
func (q *Queue) requestStarted(name string) { q.org(name).running++ }

// requestEnded counts the end of a running request.
func (q *Queue) requestEnded(name string) {
	q.org(name).running--
	q.forgetIdle(name)
}

// forgetIdle forgets an organisation that has no requests and is not ahead of the virtual time, since
// push would set the same state anew.
func (q *Queue) forgetIdle(name string) {
	if o := q.org(name); o.idle() && o.normalisedService <= q.virtualTime {
		delete(q.orgs, name)
	}
}

// requestHeap orders the requests of an organisation by due time.
type requestHeap = indexheap.Heap[*Request]

// Before reports whether r comes before other in the order of its organisation.
func (r *Request) Before(other *Request) bool {
	if r.due != other.due {
		return r.due < other.due
	}
	return r.seq < other.seq
}

// HeapIndex implements indexheap.Item.
func (r *Request) HeapIndex() *int { return &r.heapIndex }

// orgHeap orders organisations by normalised service, the least served first.
type orgHeap = indexheap.Heap[*Org]

// Before reports whether o has received less normalised service than other.
func (o *Org) Before(other *Org) bool {
	if o.normalisedService != other.normalisedService {
		return o.normalisedService < other.normalisedService
	}
	return o.Name < other.Name
}

// HeapIndex implements indexheap.Item.
func (o *Org) HeapIndex() *int { return &o.heapIndex }

// fifo holds requests in order of arrival. Removed requests leave nil elements, which are
// compacted once they make up more than half of the list.
type fifo struct {
	items []*Request
	count int // elements that are not nil
}

func (f *fifo) push(r *Request) {
	r.fifoIndex = len(f.items)
	f.items = append(f.items, r)
	f.count++
}

func (f *fifo) remove(r *Request) {
	f.items[r.fifoIndex] = nil
	f.count--
	if f.count*2 < len(f.items) {
		f.compact()
	}
}

// compact removes the nil elements.
func (f *fifo) compact() {
	kept := f.items[:0]
	for _, r := range f.items {
		if r != nil {
			r.fifoIndex = len(kept)
			kept = append(kept, r)
		}
	}
	clear(f.items[len(kept):])
	f.items = kept
}

// forEach calls fn for the waiting requests in order of arrival until fn returns false.
func (f *fifo) forEach(fn func(*Request) bool) {
	for _, r := range f.items {
		if r != nil && !fn(r) {
			return
		}
	}
}
