package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/statemachine/documentsm"
)

const (
	// bodiesInterval is the time between two decisions about bodies of turns.
	bodiesInterval = 100 * time.Millisecond
	// bodiesProposeTimeout bounds the commit of a change of what is recorded about bodies.
	bodiesProposeTimeout = time.Second
	// minStores is the number of store hosts that must remain after one is retired, while the store
	// hosts hold no bodies. Otherwise as many must remain as each body needs.
	minStores = 2
)

// bodyStorage holds the leader's decisions about bodies of turns on store hosts.
type bodyStorage struct {
	gate          bodyGate
	recordFailing bool        // the last record has failed
	toStores      atomic.Bool // bodies go to store hosts

	retireMu sync.Mutex // serialises orders to retire, so that each counts the ones before
}

// runBodies decides about bodies of turns while this member leads the document group.
func (s *Server) runBodies(ctx context.Context) {
	if s.opts.Copies == 0 {
		return
	}
	periodic.Run(ctx, bodiesInterval, periodic.Always(func(ctx context.Context) { s.decideBodies(ctx, clock.Now()) }))
}

// decideBodies renews the view of the store hosts and decides whether bodies go to them.
func (s *Server) decideBodies(ctx context.Context, now time.Duration) {
	term := s.leadingTerm()
	if term == 0 {
		s.bodies.toStores.Store(false)
		return
	}
	oldestView, gatewaysReady := s.hosts.gatewayBodies(term)
	state := s.opts.Document.Get()
	s.stores.refresh(now, term, s.opts.Copies, state.Retired, oldestView)
	sum := s.stores.summary(now)
	allKnow, lacking := s.features.understand(s.opts.Node.Members(), fleet.FeatureBodies)
	in := &gateInput{
		kept: s.opts.Ledger.Bytes(), limit: s.opts.MaxLedgerBytes,
		membersReady: s.membersKnowBodies() && !lacking, gatewaysReady: gatewaysReady,
		settled: sum.settled, writable: sum.writable, copies: s.opts.Copies,
	}
	on := s.bodies.gate.decide(in)
	if s.bodies.toStores.Swap(on) != on {
		s.log.Info("storage of turns on store hosts changed", "on", on, "kept_bytes", in.kept, "limit_bytes", in.limit, "members_ready", in.membersReady,
			"gateways_ready", in.gatewaysReady, "writable", in.writable, "copies", in.copies)
	}
	if sum.settled {
		s.recordBodies(ctx, &state, &sum, allKnow && gatewaysReady)
	}
}

// recordBodies commits what all members have to know: that all of them understand references, that the
// store hosts' disks are nearly used up, and the retirements that are completed.
func (s *Server) recordBodies(ctx context.Context, state *documentsm.State, sum *storeSummary, ready bool) {
	ctx, cancel := context.WithTimeout(ctx, bodiesProposeTimeout)
	defer cancel()
	next := state.Bodies
	if ready && sum.writable >= s.opts.Copies {
		next.Features |= fleet.FeatureBodies
	}
	if next.Features&fleet.FeatureBodies == 0 {
		return // a member of an older build would not execute the commands
	}
	next.NearlyFull = s.bodies.gate.wanted && nearlyFull(sum.disks, s.opts.Copies, state.Bodies.NearlyFull)
	if next != state.Bodies {
		cmd := documentsm.Command{Bodies: &documentsm.BodiesChange{State: next}}
		if s.record(ctx, &cmd) {
			s.log.Info("state of the storage of turns recorded", "features", next.Features, "stores_nearly_full", next.NearlyFull, "stores", len(sum.disks))
		}
	}
	for _, r := range s.stores.emptied() {
		if state.Retired[r.Host].Completed {
			continue
		}
		if s.record(ctx, &documentsm.Command{Retire: &r}) {
			s.log.Info("store host is empty", "peer", r.Host, "incarnation", r.Incarnation)
		}
	}
}

