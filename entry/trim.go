package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxHistoryLoads bounds the number of concurrent queries when loading a history.
const maxHistoryLoads = 8

// trimHistory removes the stored history of the program from the start of the request's
// messages if they contain all of it. Callers may therefore send either only the new
// messages or all messages.
func (t *turn) trimHistory(ctx context.Context) *errs.Error {
	if t.implicit || !hasAnswer(t.request.messages) {
		return nil
	}
	before, apiErr := t.turnsBefore(ctx)
	if apiErr != nil || before == 0 {
		return apiErr
	}
	hist, apiErr := t.loadHistory(ctx, before)
	if apiErr != nil {
		return apiErr
	}
	if hasHistoryPrefix(t.request.messages, hist) {
		t.request.messages = t.request.messages[len(hist):]
	}
	return nil
}

// hasAnswer reports whether messages may start with a history. A history always ends with an
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
	ctx, cancel := t.entry.queryContext(ctx, 0)
	defer cancel()
	p, err := t.entry.state.GetProgram(ctx, structs.ProgramQuery{Org: t.id.Org, Program: t.program})
	if err != nil {
		return 0, stateError(err)
	}
	return p.LastAnsweredTurn, nil
}

// loadHistory returns the messages of the first n turns from the cache or, failing that,
// from the state.
func (t *turn) loadHistory(ctx context.Context, n int) ([][]byte, *errs.Error) {
	if hist, ok := t.entry.histories.get(t.key()).messagesThrough(n); ok {
		return hist, nil
	}
	ctx, cancel := t.entry.queryContext(ctx, 0)
	defer cancel()
	turns := make([]*structs.Turn, n)
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxHistoryLoads)
	for i := range turns {
		g.Go(func() error {
			rec, err := t.entry.state.GetTurn(gctx, structs.TurnQuery{Org: t.id.Org, Program: t.program, Turn: i + 1})
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
			return nil, nil // the begin command will refuse the turn as out of order
		}
		h = h.extend(i+1, append(rec.Messages[:len(rec.Messages):len(rec.Messages)], rec.Answer))
	}
	t.entry.histories.put(t.key(), h)
	return h.messages, nil
}
