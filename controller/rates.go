package controller

import (
	"math"
	"sync"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

// startShare is the share of a burst that a new leader grants at once. What the leader
// before has granted is not known, and a window of 5 s that spans both must stay within a
// tenth above the rate: with a burst of one second's rate that is 0.6 of the burst, of
// which the reserves of the gateways take up to 0.3.
const startShare = 0.2

// settlePeriod is the time in which the bucket of an organisation within its rate fills up
// after a change of leader.
const settlePeriod = 3 * time.Second

const (
	// scarceShare is the part of a burst below which new programs are refused: those under
	// way use the rest.
	scarceShare = 0.35
	// plentyShare is the part of a burst from which new programs are admitted again.
	plentyShare = 0.55
)

// unknownRetry is when to ask again for an organisation that is not known here.
const unknownRetry = 200 * time.Millisecond

// rateTable holds the token buckets of the organisations on the leader.
type rateTable struct {
	mu      sync.Mutex
	term    uint64
	table   *routing.Table
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Duration
	scarce bool // new programs are refused
	filled bool // the bucket has been well filled since it began
	since  time.Duration
}

// take grants up to want requests of an organisation, and up to fresh more while the rate can
// bear new programs. An organisation without a rate gets all it wants.
func (t *rateTable) take(term uint64, table *routing.Table, org string, want, fresh float64) fleet.Grant {
	if table == nil {
		return fleet.Grant{Wait: unknownRetry}
	}
	o := table.Organisation(org)
	if o == nil {
		return fleet.Grant{Wait: unknownRetry}
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
		b = &bucket{tokens: math.Max(capacity*startShare, 1), at: now, since: now}
		t.buckets[org] = b
	}
	b.tokens = math.Min(capacity, b.tokens+o.Rate*(now-b.at).Seconds())
	b.at = now
	if b.recovery(now, capacity, o.Rate) == 0 {
		want += fresh
	}
	got := math.Floor(math.Min(want, b.tokens))
	b.tokens -= got
	g := fleet.Grant{Tokens: got, Recover: b.recovery(now, capacity, o.Rate)}
	if got < 1 && b.tokens < 1 {
		g.Wait = until(1-b.tokens, o.Rate)
	}
	return g
}

// until returns the time in which a rate brings a number of tokens.
func until(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

// recovery returns the time until the bucket can bear new programs. It begins to refuse
// them below scarceShare and ends above plentyShare, so that the state does not flap. A
// bucket that began after a change of leader is low for that reason alone.
func (b *bucket) recovery(now time.Duration, capacity, rate float64) time.Duration {
	level := b.tokens / capacity
	switch {
	case level >= plentyShare:
		b.scarce, b.filled = false, true
	case level < scarceShare && (b.filled || now-b.since > settlePeriod):
		b.scarce = true
	}
	if !b.scarce {
		return 0
	}
	return max(until(plentyShare*capacity-b.tokens, rate), time.Millisecond)
}
