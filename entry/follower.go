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
	// defaultPollInterval is short enough that a poll that hangs at a partitioned leader,
	// followed by an election, fits into the validity of the previous poll.
	defaultPollInterval = 500 * time.Millisecond
	// defaultConfirmValidity is how long a successful poll proves that the configuration is
	// current. A change must be in force everywhere within 4 s; the validity leaves 1 s of
	// that as a margin.
	defaultConfirmValidity = 3 * time.Second
	// pollTimeout leaves time for a second poll within the validity of the previous one.
	pollTimeout    = time.Second
	pollRetryDelay = 100 * time.Millisecond
)

// confirmer is the part of State that the follower uses.
type confirmer interface {
	Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error)
}

// configFollower keeps the configuration of the entry current by polling the state.
type configFollower struct {
	state       confirmer
	info        structs.EntryInfo
	incarnation string
	interval    time.Duration
	validity    time.Duration
	draining    func() bool
	onChange    func(*configSnapshot)
	log         logr.Logger

	current atomic.Pointer[configSnapshot]
	// confirmedAt is the send time of the last successful poll. It has a monotonic clock
	// reading.
	confirmedAt atomic.Pointer[time.Time]
}

// snapshot returns the current configuration; it is never nil.
func (f *configFollower) snapshot() *configSnapshot { return f.current.Load() }

// checkConfirmed returns nil while the configuration is confirmed. It reads the clock on
// each call, so it detects an expired confirmation immediately after the process was
// suspended and resumed.
func (f *configFollower) checkConfirmed() *errs.Error {
	at := f.confirmedAt.Load()
	if at != nil && time.Since(*at) <= f.validity {
		return nil
	}
	apiErr := errs.New(errs.ConfigUnconfirmed, "send the request to another entry or retry", "the entry cannot confirm its configuration")
	return apiErr.WithRetryAfter(f.interval)
}

// decideConfirmed calls decide with the current configuration. It returns nil only if that
// configuration was still current and confirmed after decide returned. If the configuration
// has changed in the meantime, decide is called again. If the configuration is not
// confirmed, it returns an error.
func (f *configFollower) decideConfirmed(decide func(*configSnapshot)) *errs.Error {
	for {
		s := f.snapshot()
		decide(s)
		if err := f.checkConfirmed(); err != nil {
			return err
		}
		if f.snapshot() == s {
			return nil
		}
	}
}

// liveEntriesSince returns the list of live entries if it was requested after since, and nil
// otherwise. An older list may lack an entry that has joined since then and is running the
// turn or call.
func (f *configFollower) liveEntriesSince(since time.Time) []string {
	at := f.confirmedAt.Load() // read before the snapshot, so that the snapshot is at least as recent
	if since.IsZero() || at == nil || !at.After(since) {
		return nil
	}
	return f.snapshot().liveEntries
}

// run polls the configuration until ctx ends.
func (f *configFollower) run(ctx context.Context) {
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

// poll requests the configuration once. The reply proves what was current at or after the
// time the poll was sent.
func (f *configFollower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	cur := f.snapshot()
	info := f.info
	info.Revision = cur.revision
	info.Draining = f.draining()
	r, err := f.state.Confirm(ctx, structs.ConfirmConfig{Entry: info, Incarnation: f.incarnation, Revision: cur.revision})
	if err != nil {
		return err
	}
	if r.Revision < cur.revision {
		return errs.New(errs.Unavailable, "wait for the config leader", "the configuration reply has revision %d, older than the current revision %d", r.Revision, cur.revision)
	}
	if err := f.apply(cur, r); err != nil {
		return err
	}
	f.confirmedAt.Store(&sent)
	return nil
}

// apply publishes the configuration of the reply. It is called before the poll counts as
// confirmed.
func (f *configFollower) apply(cur *configSnapshot, r *structs.ConfirmReply) error {
	if r.Revision == cur.revision && !r.Full && len(r.Objects) == 0 {
		f.current.Store(cur.withLiveEntries(r.Live))
		return nil
	}
	n, err := cur.applyReply(r)
	if err != nil {
		return err
	}
	f.current.Store(n)
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
