package stateserver

import (
	"context"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// empty is the request of methods without arguments and the reply of ping.
type empty struct{}

func (s *Server) registerMember(w *wire.Server) {
	handle(s, w, stateclient.MethodPing, func(context.Context, *empty) (any, error) { return empty{}, nil })
	handle(s, w, stateclient.MethodStatus, func(context.Context, *empty) (any, error) { return s.status(), nil })
	handle(s, w, stateclient.MethodMemberList, func(context.Context, *empty) (any, error) { return s.listMembers(), nil })
	handle(s, w, stateclient.MethodMemberRemove, s.removeMember)
	handle(s, w, stateclient.MethodSnapshotSave, s.saveSnapshot)
	handle(s, w, stateclient.MethodSnapshotLoad, s.loadSnapshot)
}

// status returns the replica's status of this member. Without one it reports only the
// leader and term of each group.
func (s *Server) status() structs.MemberStatus {
	if s.Status != nil {
		return s.Status()
	}
	out := structs.MemberStatus{ID: s.ID, Zone: s.Zone, Address: s.memberAddress(s.ID)}
	for g := 0; g <= s.groups; g++ {
		leader, term := s.Node.Leader(uint32(g))
		out.Groups = append(out.Groups, structs.GroupStatus{Group: uint32(g), Term: term, Leader: leader})
	}
	return out
}

// listMembers returns the members listed in the settings.
func (s *Server) listMembers() []structs.MemberStatus {
	var out []structs.MemberStatus
	for _, m := range s.Members {
		out = append(out, structs.MemberStatus{ID: m.ID, Address: m.Address})
	}
	return out
}

func (s *Server) removeMember(ctx context.Context, r *structs.RemoveMember) (any, error) {
	if s.RemoveMember == nil {
		return nil, errs.New(errs.Unavailable, "upgrade this member", "this member cannot change the membership")
	}
	groups, err := s.RemoveMember(ctx, r.ID)
	if err != nil {
		return nil, err
	}
	return &structs.GroupsReply{Groups: groups}, nil
}

// maxSnapshotBytes is the largest snapshot that fits into a wire frame (64 MB) together
// with its envelope.
const maxSnapshotBytes = 63 << 20

// saveSnapshot returns the state of one group.
func (s *Server) saveSnapshot(ctx context.Context, r *structs.GroupSnapshot) (any, error) {
	if err := s.waitReadIndex(ctx, r.Group); err != nil {
		return nil, err
	}
	data, err := s.StateMachines.ByGroup()[r.Group].Snapshot()
	if err != nil {
		return nil, err
	}
	if len(data) > maxSnapshotBytes {
		return nil, errs.New(errs.Unavailable, "copy the data folder of a stopped member",
			"the state of group %d has %d bytes, which exceeds the size of one message", r.Group, len(data))
	}
	return &structs.GroupSnapshot{Group: r.Group, Data: data}, nil
}

// loadSnapshot restores the state of one empty group by a command in its log.
func (s *Server) loadSnapshot(ctx context.Context, r *structs.GroupSnapshot) (any, error) {
	restore := &structs.Restore{Snapshot: r.Data}
	if r.Group == stateclient.ConfigGroup {
		return s.proposeConfig(ctx, &structs.ConfigCommand{RequestID: r.RequestID, Author: "snapshot load", Restore: restore})
	}
	if s.StateMachines.Orgs[r.Group] == nil {
		return nil, errs.New(errs.BadRequest, "use a site with the same number of groups", "group %d does not exist", r.Group)
	}
	return s.proposeOrg(ctx, r.Group, &structs.OrgCommand{RequestID: r.RequestID, Restore: restore})
}
