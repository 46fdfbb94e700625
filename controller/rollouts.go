package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/rollout"
	"github.com/figlb/figlb/statemachine/documentsm"
)

const (
	// rolloutInterval is the time between two looks at the roll-outs in progress, as often as gateways
	// report.
	rolloutInterval = 200 * time.Millisecond
	// stepTimeout bounds the recording of a phase.
	stepTimeout = time.Second
	// keepRolledBack and keepCompleted are how long gateways are told of a roll-out that has ended: until
	// the targets of the version that gets no requests are gone from their lists.
	keepRolledBack = time.Minute
	keepCompleted  = 30 * time.Second
	// featuresTimeout bounds the query for the features of the other members.
	featuresTimeout = 500 * time.Millisecond
	// rolloutRetryAfter is the Retry-After of orders that cannot be executed yet.
	rolloutRetryAfter = 300 * time.Millisecond
)

// rolloutState returns the state of the latest roll-out of a service. The read is linearisable.
func (s *Server) rolloutState(ctx context.Context, req *fleet.RolloutStateRequest) (*fleet.RolloutStatus, error) {
	if err := s.opts.Node.ReadIndex(ctx, fleet.DocumentGroup); err != nil {
		return nil, err
	}
	state := s.opts.Document.Get()
	r := state.Rollouts[req.Service]
	return &fleet.RolloutStatus{Phase: r.Phase, To: r.To, Reason: r.Reason, NextOrder: state.NextRolloutOrder(req.Service)}, nil
}

// startRollout executes an order for a roll-out. It fails if another one is in progress, or if the service
// has had another order under the number of this one.
func (s *Server) startRollout(ctx context.Context, req *fleet.RolloutRequest) (*struct{}, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	state := s.opts.Document.Get()
	if err := s.checkRollout(ctx, &state, req); err != nil {
		return nil, err
	}
	cmd := documentsm.Command{RolloutStart: &documentsm.RolloutStart{Service: req.Service, To: req.To, Duration: req.Duration, Order: req.Order}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &cmd)
	if err != nil {
		return nil, err
	}
	s.log.Info("roll-out ordered", "service", req.Service, "to", req.To, "duration_ms", req.Duration.Milliseconds(), "order", req.Order,
		"changed", reply.Changed, "conflict", reply.Conflict, "overtaken", reply.Overtaken)
	switch {
	case reply.Conflict:
		return nil, errs.New(errs.Superseded, "wait until the roll-out in progress has ended",
			"service %q has another roll-out in progress", req.Service)
	case reply.Overtaken:
		return nil, errs.New(errs.Unavailable, "send the order again, without its number",
			"order %d for service %q was overtaken by another one", req.Order, req.Service).WithRetryAfter(time.Millisecond)
	}
	return &struct{}{}, nil
}

// checkRollout checks whether an order can be executed: the service is known, and all hosts that could
// send requests or lead know roll-outs.
func (s *Server) checkRollout(ctx context.Context, state *documentsm.State, req *fleet.RolloutRequest) error {
	table := s.routingTable(state)
	if table == nil {
		return errs.New(errs.Unavailable, "send a configuration first", "there is no configuration yet").WithRetryAfter(rolloutRetryAfter)
	}
	if table.Service(req.Service) == nil {
		return errs.New(errs.NotFound, "name a service of the configuration", "service %q is not known", req.Service)
	}
	listed, others := s.targetList.versions(req.Service, req.To)
	if r := state.Rollouts[req.Service]; r.To != req.To && listed && !others {
		return errs.New(errs.Superseded, "name the version that is to replace the present one",
			"all targets of service %q run version %q already", req.Service, req.To)
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	_, lacking, settled := s.hosts.gatewayNames(term, fleet.FeatureRollouts)
	if len(lacking) > 0 {
		return errs.New(errs.Unavailable, "replace the gateways of older builds first",
			"%d gateways do not know roll-outs, such as %q", len(lacking), lacking[0]).WithRetryAfter(rolloutRetryAfter)
	}
	if !settled {
		return errs.New(errs.Unavailable, "retry", "a new leader does not know all gateways yet").WithRetryAfter(rolloutRetryAfter)
	}
	return s.checkMemberFeatures(ctx)
}

// checkMemberFeatures fails if a member that answers does not know roll-outs: it would lose their state.
// Members that do not answer are passed over, so that the loss of some does not stop orders.
func (s *Server) checkMemberFeatures(ctx context.Context) error {
	if s.opts.Peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, featuresTimeout)
	defer cancel()
	var wg sync.WaitGroup
	members := s.opts.Node.Members()
	old := make([]bool, len(members))
	for i, address := range members {
		wg.Go(func() {
			known, err := s.opts.Peers.MemberFeatures(ctx, address)
			old[i] = err == nil && known&fleet.FeatureRollouts == 0
		})
	}
	wg.Wait()
	if i := slices.Index(old, true); i >= 0 {
		return errs.New(errs.Unavailable, "replace the controllers of older builds first",
			"member %s does not know roll-outs", members[i]).WithRetryAfter(rolloutRetryAfter)
	}
	return nil
}

