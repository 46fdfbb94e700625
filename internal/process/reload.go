package process

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/settings"
)

const (
	// reloadInterval is the interval at which the settings file is read again, because it may
	// change without a SIGHUP.
	reloadInterval = 2 * time.Second
	// settleDelay is the time for which a changed file has to stay as it is before it is applied. A file that is being
	// written may be readable but lack its end.
	settleDelay = 200 * time.Millisecond
)

// Names of metrics of the settings file.
const (
	// pendingMetric is a gauge of the fields whose value in the file needs a restart to take effect.
	pendingMetric = "settings.pending_restart"
	// unusableMetric is a gauge: 1 while the file can't be used, so that earlier settings stay in force.
	unusableMetric = "settings.file_unusable"
	// appliedMetric counts the changes that a running process has taken over, by file.
	appliedMetric = "settings.applied"
)

// reloader reads the settings file again and applies what may change in a running process.
type reloader struct {
	load    func() (*settings.Host, error)
	started *settings.Host // the settings with which the process was built
	log     logr.Logger
	metrics metrics.Registry

	// candidate is what a changed file holds, until it has been read twice.
	candidate *settings.Host
	// signalled is set from a SIGHUP until its outcome has been logged.
	signalled bool
	failure   string            // logged last; empty if the file can be used
	pending   []settings.Change // logged last

	mu          sync.Mutex
	current     *settings.Host // read last
	subscribers []func(*settings.Host)
}

func newReloader(started *settings.Host, load func() (*settings.Host, error), log logr.Logger, registry metrics.Registry) *reloader {
	return &reloader{load: load, started: started, current: started, log: log, metrics: registry}
}

// ReportReloads reads a settings file again at SIGHUP and at an interval until ctx ends, for a process that takes over none
// of it: it logs and counts the fields that differ from those at the start.
func ReportReloads(ctx context.Context, started []settings.Field, load func() ([]settings.Field, error), log logr.Logger, registry metrics.Registry) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	loadHost := func() (*settings.Host, error) {
		fields, err := load()
		return &settings.Host{Fields: fields}, err
	}
	go newReloader(&settings.Host{Fields: started}, loadHost, log, registry).run(ctx, signals, func() {})
}

// run reads the settings at each signal and every reloadInterval until ctx ends. It calls onTick at each interval.
func (r *reloader) run(ctx context.Context, signals chan os.Signal, onTick func()) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	settle := time.NewTimer(settleDelay)
	settle.Stop()
	defer settle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.log.Info("received SIGHUP; reloading settings")
			r.signalled = true
		case <-settle.C:
		case <-ticker.C:
			onTick()
		}
		if r.read() {
			settle.Reset(settleDelay)
		}
	}
}

// subscribe calls f with the settings in force, and again after each change of a field that takes effect at a reload.
// Calls of f do not overlap.
func (r *reloader) subscribe(f func(*settings.Host)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	f(r.current)
}

// settings returns the settings read last.
func (r *reloader) settings() *settings.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// read reads the file. It applies a change once two successive reads agree, and returns true if it has to be called again
// after settleDelay.
func (r *reloader) read() (again bool) {
	host, err := r.load()
	if err != nil {
		r.fail(err)
		return false
	}
	if r.candidate == nil || !sameFields(r.candidate, host) {
		r.candidate = host
		return r.signalled || r.failure != "" || !sameFields(r.settings(), host)
	}
	r.candidate = nil
	r.apply(host)
	return false
}

// apply takes over the settings of a file that has been read twice.
func (r *reloader) apply(host *settings.Host) {
	changes := settings.Changes(r.settings().Fields, host.Fields)
	for _, c := range changes {
		if c.Effect == settings.AtReload && c.Value == "" {
			r.fail(errors.Errorf("%s is missing in the settings file; it was %s: add it, it can change but not be taken away", c.Name, c.Before))
			return
		}
	}
	r.succeed()
	applied := slices.ContainsFunc(changes, func(c settings.Change) bool { return c.Effect == settings.AtReload })
	r.mu.Lock()
	r.current = host
	if applied {
		for _, f := range r.subscribers {
			f(host)
		}
	}
	r.mu.Unlock()
	for _, c := range changes {
		if c.Effect == settings.AtReload {
			r.log.Info("setting changed", "field", c.Name, "value", c.Value, "before", c.Before)
		}
	}
	if applied {
		metrics.GetOrRegisterCounter(appliedMetric, r.metrics).Inc(1)
	}
	r.reportPending(host)
	r.signalled = false
}

// reportPending logs the fields that need a restart, if they have changed or the operator has sent a SIGHUP.
func (r *reloader) reportPending(host *settings.Host) {
	pending := slices.DeleteFunc(settings.Changes(r.started.Fields, host.Fields), func(c settings.Change) bool {
		return c.Effect != settings.AtRestart
	})
	metrics.GetOrRegisterGauge(pendingMetric, r.metrics).Update(int64(len(pending)))
	if r.signalled || !slices.Equal(pending, r.pending) {
		for _, c := range pending {
			r.log.Info("setting needs a restart to take effect", "field", c.Name, "value", c.Value, "in_force", c.Before)
		}
	}
	r.pending = pending
}

// fail keeps the settings in force. It logs a failure once, and again on SIGHUP.
func (r *reloader) fail(err error) {
	r.candidate = nil
	metrics.GetOrRegisterGauge(unusableMetric, r.metrics).Update(1)
	if r.signalled || err.Error() != r.failure {
		r.log.Error(err, "cannot reload settings; keeping the previous ones")
	}
	r.failure = err.Error()
	r.signalled = false
}

func (r *reloader) succeed() {
	if r.failure != "" {
		r.log.Info("settings file can be used again")
	}
	r.failure = ""
	metrics.GetOrRegisterGauge(unusableMetric, r.metrics).Update(0)
}

func sameFields(a, b *settings.Host) bool { return slices.Equal(a.Fields, b.Fields) }
