package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/structs"
)

// Timing holds the intervals and bounds of an entry. Zero values mean the defaults.
type Timing struct {
	PollInterval    time.Duration
	ConfirmValidity time.Duration
	// CommitWait bounds how long a caller waits for the record of its outcome.
	CommitWait time.Duration
	// TurnLimit bounds a turn, AbandonedLimit a turn that nobody follows any more.
	TurnLimit      time.Duration
	AbandonedLimit time.Duration
	Engine         engine.Options
}

const (
	defaultCommitWait     = 10 * time.Second
	defaultTurnLimit      = 15 * time.Minute
	defaultAbandonedLimit = 5 * time.Minute
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.PollInterval, defaultPollInterval)
	setDefault(&t.ConfirmValidity, defaultConfirmValidity)
	setDefault(&t.CommitWait, defaultCommitWait)
	setDefault(&t.TurnLimit, defaultTurnLimit)
	setDefault(&t.AbandonedLimit, defaultAbandonedLimit)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Options configure an Entry.
type Options struct {
	Settings settings.Entry
	TLS      settings.TLS
	// Incarnation names this run of the process; see NewIncarnation.
	Incarnation string
	State       State
	Scheduler   Scheduler
	Log         logr.Logger
	Metrics     metrics.Registry
	Timing      Timing
}

// Entry serves callers.
type Entry struct {
	opts      Options
	timing    Timing
	incarn    string
	state     State
	sched     Scheduler
	log       logr.Logger
	metrics   metrics.Registry
	config    *follower
	client    *engine.Client
	histories *historyCache
	turns     *liveTable[turn]
	calls     *liveTable[call]
	keys      *activeKeys

	// ctx ends when the drain deadline has passed or the entry is closed.
	ctx      context.Context
	stop     context.CancelCauseFunc
	work     workGroup // turns and calls
	loops    workGroup
	draining atomic.Bool
}

// NewIncarnation returns the name of a new run of an entry.
func NewIncarnation(id string) string { return id + "/" + uuid.NewString() }

// New returns an entry that has not started.
func New(opts Options) *Entry {
	e := &Entry{
		opts:      opts,
		timing:    opts.Timing.withDefaults(),
		incarn:    opts.Incarnation,
		state:     opts.State,
		sched:     opts.Scheduler,
		log:       opts.Log,
		metrics:   opts.Metrics,
		client:    engine.NewClient(opts.Timing.Engine),
		histories: newHistoryCache(historyCacheBytes),
		turns:     newLiveTable[turn](),
		calls:     newLiveTable[call](),
		keys:      newActiveKeys(),
	}
	e.ctx, e.stop = context.WithCancelCause(context.Background())
	e.config = &follower{
		state:    opts.State,
		info:     structs.EntryInfo{ID: opts.Settings.ID, Zone: opts.Settings.Zone, Address: opts.Settings.Listen},
		incarn:   e.incarn,
		interval: e.timing.PollInterval,
		validity: e.timing.ConfirmValidity,
		draining: e.draining.Load,
		onChange: e.configChanged,
		log:      opts.Log,
	}
	e.config.snap.Store(newSnapshot())
	return e
}

// Start begins to follow the configuration. Close ends it.
func (e *Entry) Start() {
	e.loops.Go(func() { e.config.run(e.ctx) })
}

// Close ends all work at once.
func (e *Entry) Close() {
	e.stop(drainDeadlinePassed())
	e.work.Wait(context.Background())
	e.loops.Wait(context.Background())
	e.client.Close()
}

func (e *Entry) background(f func()) {
	e.work.Go(f)
}

// configChanged reacts to a new configuration: revoked keys end their requests.
func (e *Entry) configChanged(s *snapshot) {
	e.keys.cancelRevoked(s.revoked)
	e.client.Retain(s.addresses())
	e.log.Info("configuration changed", "revision", s.revision)
}

// Ready returns nil while the entry accepts requests.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errs.New(errs.Draining, "use another entry", "the entry is stopping")
	}
	if err := e.config.check(); err != nil {
		return err
	}
	return nil
}

// lookupKey implements auth.Lookup against the current configuration.
func (e *Entry) lookupKey(hash string) (id auth.Identity, fail *errs.Error) {
	unconfirmed := e.config.confirmed(func(s *snapshot) {
		id, fail = auth.Identity{}, nil
		k := s.key(hash)
		switch {
		case k == nil:
			fail = errs.New(errs.Unauthorized, "send a key that the operator has granted", "the key is unknown")
		case k.Revoked:
			fail = keyRevoked()
		default:
			id = auth.Identity{KeyID: k.ID, Org: k.Organisation}
		}
	})
	if unconfirmed != nil {
		return auth.Identity{}, unconfirmed
	}
	return id, fail
}

func keyRevoked() *errs.Error {
	return errs.New(errs.KeyRevoked, "ask the operator for a new key", "the key has been revoked")
}

func drainDeadlinePassed() *errs.Error {
	e := errs.New(errs.Draining, "send the request to another entry", "the entry stopped before the request ended")
	return e.WithRun(errs.RunUnknown).WithRetryAfter(time.Second)
}

// admit checks, right before a dispatch, that the key is still valid under a confirmed
// configuration. The process may have been stopped since any earlier check.
func (e *Entry) admit(id auth.Identity) *errs.Error {
	revoked := false
	unconfirmed := e.config.confirmed(func(s *snapshot) {
		revoked = id.KeyID != "" && s.revoked(id.KeyID)
	})
	if revoked {
		return keyRevoked()
	}
	return unconfirmed
}

// organisation returns the organisation of an identity with its limits.
func (e *Entry) organisation(id auth.Identity) (*structs.Organisation, structs.Limits, *errs.Error) {
	s := e.config.snapshot()
	o := s.orgs[id.Org]
	if o == nil {
		return nil, structs.Limits{}, errs.New(errs.Unauthorized, "ask the operator to declare the organisation", "the key's organisation %q is not declared", id.Org)
	}
	return o, s.limits(o), nil
}

// queryContext bounds a query that may wait on purpose.
func (e *Entry) queryContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timing.CommitWait+wait)
}

// commitContext bounds a command to the state; it does not depend on a caller.
func (e *Entry) commitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), e.timing.CommitWait)
}
