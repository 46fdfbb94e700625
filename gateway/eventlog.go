package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// A caller may resume a stream at any gateway, also after the one that relayed its first events is gone. If
// the turn is kept, the gateway at which it ends needs those events too. Each event is therefore sent to the
// ledger as it is relayed. The caller does not wait for that; an event that has reached the caller and not the
// ledger makes the stream one that cannot be resumed. An event therefore does not wait in this process until
// the ledger has confirmed those before it: what has left the process survives its end.

const (
	// maxAppendCalls bounds the concurrent calls that append events. Further events wait for the end of one and
	// then share the next. With commits of 150 ms, two streams of 46 ms between events stay below it.
	maxAppendCalls = 16
	// maxStreamCalls bounds the concurrent calls with events of one stream, each of which repeats the unconfirmed
	// events of those before. It bounds the memory of a long stream while the ledger does not respond.
	maxStreamCalls = 4
	// maxAppendBytes is the size of the events from which a call takes no more streams.
	maxAppendBytes = 128 << 10
	// appendTimeout bounds a call.
	appendTimeout = time.Second
	// appendRetryDelay is the pause after a call that has failed.
	appendRetryDelay = 50 * time.Millisecond
	// missingEventsWait is the time for which a resumed turn waits for events that another gateway may still
	// be sending to the ledger, and missingEventsStep the time between two attempts.
	missingEventsWait = 300 * time.Millisecond
	missingEventsStep = 30 * time.Millisecond
)

// logRequest returns what the reservation of a turn says about the log of its stream, or nil if the turn
// needs none.
func (x *exchange) logRequest() *ledgersm.LogRequest {
	if !x.route.KeepsHistory || !x.resumable() {
		return nil
	}
	r := &ledgersm.LogRequest{Keep: x.sourceRetention()}
	if x.resumes() {
		r.Resumes, r.Origin, r.After = true, x.req.Origin, x.req.LastEvent
	}
	return r
}

// checkKeptWhole refuses a turn that would be kept without the events that its caller has.
func (x *exchange) checkKeptWhole() error {
	if !x.isTurn() || !x.route.KeepsHistory || x.resumable() || x.req.LastEvent == "" {
		return nil
	}
	return notResumableError("route %q keeps turns, and their streams cannot be resumed", x.route.Name)
}

// adoptLog takes over the log of the turn's stream from the reply to its reservation.
func (x *exchange) adoptLog(log *ledgersm.LogReply) error {
	if log == nil {
		if x.resumes() && x.route.KeepsHistory {
			return notResumableError("the ledger does not keep the events of streams yet")
		}
		return nil
	}
	x.before = log.Before
	x.events = x.g.eventLogs.open(x.org, log.Origin, x.req.ID, x.deadline+settleTimeout)
	if x.resumes() {
		x.g.metrics.streamsJoined.Inc(1)
	}
	return nil
}

// awaitEvents reports whether a turn that resumes a stream should be reserved again, because the last events
// of the stream may still be on their way to the ledger.
func (x *exchange) awaitEvents(ctx context.Context) bool {
	now := clock.Now()
	if x.eventsMissingSince == 0 {
		x.eventsMissingSince = now
	}
	return now-x.eventsMissingSince < missingEventsWait && sleep(ctx, missingEventsStep)
}

// unknownEventsError refuses to resume a stream whose events the ledger does not hold.
func (x *exchange) unknownEventsError() error {
	x.g.metrics.streamsNotJoined.Inc(1)
	return notResumableError("the ledger does not hold the events up to %q of the stream that attempt %q began", x.req.LastEvent, x.req.Origin)
}

// eventLogs appends the events of streams to their logs in the ledger.
type eventLogs struct {
	g *Gateway

	mu      sync.Mutex
	waiting []*eventLog // have unsent events
	calls   int
	failing bool // the last call has failed
}

// eventLog holds the events of one stream that the ledger has not confirmed. A nil eventLog takes none.
type eventLog struct {
	logs                 *eventLogs
	org, origin, attempt string
	giveUpAt             time.Duration // clock time

	// Guarded by logs.mu.
	added       int              // number of events
	held        int              // number of events that the ledger has confirmed
	sent        int              // number of events that are confirmed or in a call
	unconfirmed []ledgersm.Event // those after held
	calls       int              // in progress
	queued      bool             // is in logs.waiting
	dropped     bool             // takes no more events
}

// appendCall is one call with a batch of each of several streams.
type appendCall struct {
	streams []*eventLog
	req     ledgersm.AppendEvents
}

