package main

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/dispatch/topology"
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/telemetry"
	"github.com/figlb/figlb/wire"
)

// node is the running replica of the member.
type node struct {
	replica.Node
	replica *replica.Replica
	groups  int
	// failed receives the error if syncing the log fails. The member must then stop.
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
	tlsConf, err := pki.TLSConfig(file.TLS)
	if err != nil {
		return err
	}
	w, err := wire.Listen(st.Listen, tlsConf, log)
	if err != nil {
		return err
	}
	defer w.Close()
	w.Authorize(stateserver.Authorize)
	machines := stateserver.NewStateMachines(st.Groups)
	n, err := startNode(file, members, machines, w, tlsConf, bootstrap, log)
	if err != nil {
		return err
	}
	defer n.close()
	sched, err := startScheduler(st, members, n, w, tlsConf, log)
	if err != nil {
		return err
	}
	defer sched.stop()
	srv := stateserver.New(stateserver.Options{
		Node: n, StateMachines: machines, ID: st.ID, Zone: st.Zone, Members: members,
		ProgramIdle: st.ProgramIdle, EndedRetention: st.EndedRetention,
		Log: log, Metrics: metrics.DefaultRegistry,
		Status:       func() structs.MemberStatus { return n.status(st.ID, st.Zone, w.Addr()) },
		RemoveMember: n.removeMember,
		LiveEntries:  sched.liveEntries,
	})
	srv.Register(w)
	admin, err := telemetry.StartAdmin(st.Admin, metrics.DefaultRegistry, func() error { return ready(n) },
		clientlimit.New(settings.ClientLimits{}.WithDefaults(0, 0, false), log, metrics.DefaultRegistry).Admin("admin"))
	if err != nil {
		return err
	}
	defer admin.Close()
	return serve(ctx, srv, w, n, log)
}

// serve serves calls until ctx ends or the log fails.
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
		log.Info("shutting down on a signal")
		return nil
	case err := <-n.failed:
		return errors.Wrap(err, "sync log")
	}
}

// ready returns nil when the member knows a leader of the configuration group.
func ready(n *node) error {
	if leader, _ := n.Leader(0); leader == "" {
		return errors.New("group 0 has no known leader")
	}
	return nil
}

// scheduler holds the running schedulers and their view of the configuration.
type scheduler struct {
	client   *stateclient.Client
	follower *topology.Follower
	manager  *dispatch.Manager
}

// startScheduler starts the manager that runs the schedulers of the pools whose groups this
// member leads.
func startScheduler(st settings.State, members []settings.Member, n replica.Node, w *wire.Server,
	tlsConf *tls.Config, log logr.Logger) (*scheduler, error) {
	addresses := make([]string, len(members))
	for i, m := range members {
		addresses[i] = m.Address
	}
	client, err := stateclient.New(addresses, st.Groups, tlsConf)
	if err != nil {
		return nil, err
	}
	s := &scheduler{client: client, follower: topology.Start(client, log)}
	opts := dispatch.Options{Log: log, HostListURL: st.HostList}
	s.manager = dispatch.NewManager(opts, dispatch.NodeGroups(n, st.Groups), s.follower)
	dispatch.Register(w, s.manager)
	return s, nil
}

func (s *scheduler) stop() {
	s.manager.Close()
	s.follower.Close()
	s.client.Close()
}

// maxLiveEntriesAge is the maximum age of a list of live entries that is still used.
const maxLiveEntriesAge = 3 * time.Second

// liveEntries returns the ids of the live entries, or nil if the list is unknown or older
// than maxLiveEntriesAge.
func (s *scheduler) liveEntries() []string {
	live, known := s.follower.LiveEntries()
	if !known || s.follower.Age() > maxLiveEntriesAge {
		return nil
	}
	return live
}
