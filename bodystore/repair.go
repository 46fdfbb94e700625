package bodystore

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
)

const (
	offerKeys = 500
	// maxGrants is the number of bodies that a store asks of one sender at once, and grantTime the time
	// after which it asks another one instead. In this time, a sender sends 256 bodies of 90 KB.
	maxGrants = 256
	grantTime = 2 * time.Second
	// sendRate bounds the bodies that a store sends, in bytes/s. Of six stores with 57 MB each, two that were
	// wiped got them back in 5.1 s at 12 MB/s, which is too close to the required 6 s. A store uses about 10 ms
	// of processor time to send 1 MB.
	sendRate     = 24 << 20
	sendBurst    = 100 * time.Millisecond
	parallelPuts = 4 // to one store, so that they share its syncs
	// Bounds of calls to other stores.
	offerTimeout = time.Second
	sendTimeout  = 2 * time.Second
	// advanceLimit is the number of bodies evaluated in one go, which takes about 2 ms.
	advanceLimit = 500
)

// Peers calls other stores.
type Peers interface {
	Offer(ctx context.Context, address string, offer *fleet.BodyOffer) (*fleet.BodyOfferReply, error)
	Send(ctx context.Context, address string, body *fleet.BodyPut) (*fleet.BodyPutReply, error)
}

// grant records that a store has been asked to send a body.
type grant struct {
	from  string
	until time.Duration
}

// Offer answers another store that offers bodies.
func (s *Store) Offer(o *fleet.BodyOffer) *fleet.BodyOfferReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Now()
	reply := &fleet.BodyOfferReply{Incarnation: s.incarnation, View: s.tracker.digest, Missing: []string{}}
	canGrant := s.writable() && !s.tracker.retiring
	granted := 0
	for _, key := range o.Keys {
		g, expected := s.grants[key]
		switch {
		case s.index[key] != nil:
		case !canGrant:
			reply.Missing = append(reply.Missing, key)
		case granted == maxGrants, expected && g.from != o.From && now < g.until:
			reply.Pending = append(reply.Pending, key)
		default:
			granted++
			s.grants[key] = grant{from: o.From, until: now + grantTime}
			reply.Missing = append(reply.Missing, key)
		}
	}
	return reply
}

// expireGrants forgets which bodies were expected and have not come. The caller holds mu.
func (s *Store) expireGrants(now time.Duration) {
	for key, g := range s.grants {
		if now >= g.until {
			delete(s.grants, key)
		}
	}
}

