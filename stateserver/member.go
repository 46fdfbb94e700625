package stateserver

import (
	"context"

	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

func (s *Server) registerMember(w *wire.Server) {
	handle(s, w, stateclient.MethodPing, func(context.Context, *struct{}) (any, error) { return struct{}{}, nil })
	handle(s, w, stateclient.MethodStatus, func(context.Context, *struct{}) (any, error) { return s.status(), nil })
}

func (s *Server) status() *structs.MemberStatus {
	out := &structs.MemberStatus{ID: s.ID, Zone: s.Zone, Address: s.address(s.ID)}
	for g := 0; g <= s.groups; g++ {
		leader, term := s.Node.Leader(uint32(g))
		out.Groups = append(out.Groups, structs.GroupStatus{Group: uint32(g), Term: term, Leader: leader})
	}
	return out
}
