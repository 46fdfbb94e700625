package controller

import (
	"context"

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
	reply, err := propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Reserve: req})
	if err != nil {
		return nil, err
	}
	out := &fleet.ReserveReply{Verdict: uint8(reply.Verdict), Spent: reply.Spent, Reserved: reply.Reserved, Source: reply.Source}
	if reply.Verdict != ledgersm.OK || req.Previous == "" {
		return out, nil
	}
	history, ok := s.opts.Ledger.History(req.Org, req.Previous)
	if !ok {
		return nil, errs.New(errs.Unavailable, "send the turn again", "the history of turn %q changed while it was read", req.Previous)
	}
	out.History = history
	return out, nil
}

// admitProgram refuses a new program whose turns are to be kept while the ledger is full. This
// protects the members' disks when more turns are kept within a retention period than they can
// hold. Programs that have begun continue. Expired turns are removed every SweepInterval, so a
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
	if !full || s.opts.Ledger.ProgramBegun(req.Org, req.Program) {
		return nil
	}
	return errs.New(errs.Overloaded, "retry later", "the ledger holds %d bytes of turns; the limit is %d", kept, limit).
		WithRetryAfter(ledgersm.SweepInterval)
}

// settle ends a reservation and records the tokens that the turn has used.
func (s *Server) settle(ctx context.Context, req *ledgersm.Settle) (*ledgersm.Reply, error) {
	if err := s.requireLeader(fleet.LedgerGroup); err != nil {
		return nil, err
	}
	reply, err := propose[ledgersm.Reply](ctx, s, fleet.LedgerGroup, &ledgersm.Command{Settle: req})
	if err == nil && reply.Verdict == ledgersm.UnknownTurn {
		s.log.Info("turn not kept: the turn that it continues is not stored", "request", req.Attempt, "program", req.Program, "previous", req.Previous)
	}
	return reply, err
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
