package dispatch

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/sched"
)

// Options configures the schedulers. Zero values select the defaults.
type Options struct {
	// NewPolicy returns the policy of a pool; the default is sched.NewFair.
	NewPolicy func() sched.Policy
	Pool      sched.Options
	// OldLease is the time after which the lease of an earlier leader must have ended,
	// counted from the moment this member found itself leader.
	OldLease time.Duration
	// ReportWait bounds the wait for the reports of the live entries at the start of a
	// term.
	ReportWait time.Duration
	// MaxConfigAge is the age of the configuration beyond which nothing is assigned.
	MaxConfigAge time.Duration
	// HostListURL is the platform's list of hosts; empty: there is none.
	HostListURL string
	// PollInterval is the interval of load reports.
	PollInterval time.Duration
	// NoPolling turns load reports and cache events off.
	NoPolling bool
	// Now returns the time since an epoch; it must be monotonic and above zero.
	Now func() time.Duration
	Log logr.Logger
}

const (
	// defaultOldLease is the longest lease of a group leader.
	defaultOldLease     = 500 * time.Millisecond
	defaultReportWait   = time.Second
	defaultMaxConfigAge = 3 * time.Second
	defaultPollInterval = 500 * time.Millisecond

	// tickInterval bounds the delay of work that no call triggers: loss of leadership,
	// drains, the end of a wait for a caching target.
	tickInterval = 10 * time.Millisecond
	// housekeepingInterval is the interval of checks over all slots and entries.
	housekeepingInterval = 250 * time.Millisecond
	// entryTimeout is the time without a report after which an entry's slots are orphaned.
	entryTimeout = 3 * time.Second
	// reportGrace is the age from which a slot that its entry's report does not name is
	// freed: the report may have left before the assignment arrived.
	reportGrace = time.Second
	// minMissing is the number of consecutive reports without a slot that free it.
	minMissing = 2
	// tombstoneTTL is the time for which a released slot in a late report is ignored.
	tombstoneTTL = 10 * time.Second
	// noTargetAfter is the time a request waits while no target in service may take it.
	noTargetAfter = 3 * time.Second
	// noTargetRetry is the time after which a caller may try again.
	noTargetRetry = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.OldLease, defaultOldLease)
	setDefault(&o.ReportWait, defaultReportWait)
	setDefault(&o.MaxConfigAge, defaultMaxConfigAge)
	setDefault(&o.PollInterval, defaultPollInterval)
	if o.NewPolicy == nil {
		o.NewPolicy = func() sched.Policy { return sched.NewFair() }
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) + time.Second }
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
