package stateserver

import (
	"context"
	"time"

	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

const (
	// maxQueryWait bounds how long a query waits, so that an abandoned one ends.
	maxQueryWait = time.Minute
	// leaderCheckPeriod is how often a waiting query checks that this member is still the
	// leader, because a follower may learn of changes late.
	leaderCheckPeriod = 200 * time.Millisecond
)

func (s *Server) registerQueries(w *wire.Server) {
	handle(s, w, stateclient.MethodConfigConfirm, s.confirmConfig)
	handle(s, w, stateclient.MethodConfigGet, s.getConfig)
	handle(s, w, stateclient.MethodConfigHistory, s.getConfig)
	handle(s, w, stateclient.MethodOrderList, s.listOrders)
	handle(s, w, stateclient.MethodProgramGet, s.getProgram)
	handle(s, w, stateclient.MethodTurnGet, s.getTurn)
	handle(s, w, stateclient.MethodCallGet, s.getCall)
}

// confirmConfig records the poll of an entry and returns the current revision, the changes
// since the revision that the caller has, and the live entries.
func (s *Server) confirmConfig(ctx context.Context, c *structs.ConfirmConfig) (any, error) {
	// State members poll the configuration too, but only entries have an incarnation.
	if c.Incarnation != "" && s.Node.IsLeader(stateclient.ConfigGroup) {
		s.entries.recordPoll(c)
	}
	if err := s.waitReadIndex(ctx, stateclient.ConfigGroup); err != nil {
		return nil, err
	}
	rev, objects, full := s.StateMachines.Config.Delta(c.Revision)
	out := &structs.ConfirmReply{Revision: rev, Objects: objects, Full: full}
	out.Live, out.LiveHash = s.entries.live()
	if out.LiveHash != 0 && out.LiveHash == c.LiveHash {
		out.Live, out.SameLive = nil, true
	}
	return out, nil
}

func (s *Server) getConfig(ctx context.Context, q *structs.ConfigQuery) (any, error) {
	if err := s.waitReadIndex(ctx, stateclient.ConfigGroup); err != nil {
		return nil, err
	}
	cfg := s.StateMachines.Config
	out := &structs.ConfigQueryReply{Entries: s.entries.list(), Orders: cfg.Orders()}
	out.Revision, out.Objects = cfg.Objects(q.Kinds...)
	if q.History {
		out.History = cfg.History()
	}
	if q.NextDrainOrder != "" {
		out.NextDrainOrder = cfg.NextDrainOrder(q.NextDrainOrder)
	}
	if q.DeclarationOf == 0 {
		return out, nil
	}
	var err error
	out.Declaration, err = s.declaration(q.DeclarationOf)
	return out, err
}

// declaration returns the declaration of a revision. For CurrentDeclaration it returns nil
// if none has been applied.
func (s *Server) declaration(rev uint64) (*structs.Declaration, error) {
	if rev == structs.CurrentDeclaration {
		return s.StateMachines.Config.CurrentDeclaration()
	}
	return s.StateMachines.Config.Declaration(rev)
}

func (s *Server) listOrders(ctx context.Context, _ *structs.ConfigQuery) (any, error) {
	if err := s.waitReadIndex(ctx, stateclient.ConfigGroup); err != nil {
		return nil, err
	}
	cfg := s.StateMachines.Config
	return &structs.ConfigQueryReply{Revision: cfg.Revision(), Orders: cfg.Orders()}, nil
}

func (s *Server) getProgram(ctx context.Context, q *structs.ProgramQuery) (any, error) {
	group := stateclient.OrgGroup(q.Org, s.groups)
	if err := s.waitReadIndex(ctx, group); err != nil {
		return nil, err
	}
	return s.StateMachines.Orgs[group].Program(q.Org, q.Program)
}

func (s *Server) getTurn(ctx context.Context, q *structs.TurnQuery) (any, error) {
	group := stateclient.OrgGroup(q.Org, s.groups)
	return await(ctx, s, group, q.Wait, func() (*structs.Turn, <-chan struct{}, error) {
		return s.StateMachines.Orgs[group].Turn(q.Org, q.Program, q.Turn)
	})
}

func (s *Server) getCall(ctx context.Context, q *structs.CallQuery) (any, error) {
	group := stateclient.OrgGroup(q.Org, s.groups)
	return await(ctx, s, group, q.Wait, func() (*structs.Call, <-chan struct{}, error) {
		return s.StateMachines.Orgs[group].Call(q.Org, q.Key)
	})
}

// await reads a record. While the record is in progress, it waits for a change until wait
// or maxQueryWait has passed.
func await[T any](ctx context.Context, s *Server, group uint32, wait time.Duration,
	get func() (*T, <-chan struct{}, error)) (any, error) {
	if err := s.waitReadIndex(ctx, group); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(min(wait, maxQueryWait))
	defer timeout.Stop()
	check := time.NewTicker(leaderCheckPeriod)
	defer check.Stop()
	for {
		v, changed, err := get()
		if err != nil || changed == nil || wait <= 0 {
			return v, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return v, nil
		case <-check.C:
			if !s.Node.IsLeader(group) {
				return nil, s.notLeader(group)
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
