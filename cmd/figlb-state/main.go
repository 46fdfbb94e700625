// Command figlb-state runs a state member, a replica of a site's configuration and
// organisation groups that also runs the schedulers of the groups it leads.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/telemetry"
)

func main() {
	config := flag.String("config", "", "settings `FILE` (required)")
	bootstrap := flag.Bool("bootstrap", false, "create the groups of a new site; use once, on each initial member")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("figlb-state", structs.Version)
		return
	}
	if err := start(*config, *bootstrap); err != nil {
		fmt.Fprintln(os.Stderr, "figlb-state:", err)
		os.Exit(1)
	}
}

func start(config string, bootstrap bool) error {
	file, err := settings.LoadState(config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	process.ReportReloads(ctx, file.Fields(), func() ([]settings.Field, error) {
		again, err := settings.LoadState(config)
		return again.Fields(), err
	}, telemetry.NewLogger(file.Log.Level, "figlb-state", file.State.ID), metrics.DefaultRegistry)
	return run(ctx, file, bootstrap)
}
