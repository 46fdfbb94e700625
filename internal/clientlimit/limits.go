package clientlimit

import (
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wire"
)

const (
	// frameStall is enough for half of the longest frame at 10 Mbit/s.
	frameStall = 30 * time.Second
	// The bounds of the servers for readiness and metrics. Their clients send heads of some hundred bytes.
	adminHeaderBytes   = 8 << 10
	adminHeaderTimeout = 3 * time.Second
	adminIdleTimeout   = 15 * time.Second
	adminReadStall     = 5 * time.Second
)

// Limits are the bounds of a process, whose servers share one account of memory.
type Limits struct {
	settings settings.ClientLimits
	Account  *memory.Account
	reporter *Reporter
}

// New returns the bounds of a process.
func New(c settings.ClientLimits, log logr.Logger, registry metrics.Registry) *Limits {
	l := &Limits{settings: c, Account: memory.New(int64(c.MemoryMB) << 20), reporter: NewReporter(log, registry)}
	_ = registry.Register("client_limits.memory_used", metrics.NewFunctionalGauge(func() int64 { return l.Account.Stats().Used }))
	return l
}

// Front returns the bounds of the server for callers, or for operators.
func (l *Limits) Front(name string, headerTimeout, idleTimeout time.Duration, maxHeaderBytes int) *Options {
	s := &l.settings
	return &Options{Name: name, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Connections: s.Connections, PerSource: s.ConnectionsPerSource, HeadLines: s.HeadLines,
		BodyStall: s.BodyStall, BodyPace: s.BodyPace, ReadStall: s.ReadStall, Account: l.Account, Report: l.reporter.Report}
}

// Admin returns the bounds of a server for readiness checks or metrics.
func (l *Limits) Admin(name string) *Options {
	o := l.Front(name, adminHeaderTimeout, adminIdleTimeout, adminHeaderBytes)
	o.Connections, o.PerSource, o.ReadStall = l.settings.AdminConnections, 0, adminReadStall
	return o
}

// RelayBytes returns the bound of what is kept of one response for a slow caller.
func (l *Limits) RelayBytes() int64 { return int64(l.settings.RelayKB) << 10 }

// Internal returns the bounds of the server for other processes.
func (l *Limits) Internal() wire.Bounds {
	return wire.Bounds{Connections: l.settings.InternalConnections, Account: l.Account, FrameStall: frameStall, Report: l.reporter.Report}
}
