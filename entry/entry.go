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
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/structs"
)

// Timing configures the intervals and time limits of an entry. Zero values select the
// defaults.
type Timing struct {
	// PollInterval is the time between configuration polls. ConfirmValidity is how long a
	// successful poll confirms the configuration.
	PollInterval    time.Duration
	ConfirmValidity time.Duration
	// CommitWait bounds how long a command to the state may take, such as the record of an
	// outcome. It also bounds queries, in addition to the time that they wait for a change.
	CommitWait time.Duration
	// TurnLimit bounds the duration of a turn; AbandonedLimit bounds how long a turn
	// continues without readers.
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

// Options configures an Entry.
type Options struct {
	Settings settings.Entry
	TLS      settings.TLS
	// Incarnation identifies this run of the process; see NewIncarnation.
	Incarnation string
	State       State
	Scheduler   Scheduler
	Log         logr.Logger
	Metrics     metrics.Registry
	Timing      Timing
	Limits      *clientlimit.Limits // of callers; nil: those of Settings
}

// Entry serves the requests of callers.
type Entry struct {
	opts        Options
	timing      Timing
	incarnation string
	state       State
	scheduler   Scheduler
	log         logr.Logger
	metrics     metrics.Registry
	config      *configFollower
	client      *engine.Client
	histories   *historyCache
	turns       *inFlightTable[turn]
	calls       *inFlightTable[call]
	activeKeys  *activeKeys

	// ctx ends when the drain deadline has passed or the entry is closed.
	ctx      context.Context
	stop     context.CancelCauseFunc
	tasks    taskGroup // turns, calls and other background work of requests
	loops    taskGroup // the configuration follower
	draining atomic.Bool
}

// NewIncarnation returns a unique name for a new run of the entry process.
func NewIncarnation(id string) string { return id + "/" + uuid.NewString() }

// New returns an entry that has not been started.
func New(opts Options) *Entry {
	if opts.Limits == nil {
		opts.Limits = clientlimit.New(opts.Settings.ClientLimits(), opts.Log, opts.Metrics)
	}
	e := &Entry{
		opts:        opts,
		timing:      opts.Timing.withDefaults(),
		incarnation: opts.Incarnation,
		state:       opts.State,
		scheduler:   opts.Scheduler,
		log:         opts.Log,
		metrics:     opts.Metrics,
		client:      engine.NewClient(opts.Timing.Engine),
		histories:   newHistoryCache(historyCacheBytes),
		turns:       newInFlightTable[turn](),
		calls:       newInFlightTable[call](),
		activeKeys:  newActiveKeys(),
	}
	e.ctx, e.stop = context.WithCancelCause(context.Background())
	e.config = &configFollower{
		state:       opts.State,
		info:        structs.EntryInfo{ID: opts.Settings.ID, Zone: opts.Settings.Zone, Address: opts.Settings.Listen},
		incarnation: e.incarnation,
		interval:    e.timing.PollInterval,
		validity:    e.timing.ConfirmValidity,
		draining:    e.draining.Load,
		onChange:    e.configChanged,
		log:         opts.Log,
	}
	e.config.current.Store(newConfigSnapshot())
	return e
}

// Start starts following the configuration until Close is called.
func (e *Entry) Start() {
	e.loops.Go(func() { e.config.run(e.ctx) })
}

// Close cancels all work and waits for it to end.
func (e *Entry) Close() {
	e.stop(drainDeadlineError())
	e.tasks.Wait(context.Background())
	e.loops.Wait(context.Background())
	e.client.Close()
}

func (e *Entry) runInBackground(f func()) {
	e.tasks.Go(f)
}

// configChanged applies a new configuration: it cancels the requests of revoked keys and
// closes idle connections to removed targets.
func (e *Entry) configChanged(s *configSnapshot) {
	e.activeKeys.cancelRevoked(s.revoked)
	e.client.Retain(s.addresses())
	e.log.Info("configuration changed", "revision", s.revision)
}

// Ready returns nil while the entry accepts requests, and otherwise the reason why it does
// not.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errs.New(errs.Draining, "use another entry", "the entry is shutting down")
	}
	if err := e.config.checkConfirmed(); err != nil {
		return err
	}
	return nil
}

// lookupKey implements auth.Lookup with the current configuration.
func (e *Entry) lookupKey(hash string) (id auth.Identity, apiErr *errs.Error) {
	unconfirmed := e.config.decideConfirmed(func(s *configSnapshot) {
		id, apiErr = auth.Identity{}, nil
		k := s.key(hash)
		switch {
		case k == nil:
			apiErr = errs.New(errs.Unauthorized, "send a key that the operator has granted", "the key is unknown")
		case k.Revoked:
			apiErr = keyRevokedError()
		default:
			id = auth.Identity{KeyID: k.ID, Org: k.Organisation}
		}
	})
	if unconfirmed != nil {
		return auth.Identity{}, unconfirmed
	}
	return id, apiErr
}

func keyRevokedError() *errs.Error {
	return errs.New(errs.KeyRevoked, "ask the operator for a new key", "the key has been revoked")
}

func drainDeadlineError() *errs.Error {
	apiErr := errs.New(errs.Draining, "send the request to another entry", "the entry stopped before the request ended")
	return apiErr.WithRun(errs.RunUnknown).WithRetryAfter(time.Second)
}

// admit checks, immediately before a dispatch, that the key is still valid according to a
// confirmed configuration. The process may have been suspended since any earlier check.
func (e *Entry) admit(id auth.Identity) *errs.Error {
	revoked := false
	unconfirmed := e.config.decideConfirmed(func(s *configSnapshot) {
		revoked = id.KeyID != "" && s.revoked(id.KeyID)
	})
	if revoked {
		return keyRevokedError()
	}
	return unconfirmed
}

// organisation returns the organisation of an identity and its limits.
func (e *Entry) organisation(id auth.Identity) (*structs.Organisation, structs.Limits, *errs.Error) {
	s := e.config.snapshot()
	o := s.orgs[id.Org]
	if o == nil {
		return nil, structs.Limits{}, errs.New(errs.Unauthorized, "ask the operator to declare the organisation", "the key's organisation %q is not declared", id.Org)
	}
	return o, s.limits(o), nil
}

// queryContext returns a context for a query to the state that may wait up to wait for a
// change.
func (e *Entry) queryContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timing.CommitWait+wait)
}

// commitContext returns a context for a command to the state. It is not cancelled with ctx,
// so that the command continues if the caller disconnects.
func (e *Entry) commitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), e.timing.CommitWait)
}
