// Package memory decides which requests may hold memory while they arrive. It reads neither the
// network nor the clock. An Account is designed for some thousand holders: it looks at all of them
// only while it is full.
package memory

import (
	"sync"
	"time"
)

// Class is the worth of what a holder holds. The order is from the most to the least worth.
type Class int

// Classes of holders.
const (
	Control  Class = iota // traffic between figlb's processes and orders of operators
	Response              // responses in progress
	Begun                 // requests of programs that have begun
	Fresh                 // other requests
	Unknown               // what has no known route, key or peer yet
	classes
)

// weights are the factors by which a class pays before others. They are far below the differences
// between the holdings of ordinary and of unruly clients, since a class may be claimed falsely.
var weights = [classes]int64{1, 1, 2, 4, 16}

// Outcome is the result of a request for memory.
type Outcome int

// Outcomes of Grow.
const (
	Granted Outcome = iota
	Wait            // others have been evicted but have not yet released their memory
	Refused
)

// pendingPart is the part of the limit that evicted holders may still hold before further
// evictions wait for them.
const pendingPart = 4

// Account counts the bytes that holders hold. A nil Account has no limit. It is safe for concurrent
// use.
type Account struct {
	limit    int64
	mu       sync.Mutex
	used     int64 // by holders that have not been evicted
	pending  int64 // by evicted holders that have not been closed
	evicted  int64
	refused  int64
	arriving map[*Holder]struct{} // may be evicted
}

// New returns an account with a limit in bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, arriving: map[*Holder]struct{}{}}
}

// Stats is the state of an account.
type Stats struct{ Limit, Used, Pending, Evicted, Refused int64 }

// Stats returns the state of the account.
func (a *Account) Stats() Stats {
	if a == nil {
		return Stats{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Limit: a.limit, Used: a.used, Pending: a.pending, Evicted: a.evicted, Refused: a.refused}
}

// Holder is a request or a connection that holds memory. A nil Holder holds nothing.
type Holder struct {
	account *Account
	evict   func()
	began   time.Duration
	class   Class
	bytes   int64
	evicted bool
	closed  bool
}

// Open returns a holder of nothing yet. evict is called without locks of the caller in other
// goroutines' calls of Grow; it must make the holder close soon, and must not block.
func (a *Account) Open(now time.Duration, class Class, evict func()) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, evict: evict, began: now, class: class}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arriving[h] = struct{}{}
	return h
}

// SetClass changes the holder's class.
func (h *Holder) SetClass(c Class) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.class = c
}

// Grow asks for n further bytes. If they do not fit, holders that hold more for longer than this one
// are evicted, those with the largest product first.
func (h *Holder) Grow(now time.Duration, n int64) Outcome {
	if h == nil {
		return Granted
	}
	out, victims := h.account.grow(now, h, n)
	for _, v := range victims {
		v.evict()
	}
	return out
}

func (a *Account) grow(now time.Duration, h *Holder, n int64) (out Outcome, victims []*Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted || h.closed {
		return Refused, nil
	}
	for a.used+n > a.limit {
		if a.pending > a.limit/pendingPart {
			return Wait, victims
		}
		v := a.largest(now, h)
		if v == nil {
			a.refused++
			return Refused, victims
		}
		a.evictLocked(v)
		victims = append(victims, v)
	}
	if a.used+a.pending+n > a.limit+a.limit/pendingPart && a.pending > 0 {
		return Wait, victims
	}
	a.used += n
	h.bytes += n
	return Granted, victims
}

func (a *Account) evictLocked(v *Holder) {
	v.evicted = true
	a.used -= v.bytes
	a.pending += v.bytes
	a.evicted++
	delete(a.arriving, v)
}

// largest returns the holder that is evicted next in favour of h, or nil if h weighs the most itself.
func (a *Account) largest(now time.Duration, h *Holder) *Holder {
	best, most := (*Holder)(nil), h.weight(now)
	for v := range a.arriving {
		if v != h && v.bytes > 0 && v.weight(now) > most {
			best, most = v, v.weight(now)
		}
	}
	return best
}

// weight is what a holder has held so far, in bytes times microseconds, by class.
func (h *Holder) weight(now time.Duration) int64 {
	return h.bytes * max((now-h.began).Microseconds(), 1) * weights[h.class]
}

// Shrink releases n of the holder's bytes.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	switch {
	case h.closed:
	case h.evicted:
		a.pending -= n
	default:
		a.used -= n
	}
}

// Settle ends the time in which the holder can be evicted: what it holds has arrived and may run.
// It returns false if the holder has been evicted before.
func (h *Holder) Settle() bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.arriving, h)
	return !h.evicted
}

// Evicted reports whether the holder has to give up.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Close releases all that the holder holds. It may be called more than once.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.evicted {
		a.pending -= h.bytes
	} else {
		a.used -= h.bytes
	}
	delete(a.arriving, h)
}
