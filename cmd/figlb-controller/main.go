// Command figlb-controller runs a controller, a member of a site's replicated state on the
// users' platform. The controllers hold the configuration, the ledger, the list of targets
// and the rates, and serve the operator API.
package main

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/controller"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/httpserver"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/operator"
	"github.com/figlb/figlb/platform"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/statemachine/documentsm"
	"github.com/figlb/figlb/statemachine/ledgersm"
	"github.com/figlb/figlb/wire"
)

const (
	// maxVoters tolerates the loss of two members at once, as many as an availability zone
	// has.
	maxVoters = 5
	// replaceAfter is the time without a response after which a spare member replaces a
	// voter. A lost host has to be replaced within 4 s.
	replaceAfter = 1500 * time.Millisecond
	// Size limits of the write-ahead log, chosen for the smallest disk, which has 128 MB.
	// Snapshots are incremental: each writes only what is new.
	segmentBytes    = 4 << 20
	snapshotBytes   = 8 << 20
	snapshotEntries = 20000
	// ledgerDiskPercent is the percentage of the disk that stored turns may use before new
	// programs that would store turns are refused. The rest is for the log since the last snapshot, for data that
	// has expired since the snapshot before it, and for turns of programs that have begun.
	ledgerDiskPercent = 55
	// operatorTimeout bounds one operator request. The client stops waiting after a second.
	operatorTimeout = 3 * time.Second
	// failureExitDelay is the time that a member waits before it exits on a disk failure. A
	// full or faulty disk rarely recovers at once, and each restart costs the other members a
	// check.
	failureExitDelay = 2 * time.Second
	headerTimeout    = 3 * time.Second
	idleTimeout      = 20 * time.Second
	maxHeaderBytes   = 64 << 10
)

func main() {
	process.Main("figlb-controller", platform.SettingsPath(), platform.LoadSettings, run)
}

func run(p *process.Process) error {
	w, err := wire.Listen(p.Host.Listen(p.Host.InternalAddress), nil, p.Log)
	if err != nil {
		return err
	}
	defer w.Close()
	w.SetBounds(p.Limits.Internal())
	doc, ledger := documentsm.New(), ledgersm.New()
	r, err := startReplica(p, w, doc, ledger)
	if err != nil {
		return err
	}
	defer func() {
		if err := r.Close(); err != nil {
			p.Log.Error(err, "failed to close the log")
		}
	}()
	lister := platform.NewTargetListClient(p.Host.TargetsAddress, p.Log, p.Metrics)
	p.OnReload(func(h *settings.Host) { lister.SetAddress(h.TargetsAddress) })
	srv := controller.New(controller.Options{
		Node: r, Document: doc, Ledger: ledger, Lister: lister,
		Decode: platform.Adapter{}.DecodeDocument, MinVoters: 2*p.Host.ToleratedLosses + 1,
		MaxLedgerBytes: int64(p.Host.DiskMB) << 20 * ledgerDiskPercent / 100,
		Copies:         p.Host.ToleratedLosses + 1, Peers: p.Client, Exposure: p.Host.Exposure, Log: p.Log,
	})
	srv.Register(w)
	go w.Serve()
	go srv.Run(p.StopContext)
	go refreshMembers(p.StopContext, p, r)
	api, err := httpserver.Start(httpserver.Options{
		Name: "figlb-controller", Addr: p.Host.Listen(p.Host.ControlAddress),
		Handler: platform.OperatorHandler(&operator.Operations{Client: p.Client}, operatorTimeout),
		Bounds:  p.Limits.Front("operators", headerTimeout, idleTimeout, maxHeaderBytes),
	})
	if err != nil {
		return err
	}
	admin, err := p.StartAdmin(func() error { return ready(r) })
	if err != nil {
		return err
	}
	defer admin.Close()
	return serve(p, r, api)
}

func startReplica(p *process.Process, w *wire.Server, doc *documentsm.Machine, ledger *ledgersm.Machine) (*replica.Replica, error) {
	self := p.Host.InternalAddress
	seeds := make([]settings.Member, len(p.Host.Seeds))
	for i, s := range p.Host.Seeds {
		seeds[i] = settings.Member{ID: s, Address: s}
	}
	return replica.Start(replica.Config{
		ID: self, Zone: p.Host.Zone, Members: seeds,
		Discovery: &replica.Discovery{MaxVoters: maxVoters, ReplaceAfter: replaceAfter},
		DataDir:   p.Host.DataDir,
		FS:        p.FS,
		Groups:    map[uint32]replica.StateMachine{fleet.DocumentGroup: doc, fleet.LedgerGroup: ledger},
		Server:    w,
		// Only the lowest seed creates the cluster, so that there is never a second one.
		Bootstrap:       p.Host.Bootstrap && len(p.Host.Seeds) > 0 && self == slices.Min(p.Host.Seeds),
		Log:             p.Log,
		SegmentBytes:    segmentBytes,
		SnapshotBytes:   snapshotBytes,
		SnapshotEntries: snapshotEntries,
		DiskBytes:       int64(p.Host.DiskMB) << 20,
	})
}

// refreshMembers updates the member addresses at which the process's own client looks for
// leaders, once a second.
func refreshMembers(ctx context.Context, p *process.Process, r *replica.Replica) {
	periodic.RunLater(ctx, time.Second, func(context.Context) bool {
		p.Client.SetMembers(r.Members())
		return true
	})
}

func ready(r *replica.Replica) error {
	if leader, _ := r.Leader(fleet.DocumentGroup); leader == "" {
		return errors.New("the document group has no known leader")
	}
	return nil
}

func serve(p *process.Process, r *replica.Replica, api *httpserver.Server) error {
	defer api.Close()
	select {
	case <-p.StopContext.Done():
		return nil
	case err := <-r.Failed():
		api.Close()
		time.Sleep(failureExitDelay)
		return errors.Wrap(err, "sync log")
	case err := <-api.Failed():
		return err
	}
}
