package bodystore

import (
	"maps"
	"slices"
	"time"

	"github.com/figlb/figlb/fleet"
)

const (
	// settleDelay is the time after which a new body is offered to the other places, so that the copies
	// that the gateway sends at the same time have arrived.
	settleDelay = time.Second
	// Delays after which a body is offered again: to a store that has another view, to one that is
	// receiving it from a third store, to one that did not take it, and after its retention has passed.
	viewRetryDelay    = 250 * time.Millisecond
	pendingRetryDelay = 100 * time.Millisecond
	failureRetryDelay = 500 * time.Millisecond
	expiredRetryDelay = 250 * time.Millisecond
	// maxRanks is the number of places that are considered for a body.
	maxRanks = 16
)

// copyState is what a store knows about the copies of one of its bodies on other stores. The masks have
// a bit for each rank in the order of places, and hold for one view only.
type copyState struct {
	view    uint32 // number of the view in the tracker
	held    uint16 // places that hold the body and have the same view
	absent  uint16 // places that lack the body and do not take it
	queued  uint16 // places to which the body is to be offered
	settled bool   // as many places hold the body as the view asks for
}

// tracker decides which bodies are offered to which stores and which ones may be dropped. It uses neither
// network nor clock. Its caller guards it with Store.mu.
//
// A body may be dropped by a store that is not among its places only while all its places have confirmed
// that they hold it and that they place bodies by the same view. Without the second condition, two stores
// with different views could each drop a body because the other one holds it.
type tracker struct {
	self   string
	view   *fleet.StoreView
	digest uint64
	number uint32 // counts views; see copyState.view
	member bool   // self is in the view
	// retiring is set while the view marks self as retiring.
	retiring  bool
	peers     map[string]*peer
	unsettled int // number of bodies whose copies are not settled
	recheck   []*entry
	fresh     []delayedEntry
}

// peer is another store and the bodies to be offered to it.
type peer struct {
	store   fleet.Store
	due     []*entry
	delayed []delayedEntry
	busy    bool // an exchange is running
}

type delayedEntry struct {
	entry *entry
	at    time.Duration
}

// setView replaces the view. All bodies have to be confirmed again, because confirmations hold for one
// view only. It returns false if the content of the view is the same as before.
func (t *tracker) setView(view *fleet.StoreView, index map[string]*entry) bool {
	if view.Copies < 1 || view == t.view {
		return false // without copies it is not a view to drop bodies by
	}
	digest := view.Digest()
	if t.view != nil && t.digest == digest {
		t.view = view // the revision may differ
		return false
	}
	t.view, t.digest = view, digest
	t.number++
	self := view.Find(t.self)
	t.member, t.retiring = self != nil, self != nil && self.Retiring
	t.peers = map[string]*peer{}
	for _, s := range view.Stores {
		if s.Name != t.self {
			t.peers[s.Name] = &peer{store: s}
		}
	}
	t.unsettled, t.fresh = len(index), nil
	t.recheck = slices.Collect(maps.Values(index))
	return true
}

// added adds a body that has been stored.
func (t *tracker) added(e *entry, now time.Duration) {
	t.unsettled++
	if t.view == nil {
		return // setView evaluates all bodies
	}
	t.fresh = append(t.fresh, delayedEntry{e, now + settleDelay})
}

// removed removes a body that is no longer in the index.
func (t *tracker) removed(e *entry) {
	if !t.isSettled(e) {
		t.unsettled--
	}
}

func (t *tracker) isSettled(e *entry) bool { return e.copies.view == t.number && e.copies.settled }

// advance evaluates up to limit bodies that are due and returns those that may be dropped, and whether
// more are due.
func (t *tracker) advance(now time.Duration, limit int) (drop []*entry, more bool) {
	if t.view == nil {
		return nil, false
	}
	for ; limit > 0; limit-- {
		var e *entry
		switch {
		case len(t.recheck) > 0:
			e, t.recheck = t.recheck[0], t.recheck[1:]
		case len(t.fresh) > 0 && t.fresh[0].at <= now:
			e, t.fresh = t.fresh[0].entry, t.fresh[1:]
		default:
			return drop, false
		}
		if !e.removed && t.evaluate(e) {
			drop = append(drop, e)
		}
	}
	return drop, true
}

// evaluate queues the offers that a body needs, and returns whether the body may be dropped here.
func (t *tracker) evaluate(e *entry) (droppable bool) {
	c := &e.copies
	if c.view != t.number {
		*c = copyState{view: t.number}
	}
	holders, open, mine := 0, 0, false
	places := t.places(e)
	for rank := 0; rank < len(places) && holders+open < t.view.Copies; rank++ {
		bit := uint16(1) << rank
		switch {
		case places[rank].Name == t.self:
			holders++
			mine = true
		case c.held&bit != 0:
			holders++
		case c.absent&bit != 0: // the next place takes the body
		default:
			open++
			if c.queued&bit == 0 {
				c.queued |= bit
				p := t.peers[places[rank].Name]
				p.due = append(p.due, e)
			}
		}
	}
	if holders < t.view.Copies {
		return false
	}
	if !c.settled {
		c.settled = true
		t.unsettled--
	}
	return !mine && t.member && !t.retiring
}

// places returns the places of a body that can hold it for good.
func (t *tracker) places(e *entry) []fleet.Store {
	places := fleet.PlaceBody(e.key, t.view)
	n := 0
	for n < min(len(places), maxRanks) && !places[n].Retiring {
		n++
	}
	return places[:n]
}

// nextOffer returns up to limit bodies to be offered to a store now. Bodies whose retention has passed wait
// until the ledger has been asked, because it may have forgotten them.
func (t *tracker) nextOffer(p *peer, now time.Duration, limit int) []*entry {
	waiting := p.delayed[:0]
	for _, d := range p.delayed {
		if d.at <= now {
			p.due = append(p.due, d.entry)
		} else {
			waiting = append(waiting, d)
		}
	}
	p.delayed = waiting
	var out []*entry
	for len(p.due) > 0 && len(out) < limit {
		e := p.due[0]
		p.due = p.due[1:]
		switch {
		case e.removed:
		case now >= e.keepUntil:
			p.delayed = append(p.delayed, delayedEntry{e, now + expiredRetryDelay})
		default:
			out = append(out, e)
		}
	}
	return out
}

// retry offers a body to a store again after a delay.
func (t *tracker) retry(p *peer, e *entry, at time.Duration) {
	if !e.removed && t.peers[p.store.Name] == p {
		p.delayed = append(p.delayed, delayedEntry{e, at})
	}
}

// answer is what a store has said about a body.
type answer struct {
	incarnation string
	view        uint64
	held        bool
}

// confirmed records what a store has said about a body. It returns whether the body may be dropped here.
func (t *tracker) confirmed(p *peer, e *entry, a answer, now time.Duration) (droppable bool) {
	if e.removed || t.peers[p.store.Name] != p || e.copies.view != t.number {
		return false // of an earlier view
	}
	if a.view != t.digest || a.incarnation != p.store.Incarnation {
		t.retry(p, e, now+viewRetryDelay)
		return false
	}
	for rank, s := range t.places(e) {
		if s.Name != p.store.Name {
			continue
		}
		bit := uint16(1) << rank
		e.copies.queued &^= bit
		if a.held {
			e.copies.held |= bit
		} else {
			e.copies.absent |= bit
		}
	}
	return t.evaluate(e)
}
