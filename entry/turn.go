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
	// inProgressQueryWait is how long one query waits for a turn that runs on another entry.
	// After that the begin command is sent again, which takes over the turn if its entry is
	// dead.
	inProgressQueryWait = time.Second
	// inProgressRetryInterval is the time between begin commands for a turn that runs on
	// another entry.
	inProgressRetryInterval = 100 * time.Millisecond
	// defaultMaxTokens is the token limit of services that declare none. A limit is always
	// needed because the state reserves it from the budget of the program.
	defaultMaxTokens = 4096
)

// turn is a turn of a program that this entry runs, or whose outcome it waits for.
type turn struct {
	entry    *Entry
	id       auth.Identity
	org      *structs.Organisation
	limits   structs.Limits
	service  *structs.Service
	request  *chatRequest
	program  string
	implicit bool
	digest   string
	// baseHistory is the cached history whose turns the last begin command named as known.
	baseHistory *history
	// foundRunningAt is when the turn was first found to be running already.
	foundRunningAt time.Time
	log            *eventLog
	encoder        *chunkEncoder

	// number is the turn number. It is 0 until the begin command has been answered, unless
	// the caller has set it.
	number atomic.Int64
	// result is set before the log is closed without an error.
	result atomic.Pointer[turnResult]

	mu           sync.Mutex
	followers    int
	abandonTimer *time.Timer
	ended        bool
	cancel       context.CancelCauseFunc
}

func (t *turn) key() string { return historyKey(t.id.Org, t.program) }

// start runs the turn in its own goroutine. reqCtx provides values such as the trace; its
// cancellation is ignored.
func (t *turn) start(reqCtx context.Context) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(reqCtx))
	t.cancel = cancel
	ctx, untrack := t.entry.trackKey(ctx, t.id.KeyID)
	limit := time.AfterFunc(t.entry.timing.TurnLimit, func() { cancel(turnTimeLimitError()) })
	stopped := context.AfterFunc(t.entry.ctx, func() { cancel(context.Cause(t.entry.ctx)) })
	t.entry.runInBackground(func() {
		defer untrack()
		defer limit.Stop()
		defer stopped()
		t.run(ctx)
		t.end()
	})
}

// end stops the timers, which would otherwise keep the answer in memory.
func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.abandonTimer != nil {
		t.abandonTimer.Stop()
	}
}

func turnTimeLimitError() *errs.Error {
	apiErr := errs.New(errs.Overloaded, "ask for a shorter answer, or send the request again later", "the turn exceeded its time limit")
	return apiErr.WithRun(errs.RunUnknown).WithRetryAfter(targetRetryAfter)
}

// follow registers a reader of the turn. A turn without readers continues until its outcome
// is recorded, but at most for the limit for abandoned turns.
func (t *turn) follow() (leave func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers++
	if t.abandonTimer != nil {
		t.abandonTimer.Stop()
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.followers--
		if t.followers == 0 && !t.ended {
			t.abandonTimer = time.AfterFunc(t.entry.timing.AbandonedLimit, func() { t.cancel(turnTimeLimitError()) })
		}
	}
}

// recoverPanic prevents a panic in one turn, for example caused by an unexpected answer,
// from terminating the process with all its streams.
func (t *turn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	t.entry.log.Error(errors.Errorf("panic: %v", p), "recovered from panic in turn", "program", t.program, "stack", string(debug.Stack()))
	apiErr := errs.New(errs.Internal, "report the trace id", "the turn failed")
	t.log.close(apiErr.WithRun(errs.RunUnknown))
}

func (t *turn) run(ctx context.Context) {
	defer t.recoverPanic()
	b, apiErr := t.begin(ctx)
	if apiErr != nil {
		t.entry.countError(apiErr)
		t.log.close(apiErr)
		return
	}
	t.number.Store(int64(b.Turn.Number))
	if b.Recorded {
		t.replay(recordedResult(&b.Turn))
		return
	}
	defer t.entry.turns.remove(t.key(), t)
	newGeneration(t, b).run(ctx)
}

// replay publishes a recorded answer.
func (t *turn) replay(r *turnResult) {
	t.log.append(eventChunk, t.encoder.answerChunk(r))
	t.publishEnd(r)
}

// publishEnd publishes the end of an answer that has been recorded.
func (t *turn) publishEnd(r *turnResult) {
	t.result.Store(r)
	t.log.append(eventChunk, t.encoder.finishChunk(r))
	t.log.append(eventUsage, t.encoder.usage(r))
	t.log.close(nil)
}

// begin records the intent to run the turn in the state. If the turn is already running,
// begin waits until its outcome is recorded or until this entry can take it over.
func (t *turn) begin(ctx context.Context) (*structs.BeginTurnReply, *errs.Error) {
	if apiErr := t.trimHistory(ctx); apiErr != nil {
		return nil, apiErr
	}
	t.digest = t.request.digest()
	for {
		b, err := t.beginOnce(ctx)
		if err == nil {
			return b, nil
		}
		if outcomeUnsettled(err) {
			t.entry.runInBackground(func() { t.cleanUpBegin(ctx) })
		}
		if !errs.Is(err, errs.TurnInProgress) {
			return nil, stateError(err)
		}
		if t.foundRunningAt.IsZero() {
			t.foundRunningAt = time.Now()
		}
		if apiErr := t.awaitRunning(ctx, errs.From(err)); apiErr != nil {
			return nil, apiErr
		}
		sleep(ctx, inProgressRetryInterval)
		if ctx.Err() != nil {
			return nil, contextError(ctx)
		}
	}
}

