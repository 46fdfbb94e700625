// Command figlb-store runs on the hosts that the platform reserves for data. It keeps bodies of turns
// for the gateways and polls the controllers, so that they know the host and operators can retire it. On a
// host without a data folder it only polls.
package main

import (
	"context"
	"math"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/bodystore"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/platform"
	"github.com/figlb/figlb/wire"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
	// openRetryDelay is the time after which opening the store is tried again, for example after the
	// disk has refused to create a file.
	openRetryDelay  = time.Second
	summaryInterval = time.Minute
	// gcPercent makes garbage collections rarer than usual, because the live heap is small. At 1 MB/s of
	// bodies it saves a third of the processor time and costs 12 MB.
	gcPercent = 400
)

func main() {
	process.Main("figlb-store", platform.SettingsPath(), platform.LoadSettings, run)
}

// host is the store process.
type host struct {
	p            *process.Process
	store        atomic.Pointer[bodystore.Store] // nil while the data folder has not been read
	known        fleet.KnownVersions
	view         *fleet.StoreView // the last one received
	disconnected bool
}

func run(p *process.Process) error {
	// The highest version, because a store needs no configuration.
	h := &host{p: p, known: fleet.KnownVersions{Version: math.MaxUint64}}
	var wg sync.WaitGroup
	if p.Host.DataDir != "" {
		server, err := wire.Listen(p.Host.Listen(p.Host.InternalAddress), nil, p.Log)
		if err != nil {
			return err
		}
		defer server.Close()
		server.SetBounds(p.Limits.Internal())
		bodystore.Register(server, h.store.Load)
		go server.Serve() // ends with Close
		wg.Go(h.runStore)
	}
	periodic.Run(p.StopContext, pollInterval, periodic.Always(h.poll))
	wg.Wait()
	return nil
}

// runStore opens the store and runs it until the process stops.
func (h *host) runStore() {
	debug.SetGCPercent(gcPercent) // process sets a limit of the memory
	store := h.open()
	if store == nil {
		return
	}
	h.store.Store(store)
	defer store.Close()
	client := bodystore.NewClient()
	defer client.Close()
	go periodic.RunLater(h.p.StopContext, summaryInterval, h.logSummary(store))
	store.Run(h.p.StopContext, client, h.p.Client)
}

// open opens the store, and tries again until it succeeds. It returns nil when the process stops.
func (h *host) open() (store *bodystore.Store) {
	failing := false
	periodic.Run(h.p.StopContext, openRetryDelay, func(context.Context) bool {
		var err error
		store, err = bodystore.Open(bodystore.Options{
			Dir: filepath.Join(h.p.Host.DataDir, "store"), Name: h.p.Host.Name,
			FS: h.p.FS, DiskBytes: int64(h.p.Host.DiskMB) << 20, Log: h.p.Log,
		})
		if err != nil && !failing {
			failing = true
			h.p.Log.Info("cannot open the store; retrying", "error", err.Error())
		}
		return err != nil
	})
	return store
}

// logSummary returns a job that logs the counters of the store if they have changed.
func (h *host) logSummary(store *bodystore.Store) func(context.Context) bool {
	var last bodystore.Stats
	return func(context.Context) bool {
		stats := store.Stats()
		if stats != last {
			last = stats
			r := store.Report("")
			h.p.Log.Info("bodies", "bodies", r.Bodies, "used_mb", r.UsedMB, "disk_mb", r.DiskMB, "writable", r.Writable,
				"remaining", r.Remaining, "stored", stats.Stored, "refused", stats.Refused, "failures", stats.Failures,
				"sent", stats.Sent, "dropped", stats.Dropped, "expired", stats.Expired, "rewritten", stats.Rewritten,
				"damaged", stats.Damaged)
		}
		return true
	}
}

// poll polls the controllers once. It logs the loss and the return of the connection, but no repeated
// failures.
func (h *host) poll(ctx context.Context) {
	req := &fleet.PollRequest{
		Host: h.p.Host.Name, Kind: fleet.KindStore, Zone: h.p.Host.Zone, KnownVersions: h.known, Features: fleet.FeatureBodies,
	}
	store := h.store.Load()
	if store != nil {
		h.updateView(store)
		req.Store = store.Report(h.p.Host.InternalAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply, err := h.p.Client.Poll(ctx, req)
	if err != nil {
		if !h.disconnected {
			h.p.Log.Info("connection to the controllers lost", "error", err.Error())
		}
		h.disconnected = true
		return
	}
	if h.disconnected {
		h.p.Log.Info("connection to the controllers restored")
	}
	h.disconnected = false
	h.p.Client.SetMembers(reply.Members)
	h.known.Update(reply)
	if reply.Stores != nil { // controllers of earlier builds send none
		h.view = reply.Stores
	}
	if store != nil {
		h.updateView(store)
	}
}

// updateView passes the last view to the store, which may have been opened after it was received.
func (h *host) updateView(store *bodystore.Store) {
	if h.view != nil {
		store.SetView(h.view)
	}
}
