package main

import (
	"github.com/go-logr/logr"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/wire"
)

// startNode starts the replica node. Until replica.Start exists it runs a single member
// that keeps its log in memory.
func startNode(_ *settings.StateFile, _ []settings.Member, machines *stateserver.Machines,
	_ *wire.Server, _ bool, log logr.Logger) (*node, error) {
	log.Info("running a single member in memory: nothing is durable")
	return &node{Node: replica.NewLocal(machines.ByGroup()), failed: make(chan error), close: func() {}}, nil
}
