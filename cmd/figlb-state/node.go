package main

import (
	"crypto/tls"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/wire"
)

// startNode starts the replica node on the member's data folder.
func startNode(file *settings.StateFile, members []settings.Member, machines *stateserver.Machines,
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
	})
	if err != nil {
		return nil, err
	}
	stop := func() {
		if err := r.Close(); err != nil {
			log.Error(err, "log not closed cleanly")
		}
	}
	return &node{Node: r, failed: r.Failed(), close: stop}, nil
}
