package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// eventsTimeout bounds the commit of a command with events.
	eventsTimeout = time.Second
	// maxCommandBytes is the size of the events from which a command takes no more batches.
	maxCommandBytes = 256 << 10
	// resumeRetryAfter is the Retry-After of a resumed turn that would be kept in part.
	resumeRetryAfter = 50 * time.Millisecond
)

// membersKeepLogs reports whether all members have reported that they keep logs of events.
func (s *Server) membersKeepLogs() bool {
	return s.opts.Document.Get().Bodies.Features&fleet.FeatureEventLogs != 0
}

// checkLog refuses a turn that resumes a stream and would be kept without the events before: that of a
// gateway of an older build, which asks for no log, and any while some members keep no logs. Other turns
// have no log until all members keep them, since the states of the members would differ.
func (s *Server) checkLog(req *ledgersm.Reserve) error {
	if req.Log == nil {
		if req.WillKeep && req.Stream != nil && req.Stream.Resumes {
			return errs.New(errs.Unavailable, "resume the stream at another host",
				"the gateway does not join the turn of attempt %q with the events before", req.Attempt).WithRetryAfter(resumeRetryAfter)
		}
		return nil
	}
	if s.membersKeepLogs() {
		return nil
	}
	if req.Log.Resumes {
		return errs.New(errs.StreamNotResumable, "send the request from its start, without the id of the last event",
			"not all controllers keep the events of streams").WithRetryAfter(resumeRetryAfter)
	}
	req.Log = nil
	return nil
}

// appendEvents appends events to the logs of their streams.
func (s *Server) appendEvents(ctx context.Context, req *ledgersm.AppendEvents) (*ledgersm.Reply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	if !s.membersKeepLogs() {
		return nil, errs.New(errs.Unavailable, "retry", "not all controllers keep the events of streams")
	}
	return s.events.append(ctx, req, func(cmd *ledgersm.AppendEvents) (*ledgersm.Reply, error) {
		ctx, cancel := context.WithTimeout(context.Background(), eventsTimeout)
		defer cancel()
		return propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Events: cmd})
	})
}

// proposeEvents commits a command and returns its reply.
type proposeEvents func(*ledgersm.AppendEvents) (*ledgersm.Reply, error)

// eventCombiner joins the events that arrive from several gateways while a command is being committed into
// the next command, so that the number of commands does not grow with that of the streams.
type eventCombiner struct {
	mu       sync.Mutex
	waiting  []*combinedEvents // commands that have not been proposed, in order
	proposed *combinedEvents   // the command that is being committed; nil: none
	busy     bool              // a goroutine proposes commands
}

// combinedEvents is a command for the events of several calls.
type combinedEvents struct {
	cmd   ledgersm.AppendEvents
	bytes int
	done  chan struct{} // closed once reply and err are set
	reply *ledgersm.Reply
	err   error
}

// append adds the batches of a call to a command and returns the part of its reply that concerns them.
func (e *eventCombiner) append(ctx context.Context, req *ledgersm.AppendEvents, propose proposeEvents) (*ledgersm.Reply, error) {
	c, first := e.join(req, propose)
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, errs.New(errs.Uncertain, "send the events again", "the events have not been committed in time").WithRun(errs.RunUnknown)
	}
	if c.err != nil {
		return nil, c.err
	}
	if len(c.reply.Held) != len(c.cmd.Batches) {
		return nil, errs.New(errs.Unavailable, "send the events again", "the events were not appended")
	}
	return &ledgersm.Reply{Verdict: c.reply.Verdict, Held: c.reply.Held[first : first+len(req.Batches)]}, nil
}

// join adds batches to the last waiting command, or to a new one if that is full, and returns the command
// and the position of the batches in it.
func (e *eventCombiner) join(req *ledgersm.AppendEvents, propose proposeEvents) (c *combinedEvents, first int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.waiting); n > 0 && e.waiting[n-1].bytes < maxCommandBytes {
		c = e.waiting[n-1]
	} else {
		c = &combinedEvents{done: make(chan struct{})}
		e.waiting = append(e.waiting, c)
	}
	first = len(c.cmd.Batches)
	c.cmd.Batches = append(c.cmd.Batches, req.Batches...)
	for i := range req.Batches {
		c.bytes += req.Batches[i].Bytes()
	}
	if !e.busy {
		e.busy = true
		go e.run(propose)
	}
	return c, first
}

// run proposes the waiting commands one after the other until none is left.
func (e *eventCombiner) run(propose proposeEvents) {
	for c := e.next(); c != nil; c = e.next() {
		c.reply, c.err = propose(&c.cmd)
		close(c.done)
	}
}

// next returns the next command, which takes no more batches, or nil.
func (e *eventCombiner) next() *combinedEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proposed = nil
	if len(e.waiting) == 0 {
		e.busy = false
		return nil
	}
	e.proposed = e.waiting[0]
	e.waiting = e.waiting[1:]
	return e.proposed
}

// awaitStream waits until the events of a stream that have arrived are committed, at most until ctx ends. An
// empty origin stands for all streams of the organisation.
func (e *eventCombiner) awaitStream(ctx context.Context, org, origin string) {
	c := e.lastWith(org, origin)
	if c == nil {
		return
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// lastWith returns the last command with events of a stream that has not been committed, or nil.
func (e *eventCombiner) lastWith(org, origin string) *combinedEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range slices.Backward(e.waiting) {
		if c.concerns(org, origin) {
			return c
		}
	}
	if e.proposed != nil && e.proposed.concerns(org, origin) {
		return e.proposed
	}
	return nil
}

// concerns reports whether a command holds events of a stream, or of any of the organisation if the origin is
// empty.
func (c *combinedEvents) concerns(org, origin string) bool {
	return slices.ContainsFunc(c.cmd.Batches, func(b ledgersm.EventBatch) bool {
		return b.Org == org && (origin == "" || b.Origin == origin)
	})
}
