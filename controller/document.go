package controller

import (
	"context"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// put stores a document. The member that received it has validated it.
func (s *Server) put(ctx context.Context, req *fleet.PutRequest) (*fleet.PutReply, error) {
	cmd := documentsm.Command{Put: &documentsm.Put{Version: req.Version, Body: req.Body}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &cmd)
	if err != nil {
		return nil, err
	}
	s.log.Info("configuration stored", "version", req.Version, "in_force", reply.Version, "changed", reply.Changed)
	return &fleet.PutReply{Version: reply.Version}, nil
}

// get returns the newest document. Waiting for the read index makes the read linearisable: no
// newer document has been acknowledged.
func (s *Server) get(ctx context.Context) (*fleet.GetReply, error) {
	if err := s.opts.Node.ReadIndex(ctx, fleet.DocumentGroup); err != nil {
		return nil, err
	}
	state := s.opts.Document.Get()
	return &fleet.GetReply{Version: state.Version, Body: state.Body}, nil
}

// setZone takes an availability zone out of service or puts it back into service.
func (s *Server) setZone(ctx context.Context, req *fleet.ZoneRequest) (*fleet.PutReply, error) {
	cmd := documentsm.Command{Zone: &documentsm.ZoneChange{Zone: req.Zone, Out: req.Out}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &cmd)
	if err != nil {
		return nil, err
	}
	s.log.Info("availability zone service state set", "zone", req.Zone, "out", req.Out, "changed", reply.Changed)
	return &fleet.PutReply{Version: reply.Version}, nil
}
