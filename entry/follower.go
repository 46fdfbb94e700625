package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// defaultPollInterval leaves time for a poll that hangs at a cut-off leader and for an
	// election before the validity of the last poll ends.
	defaultPollInterval = 500 * time.Millisecond
	// defaultConfirmValidity is the time after which a confirmed poll no longer proves
	// that the configuration is current; it leaves 1 s of the 4 s within which a
	// change must be in force everywhere.
	defaultConfirmValidity = 3 * time.Second
	// pollTimeout leaves time for a second poll within the validity.
	pollTimeout    = time.Second
	pollRetryDelay = 100 * time.Millisecond
)

// confirmer is the part of State that the follower uses.
type confirmer interface {
	Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error)
}

// follower keeps the entry's configuration current.
type follower struct {
	state    confirmer
	info     structs.EntryInfo
	incarn   string
	interval time.Duration
	validity time.Duration
	draining func() bool
	onChange func(*snapshot)
	log      logr.Logger

	snap atomic.Pointer[snapshot]
	// confirmedAt is when the last confirmed poll was sent; it has a monotonic reading.
	confirmedAt atomic.Pointer[time.Time]
}

// snapshot returns the current configuration; it is never nil.
func (f *follower) snapshot() *snapshot { return f.snap.Load() }

// check returns nil while the configuration is confirmed. It reads the clock on each
// call, so it holds at once after the process was stopped and continued.
func (f *follower) check() *errs.Error {
	at := f.confirmedAt.Load()
	if at != nil && time.Since(*at) <= f.validity {
		return nil
	}
	e := errs.New(errs.ConfigUnconfirmed, "send the request to another entry or retry", "the entry cannot confirm its configuration")
	return e.WithRetryAfter(f.interval)
}

// confirmed lets decide read the configuration. It returns nil if what decide read was
// confirmed at that time: the clock is read after it, and the configuration has not
// changed in between. Otherwise decide is called again, or the configuration is not
// confirmed.
func (f *follower) confirmed(decide func(*snapshot)) *errs.Error {
	for {
		s := f.snapshot()
		decide(s)
		if err := f.check(); err != nil {
			return err
		}
		if f.snapshot() == s {
			return nil
		}
	}
}

// liveSince returns the live entries if the list was asked for after since, else nil.
// An older list may lack an entry that has joined in between and runs something.
func (f *follower) liveSince(since time.Time) []string {
	at := f.confirmedAt.Load() // before the snapshot, which is then at least as new
	if since.IsZero() || at == nil || !at.After(since) {
		return nil
	}
	return f.snapshot().live
}

// run polls until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		wait := f.interval
		if err := f.poll(ctx); err != nil {
			f.log.V(1).Info("configuration poll failed", "error", err.Error())
			wait = pollRetryDelay
		}
		sleep(ctx, wait-time.Since(sent))
	}
}

// poll asks once. The reply proves what was current when the poll was sent or later.
func (f *follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	cur := f.snapshot()
	info := f.info
	info.Revision = cur.revision
	info.Draining = f.draining()
	r, err := f.state.Confirm(ctx, structs.ConfirmConfig{Entry: info, Incarnation: f.incarn, Revision: cur.revision})
	if err != nil {
		return err
	}
	if r.Revision < cur.revision {
		return errs.New(errs.Unavailable, "wait for the config leader", "the reply has revision %d, older than %d", r.Revision, cur.revision)
	}
	if err := f.apply(cur, r); err != nil {
		return err
	}
	f.confirmedAt.Store(&sent)
	return nil
}

// apply publishes the reply's configuration before the poll counts as confirmed.
func (f *follower) apply(cur *snapshot, r *structs.ConfirmReply) error {
	if r.Revision == cur.revision && !r.Full && len(r.Objects) == 0 {
		f.snap.Store(cur.withLive(r.Live))
		return nil
	}
	n, err := cur.next(r)
	if err != nil {
		return err
	}
	f.snap.Store(n)
	f.onChange(n)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
