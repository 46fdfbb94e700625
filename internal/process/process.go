// Package process provides what the processes of a site have in common: loading settings,
// logging, the metrics endpoint and signal handling.
package process

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/telemetry"
	"github.com/figlb/figlb/wal"
)

const (
	// MetricsPort is the port on the host's address that serves health, readiness and metrics.
	MetricsPort = 9464
	// stallThreshold is the delay of a tick above which the process is logged as stalled.
	stallThreshold = 700 * time.Millisecond
	// startWait is the time in which the settings file must become usable at the start: it may be in the middle of being
	// written. startRetryInterval is the pause before each further reading.
	startWait          = 2 * time.Second
	startRetryInterval = 100 * time.Millisecond
	// MemoryLimitPercent is the Go runtime's soft memory limit as a percentage of the host's
	// memory. Near the limit the garbage collector runs more often.
	MemoryLimitPercent = 70
	// controllerName is the name of the processes whose internal connections are the most.
	controllerName = "figlb-controller"
)

// Process is the state that all processes of a site have in common.
type Process struct {
	Host    *settings.Host // as read at the start; see OnReload for what may change
	Log     logr.Logger
	Metrics metrics.Registry
	Client  *stateclient.Client
	Limits  *clientlimit.Limits // of clients that are not controlled
	// FS is the file system of the data folder.
	FS wal.FS
	// StopContext is cancelled when SIGTERM or SIGINT asks the process to stop.
	StopContext context.Context

	reloader *reloader
	flush    func()
}

// Main is the main function of a process: it parses the flags, sets up the process, calls
// run, and exits with status 1 on an error. load reads the settings file at a path.
func Main(name, settingsPath string, load func(path string) (*settings.Host, error), run func(p *Process) error) {
	signals := notifySignals()
	config := flag.String("config", settingsPath, "settings `FILE`")
	bind := flag.String("bind", "", "listen on this `IP` instead of the host's own")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println(name, structs.Version)
		return
	}
	p, err := start(name, signals, func() (*settings.Host, error) { return load(*config) })
	if err == nil {
		p.Host.BindIP = *bind
		err = run(p)
		p.Close()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// signalChannels receive the signals of the process. Go drops a signal for which its channel has no room, so those that
// stop the process have a channel of their own: a SIGTERM must not be lost behind a SIGHUP.
type signalChannels struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func notifySignals() signalChannels {
	c := signalChannels{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(c.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(c.reload, syscall.SIGHUP)
	return c
}

// start loads the settings and sets up the process.
func start(name string, signals signalChannels, load func() (*settings.Host, error)) (*Process, error) {
	host, err := loadAtStart(load)
	if err != nil {
		return nil, err
	}
	if host.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(host.MemoryMB) << 20 * MemoryLimitPercent / 100)
	}
	p := &Process{Host: host, Metrics: metrics.NewRegistry()}
	p.Log, p.flush = telemetry.NewStdoutLogger("info", name, host.Name, p.Metrics)
	p.Limits = clientlimit.New(host.ClientLimits.WithDefaults(host.MemoryMB, host.MaxFDs, name == controllerName), p.Log, p.Metrics)
	if p.FS, err = openDisk(host.DataDir); err != nil {
		return nil, err
	}
	p.Client, err = stateclient.NewDiscovering(host.Seeds, 1, nil)
	if err != nil {
		return nil, err
	}
	var cancel context.CancelFunc
	p.StopContext, cancel = context.WithCancel(context.Background())
	p.reloader = newReloader(host, load, p.Log, p.Metrics)
	p.OnReload(p.setSeeds())
	go p.awaitStop(signals.stop, cancel)
	go p.reloader.run(p.StopContext, signals.reload, p.stallLogger())
	p.Log.Info("process started", "version", structs.Version, "zone", host.Zone, "address", host.InternalAddress,
		"seeds", host.Seeds, "bootstrap", host.Bootstrap, "pid", os.Getpid())
	return p, nil
}

// loadAtStart reads the settings, and tries again for startWait if they can't be used.
func loadAtStart(load func() (*settings.Host, error)) (*settings.Host, error) {
	for deadline := clock.Now() + startWait; ; time.Sleep(startRetryInterval) {
		host, err := load()
		if err == nil || clock.Now() >= deadline {
			return host, err
		}
	}
}

// awaitStop calls cancel on the first signal.
func (p *Process) awaitStop(signals chan os.Signal, cancel func()) {
	s := <-signals
	p.Log.Info("signal received", "signal", s.String())
	cancel()
}

// stallLogger returns a function to call every reloadInterval. It logs a stall if the call is more than stallThreshold
// late.
func (p *Process) stallLogger() func() {
	last := clock.Now()
	return func() {
		now := clock.Now()
		if stalled := now - last - reloadInterval; stalled > stallThreshold {
			p.Log.Info("process stalled", "for_ms", stalled.Milliseconds())
		}
		last = now
	}
}

// OnReload calls f with the settings in force, and again when one that takes effect at a reload has changed. Calls of f do
// not overlap.
func (p *Process) OnReload(f func(*settings.Host)) { p.reloader.subscribe(f) }

// StopGracePeriod returns the time between the signal to stop and the forced termination of the process.
func (p *Process) StopGracePeriod() time.Duration { return p.reloader.settings().StopGracePeriod }

// setSeeds returns a function that passes a changed list of seeds to the client of the state members.
func (p *Process) setSeeds() func(*settings.Host) {
	seeds := p.Host.Seeds
	return func(h *settings.Host) {
		if !slices.Equal(h.Seeds, seeds) {
			seeds = h.Seeds
			p.Client.SetMembers(seeds)
		}
	}
}

// StartAdmin starts the endpoint for health, readiness and metrics.
func (p *Process) StartAdmin(ready func() error) (*telemetry.Admin, error) {
	addr := p.Host.Listen(net.JoinHostPort(p.Host.IP, strconv.Itoa(MetricsPort)))
	admin, err := telemetry.StartAdmin(addr, p.Metrics, ready, p.Limits.Admin("metrics"))
	return admin, errors.Wrap(err, "metrics endpoint")
}

// Close closes the client of the state members and flushes the log.
func (p *Process) Close() {
	p.Log.Info("process exiting")
	p.Client.Close()
	p.flush()
}
