package main

import (
	"context"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/telemetry"
	"github.com/figlb/figlb/wire"
)

// node is a running replica node.
type node struct {
	replica.Node
	// failed delivers the error of a failed sync, after which the member must stop.
	failed <-chan error
	close  func()
}

// run runs the member until ctx ends or its log cannot be synced.
func run(ctx context.Context, file *settings.StateFile, bootstrap bool) error {
	st := file.State
	log := telemetry.NewLogger(file.Log.Level, "figlb-state", st.ID)
	defer telemetry.StartTracing(file.Trace, "figlb-state")()
	members, err := settings.ParseMembers(st.Members)
	if err != nil {
		return err
	}
	tlsConf, err := pki.Config(file.TLS)
	if err != nil {
		return err
	}
	w, err := wire.Listen(st.Listen, tlsConf, log)
	if err != nil {
		return err
	}
	defer w.Close()
	machines := stateserver.NewMachines(st.Groups)
	n, err := startNode(file, members, machines, w, bootstrap, log)
	if err != nil {
		return err
	}
	defer n.close()
	srv := stateserver.New(stateserver.Options{
		Node: n, Machines: machines, ID: st.ID, Zone: st.Zone, Members: members,
		ProgramIdle: st.ProgramIdle, KeepEnded: st.KeepEnded,
		Log: log, Metrics: metrics.DefaultRegistry,
	})
	srv.Register(w)
	stopScheduler := plugScheduler(n, machines, w, log)
	defer stopScheduler()
	admin, err := telemetry.StartAdmin(st.Admin, metrics.DefaultRegistry, func() error { return ready(n) })
	if err != nil {
		return err
	}
	defer admin.Close()
	return serve(ctx, srv, w, n, log)
}

// serve answers calls until ctx ends or the log fails.
func serve(ctx context.Context, srv *stateserver.Server, w *wire.Server, n *node, log logr.Logger) error {
	jobCtx, stopJobs := context.WithCancel(ctx)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	defer stopJobs()
	jobs.Go(func() { srv.Run(jobCtx) })
	go w.Serve()
	log.Info("serving", "address", w.Addr())
	select {
	case <-ctx.Done():
		log.Info("stopping on a signal")
		return nil
	case err := <-n.failed:
		return errors.Wrap(err, "the log cannot be synced")
	}
}

// ready returns nil when the member knows a leader of the configuration group.
func ready(n *node) error {
	if leader, _ := n.Leader(0); leader == "" {
		return errors.New("group 0 has no known leader")
	}
	return nil
}

// plugScheduler is where package dispatch is plugged in: it registers the sched.*
// methods on w and returns the function that stops the scheduler.
func plugScheduler(_ replica.Node, _ *stateserver.Machines, _ *wire.Server, _ logr.Logger) (stop func()) {
	return func() {}
}
