package sched

import (
	"container/heap"
	"math"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
	"github.com/figlb/figlb/structs"
)

// Offsets of a request's due time, which orders the queue of an organisation. The due
// time is the arrival plus offsets, so a request that waits overtakes later arrivals of
// any kind after at most the sum of the offsets: nothing starves.
const (
	lookupOffset = 15 * time.Second
	batchOffset  = 180 * time.Second
	// newProgramOffset puts programs in progress before new ones.
	newProgramOffset = 4 * time.Second
	// attainedOffset is added for each doubling of the program's attained service beyond
	// attainedUnit.
	attainedOffset = time.Second
	attainedUnit   = 256 // tokens
	maxAttained    = 12 * time.Second
	// deadlineMargin is the time before its deadline at which a batch request is due.
	deadlineMargin = 30 * time.Second
)

// dueTime returns the time by which a request should be assigned, relative to others of
// its organisation.
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
	if r.Attained > attainedUnit {
		doublings := math.Log2(float64(r.Attained) / attainedUnit)
		due += min(time.Duration(doublings*float64(attainedOffset)), maxAttained)
	}
	if r.Class == structs.ClassBatch && r.Deadline > 0 {
		due = min(due, max(r.Enqueued, r.Enqueued+r.Deadline-deadlineMargin))
	}
	return due
}

// Org is the queue and the account of one organisation.
type Org struct {
	Name string
	// served is the service received divided by the weight, on the scale of the pool's
	// virtual time.
	served float64
	// waiting holds the requests that are not parked.
	waiting [sides]requestHeap
	ranks   [shedRanks]int // queued and parked requests of each shedding rank
	running int
	heapPos int
}

// Queue holds the waiting requests of a pool.
type Queue struct {
	orgs   map[string]*Org
	active orgHeap // organisations with requests that are not parked
	fifo   fifo
	parked map[*Request]struct{}
	size   int
	seq    uint64
	// virtual is the served value of the organisation that was assigned last.
	virtual float64
}

func newQueue() *Queue {
	return &Queue{orgs: map[string]*Org{}, parked: map[*Request]struct{}{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

func (q *Queue) org(name string) *Org {
	o := q.orgs[name]
	if o == nil {
		o = &Org{Name: name, heapPos: indexheap.Outside}
		q.orgs[name] = o
	}
	return o
}

func (q *Queue) push(r *Request) {
	q.seq++
	r.seq = q.seq
	r.due = dueTime(r)
	o := q.org(r.Org)
	if o.queued() == 0 {
		// An organisation cannot save up service from the time it had nothing to send.
		o.served = max(o.served, q.virtual)
	}
	o.ranks[shedRank(r)]++
	q.size++
	q.fifo.push(r)
	q.ready(o, r)
}

func (o *Org) idle() bool { return o.running == 0 && o.queued() == 0 }

func (o *Org) queued() int {
	n := 0
	for _, c := range o.ranks {
		n += c
	}
	return n
}

// Sides of an organisation's queue: requests that are never held back, and those of new
// interactive and batch programs. Lookups are too short to be worth holding back.
const (
	running = iota
	newInteractive
	newBatch
	sides
)

// side returns the heap that r belongs to.
func (r *Request) side() int {
	switch {
	case r.InProgress() || r.Class == structs.ClassLookup:
		return running
	case r.Class == structs.ClassBatch:
		return newBatch
	}
	return newInteractive
}

// head returns the request of the first n sides that is due first, nil if there is none.
func (o *Org) head(n int) *Request {
	var first *Request
	for _, h := range o.waiting[:n] {
		if len(h) > 0 && (first == nil || h[0].Before(first)) {
			first = h[0]
		}
	}
	return first
}

func (o *Org) ready() int {
	n := 0
	for _, h := range o.waiting {
		n += len(h)
	}
	return n
}

// ready makes r eligible for assignment.
func (q *Queue) ready(o *Org, r *Request) {
	heap.Push(&o.waiting[r.side()], r)
	if o.heapPos == indexheap.Outside {
		heap.Push(&q.active, o)
	}
}

// unready takes r out of the organisation's heap.
func (q *Queue) unready(o *Org, r *Request) {
	heap.Remove(&o.waiting[r.side()], r.heapPos)
	if o.ready() == 0 {
		heap.Remove(&q.active, o.heapPos)
	}
}

// remove takes a waiting request out of the queue.
func (q *Queue) remove(r *Request) {
	o := q.org(r.Org)
	if r.parkedOn != nil {
		delete(q.parked, r)
		r.parkedOn.parked--
		r.parkedOn = nil
	} else {
		q.unready(o, r)
	}
	o.ranks[shedRank(r)]--
	q.size--
	q.fifo.remove(r)
}

// park lets r wait for a slot on t until the time to.
func (q *Queue) park(r *Request, t *Target, to time.Duration) {
	q.unready(q.org(r.Org), r)
	r.parkedOn, r.parkedTo = t, to
	t.parked++
	q.parked[r] = struct{}{}
}

func (q *Queue) unpark(r *Request) {
	delete(q.parked, r)
	r.parkedOn.parked--
	r.parkedOn = nil
	q.ready(q.org(r.Org), r)
}

// charge adds cost tokens to the organisation's account.
func (q *Queue) charge(name string, cost, weight float64) {
	o := q.org(name)
	o.served += cost / weight
	if o.heapPos != indexheap.Outside {
		heap.Fix(&q.active, o.heapPos)
	}
}

// started and ended keep the number of running requests of an organisation.
func (q *Queue) started(name string) { q.org(name).running++ }

func (q *Queue) ended(name string) {
	o := q.org(name)
	o.running--
	if o.idle() && o.served <= q.virtual {
		delete(q.orgs, name)
	}
}

// requestHeap orders the requests of an organisation by due time.
type requestHeap = indexheap.Heap[*Request]

// Before reports whether r comes first in the order of its organisation.
func (r *Request) Before(o *Request) bool {
	if r.due != o.due {
		return r.due < o.due
	}
	return r.seq < o.seq
}

// HeapIndex implements indexheap.Item.
func (r *Request) HeapIndex() *int { return &r.heapPos }

// orgHeap orders organisations by service received.
type orgHeap = indexheap.Heap[*Org]

// Before reports whether o has received less service than other.
func (o *Org) Before(other *Org) bool {
	if o.served != other.served {
		return o.served < other.served
	}
	return o.Name < other.Name
}

// HeapIndex implements indexheap.Item.
func (o *Org) HeapIndex() *int { return &o.heapPos }

// fifo holds requests in order of arrival. Removed ones stay as empty places until they
// make up half of the list.
type fifo struct {
	items []*Request
	live  int
}

func (f *fifo) push(r *Request) {
	r.fifoPos = len(f.items)
	f.items = append(f.items, r)
	f.live++
}

func (f *fifo) remove(r *Request) {
	f.items[r.fifoPos] = nil
	f.live--
	if f.live*2 < len(f.items) {
		f.compact()
	}
}

func (f *fifo) compact() {
	kept := f.items[:0]
	for _, r := range f.items {
		if r != nil {
			r.fifoPos = len(kept)
			kept = append(kept, r)
		}
	}
	clear(f.items[len(kept):])
	f.items = kept
}

// each calls fn for the waiting requests in order of arrival until it returns false.
func (f *fifo) each(fn func(*Request) bool) {
	for _, r := range f.items {
		if r != nil && !fn(r) {
			return
		}
	}
}
