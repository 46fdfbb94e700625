package main

import (
	"context"
	"crypto/tls"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// startNode starts the replica with the data folder of the member.
func startNode(file *settings.StateFile, members []settings.Member, machines *stateserver.StateMachines,
	w *wire.Server, tlsConf *tls.Config, bootstrap bool, log logr.Logger) (*node, error) {
	r, err := replica.Start(replica.Config{
		ID:        file.State.ID,
		Zone:      file.State.Zone,
		Members:   members,
		DataDir:   file.State.Data,
		Groups:    machines.ByGroup(),
		Server:    w,
		TLS:       tlsConf,
		Bootstrap: bootstrap,
		Log:       log,

		SpreadAfter: file.State.SpreadAfter,
	})
	if err != nil {
		return nil, err
	}
	stop := func() {
		if err := r.Close(); err != nil {
			log.Error(err, "failed to close the log")
		}
	}
	return &node{Node: r, replica: r, groups: file.State.Groups, failed: r.Failed(), close: stop}, nil
}

// status returns the status of the member and of its groups.
func (n *node) status(id, zone, address string) structs.MemberStatus {
	return structs.MemberStatus{ID: id, Address: address, Zone: zone, Incarnation: n.replica.Incarnation(), Groups: n.replica.Status()}
}

// removeMember removes a member from all groups. Only the leader of group 0 does so;
// other members return nil. A second removal could hit a new incarnation of the member that
// has joined since the first.
func (n *node) removeMember(ctx context.Context, id string) ([]uint32, error) {
	if !n.IsLeader(stateclient.ConfigGroup) {
		return nil, nil
	}
	if err := n.replica.RemoveMember(ctx, id); err != nil {
		return nil, err
	}
	var all []uint32
	for g := range n.groups + 1 {
		all = append(all, uint32(g))
	}
	return all, nil
}