// repair drops bodies that no longer belong here and starts an exchange with each store to which bodies
// have to be offered.
func (s *Store) repair(ctx context.Context, peers Peers) {
	for s.advance() {
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireGrants(s.opt.Now())
	for _, p := range s.tracker.peers {
		if p.busy || len(p.due)+len(p.delayed) == 0 {
			continue
		}
		batch := s.tracker.nextOffer(p, s.opt.Now(), offerKeys)
		if len(batch) == 0 {
			continue
		}
		p.busy = true
		s.wg.Go(func() { s.exchange(ctx, peers, p, batch) })
	}
}

// advance evaluates some of the bodies that are due and reports whether there are more.
func (s *Store) advance() (more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop, more := s.tracker.advance(s.opt.Now(), advanceLimit)
	for _, e := range drop {
		s.drop(e)
	}
	return more
}

// drop removes a body that other stores hold in place of this one. The caller holds mu.
func (s *Store) drop(e *entry) {
	s.stats.Dropped++
	s.remove(e)
}

// exchange offers bodies to a store and sends those that it lacks, until none is due.
func (s *Store) exchange(ctx context.Context, peers Peers, p *peer, batch []*entry) {
	defer func() {
		s.mu.Lock()
		p.busy = false
		s.mu.Unlock()
	}()
	for len(batch) > 0 && ctx.Err() == nil {
		if !s.offerBatch(ctx, peers, p, batch) {
			return
		}
		s.mu.Lock()
		batch = s.tracker.nextOffer(p, s.opt.Now(), offerKeys)
		s.mu.Unlock()
	}
}

// offerBatch offers bodies and sends the missing ones. It returns false if the store does not answer or
// does not take bodies.
func (s *Store) offerBatch(ctx context.Context, peers Peers, p *peer, batch []*entry) bool {
	keys := make([]string, len(batch))
	for i, e := range batch {
		keys[i] = e.key
	}
	callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	reply, err := peers.Offer(callCtx, p.store.Address, &fleet.BodyOffer{Keys: keys, From: s.opt.Name})
	cancel()
	if err != nil {
		s.retryAll(p, batch, failureRetryDelay)
		return false
	}
	missing := s.sortOut(p, batch, reply)
	var group errgroup.Group
	group.SetLimit(parallelPuts)
	var refused atomic.Bool
	for i, e := range missing {
		if refused.Load() || !s.paceSend(ctx, e.bytes()) {
			s.retryAll(p, missing[i:], failureRetryDelay)
			break
		}
		group.Go(func() error {
			err := s.send(ctx, peers, p, e)
			if err != nil {
				refused.Store(true)
			}
			return err
		})
	}
	return group.Wait() == nil
}

// sortOut records which of the offered bodies a store holds and returns those to be sent to it.
func (s *Store) sortOut(p *peer, batch []*entry, reply *fleet.BodyOfferReply) []*entry {
	state := map[string]bool{} // true: missing, false: pending
	for _, key := range reply.Missing {
		state[key] = true
	}
	for _, key := range reply.Pending {
		state[key] = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Now()
	var missing []*entry
	for _, e := range batch {
		isMissing, lacks := state[e.key]
		switch {
		case !lacks, isMissing && !p.store.Writable:
			a := answer{incarnation: reply.Incarnation, view: reply.View, held: !lacks}
			if s.tracker.confirmed(p, e, a, now) {
				s.drop(e)
			}
		case !isMissing:
			s.tracker.retry(p, e, now+pendingRetryDelay)
		default:
			missing = append(missing, e)
		}
	}
	return missing
}

func (s *Store) retryAll(p *peer, entries []*entry, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.opt.Now() + delay
	for _, e := range entries {
		s.tracker.retry(p, e, at)
	}
}

// paceSend waits until a body of a size may be sent by sendRate. It returns false if ctx ends first.
func (s *Store) paceSend(ctx context.Context, size int64) bool {
	s.mu.Lock()
	now := s.opt.Now()
	s.nextSend = max(s.nextSend, now-sendBurst)
	wait := s.nextSend - now
	s.nextSend += time.Duration(size) * time.Second / sendRate
	s.mu.Unlock()
	return sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a body to a store. It returns an error if the store has not stored it.
func (s *Store) send(ctx context.Context, peers Peers, p *peer, e *entry) error {
	size := min(e.bytes(), sendBudget)
	if err := s.sends.Acquire(ctx, size); err != nil {
		return err // ctx has ended
	}
	defer s.sends.Release(size)
	rec, err := s.read(e)
	if err != nil {
		s.retryAll(p, []*entry{e}, failureRetryDelay) // unless it has been removed
		return nil                                    // says nothing about the store
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := peers.Send(ctx, p.store.Address, &fleet.BodyPut{
		Key: e.key, Retention: s.retentionLeft(e), Input: rec.input, Output: rec.output,
	})
	if err != nil {
		s.retryAll(p, []*entry{e}, failureRetryDelay)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Sent++
	if s.tracker.confirmed(p, e, answer{incarnation: reply.Incarnation, view: reply.View, held: true}, s.opt.Now()) {
		s.drop(e)
	}
	return nil
}

// retentionLeft returns the time for which a copy of the body is to be kept without asking the ledger.
func (s *Store) retentionLeft(e *entry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(e.keepUntil-s.opt.Now(), 0)
}

// badReply is returned for a reply that does not fit its request.
func badReply(format string, args ...any) error {
	return errs.New(errs.Internal, "report the message", format, args...)
}
