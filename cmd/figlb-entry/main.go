// Command figlb-entry runs an entry, the HTTP server that accepts requests from callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/entry"
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/telemetry"
)

func main() {
	config := flag.String("config", "", "settings `FILE` (required)")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("figlb-entry", structs.Version)
		return
	}
	if err := run(*config); err != nil {
		fmt.Fprintln(os.Stderr, "figlb-entry:", err)
		os.Exit(1)
	}
}

// run serves requests until SIGTERM or SIGINT, then drains the server.
func run(config string) error {
	f, err := settings.LoadEntry(config)
	if err != nil {
		return err
	}
	if f.Entry.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(f.Entry.MemoryMB) << 20 * process.MemoryLimitPercent / 100)
	}
	log := telemetry.NewLogger(f.Log.Level, "figlb-entry", f.Entry.ID)
	defer telemetry.StartTracing(f.Trace, "figlb-entry")()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	registry := metrics.NewRegistry()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process.ReportReloads(ctx, f.Fields(), func() ([]settings.Field, error) {
		again, err := settings.LoadEntry(config)
		return again.Fields(), err
	}, log, registry)

	incarnation := entry.NewIncarnation(f.Entry.ID)
	state, sched, closeState, err := connect(f, incarnation)
	if err != nil {
		return err
	}
	defer closeState()
	limits := clientlimit.New(f.Entry.ClientLimits(), log, registry)
	e := entry.New(entry.Options{
		Settings: f.Entry, TLS: f.TLS, Incarnation: incarnation,
		State: state, Scheduler: sched, Log: log, Metrics: registry, Limits: limits,
	})
	admin, err := telemetry.StartAdmin(f.Entry.Admin, registry, e.Ready, limits.Admin("admin"))
	if err != nil {
		return err
	}
	defer admin.Close()
	e.Start()
	srv, err := e.Listen()
	if err != nil {
		return err
	}
	log.Info("serving", "address", srv.Addr(), "admin", admin.Addr())
	select {
	case <-stop:
		srv.Drain()
		return nil
	case err := <-srv.Failed():
		return err
	}
}
