package entry

import (
	"context"
	"time"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// finishRetryLimit bounds the background attempts to record an outcome whose first
	// record failed; finishRetryPause spaces them.
	finishRetryLimit = 2 * time.Minute
	finishRetryPause = 200 * time.Millisecond
)

// succeed records the answer and then publishes its end.
func (g *generation) succeed(ctx context.Context, res engine.ChatResult) {
	t := g.t
	r := &turnResult{message: g.answer.message(), finish: res.FinishReason, usage: g.usage(res)}
	cmd := structs.FinishTurn{
		Program:      t.program,
		Turn:         g.begin.Turn.N,
		Attempt:      g.begin.Turn.Attempt,
		Answer:       r.message,
		FinishReason: r.finish,
		Usage:        r.usage,
		UsageKnown:   res.UsageKnown,
		Targets:      g.sessionTargets(),
	}
	if err := g.finish(ctx, cmd); err != nil {
		t.log.close(unrecorded(err))
		g.finishLater(ctx, cmd, err)
		return
	}
	g.remember(r)
	t.e.timeSince(metricTurns, g.started)
	for _, data := range g.pending {
		t.log.append(eventChunk, data)
	}
	t.publishEnd(r)
}

// usage returns the use of the whole answer. An engine that continued a partial answer
// counts that part as prompt; it becomes completion again, and the total stays.
func (g *generation) usage(res engine.ChatResult) structs.Usage {
	u := res.Usage
	if !res.UsageKnown || len(g.targets) < 2 {
		return u
	}
	moved := max(0, min(g.answer.chunks-u.CompletionTokens, u.PromptTokens))
	u.CompletionTokens += moved
	u.PromptTokens -= moved
	u.CachedTokens = min(u.CachedTokens, u.PromptTokens)
	return u
}

// sessionTargets lists the targets that may hold KV cache for the program. Programs of
// one call have no session.
func (g *generation) sessionTargets() []string {
	if g.t.implicit {
		return nil
	}
	return g.targets
}

// fail publishes e and records the turn as failed.
func (g *generation) fail(ctx context.Context, e *errs.Error) {
	e = g.runState(e)
	g.t.e.countError(e)
	g.t.log.close(e)
	cmd := structs.FinishTurn{
		Program:    g.t.program,
		Turn:       g.begin.Turn.N,
		Attempt:    g.begin.Turn.Attempt,
		UsageKnown: !g.spent,
		Targets:    g.sessionTargets(),
		Failure:    e,
	}
	if err := g.finish(ctx, cmd); err != nil {
		g.finishLater(ctx, cmd, err)
	}
}

func (g *generation) finish(ctx context.Context, cmd structs.FinishTurn) error {
	cctx, cancel := g.t.e.commitContext(ctx)
	defer cancel()
	defer g.t.e.timeSince(metricFinish, time.Now())
	_, err := g.t.e.state.FinishTurn(cctx, g.t.id.Org, cmd)
	return err
}

// finishLater goes on trying to record an outcome, so that the turn does not stay
// recorded as running. The turn stays in the table of live turns meanwhile.
func (g *generation) finishLater(ctx context.Context, cmd structs.FinishTurn, err error) {
	g.t.e.log.Info("turn outcome not recorded yet", "program", cmd.Program, "turn", cmd.Turn, "error", err.Error())
	until := time.Now().Add(finishRetryLimit)
	for outcomeUnsettled(err) && time.Now().Before(until) && g.t.e.ctx.Err() == nil {
		sleep(g.t.e.ctx, finishRetryPause)
		err = g.finish(ctx, cmd)
	}
}

// unrecorded returns the caller's error for an answer whose record failed.
func unrecorded(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err).WithRun(errs.Ran)
	}
	e := errs.New(errs.OutcomeUnknown, "read the outcome with GET /v1/programs/{id}/turns/{n}", "the answer could not be recorded in time")
	return e.WithRun(errs.Ran).WithRetryAfter(time.Second)
}

// remember caches the history including this turn.
func (g *generation) remember(r *turnResult) {
	if g.t.implicit {
		return
	}
	more := append(g.prompt[:len(g.prompt):len(g.prompt)], r.message)
	g.t.e.histories.put(g.t.key(), g.hist.extend(g.begin.Turn.N, more))
}
