// Command figlb-controller runs a member of a site's replicated state on the users'
// platform: configuration, ledger, list of targets, rates and the operator's calls.
package main

import (
	"context"
	"os"
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
	// maxVoters bears the loss of two members at once, as many as a zone has.
	maxVoters = 5
	// replaceAfter is the time without an answer after which a member in reserve takes a
	// voter's place. A lost host has to be replaced within 4 s.
	replaceAfter = 1500 * time.Millisecond
	// Bounds of the log: the smallest disk has 128 MB. A snapshot stores only what is new.
	segmentBytes    = 4 << 20
	snapshotBytes   = 8 << 20
	snapshotEntries = 20000
	// ledgerShare is the part of the disk, in percent, that kept turns may take. The rest
	// holds the log since the last snapshot, what has expired since the one before, and the
	// turns of programs that have begun.
	ledgerShare = 55
	// operatorTimeout bounds one order; its sender moves on after a second.
	operatorTimeout = 3 * time.Second
	// failedPause is the time before a member ends whose disk has failed: a disk that is full
	// or out of order rarely recovers at once, and each start costs the others a check.
	failedPause    = 2 * time.Second
	headerTimeout  = 3 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

func main() {
	process.Main("figlb-controller", platform.SettingsPath(), platform.LoadSettings, run)
}

func run(p *process.Process) error {
	w, err := wire.Listen(p.Host.Listen(p.Host.Internal), nil, p.Log)
	if err != nil {
		return err
	}
	defer w.Close()
	doc, ledger := documentsm.New(), ledgersm.New()
	r, err := startReplica(p, w, doc, ledger)
	if err != nil {
		return err
	}
	defer func() {
		if err := r.Close(); err != nil {
			p.Log.Error(err, "log not closed cleanly")
		}
	}()
	srv := controller.New(controller.Options{
		Node: r, Document: doc, Ledger: ledger, Lister: platform.NewTargets(p.Host.TargetList),
		Decode: platform.Adapter{}.DecodeDocument, MinVoters: 2*p.Host.LostMembers + 1,
		LedgerBytes: int64(p.Host.DiskMB) << 20 * ledgerShare / 100, Log: p.Log,
	})
	srv.Register(w)
	go w.Serve()
	go srv.Run(p.Stop)
	go followMembers(p.Stop, p, r)
	api, err := httpserver.Start(httpserver.Options{
		Name: "figlb-controller", Addr: p.Host.Listen(p.Host.Control),
		Handler:       platform.OperatorHandler(&operator.Orders{Client: p.Client}, operatorTimeout),
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
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
	self := p.Host.Internal
	seeds := make([]settings.Member, len(p.Host.Seeds))
	for i, s := range p.Host.Seeds {
		seeds[i] = settings.Member{ID: s, Address: s}
	}
	if err := os.MkdirAll(p.Host.DataDir, 0o755); err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	return replica.Start(replica.Config{
		ID: self, Zone: p.Host.Zone, Members: seeds,
		Discovery: &replica.Discovery{MaxVoters: maxVoters, ReplaceAfter: replaceAfter},
		DataDir:   p.Host.DataDir,
		Groups:    map[uint32]replica.StateMachine{fleet.DocumentGroup: doc, fleet.LedgerGroup: ledger},
		Server:    w,
		// One seed creates the cluster, so that there is never a second one.
		Bootstrap:       p.Host.Bootstrap && len(p.Host.Seeds) > 0 && self == slices.Min(p.Host.Seeds),
		Log:             p.Log,
		SegmentBytes:    segmentBytes,
		SnapshotBytes:   snapshotBytes,
		SnapshotEntries: snapshotEntries,
		DiskBytes:       int64(p.Host.DiskMB) << 20,
	})
}

// followMembers keeps the addresses up to date at which the own client looks for leaders.
func followMembers(ctx context.Context, p *process.Process, r *replica.Replica) {
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
	case <-p.Stop.Done():
		return nil
	case err := <-r.Failed():
		api.Close()
		time.Sleep(failedPause)
		return errors.Wrap(err, "the log cannot be synced")
	case err := <-api.Failed():
		return err
	}
}
