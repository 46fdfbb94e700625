package entry

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// inProgressWait is how long one query waits for a turn that runs elsewhere. After
	// it the turn is begun again, which takes it over if its entry has died.
	inProgressWait = time.Second
	// inProgressPause spaces the begin commands of a turn that runs elsewhere.
	inProgressPause = 100 * time.Millisecond
	// defaultMaxTokens is the limit of services that declare none. The state reserves
	// the limit from the program's budget, so there is always one.
	defaultMaxTokens = 4096
)

// turn is one turn that this entry runs, or whose outcome it waits for.
type turn struct {
	e        *Entry
	id       auth.Identity
	org      *structs.Organisation
	limits   structs.Limits
	svc      *structs.Service
	req      *chatRequest
	program  string
	implicit bool
	digest   string
	// known is the history that the last begin command named as known.
	known *history
	// refusedAt is when the turn was first found to run already.
	refusedAt time.Time
	log       *eventLog
	chunks    *chunkWriter

	// number is the turn's number, 0 until the begin command has been answered unless
	// the caller has given it.
	number atomic.Int64
	// result is set before the log is closed without a failure.
	result atomic.Pointer[turnResult]

	mu        sync.Mutex
	followers int
	abandoned *time.Timer
	ended     bool
	cancel    context.CancelCauseFunc
}

func (t *turn) key() string { return historyKey(t.id.Org, t.program) }

// start runs the turn in a goroutine of its own. reqCtx gives the trace only.
func (t *turn) start(reqCtx context.Context) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(reqCtx))
	t.cancel = cancel
	ctx, untrack := t.e.trackKey(ctx, t.id.KeyID)
	limit := time.AfterFunc(t.e.timing.TurnLimit, func() { cancel(turnTooLong()) })
	stopped := context.AfterFunc(t.e.ctx, func() { cancel(context.Cause(t.e.ctx)) })
	t.e.background(func() {
		defer untrack()
		defer limit.Stop()
		defer stopped()
		t.run(ctx)
		t.end()
	})
}

// end stops the timers, which otherwise keep the answer in memory.
func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.abandoned != nil {
		t.abandoned.Stop()
	}
}

func turnTooLong() *errs.Error {
	e := errs.New(errs.Overloaded, "ask for a shorter answer, or send the request again later", "the turn exceeded its time limit")
	return e.WithRun(errs.RunUnknown).WithRetryAfter(targetRetryAfter)
}

// follow counts a reader of the turn. A turn without readers goes on to its recorded
// end, within the limit for abandoned turns.
func (t *turn) follow() (leave func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers++
	if t.abandoned != nil {
		t.abandoned.Stop()
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.followers--
		if t.followers == 0 && !t.ended {
			t.abandoned = time.AfterFunc(t.e.timing.AbandonedLimit, func() { t.cancel(turnTooLong()) })
		}
	}
}

// recoverPanic keeps a fault in one turn, for example on an answer of an unforeseen
// form, from ending the process with all its streams.
func (t *turn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	t.e.log.Error(errors.Errorf("panic: %v", p), "turn panicked", "program", t.program, "stack", string(debug.Stack()))
	e := errs.New(errs.Internal, "report the trace id", "the turn failed")
	t.log.close(e.WithRun(errs.RunUnknown))
}

func (t *turn) run(ctx context.Context) {
	defer t.recoverPanic()
	b, e := t.begin(ctx)
	if e != nil {
		t.e.countError(e)
		t.log.close(e)
		return
	}
	t.number.Store(int64(b.Turn.N))
	if b.Recorded {
		t.replay(recordedResult(&b.Turn))
		return
	}
	defer t.e.turns.end(t.key(), t)
	newGeneration(t, b).run(ctx)
}

// replay publishes a recorded answer.
func (t *turn) replay(r *turnResult) {
	t.log.append(eventChunk, t.chunks.whole(r))
	t.publishEnd(r)
}

// publishEnd publishes the end of a recorded answer.
func (t *turn) publishEnd(r *turnResult) {
	t.result.Store(r)
	t.log.append(eventChunk, t.chunks.final(r))
	t.log.append(eventUsage, t.chunks.usage(r))
	t.log.close(nil)
}

// begin records the intent to run the turn. A turn that runs already is waited for: it
// ends with a record, or is taken over.
func (t *turn) begin(ctx context.Context) (*structs.BeginTurnReply, *errs.Error) {
	if e := t.trimHistory(ctx); e != nil {
		return nil, e
	}
	t.digest = t.req.digest()
	for {
		b, err := t.beginOnce(ctx)
		if err == nil {
			return b, nil
		}
		if outcomeUnsettled(err) {
			t.e.background(func() { t.cleanUpBegin(ctx) })
		}
		if !errs.Is(err, errs.TurnInProgress) {
			return nil, stateError(err)
		}
		if t.refusedAt.IsZero() {
			t.refusedAt = time.Now()
		}
		if e := t.awaitRunning(ctx, errs.From(err)); e != nil {
			return nil, e
		}
		sleep(ctx, inProgressPause)
		if ctx.Err() != nil {
			return nil, contextError(ctx)
		}
	}
}

