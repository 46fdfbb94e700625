package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// historyLoaders bounds the parallel queries that load a history.
const historyLoaders = 8

// trimHistory drops the program's complete stored history from the start of the
// caller's messages, so that callers may send either the new messages or all.
func (t *turn) trimHistory(ctx context.Context) *errs.Error {
	if t.implicit || !hasAnswer(t.req.messages) {
		return nil
	}
	before, e := t.turnsBefore(ctx)
	if e != nil || before == 0 {
		return e
	}
	hist, e := t.loadHistory(ctx, before)
	if e != nil {
		return e
	}
	if startsWith(t.req.messages, hist) {
		t.req.messages = t.req.messages[len(hist):]
	}
	return nil
}

// hasAnswer reports whether messages may contain a history: a history ends with an
// answer.
func hasAnswer(messages [][]byte) bool {
	for _, m := range messages[:len(messages)-1] {
		if role(m) == "assistant" {
			return true
		}
	}
	return false
}

// turnsBefore returns the number of answered turns before this one.
func (t *turn) turnsBefore(ctx context.Context) (int, *errs.Error) {
	if n := int(t.number.Load()); n > 0 {
		return n - 1, nil
	}
	ctx, cancel := t.e.queryContext(ctx, 0)
	defer cancel()
	p, err := t.e.state.GetProgram(ctx, structs.ProgramQuery{Org: t.id.Org, Program: t.program})
	if err != nil {
		return 0, stateError(err)
	}
	return p.Answered, nil
}

// loadHistory returns the messages of the first n turns, from the cache or the state.
func (t *turn) loadHistory(ctx context.Context, n int) ([][]byte, *errs.Error) {
	if hist, ok := t.e.histories.get(t.key()).through(n); ok {
		return hist, nil
	}
	ctx, cancel := t.e.queryContext(ctx, 0)
	defer cancel()
	turns := make([]*structs.Turn, n)
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(historyLoaders)
	for i := range turns {
		g.Go(func() error {
			rec, err := t.e.state.GetTurn(gctx, structs.TurnQuery{Org: t.id.Org, Program: t.program, Turn: i + 1})
			turns[i] = rec
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, stateError(err)
	}
	h := &history{}
	for i, rec := range turns {
		if rec.State != structs.TurnAnswered {
			return nil, nil // the begin command refuses the turn as out of order
		}
		h = h.extend(i+1, append(rec.Messages[:len(rec.Messages):len(rec.Messages)], rec.Answer))
	}
	t.e.histories.put(t.key(), h)
	return h.messages, nil
}
