package gateway

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/bodies"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

const (
	// minBodyRetention is the least time for which store hosts keep a body without asking the ledger.
	// The turn is settled within referenceSettleTimeout, or does not end as complete.
	minBodyRetention       = time.Minute
	referenceSettleTimeout = 30 * time.Second
)

// adoptStores takes over what a poll's reply says of the store hosts.
func (g *Gateway) adoptStores(reply *fleet.PollReply) {
	if g.bodies == nil {
		return
	}
	if reply.Stores != nil {
		g.bodies.SetView(reply.Stores)
		g.log.Info("view of the store hosts adopted", "revision", reply.Stores.Revision, "stores", len(reply.Stores.Stores), "copies", reply.Stores.Copies)
	}
	if g.bodiesToStores.Swap(reply.BodiesToStores) != reply.BodiesToStores {
		g.log.Info("storage of turns on store hosts changed", "on", reply.BodiesToStores)
	}
}

// features returns the features that this gateway understands.
func (g *Gateway) features() uint64 {
	if g.bodies == nil {
		return fleet.KnownFeatures() &^ fleet.FeatureBodies
	}
	return fleet.KnownFeatures()
}

// loadHistory sets the history of a turn from the reply to its reservation. It reads the bodies that are
// on store hosts.
func (x *exchange) loadHistory(ctx context.Context, reply *fleet.ReserveReply) error {
	x.history = reply.History
	if len(reply.Parts) == 0 {
		return nil
	}
	history, err := x.g.bodies.Load(ctx, reply.Parts)
	if err != nil {
		x.g.metrics.bodiesUnavailable.Inc(1)
		return errs.New(errs.Unavailable, "retry", "the history of turn %q cannot be read now: %v", x.req.PreviousTurn, err).WithRetryAfter(ledgerRetryAfter)
	}
	x.g.metrics.bodiesLoaded.Inc(1)
	x.history = history
	return nil
}

// settleKept settles a turn that is to be kept. Its input and output go to store hosts if the ledger is
// nearly full; if too few of them take it, the ledger keeps it itself.
func (x *exchange) settleKept(ctx context.Context, s *ledgersm.Settle) error {
	ref := x.storeBody(ctx, s)
	if ref == nil {
		return x.settle(ctx, s)
	}
	withRef := *s
	withRef.Input, withRef.Output, withRef.Body = nil, nil, ref
	refCtx, cancel := context.WithTimeout(ctx, referenceSettleTimeout)
	defer cancel()
	err := x.settle(refCtx, &withRef)
	if e := errs.From(err); e != nil && e.Code == errs.Unavailable && e.Run == errs.NotRun {
		return x.settle(ctx, s) // not all controllers understand references any more
	}
	return err
}

// storeBody stores the input and output of a turn on store hosts and returns the reference to them, or nil
// if the ledger has to keep them.
func (x *exchange) storeBody(ctx context.Context, s *ledgersm.Settle) *ledgersm.BodyRef {
	g := x.g
	if g.bodies == nil || !g.bodiesToStores.Load() || len(s.Input)+len(s.Output) < bodies.MinBytes {
		return nil
	}
	ref := bodies.Reference(x.org, x.req.ID, s.Input, s.Output)
	body := &fleet.BodyPut{Key: ref.Key, Retention: max(x.route.Retention, minBodyRetention), Input: s.Input, Output: s.Output}
	if err := g.bodies.Put(ctx, body); err != nil {
		g.metrics.bodiesInline.Inc(1)
		if g.metrics.bodyLines.allow() {
			g.log.Info("turn kept in the ledger: store hosts did not take it", "request", x.req.ID, "bytes", ref.Size, "reason", err.Error())
		}
		return nil
	}
	g.metrics.bodiesStored.Inc(1)
	return ref
}