// open returns the log of an attempt's stream. Events that the ledger has not confirmed at the clock time
// giveUpAt are dropped.
func (l *eventLogs) open(org, origin, attempt string, giveUpAt time.Duration) *eventLog {
	return &eventLog{logs: l, org: org, origin: origin, attempt: attempt, giveUpAt: giveUpAt}
}

// add sends events to the ledger. It does not wait.
func (e *eventLog) add(events []ledgersm.Event) {
	if e == nil || len(events) == 0 {
		return
	}
	l := e.logs
	l.mu.Lock()
	defer l.mu.Unlock()
	e.added += len(events)
	if e.dropped {
		return
	}
	e.unconfirmed = append(e.unconfirmed, events...)
	l.enqueue(e)
	l.startCall()
}

// total returns the number of events that have been added.
func (e *eventLog) total() int {
	e.logs.mu.Lock()
	defer e.logs.mu.Unlock()
	return e.added
}

// enqueue has the unsent events of a stream sent with the next call. The caller holds mu.
func (l *eventLogs) enqueue(e *eventLog) {
	if e.queued || e.dropped || e.sent == e.added || e.calls >= maxStreamCalls {
		return
	}
	e.queued = true
	l.waiting = append(l.waiting, e)
}

// startCall sends the waiting events unless enough calls are in progress. The caller holds mu.
func (l *eventLogs) startCall() {
	if l.calls >= maxAppendCalls || len(l.waiting) == 0 || l.g.ctx.Err() != nil {
		return
	}
	c := l.takeBatches()
	l.calls++
	l.g.wg.Go(func() { l.call(c) })
}

// takeBatches removes streams from those that wait, up to the size of one call. A batch holds all unconfirmed
// events of its stream, so that it can be applied whichever of several calls arrives first. The caller holds mu.
func (l *eventLogs) takeBatches() *appendCall {
	c := &appendCall{}
	for size := 0; len(l.waiting) > 0 && size < maxAppendBytes; {
		e := l.waiting[0]
		l.waiting = l.waiting[1:]
		e.queued, e.sent = false, e.added
		e.calls++
		batch := ledgersm.EventBatch{Org: e.org, Origin: e.origin, Attempt: e.attempt, First: e.held, Events: e.unconfirmed}
		size += batch.Bytes()
		c.streams, c.req.Batches = append(c.streams, e), append(c.req.Batches, batch)
	}
	return c
}

// call appends one batch of each stream to its log.
func (l *eventLogs) call(c *appendCall) {
	ctx, cancel := context.WithTimeout(l.g.ctx, appendTimeout)
	reply, err := l.g.opts.Client.AppendEvents(ctx, &c.req)
	cancel()
	if err == nil && len(reply.Held) != len(c.streams) {
		err = errs.New(errs.Unavailable, "send the events again", "the reply concerns %d streams instead of %d", len(reply.Held), len(c.streams))
	}
	l.logOutcome(err)
	if err != nil {
		sleep(l.g.ctx, appendRetryDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for i, e := range c.streams {
		e.calls--
		if err == nil {
			e.confirm(&c.req.Batches[i], reply.Held[i])
		} else {
			e.sent = e.held
		}
		if now > e.giveUpAt {
			e.drop()
		}
		l.enqueue(e)
	}
	l.calls--
	l.startCall()
}

// confirm records how many events the ledger held after a batch. Replies to several batches of a stream may
// arrive in any order. The caller holds logs.mu.
func (e *eventLog) confirm(batch *ledgersm.EventBatch, held int) {
	switch {
	case e.dropped:
	case held < batch.First || held > e.added:
		e.drop() // ledgersm.LogClosed, or the ledger has lost events
	case held > e.held:
		e.unconfirmed = e.unconfirmed[held-e.held:]
		e.held = held
		e.sent = max(e.sent, held)
	}
}

// drop ends a log. The caller holds logs.mu.
func (e *eventLog) drop() { e.unconfirmed, e.dropped = nil, true }

// logOutcome counts a call and logs the first of several failures in a row, and their end.
func (l *eventLogs) logOutcome(err error) {
	l.g.metrics.eventCalls.Inc(1)
	if err != nil {
		l.g.metrics.eventCallFailures.Inc(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing == (err != nil) {
		return
	}
	l.failing = err != nil
	if err != nil {
		l.g.log.Info("cannot append events of streams to their logs; retrying", "reason", err.Error())
	} else {
		l.g.log.Info("events of streams are appended to their logs again")
	}
}
