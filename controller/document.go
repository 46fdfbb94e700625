package controller

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
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

// zoneOrder returns the number of the next order for an availability zone. The read is linearisable: all
// orders that were acknowledged before have lower numbers.
func (s *Server) zoneOrder(ctx context.Context, req *fleet.ZoneOrderRequest) (*fleet.ZoneOrderReply, error) {
	if err := s.opts.Node.ReadIndex(ctx, fleet.DocumentGroup); err != nil {
		return nil, err
	}
	state := s.opts.Document.Get()
	return &fleet.ZoneOrderReply{Order: state.NextZoneOrder(req.Zone)}, nil
}

// setZone takes an availability zone out of service or puts it back into service. It fails if the zone
// has had another order under the number of this one.
func (s *Server) setZone(ctx context.Context, req *fleet.ZoneRequest) (*fleet.PutReply, error) {
	cmd := documentsm.Command{Zone: &documentsm.ZoneChange{Zone: req.Zone, Out: req.Out, Order: req.Order}}
	reply, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &cmd)
	if err != nil {
		return nil, err
	}
	s.log.Info("availability zone service state set", "zone", req.Zone, "out", req.Out, "order", req.Order,
		"changed", reply.Changed, "overtaken", reply.Overtaken)
	if reply.Overtaken {
		return nil, errs.New(errs.Unavailable, "send the order again, without its number",
			"order %d for availability zone %q was overtaken by another one", req.Order, req.Zone).WithRetryAfter(time.Millisecond)
	}
	return &fleet.PutReply{Version: reply.Version}, nil
}
