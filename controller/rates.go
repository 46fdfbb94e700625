package controller

import (
	"math"
	"sync"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

// initialBurstShare is the share of the burst with which a new leader fills an organisation's
// bucket. The grants of the previous leader are not known, and the requests admitted in a 5 s
// window that spans both leaders must not exceed the rate by more than a tenth. With a burst of
// one second's rate, that allows 0.6 of the burst, of which the reserves of the gateways take up
// to 0.3.
const initialBurstShare = 0.2

// initialRefillPeriod is the time within which the bucket of an organisation that stays within
// its rate fills up after a leader change. Until then a low level does not make the leader refuse
// new programs, unless the bucket has reached highWatermark before.
const initialRefillPeriod = 3 * time.Second

const (
	// lowWatermark is the fill level of the bucket, as a share of the burst, below which new
	// programs are refused. The rest is left to programs that have begun.
	lowWatermark = 0.35
	// highWatermark is the fill level from which new programs are admitted again.
	highWatermark = 0.55
)

// unknownOrgRetry is the time after which a gateway asks again about an organisation that this
// leader does not know.
const unknownOrgRetry = 200 * time.Millisecond

// rateTable holds the leader's token buckets, one for each organisation. A new term starts with
// new buckets.
type rateTable struct {
	mu      sync.Mutex
	term    uint64
	table   *routing.Table // the decoded document, cached by Server.routingTable
	buckets map[string]*bucket
}

// bucket is the token bucket of one organisation.
type bucket struct {
	tokens      float64
	updatedAt   time.Duration
	refusesNew  bool // new programs are refused
	reachedHigh bool // the level has reached highWatermark since the bucket was created
	createdAt   time.Duration
}

// grantTokens grants up to want requests of an organisation and, while new programs are admitted, up
// to fresh more, which may belong to new programs. An organisation without a rate limit gets all it
// asks for.
func (t *rateTable) grantTokens(term uint64, table *routing.Table, org string, want, fresh float64) fleet.Grant {
	if table == nil {
		return fleet.Grant{Wait: unknownOrgRetry}
	}
	o := table.Organisation(org)
	if o == nil {
		return fleet.Grant{Wait: unknownOrgRetry}
	}
	if o.Rate <= 0 {
		return fleet.Grant{Tokens: want + fresh}
	}
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.buckets == nil {
		t.term, t.buckets = term, map[string]*bucket{}
	}
	capacity := math.Max(o.Burst, 1)
	b := t.buckets[org]
	if b == nil {
		b = &bucket{tokens: math.Max(capacity*initialBurstShare, 1), updatedAt: now, createdAt: now}
		t.buckets[org] = b
	}
	b.tokens = math.Min(capacity, b.tokens+o.Rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.recoveryTime(now, capacity, o.Rate) == 0 {
		want += fresh
	}
	granted := math.Floor(math.Min(want, b.tokens))
	b.tokens -= granted
	g := fleet.Grant{Tokens: granted, NewProgramWait: b.recoveryTime(now, capacity, o.Rate)}
	if granted < 1 && b.tokens < 1 {
		g.Wait = refillTime(1-b.tokens, o.Rate)
	}
	return g
}

// refillTime returns the time in which a number of tokens accrue at a rate.
func refillTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

// recoveryTime updates whether new programs are refused and returns the time until they are
// admitted again, or 0 if they are. They are refused from the moment at which the level falls
// below lowWatermark until it reaches highWatermark; the hysteresis keeps the state from
// flapping. A new bucket starts with a low level, so it does not refuse new programs before
// initialRefillPeriod has passed or it has reached highWatermark once.
func (b *bucket) recoveryTime(now time.Duration, capacity, rate float64) time.Duration {
	level := b.tokens / capacity
	switch {
	case level >= highWatermark:
		b.refusesNew, b.reachedHigh = false, true
	case level < lowWatermark && (b.reachedHigh || now-b.createdAt > initialRefillPeriod):
		b.refusesNew = true
	}
	if !b.refusesNew {
		return 0
	}
	return max(refillTime(highWatermark*capacity-b.tokens, rate), time.Millisecond)
}
