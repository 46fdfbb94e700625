package bodies

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/fleet"
)

// race asks store hosts in the order of preference until enough of them have succeeded. It decides whom to
// ask next, and reads neither network nor clock.
type race struct {
	places []fleet.Store
	need   int // successes needed, each of a different store host
	// hedge tells whether a place may be asked only because another one is late; nil: each may.
	hedge         func(*fleet.Store) bool
	next          int // index of the place to ask next
	good, pending int
}

// more returns the next place to ask, or nil if all have been asked.
func (r *race) more() *fleet.Store {
	if r.next == len(r.places) {
		return nil
	}
	r.next++
	r.pending++
	return &r.places[r.next-1]
}

// instead returns the place to ask instead of one that has failed or is late, or nil if none is to be asked.
func (r *race) instead(late bool) *fleet.Store {
	switch {
	case !late && r.good+r.pending >= r.need: // one was asked when it was late
		return nil
	case late && r.hedge != nil && r.next < len(r.places) && !r.hedge(&r.places[r.next]):
		return nil
	}
	return r.more()
}

// first returns the places that are asked at the beginning, as many as have to succeed.
func (r *race) first() []*fleet.Store {
	var out []*fleet.Store
	for range min(r.need, len(r.places)) {
		out = append(out, r.more())
	}
	return out
}

// ended records the end of one attempt.
func (r *race) ended(ok bool) {
	r.pending--
	if ok {
		r.good++
	}
}

func (r *race) won() bool { return r.good >= r.need }

// lost reports whether too few places are left.
func (r *race) lost() bool { return r.good+r.pending+len(r.places)-r.next < r.need }

// attempt asks one store host. It must return when its context ends.
type attempt func(ctx context.Context, s *fleet.Store) error

// run asks the places of a race. The next place is asked when an attempt fails or has taken patience. The
// function suspect is called for a store host that has failed or is late.
func (r *race) run(ctx context.Context, patience time.Duration, try attempt, suspect func(*fleet.Store)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type event struct {
		store *fleet.Store
		late  bool
		err   error
	}
	// Each place causes at most two events, so that no sender waits.
	events := make(chan event, 2*len(r.places))
	running := map[*fleet.Store]*time.Timer{}
	start := func(s *fleet.Store) {
		running[s] = time.AfterFunc(patience, func() { events <- event{store: s, late: true} })
		go func() { events <- event{store: s, err: try(ctx, s)} }()
	}
	defer func() {
		for _, t := range running {
			t.Stop()
		}
	}()
	for _, s := range r.first() {
		start(s)
	}
	var lastErr error
	for !r.won() {
		if r.lost() {
			return errors.Errorf("%d of %d store hosts succeeded of %d needed; last error: %v", r.good, r.next, r.need, lastErr)
		}
		var e event
		select {
		case e = <-events:
		case <-ctx.Done():
			return errors.Errorf("%d of %d store hosts succeeded in time of %d needed; last error: %v", r.good, r.next, r.need, lastErr)
		}
		if e.late && running[e.store] == nil {
			continue // it had ended already
		}
		if !e.late {
			running[e.store].Stop()
			delete(running, e.store)
			r.ended(e.err == nil)
			if e.err == nil {
				continue
			}
			lastErr = e.err
		}
		if e.late || !errors.Is(e.err, errMissing) && !errors.Is(e.err, ErrBusy) {
			suspect(e.store)
		}
		if s := r.instead(e.late); s != nil {
			start(s)
		}
	}
	return nil
}
