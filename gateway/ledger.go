package gateway

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// reserveTimeout bounds the wait for a reservation. A new leader of the ledger is in place
	// within 2 s.
	reserveTimeout = 1500 * time.Millisecond
	// settleTimeout is the time for which settling a turn is retried.
	settleTimeout = 15 * time.Second
	// maxSettling bounds the turns that are being settled in the background.
	maxSettling = 512
	// ledgerRetryAfter is the Retry-After of turns whose tokens could not be reserved.
	ledgerRetryAfter = 300 * time.Millisecond
)

// settler settles turns in the ledger in the background.
type settler struct {
	g     *Gateway
	slots chan struct{}
}

func newSettler(g *Gateway) *settler {
	return &settler{g: g, slots: make(chan struct{}, maxSettling)}
}

// isTurn reports whether the request is a turn that the ledger records: one of a program with a
// token budget, or on a route that keeps the history.
func (x *exchange) isTurn() bool {
	if x.route.Kind != routing.Streaming || x.req.Program == "" {
		return false
	}
	return x.req.Budget > 0 || x.route.KeepsHistory
}

// reserveTokens reserves the turn's tokens in the ledger and loads the history that the turn
// continues.
func (x *exchange) reserveTokens(ctx context.Context) error {
	if !x.isTurn() {
		return nil
	}
	if x.g.leaderContact.cutOff() {
		return cutOffError()
	}
	req := &ledgersm.Reserve{
		Org: x.org, Program: x.req.Program, Attempt: x.req.ID,
		Budget: x.req.Budget, Tokens: x.req.MaxTokens, Retention: x.route.Retention,
		Hold: max(x.timeLeft(), 0) + settleTimeout, Stream: x.streamRecord(), Log: x.logRequest(),
	}
	if x.route.KeepsHistory {
		req.Previous, req.WillKeep = x.req.PreviousTurn, true
	}
	req.AcceptsParts = x.g.bodies != nil
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := x.g.opts.Client.Reserve(reserveCtx, req)
	if e := errs.From(err); e != nil && (e.Code == errs.Overloaded || e.Code == errs.StreamNotResumable) {
		return e
	}
	if err != nil {
		// The ledger may have recorded the reservation. Settling it keeps it from using up the
		// budget.
		x.settleAsync(&ledgersm.Settle{Tokens: 0})
		return errs.New(errs.Unavailable, "retry", "the ledger did not respond: %v", err).WithRetryAfter(ledgerRetryAfter)
	}
	switch ledgersm.Verdict(reply.Verdict) {
	case ledgersm.OK:
		x.reserved = true
		x.begun = reply.Spent+reply.Reserved > 0
		if err := x.adoptSource(reply.Source); err != nil {
			return err
		}
		if err := x.adoptLog(reply.Log); err != nil {
			return err
		}
		return x.loadHistory(ctx, reply)
	case ledgersm.UnknownStream:
		if x.adoptSoleVersion() {
			return x.reserveTokens(ctx) // does not ask for the source again
		}
		return x.adoptSource(ledgersm.StreamSource{})
	case ledgersm.EventsMissing:
		if x.awaitEvents(ctx) {
			return x.reserveTokens(ctx)
		}
		return x.unknownEventsError()
	case ledgersm.EventsUnknown:
		return x.unknownEventsError()
	case ledgersm.BudgetExhausted:
		return errs.New(errs.BudgetExhausted, "begin a new program",
			"program %q has used %d and reserved %d of %d tokens", x.req.Program, reply.Spent, reply.Reserved, x.req.Budget)
	case ledgersm.UnknownTurn:
		return errs.New(errs.UnknownProgram, "send the whole conversation in a turn without a previous one", "turn %q is not known", x.req.PreviousTurn)
	}
	return errs.New(errs.Unavailable, "retry", "the ledger refused the turn").WithRetryAfter(ledgerRetryAfter)
}

// settle ends the reservation and waits until the ledger has recorded this durably. It fails if a turn
// that is to be kept could not be, because the turn that it continues has expired.
func (x *exchange) settle(ctx context.Context, s *ledgersm.Settle) error {
	x.fillSettle(s)
	x.reserved = false
	reply, err := x.g.opts.Client.Settle(ctx, s)
	if err != nil {
		return err
	}
	if reply.Verdict == ledgersm.UnknownTurn {
		return errs.New(errs.UnknownProgram, "send the whole conversation in a turn without a previous one",
			"turn %q expired while a turn that continues from it ran", s.Previous)
	}
	return nil
}

// fillSettle sets the fields that identify the turn.
func (x *exchange) fillSettle(s *ledgersm.Settle) {
	s.Org, s.Program, s.Attempt = x.org, x.req.Program, x.req.ID
	s.Previous, s.Retention = x.req.PreviousTurn, x.route.Retention
	if x.events != nil {
		s.Log, s.LogEvents = x.events.origin, x.events.total()
	}
}

// settleAsync ends the reservation in the background. If this fails, the whole reservation
// counts against the program's budget for the rest of the program.
func (x *exchange) settleAsync(s *ledgersm.Settle) {
	x.fillSettle(s)
	x.reserved = false
	l := x.g.settler
	select {
	case l.slots <- struct{}{}:
	default:
		x.g.log.Info("could not settle the turn", "request", s.Attempt, "reason", "too many turns are being settled")
		return
	}
	l.g.wg.Go(func() {
		defer func() { <-l.slots }()
		ctx, cancel := context.WithTimeout(l.g.ctx, settleTimeout)
		defer cancel()
		if _, err := l.g.opts.Client.Settle(ctx, s); err != nil {
			l.g.log.Info("could not settle the turn", "request", s.Attempt, "program", s.Program, "tokens", s.Tokens, "reason", err.Error())
		}
	})
}
