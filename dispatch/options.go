package dispatch

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/sched"
)

// Options configures the schedulers. Zero values select the defaults, except that an
// empty HostListURL turns the host list off.
type Options struct {
	// NewPolicy returns the policy of a pool; the default is sched.NewFair.
	NewPolicy func() sched.Policy
	// Pool configures the pool of each scheduler.
	Pool sched.Options
	// OldLease is the time after which the lease of an earlier leader must have expired,
	// counted from the moment at which this member found that it is the leader.
	OldLease time.Duration
	// ReportWait limits the time that a scheduler waits for the reports of the live
	// entries before it starts to assign, counted from the start of its term.
	ReportWait time.Duration
	// MaxConfigAge is the longest time since the configuration was last confirmed to be
	// up to date for which requests are still assigned.
	MaxConfigAge time.Duration
	// HostListURL is the URL of the platform's list of hosts; empty if there is none.
	HostListURL string
	// PollInterval is the interval at which targets are polled for load reports and cache
	// events.
	PollInterval time.Duration
	// NoPolling turns off the polling of load reports and cache events.
	NoPolling bool
	// Now returns the time since an arbitrary epoch. It must be monotonic and positive.
	Now func() time.Duration
	Log logr.Logger
}

const (
	// defaultOldLease is the longest lease that a group leader can hold.
	defaultOldLease     = 500 * time.Millisecond
	defaultReportWait   = time.Second
	defaultMaxConfigAge = 3 * time.Second
	defaultPollInterval = 500 * time.Millisecond

	// tickInterval limits the delay of work that is not triggered by a call: a loss of
	// leadership, a drain, or the end of a request's wait for the target that caches its
	// prompt.
	tickInterval = 10 * time.Millisecond
	// housekeepingInterval is the interval of periodic checks over all slots, entries and
	// waiting requests.
	housekeepingInterval = 250 * time.Millisecond
	// entryTimeout is the time without any call from an entry after which its slots are
	// marked as orphaned.
	entryTimeout = 3 * time.Second
	// reportGrace is the age from which a slot may be freed because its entry's reports do
	// not list it. A younger slot may be missing only because the entry sent the report
	// before it received the assignment.
	reportGrace = time.Second
	// maxMissedReports is the number of consecutive reports that do not list a slot after
	// which the slot is freed.
	maxMissedReports = 2
	// tombstoneTTL is the time for which a released slot is remembered, so that a late
	// report that still lists it does not adopt it again.
	tombstoneTTL = 10 * time.Second
	// noTargetTimeout is the waiting time after which a request is refused if no target in
	// service may serve it.
	noTargetTimeout = 3 * time.Second
	// noTargetRetryAfter is the retry delay given to callers that are refused for want of
	// a target.
	noTargetRetryAfter = 5 * time.Second
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