// record commits a command of runBodies and reports whether that succeeded. It logs the first of several
// failures in a row; the command is tried again with the next decision.
func (s *Server) record(ctx context.Context, cmd *documentsm.Command) bool {
	_, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, cmd)
	if err != nil && !s.bodies.recordFailing {
		s.log.Info("cannot record the state of the storage of turns; retrying", "error", err.Error())
	}
	s.bodies.recordFailing = err != nil
	return err == nil
}

// retire retires a store host, or returns the state of its retirement. The order is a command of the
// document group: a repeated one has no second effect.
func (s *Server) retire(ctx context.Context, req *fleet.RetireRequest) (*fleet.RetireReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	s.bodies.retireMu.Lock()
	defer s.bodies.retireMu.Unlock()
	if err := s.opts.Node.ReadIndex(ctx, fleet.DocumentGroup); err != nil {
		return nil, err
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	list := s.hosts.list(term)
	state := s.opts.Document.Get()
	known := isStore(list.Hosts, req.Host)
	incarnation, reported := s.stores.incarnation(req.Host)
	order, ordered := state.Retired[req.Host]
	if ordered && (!reported || order.AppliesTo(incarnation)) {
		return &fleet.RetireReply{Completed: order.Completed}, nil
	}
	if !known && !list.Complete {
		return nil, errs.New(errs.Unavailable, "retry", "the list of hosts is incomplete after a leader election")
	}
	if !known {
		return nil, errs.New(errs.NotFound, "name a store host", "store host %q is not known", req.Host)
	}
	if s.membersKnowBodies() && !reported && s.hosts.understandsBodies(req.Host) {
		return nil, errs.New(errs.Unavailable, "retry", "store host %q has not told yet what it holds", req.Host)
	}
	if !s.membersKnowBodies() || !reported {
		// The host is of an earlier build or the site keeps no bodies on store hosts.
		return &fleet.RetireReply{Completed: true}, s.checkRemaining(req, list, &state, minStores)
	}
	if !req.Order {
		return nil, errs.New(errs.NotFound, "order the retirement first", "store host %q is not being retired", req.Host)
	}
	if !list.Complete {
		return nil, errs.New(errs.Unavailable, "retry", "the list of hosts is incomplete after a leader election")
	}
	need := minStores
	if sum := s.stores.summary(clock.Now()); sum.bodies > 0 || s.bodies.toStores.Load() {
		need = max(need, s.opts.Copies)
	}
	if err := s.checkRemaining(req, list, &state, need); err != nil {
		return nil, err
	}
	cmd := documentsm.Command{Retire: &documentsm.Retirement{Host: req.Host, Incarnation: incarnation}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &cmd)
	if err != nil {
		return nil, err
	}
	s.log.Info("retirement of a store host ordered", "peer", req.Host, "incarnation", incarnation, "changed", reply.Changed)
	return &fleet.RetireReply{}, nil
}

// checkRemaining fails if fewer than need store hosts would remain.
func (s *Server) checkRemaining(req *fleet.RetireRequest, list *fleet.HostsReply, state *documentsm.State, need int) error {
	if !req.Order {
		return nil
	}
	remaining := 0
	for _, h := range list.Hosts {
		incarnation, _ := s.stores.incarnation(h.Name)
		order, ordered := state.Retired[h.Name]
		if h.Kind == fleet.KindStore && h.Name != req.Host && (!ordered || !order.AppliesTo(incarnation)) {
			remaining++
		}
	}
	if remaining < need {
		return errs.New(errs.Superseded, "add a store host first", "%d store hosts would remain of at least %d", remaining, need)
	}
	return nil
}

// isStore reports whether a store host is among the hosts.
func isStore(hosts []fleet.Host, name string) bool {
	for _, h := range hosts {
		if h.Name == name && h.Kind == fleet.KindStore {
			return true
		}
	}
	return false
}