// fillRollouts fills in the roll-outs that restrict the choice of a version.
func (s *Server) fillRollouts(reply *fleet.PollReply) {
	state := s.opts.Document.Get()
	reply.RolloutsKnown = true
	if len(state.Rollouts) == 0 {
		return
	}
	now := s.opts.Node.LogTime(fleet.DocumentGroup)
	for _, service := range slices.Sorted(maps.Keys(state.Rollouts)) {
		r := state.Rollouts[service]
		if !s.restricts(now, service, &r) {
			continue
		}
		reply.Rollouts = append(reply.Rollouts, fleet.Rollout{Service: service, To: r.To, Order: r.Order, Phase: r.Phase,
			Share: s.rollouts.share(service, &r), Lifetime: s.rollouts.bounds.Lifetime()})
	}
}

// restricts reports whether a roll-out still restricts the choice of a version. A version that was rolled
// back stays without requests as long as its targets stand beside others.
func (s *Server) restricts(now time.Duration, service string, r *documentsm.Rollout) bool {
	age := now - r.PhaseAt
	switch r.Phase {
	case rollout.Completed:
		return age < keepCompleted
	case rollout.RolledBack:
		listed, others := s.targetList.versions(service, r.To)
		return age < keepRolledBack || listed && others
	}
	return true
}

// exposure grants one request to a version on trial, within the budget of the whole site.
func (s *Server) exposure(_ context.Context, req *fleet.ExposureRequest) (*fleet.ExposureReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	state := s.opts.Document.Get()
	r, known := state.Rollouts[req.Service]
	if !known || r.Order != req.Order || r.Phase != rollout.Open {
		return &fleet.ExposureReply{}, nil
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	return &fleet.ExposureReply{Granted: s.rollouts.grant(clock.Now(), term, req.Service, req.Order)}, nil
}

// advanceRollouts looks at the roll-outs in progress, if this member leads, and records their next phases.
func (s *Server) advanceRollouts(ctx context.Context) {
	term := s.leadingTerm()
	if term == 0 {
		return
	}
	state := s.opts.Document.Get()
	s.rollouts.retain(state.Rollouts)
	for _, service := range slices.Sorted(maps.Keys(state.Rollouts)) {
		if r := state.Rollouts[service]; !r.Phase.Ended() {
			s.advanceRollout(ctx, term, service, &r)
		}
	}
}

// advanceRollout records the next phase of a roll-out if it is due.
func (s *Server) advanceRollout(ctx context.Context, term uint64, service string, r *documentsm.Rollout) {
	names, lacking, _ := s.hosts.gatewayNames(term, fleet.FeatureRollouts)
	if len(lacking) > 0 {
		s.rollouts.logOldGateways(clock.Now(), service, lacking)
	}
	now := s.opts.Node.LogTime(fleet.DocumentGroup)
	p := s.rollouts.progress(clock.Now(), term, service, r, names)
	p.Elapsed, p.InPhase = now-r.StartedAt, now-r.PhaseAt
	next, reason := rollout.Next(&p)
	if next == r.Phase {
		return
	}
	step := &documentsm.RolloutStep{Service: service, Order: r.Order, From: r.Phase, To: next, Reason: reason}
	if next == rollout.Moving {
		step.Gateways = names
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &documentsm.Command{RolloutStep: step})
	if err != nil {
		s.log.Info("could not record the phase of a roll-out", "service", service, "order", r.Order, "phase", next.String(), "error", err.Error())
		return
	}
	sent, exposed := s.rollouts.totals(service)
	s.log.Info("roll-out entered a phase", "service", service, "to", r.To, "order", r.Order, "phase", next.String(), "reason", reason,
		"elapsed_ms", p.Elapsed.Milliseconds(), "in_phase_ms", p.InPhase.Milliseconds(), "gateways", len(names), "sent", sent, "exposed", exposed,
		"changed", reply.Changed)
}
