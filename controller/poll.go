package controller

import (
	"context"
	"slices"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// poll confirms a host's configuration or returns what has changed. Only a leader with an
// unexpired lease answers, so a confirmed version was the newest when the poll was sent.
func (s *Server) poll(ctx context.Context, req *fleet.PollRequest) (*fleet.PollReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	crashesRecorded := s.recordCrashes(ctx, req)
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	s.hosts.recordPoll(term, req)
	s.limits.report(clock.Now(), term, req.Limits)
	s.stores.record(clock.Now(), term, req)
	s.rollouts.record(clock.Now(), term, req)
	state := s.opts.Document.Get()
	s.hosts.updateBlocked(&state)
	reply := &fleet.PollReply{Version: state.Version, ZoneRevision: state.ZoneRevision, CrashesNotRecorded: !crashesRecorded}
	if members := slices.Sorted(slices.Values(s.opts.Node.Members())); fleet.DigestStrings(members) != req.Members {
		reply.Members = members
	}
	if state.Version > req.Version {
		reply.Document = state.Body
	}
	if state.ZoneRevision != req.ZoneRevision {
		reply.ZonesOut = state.ZonesOut()
	}
	if req.Store != nil || req.Features&fleet.FeatureBodies != 0 {
		reply.Stores = s.stores.changeSince(req.Kind, req.KnownVersions.Stores)
		reply.BodiesToStores = s.bodies.toStores.Load()
	}
	if req.Kind != fleet.KindGateway {
		return reply, nil
	}
	return reply, s.fillGatewayReply(reply, req, term, &state)
}

// fillGatewayReply fills in the parts of a poll's reply that only gateways get.
func (s *Server) fillGatewayReply(reply *fleet.PollReply, req *fleet.PollRequest, term uint64, state *documentsm.State) (err error) {
	if reply.Targets, err = s.targetList.changeSince(term, req.Targets); err != nil {
		return err
	}
	// Roll-outs are read after the list of targets: a target of a new version that is listed was started
	// after the order was acknowledged.
	s.fillRollouts(reply)
	listDigest := req.Targets
	if reply.Targets != nil {
		listDigest = reply.Targets.Digest
	}
	if index := s.hosts.targetIndex(listDigest); index != nil {
		reply.Limits = s.limits.changeSince(clock.Now(), term, req.KnownVersions.LimitVersion, index)
	}
	s.hosts.fillFleetState(req, listDigest, reply)
	if req.WantPeers {
		reply.Peers = s.hosts.peers(req.Host)
	}
	if req.WantEventInterval {
		reply.IdleEventInterval = s.hosts.minIdleEventInterval()
	}
	if len(req.Want) == 0 {
		return nil
	}
	table := s.routingTable(state)
	reply.Grants = make(map[string]fleet.Grant, len(req.Want))
	for org, want := range req.Want {
		reply.Grants[org] = s.rates.grantTokens(term, table, org, want, 0)
	}
	return nil
}

// rate grants a gateway the admission of requests of one organisation.
func (s *Server) rate(_ context.Context, req *fleet.RateRequest) (*fleet.Grant, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	state := s.opts.Document.Get()
	g := s.rates.grantTokens(term, s.routingTable(&state), req.Org, req.Want, req.WantNewPrograms)
	return &g, nil
}

// permit grants a gateway the permit to send one request to a target that names a request limit.
func (s *Server) permit(_ context.Context, req *fleet.PermitRequest) (*fleet.PermitReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	return s.limits.permit(clock.Now(), term, req), nil
}

// listHosts returns the hosts that poll this leader.
func (s *Server) listHosts() (*fleet.HostsReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	_, term := s.opts.Node.Leader(fleet.DocumentGroup)
	return s.hosts.list(term), nil
}

// routingTable returns the decoded document, or nil if there is none or it cannot be decoded.
func (s *Server) routingTable(state *documentsm.State) *routing.Table {
	if state.Version == 0 {
		return nil
	}
	s.rates.mu.Lock()
	defer s.rates.mu.Unlock()
	if s.rates.table != nil && s.rates.table.Version == state.Version {
		return s.rates.table
	}
	t, err := s.opts.Decode(state.Body)
	if err != nil {
		s.log.Error(err, "cannot decode the stored configuration", "version", state.Version)
		return nil
	}
	s.rates.table = t
	return t
}
