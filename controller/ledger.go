package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// reserve reserves tokens for a turn and returns the history of the turns that it continues.
func (s *Server) reserve(ctx context.Context, req *ledgersm.Reserve) (*fleet.ReserveReply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	if err := s.admitProgram(req); err != nil {
		return nil, err
	}
	if err := s.checkLog(req); err != nil {
		return nil, err
	}
	if req.Log != nil && req.Log.Resumes {
		// The gateway that relayed the events may be gone, and they may be in no command yet.
		s.events.awaitStream(ctx, req.Org, req.Log.Origin)
	}
	reply, err := propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Reserve: req})
	if err != nil {
		return nil, err
	}
	out := &fleet.ReserveReply{Verdict: uint8(reply.Verdict), Spent: reply.Spent, Reserved: reply.Reserved, Source: reply.Source, Log: reply.Log}
	if reply.Verdict != ledgersm.OK || req.Previous == "" {
		return out, nil
	}
	parts, ok := s.opts.Ledger.Parts(req.Org, req.Previous)
	if !ok {
		return nil, errs.New(errs.Unavailable, "send the turn again", "the history of turn %q changed while it was read", req.Previous)
	}
	return out, fillHistory(out, req, parts)
}

// fillHistory sets the history of a turn in the reply to its reservation.
func fillHistory(out *fleet.ReserveReply, req *ledgersm.Reserve, parts []ledgersm.Part) error {
	if len(parts) == 1 && parts[0].Ref == nil {
		out.History = parts[0].Inline
		return nil
	}
	if !req.AcceptsParts {
		return errs.New(errs.Unavailable, "send the turn to another host",
			"a turn before turn %q is kept on store hosts, from which this gateway cannot read", req.Attempt).WithRetryAfter(partsRetryAfter)
	}
	out.Parts = make([]fleet.HistoryPart, len(parts))
	for i, p := range parts {
		out.Parts[i] = fleet.HistoryPart{Inline: p.Inline, Ref: p.Ref}
	}
	return nil
}

// partsRetryAfter is the Retry-After of a turn whose history the gateway cannot read. Most other
// gateways can.
const partsRetryAfter = 300 * time.Millisecond

// admitProgram refuses a new program whose turns are to be kept while the ledger is full, or while its
// turns would go to store hosts whose disks are nearly used up. This protects the members' disks, and
// leaves the rest to programs that have begun. Expired turns are removed every SweepInterval, so a
// retry is worthwhile after the next removal.
func (s *Server) admitProgram(req *ledgersm.Reserve) error {
	limit := s.opts.MaxLedgerBytes
	if !req.WillKeep || limit == 0 {
		return nil
	}
	kept := s.opts.Ledger.Bytes()
	full := kept >= limit
	if s.ledgerFull.CompareAndSwap(!full, full) {
		s.log.Info("room in the ledger", "full", full, "kept_bytes", kept, "limit_bytes", limit)
	}
	bodies := s.opts.Document.Get().Bodies
	if (!full && !bodies.NearlyFull) || s.opts.Ledger.ProgramBegun(req.Org, req.Program) {
		return nil
	}
	if !full {
		return errs.New(errs.Overloaded, "retry later", "the disks of the store hosts are nearly used up").
			WithRetryAfter(storesFullRetryAfter())
	}
	e := errs.New(errs.Overloaded, "retry later", "the ledger holds %d bytes of turns; the limit is %d", kept, limit)
	if bodies.NearlyFull {
		return e.WithRetryAfter(storesFullRetryAfter())
	}
	return e.WithRetryAfter(ledgersm.SweepInterval)
}

// storesFullRetryAfter returns a Retry-After that spreads the retries of refused programs over several
// removals of expired turns, because each removal makes room for a part of them only.
func storesFullRetryAfter() time.Duration {
	return ledgersm.SweepInterval + rand.N(3*ledgersm.SweepInterval)
}

// settle ends a reservation and records the tokens that the turn has used.
func (s *Server) settle(ctx context.Context, req *ledgersm.Settle) (*ledgersm.Reply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	if req.Body != nil && !s.membersKnowBodies() {
		// Checked here again, because a member that does not know references would store a turn without
		// its body.
		return nil, errs.New(errs.Unavailable, "send the turn with its input and output", "not all members understand references to bodies")
	}
	reply, err := propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Settle: req})
	if err == nil && reply.Verdict == ledgersm.UnknownTurn {
		s.log.Info("turn not kept: the turn that it continues is not stored", "request", req.Attempt, "program", req.Program, "previous", req.Previous)
	}
	return reply, err
}

// membersKnowBodies reports whether all members have reported that they understand references to bodies
// on store hosts. The state is replicated, so that the leader of the ledger knows it without asking.
func (s *Server) membersKnowBodies() bool {
	return s.opts.Document.Get().Bodies.Features&fleet.FeatureBodies != 0
}

// knownBodies tells a store host which bodies the ledger refers to. Waiting for the read index makes the
// answer linearisable, because the store removes the others.
func (s *Server) knownBodies(ctx context.Context, req *fleet.KnownRequest) (*fleet.KnownReply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	if err := s.opts.Node.ReadIndex(ctx, fleet.LedgerGroup); err != nil {
		return nil, err
	}
	reply := &fleet.KnownReply{Known: make([]bool, len(req.Keys))}
	for i, k := range req.Keys {
		reply.Known[i] = s.opts.Ledger.RefersTo(k)
	}
	return reply, nil
}

// recordStream records or looks up the source of a stream that belongs to no turn.
func (s *Server) recordStream(ctx context.Context, req *ledgersm.RecordStream) (*ledgersm.Reply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	return propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Stream: req})
}

// programBegun reports whether the ledger knows a program. It reads the local state without a
// read index, so it may miss a program whose first reservation is still being committed.
func (s *Server) programBegun(_ context.Context, req *fleet.ProgramRequest) (*fleet.ProgramReply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	return &fleet.ProgramReply{Begun: s.opts.Ledger.ProgramBegun(req.Org, req.Program)}, nil
}
