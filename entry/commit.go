package entry

import (
	"context"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// recordRetryLimit bounds how long a failed record of an outcome is retried in the
	// background; recordRetryInterval is the time between attempts.
	recordRetryLimit    = 2 * time.Minute
	recordRetryInterval = 200 * time.Millisecond
)

// succeed records the answer and then publishes the end of the stream.
func (g *generation) succeed(ctx context.Context, res engine.ChatResult) {
	t := g.turn
	r := &turnResult{message: g.answer.message(), finish: res.FinishReason, usage: g.usage(res)}
	cmd := structs.FinishTurn{
		Program:      t.program,
		Turn:         g.beginReply.Turn.Number,
		Attempt:      g.beginReply.Turn.Attempt,
		Answer:       r.message,
		FinishReason: r.finish,
		Usage:        r.usage,
		UsageKnown:   res.UsageKnown,
		Targets:      g.sessionTargets(),
	}
	if err := g.recordOutcome(ctx, cmd); err != nil {
		t.log.close(unrecordedAnswerError(err))
		g.retryRecordOutcome(ctx, cmd, err)
		return
	}
	g.cacheHistory(r)
	t.entry.timeSince(metricTurns, g.started)
	for _, data := range g.pending {
		t.log.append(eventChunk, data)
	}
	t.publishEnd(r)
}

// usage returns the token usage of the whole answer. An engine that continues a partial
// answer counts the existing part as prompt tokens. These are counted as completion tokens
// again; the total stays the same.
func (g *generation) usage(res engine.ChatResult) structs.Usage {
	u := res.Usage
	if !res.UsageKnown || len(g.triedTargets) < 2 {
		return u
	}
	moved := max(0, min(g.answer.tokenChunks-u.CompletionTokens, u.PromptTokens))
	u.CompletionTokens += moved
	u.PromptTokens -= moved
	u.CachedTokens = min(u.CachedTokens, u.PromptTokens)
	return u
}

// sessionTargets lists the targets that may hold KV cache for the program. A program with a
// single implicit turn has no session.
func (g *generation) sessionTargets() []string {
	if g.turn.implicit {
		return nil
	}
	return g.triedTargets
}

// fail publishes the error and records the turn as failed.
func (g *generation) fail(ctx context.Context, apiErr *errs.Error) {
	apiErr = g.correctRunState(apiErr)
	g.turn.entry.countError(apiErr)
	g.turn.log.close(apiErr)
	cmd := structs.FinishTurn{
		Program:    g.turn.program,
		Turn:       g.beginReply.Turn.Number,
		Attempt:    g.beginReply.Turn.Attempt,
		UsageKnown: !g.usageUnknown,
		Targets:    g.sessionTargets(),
		Failure:    apiErr,
	}
	if err := g.recordOutcome(ctx, cmd); err != nil {
		g.retryRecordOutcome(ctx, cmd, err)
	}
}

func (g *generation) recordOutcome(ctx context.Context, cmd structs.FinishTurn) error {
	cctx, cancel := g.turn.entry.commitContext(ctx)
	defer cancel()
	defer g.turn.entry.timeSince(metricFinish, time.Now())
	_, err := g.turn.entry.state.FinishTurn(cctx, g.turn.id.Org, cmd)
	return err
}

// retryRecordOutcome keeps trying to record an outcome, so that the turn does not remain
// recorded as running. Meanwhile the turn stays in the in-flight table.
func (g *generation) retryRecordOutcome(ctx context.Context, cmd structs.FinishTurn, err error) {
	g.turn.entry.log.Info("failed to record turn outcome", "program", cmd.Program, "turn", cmd.Turn, "error", err.Error())
	deadline := time.Now().Add(recordRetryLimit)
	for outcomeUnsettled(err) && time.Now().Before(deadline) && g.turn.entry.ctx.Err() == nil {
		sleep(g.turn.entry.ctx, recordRetryInterval)
		err = g.recordOutcome(ctx, cmd)
	}
}

// unrecordedAnswerError returns the error for the caller of a turn whose answer could not be
// recorded.
func unrecordedAnswerError(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err).WithRun(errs.Ran)
	}
	apiErr := errs.New(errs.OutcomeUnknown, "read the outcome with GET /v1/programs/{id}/turns/{n}", "the answer could not be recorded in time")
	return apiErr.WithRun(errs.Ran).WithRetryAfter(time.Second)
}

// cacheHistory caches the program's history including this turn.
func (g *generation) cacheHistory(r *turnResult) {
	if g.turn.implicit {
		return
	}
	more := append(g.prompt[:len(g.prompt):len(g.prompt)], r.message)
	g.turn.entry.histories.put(g.turn.key(), g.priorHistory.extend(g.beginReply.Turn.Number, more))
}