func (t *turn) beginOnce(ctx context.Context) (*structs.BeginTurnReply, error) {
	cctx, cancel := t.entry.commitContext(ctx)
	defer cancel()
	t.entry.turns.startBegin(t.key()) // turns are never claimed, because the attempt number protects them
	defer t.entry.timeSince(metricBegin, time.Now())
	b, err := t.entry.state.BeginTurn(cctx, t.id.Org, t.beginCommand())
	if err != nil || b.Recorded {
		t.entry.turns.finishBegin(t.key(), nil)
		return b, err
	}
	t.number.Store(int64(b.Turn.Number))
	t.entry.turns.finishBegin(t.key(), t)
	if t.baseHistory.turnCount >= b.Turn.Number {
		return nil, t.discardNewerHistory(ctx, b)
	}
	return b, nil
}

// discardNewerHistory ends a turn whose number is already covered by the cached history.
// This means that the state was restored from an older snapshot, so the cached history must
// not be used any more.
func (t *turn) discardNewerHistory(ctx context.Context, b *structs.BeginTurnReply) error {
	t.entry.histories.drop(t.key())
	t.entry.turns.remove(t.key(), t)
	if err := t.endOrphan(ctx, &b.Turn); err != nil {
		return err
	}
	return errs.New(errs.Unavailable, "send the request again", "the program's history has changed").WithRetryAfter(time.Second)
}

func (t *turn) beginCommand() structs.BeginTurn {
	cmd := structs.BeginTurn{
		Program:     t.program,
		Implicit:    t.implicit,
		Service:     t.service.Name,
		Turn:        int(t.number.Load()),
		Digest:      t.digest,
		Messages:    t.request.messages,
		MaxTokens:   t.maxTokens(),
		Entry:       t.entry.incarnation,
		LiveEntries: t.entry.config.liveEntriesSince(t.foundRunningAt),
		Limits:      t.limits,
	}
	t.baseHistory = t.cachedHistoryBefore(cmd.Turn)
	cmd.KnownTurns = t.baseHistory.turnCount
	return cmd
}

// cachedHistoryBefore returns the cached history before turn n; n is 0 for the next turn.
func (t *turn) cachedHistoryBefore(n int) *history {
	h := t.entry.histories.get(t.key())
	if t.implicit || n > 0 && h.turnCount >= n {
		return &history{} // a resend of an earlier turn does not need the history
	}
	return h
}

// maxTokens returns the token limit of the answer: the smaller of the limits of the caller
// and the service.
func (t *turn) maxTokens() int64 {
	limit := int64(t.service.MaxOutputTokens)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if t.request.maxTokens > 0 {
		return min(t.request.maxTokens, limit)
	}
	return limit
}

// awaitRunning waits for the running turn of the program for a limited time. It returns
// refusal if that turn is a different one.
func (t *turn) awaitRunning(ctx context.Context, refusal *errs.Error) *errs.Error {
	rec, err := t.lastTurn(ctx, inProgressQueryWait)
	if err != nil {
		return stateError(err)
	}
	if rec.Digest != t.digest {
		return refusal
	}
	t.number.Store(int64(rec.Number))
	if t.isOrphan(rec) {
		_ = t.endOrphan(ctx, rec) // on error, the next begin command finds the orphan again
	}
	return nil
}

// lastTurn reads the turn, or the last turn of the program if the number is not known. It
// waits up to wait for the turn to end.
func (t *turn) lastTurn(ctx context.Context, wait time.Duration) (*structs.Turn, error) {
	ctx, cancel := t.entry.queryContext(ctx, wait)
	defer cancel()
	n := int(t.number.Load())
	if n == 0 {
		p, err := t.entry.state.GetProgram(ctx, structs.ProgramQuery{Org: t.id.Org, Program: t.program})
		if err != nil {
			return nil, err
		}
		n = p.LastTurn
	}
	return t.entry.state.GetTurn(ctx, structs.TurnQuery{Org: t.id.Org, Program: t.program, Turn: n, Wait: wait})
}

// isOrphan reports whether a turn is recorded as running on this entry but is not. This
// happens if the reply to its begin command was lost; the turn was then never dispatched.
func (t *turn) isOrphan(rec *structs.Turn) bool {
	return rec.State == structs.TurnRunning && rec.Entry == t.entry.incarnation && t.entry.turns.idle(t.key())
}

// cleanUpBegin ends the turn if its begin command was applied although the reply was lost.
// Without this, a resend to another entry would wait for this entry.
func (t *turn) cleanUpBegin(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	deadline := time.Now().Add(recordRetryLimit)
	for time.Now().Before(deadline) && t.entry.ctx.Err() == nil {
		rec, err := t.lastTurn(ctx, 0)
		if err == nil && t.isOrphan(rec) {
			err = t.endOrphan(ctx, rec)
		}
		if err == nil || !outcomeUnsettled(err) {
			return
		}
		sleep(t.entry.ctx, recordRetryInterval)
	}
}

// endOrphan records an orphaned turn as failed.
func (t *turn) endOrphan(ctx context.Context, rec *structs.Turn) error {
	cctx, cancel := t.entry.commitContext(ctx)
	defer cancel()
	_, err := t.entry.state.FinishTurn(cctx, t.id.Org, structs.FinishTurn{
		Program:    t.program,
		Turn:       rec.Number,
		Attempt:    rec.Attempt,
		UsageKnown: true,
		Failure:    errs.New(errs.Unavailable, "send the request again", "the turn was begun but not run"),
	})
	return err
}
