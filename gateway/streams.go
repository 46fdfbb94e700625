package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// The events of a stream come from targets of one service and one software version, also if the
// caller resumes the stream at another gateway. The ledger therefore knows the source of each
// resumable stream before the caller gets the first event: the reservation of a turn names it, and the
// source of another stream is recorded while its target prepares the first event.

const (
	// sourceTimeout bounds the recording of a source. A stream whose first source could not be recorded
	// goes on, but cannot be resumed.
	sourceTimeout = 400 * time.Millisecond
	// sourceMargin is how long a source is kept after the time that the caller waits.
	sourceMargin = 10 * time.Second
	// maxStreamAge is the time after which no caller resumes a stream any more.
	maxStreamAge = 2 * maxDeadline
	// resumeRetryAfter is the Retry-After of streams that can't be resumed. The request may be sent
	// from its start at once.
	resumeRetryAfter = 10 * time.Millisecond
)

// resumable reports whether the caller may resume the request's stream.
func (x *exchange) resumable() bool { return x.route.Kind == routing.Streaming && x.route.Resumable }

// resumes reports whether the request resumes a stream.
func (x *exchange) resumes() bool { return x.resumable() && x.req.LastEvent != "" }

// streamRecord returns what the reservation of a turn says about the source of its stream, or nil if
// the stream can't be resumed.
func (x *exchange) streamRecord() *ledgersm.StreamRecord {
	if !x.resumable() {
		return nil
	}
	r := &ledgersm.StreamRecord{Source: x.source, Keep: x.sourceRetention(), Revision: 1}
	x.sourceRevision = r.Revision
	if x.resumes() {
		r.Resumes, r.Origin = x.source.Version == "", x.req.Origin
		return r
	}
	c := x.criteria()
	if version, ok := x.preferredVersion(&c); ok {
		x.source = ledgersm.StreamSource{Service: c.Service, Version: version}
		r.Source = x.source
	}
	return r
}

// sourceRetention is how long the source of the stream is kept.
func (x *exchange) sourceRetention() time.Duration {
	return min(max(x.req.Deadline, x.route.Timeout), maxDeadline) + sourceMargin
}

// checkOrigin refuses a request that resumes a stream without naming the stream's first attempt, unless
// it is a turn, whose program the ledger knows, or all targets have run the same software version for so
// long that they have begun the stream.
func (x *exchange) checkOrigin() error {
	if !x.resumes() || x.req.Origin != "" || x.isTurn() || x.adoptSoleVersion() {
		return nil
	}
	return notResumableError("the request does not name the attempt that began the stream")
}

// findSource looks up the source of a stream that is resumed and belongs to no turn. For turns, the
// reservation does this.
func (x *exchange) findSource(ctx context.Context) error {
	if !x.resumes() || x.isTurn() || x.source.Version != "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	req := &ledgersm.RecordStream{Org: x.org, Attempt: x.req.ID, Stream: *x.streamRecord()}
	reply, err := x.g.opts.Client.RecordStream(ctx, req)
	if err != nil {
		return errs.New(errs.Unavailable, "retry", "the ledger did not respond: %v", err).WithRetryAfter(ledgerRetryAfter)
	}
	if reply.Verdict == ledgersm.UnknownStream && x.adoptSoleVersion() {
		return nil
	}
	return x.adoptSource(reply.Source)
}

// adoptSource restricts a request that resumes a stream to the source that the ledger has found; an
// empty one is not known.
func (x *exchange) adoptSource(source ledgersm.StreamSource) error {
	if !x.resumes() || x.source.Version != "" {
		return nil
	}
	if source.Version == "" {
		return notResumableError("the source of the stream is not known; it names attempt %q as its first", x.req.Origin)
	}
	if !x.route.Uses(source.Service) {
		return notResumableError("service %q, which began the stream, no longer serves the route", source.Service)
	}
	x.source = source
	return nil
}

// adoptSoleVersion restricts the request to the software version of its service if no other can have
// begun the stream.
func (x *exchange) adoptSoleVersion() bool {
	if len(x.route.Services) != 1 {
		return false
	}
	service := x.route.Services[0].Service
	version := x.g.targets.SoleVersion(clock.Now(), service, maxStreamAge)
	if version == "" {
		return false
	}
	x.source = ledgersm.StreamSource{Service: service, Version: version}
	return true
}

// checkSourceServes refuses to resume a stream if no target of its source is in service.
func (x *exchange) checkSourceServes() error {
	if !x.resumes() || x.g.targets.Serves(x.source.Service, x.source.Version) {
		return nil
	}
	return notResumableError("no target of service %q runs software version %q, which began the stream", x.source.Service, x.source.Version)
}

// notResumableError refuses to resume a stream.
func notResumableError(format string, args ...any) error {
	return errs.New(errs.StreamNotResumable, "send the request from its start, without the id of the last event", format, args...).
		WithRetryAfter(resumeRetryAfter)
}

// acquireFromSource chooses a target of the stream's source. A stream that begins may go to a target
// of another version, and does if the recorded one has none or only some that need a permit.
func (x *exchange) acquireFromSource(ctx context.Context, c *balance.Criteria) (*balance.Target, error) {
	c.Version = x.source.Version
	if c.Version == "" || x.resumes() {
		return x.acquire(ctx, c)
	}
	if x.g.targets.TakesWithoutPermit(clock.Now(), c) {
		if t, err := x.acquire(ctx, c); err == nil {
			return t, nil
		}
	}
	c.Version = ""
	return x.acquire(ctx, c)
}

// recordSource starts to record the source of a stream that begins at a target, unless that is
// already recorded.
func (x *exchange) recordSource(ctx context.Context, t *balance.Target) {
	source := ledgersm.StreamSource{Service: t.Service, Version: t.Version}
	if !x.resumable() || x.resumes() || source == x.source {
		return
	}
	x.source = source
	x.sourceRevision++
	req := &ledgersm.RecordStream{Org: x.org, Program: x.req.Program, Attempt: x.req.ID, Stream: ledgersm.StreamRecord{
		Source: source, Revision: x.sourceRevision, Keep: x.sourceRetention()}}
	done := make(chan error, 1)
	x.sourceRecorded = done
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
		defer cancel()
		_, err := x.g.opts.Client.RecordStream(ctx, req)
		done <- err
	}()
}

// awaitSource waits until the source of a stream is recorded, which must precede its first event. It
// fails if the ledger may hold another source, of which the caller has got no event.
func (x *exchange) awaitSource() error {
	if x.sourceRecorded == nil {
		return nil
	}
	err := <-x.sourceRecorded
	x.sourceRecorded = nil
	if err == nil {
		return nil
	}
	x.g.log.Info("could not record the source of a stream", "request", x.req.ID, "version", x.source.Version, "revision", x.sourceRevision, "reason", err.Error())
	if x.sourceRevision == 1 {
		return nil
	}
	x.source = ledgersm.StreamSource{} // the next target's is recorded in any case
	return errors.Wrap(err, "could not record the source of the stream")
}