func (t *turn) beginOnce(ctx context.Context) (*structs.BeginTurnReply, error) {
	cctx, cancel := t.e.commitContext(ctx)
	defer cancel()
	t.e.turns.beginning(t.key()) // turns are never claimed: their attempts have numbers
	defer t.e.timeSince(metricBegin, time.Now())
	b, err := t.e.state.BeginTurn(cctx, t.id.Org, t.beginCommand())
	if err != nil || b.Recorded {
		t.e.turns.begun(t.key(), nil)
		return b, err
	}
	t.number.Store(int64(b.Turn.N))
	t.e.turns.begun(t.key(), t)
	if t.known.turns >= b.Turn.N {
		return nil, t.dropAhead(ctx, b)
	}
	return b, nil
}

// dropAhead ends a turn that begins behind the cached history: the state was restored
// from an older snapshot, so what is cached must not be used any more.
func (t *turn) dropAhead(ctx context.Context, b *structs.BeginTurnReply) error {
	t.e.histories.drop(t.key())
	t.e.turns.end(t.key(), t)
	if err := t.endOrphan(ctx, &b.Turn); err != nil {
		return err
	}
	return errs.New(errs.Unavailable, "send the request again", "the program's history has changed").WithRetryAfter(time.Second)
}

func (t *turn) beginCommand() structs.BeginTurn {
	cmd := structs.BeginTurn{
		Program:     t.program,
		Implicit:    t.implicit,
		Service:     t.svc.Name,
		Turn:        int(t.number.Load()),
		Digest:      t.digest,
		Messages:    t.req.messages,
		MaxTokens:   t.maxTokens(),
		Entry:       t.e.incarn,
		LiveEntries: t.e.config.liveSince(t.refusedAt),
		Limits:      t.limits,
	}
	t.known = t.knownHistory(cmd.Turn)
	cmd.KnownTurns = t.known.turns
	return cmd
}

// knownHistory returns the cached history before turn n; 0 for n means the next turn.
func (t *turn) knownHistory(n int) *history {
	h := t.e.histories.get(t.key())
	if t.implicit || n > 0 && h.turns >= n {
		return &history{} // a resend of an earlier turn needs no history
	}
	return h
}

// maxTokens returns the most the caller and the service allow to be generated.
func (t *turn) maxTokens() int64 {
	limit := int64(t.svc.MaxOutputTokens)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if t.req.maxTokens > 0 {
		return min(t.req.maxTokens, limit)
	}
	return limit
}

// awaitRunning waits a while for the program's running turn. It returns refusal if
// that is another turn than this one.
func (t *turn) awaitRunning(ctx context.Context, refusal *errs.Error) *errs.Error {
	rec, err := t.lastTurn(ctx, inProgressWait)
	if err != nil {
		return stateError(err)
	}
	if rec.Digest != t.digest {
		return refusal
	}
	t.number.Store(int64(rec.N))
	if t.orphan(rec) {
		_ = t.endOrphan(ctx, rec) // the next begin command finds it again
	}
	return nil
}

// lastTurn reads the turn, or the program's last one if the number is not known, and
// waits for it to end.
func (t *turn) lastTurn(ctx context.Context, wait time.Duration) (*structs.Turn, error) {
	ctx, cancel := t.e.queryContext(ctx, wait)
	defer cancel()
	n := int(t.number.Load())
	if n == 0 {
		p, err := t.e.state.GetProgram(ctx, structs.ProgramQuery{Org: t.id.Org, Program: t.program})
		if err != nil {
			return nil, err
		}
		n = p.Turns
	}
	return t.e.state.GetTurn(ctx, structs.TurnQuery{Org: t.id.Org, Program: t.program, Turn: n, Wait: wait})
}

// orphan reports whether a turn is recorded as running here but is not: the reply to
// its begin command was lost, so it was never dispatched.
func (t *turn) orphan(rec *structs.Turn) bool {
	return rec.State == structs.TurnRunning && rec.Entry == t.e.incarn && t.e.turns.idle(t.key())
}

// cleanUpBegin ends the turn if its begin command was recorded although the reply was
// lost. Without it a resend to another entry would wait for this one.
func (t *turn) cleanUpBegin(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	until := time.Now().Add(finishRetryLimit)
	for time.Now().Before(until) && t.e.ctx.Err() == nil {
		rec, err := t.lastTurn(ctx, 0)
		if err == nil && t.orphan(rec) {
			err = t.endOrphan(ctx, rec)
		}
		if err == nil || !outcomeUnsettled(err) {
			return
		}
		sleep(t.e.ctx, finishRetryPause)
	}
}

func (t *turn) endOrphan(ctx context.Context, rec *structs.Turn) error {
	cctx, cancel := t.e.commitContext(ctx)
	defer cancel()
	_, err := t.e.state.FinishTurn(cctx, t.id.Org, structs.FinishTurn{
		Program:    t.program,
		Turn:       rec.N,
		Attempt:    rec.Attempt,
		UsageKnown: true,
		Failure:    errs.New(errs.Unavailable, "send the request again", "the turn was begun but not run"),
	})
	return err
}
