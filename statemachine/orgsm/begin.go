package orgsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// messageOverheadTokens is an upper bound of the tokens that a chat template adds
	// to one message.
	messageOverheadTokens = 16
	// busyRetryAfter is the retry delay sent to callers whose turn is in progress.
	busyRetryAfter = time.Second
)

// beginTurn starts a turn, or returns the recorded answer if the turn has one already. A
// rejected turn changes no program and debits nothing.
func (o *org) beginTurn(c *structs.BeginTurn, now time.Duration) structs.OrgReply {
	o.updateLimits(c.Limits, now)
	p := o.programs[c.Program]
	created := p == nil && c.Implicit && c.Program != ""
	if created {
		p = o.implicitProgram(c, now)
	}
	if p == nil {
		return errorReply(unknownProgram(c.Program))
	}
	n := p.turnNumber(c)
	if n >= 1 && n <= p.Record.LastAnsweredTurn {
		return o.recordedTurn(p, n, c.Digest)
	}
	if err := o.checkBegin(p, n, c); err != nil {
		return errorReply(err)
	}
	promptTokens := p.promptBound(c.Messages)
	maxTokens, err := o.fitBudget(p, created, promptTokens, c.MaxTokens)
	if err != nil {
		return errorReply(err)
	}
	if err := o.debit(); err != nil {
		return errorReply(err)
	}
	if created {
		o.addProgram(p)
	}
	t := *o.startTurn(p, n, c, promptTokens+maxTokens, now)
	t.Messages = nil
	return structs.OrgReply{BeginTurn: &structs.BeginTurnReply{
		Program:   o.recordWithBudget(p),
		Turn:      t,
		History:   p.history(c.KnownTurns, n),
		MaxTokens: maxTokens,
	}}
}

// implicitProgram returns a new program of a single turn. The caller stores it once the
// turn has been admitted.
func (o *org) implicitProgram(c *structs.BeginTurn, now time.Duration) *program {
	rec := o.newProgramRecord(&structs.OpenProgram{ID: c.Program, Service: c.Service, MaxTurns: 1}, now)
	return &program{Record: rec, Implicit: true}
}

// turnNumber returns the number of the turn that c asks for. Number 0 asks for the first
// turn without an answer or, in an implicit program, for its only turn.
func (p *program) turnNumber(c *structs.BeginTurn) int {
	switch {
	case c.Turn != 0:
		return c.Turn
	case p.Implicit:
		return 1
	}
	return p.Record.LastAnsweredTurn + 1
}

// recordedTurn returns the reply for a turn that has been answered already. A request that
// differs from the recorded one is a conflict.
func (o *org) recordedTurn(p *program, n int, digest string) structs.OrgReply {
	t := p.Turns[n-1]
	if t.Digest != digest {
		return errorReply(turnConflict(p, n))
	}
	return structs.OrgReply{BeginTurn: &structs.BeginTurnReply{Program: o.recordWithBudget(p), Turn: t, Recorded: true}}
}

func turnConflict(p *program, n int) *errs.Error {
	return errs.New(errs.TurnConflict, "send the original request again, or send this one as a new turn",
		"turn %d of program %q was begun with another request", n, p.Record.ID)
}

// checkBegin checks the program's state, the turn order, the turn cap, the service, the
// token limit and, if a turn is in progress, whether c may take it over.
func (o *org) checkBegin(p *program, n int, c *structs.BeginTurn) *errs.Error {
	if p.Record.State != structs.ProgramOpen {
		return programEnded(p)
	}
	if expected := p.Record.LastAnsweredTurn + 1; n != expected {
		return errs.New(errs.TurnOutOfOrder, "send turn "+itoa(expected),
			"program %q expects turn %d, not %d", p.Record.ID, expected, n)
	}
	if n > p.Record.MaxTurns {
		return errs.New(errs.TurnCapReached, "end the program and open a new one",
			"program %q has had its %d turns", p.Record.ID, p.Record.MaxTurns)
	}
	if p.Record.Service != "" && c.Service != "" && p.Record.Service != c.Service {
		return errs.New(errs.BadRequest, "open a sub-agent for the other service",
			"program %q uses service %s, not %s", p.Record.ID, p.Record.Service, c.Service)
	}
	if c.MaxTokens < 1 {
		return errs.New(errs.BadRequest, "send a positive limit", "the limit of generated tokens is %d", c.MaxTokens)
	}
	return p.checkTakeover(c)
}

// checkTakeover returns an error if a turn is in progress that c must not take over. A
// takeover is allowed only for the same request and only if the entry that runs the turn
// is dead.
func (p *program) checkTakeover(c *structs.BeginTurn) *errs.Error {
	t := p.runningTurn()
	if t == nil {
		return nil
	}
	entryDead := entryIsDead(t.Entry, c.Entry, c.LiveEntries)
	sameRequest := t.Digest == c.Digest
	if entryDead && sameRequest {
		return nil
	}
	if !sameRequest && (entryDead || c.Turn != 0) {
		// The caller of the running turn may still expect its answer, so a different request
		// must not replace it.
		return turnConflict(p, t.Number)
	}
	return errs.New(errs.TurnInProgress, "read its outcome, or wait and send it again",
		"turn %d of program %q is in progress", t.Number, p.Record.ID).WithRetryAfter(busyRetryAfter)
}

// entryIsDead reports whether entry is missing from the live entries. The caller's own
// entry is alive. An empty list means that the live entries are unknown; then no entry
// counts as dead.
func entryIsDead(entry, caller string, liveEntries []string) bool {
	return len(liveEntries) > 0 && entry != caller && !slices.Contains(liveEntries, entry)
}

// promptBound returns an upper bound of the turn's prompt tokens: the context so far and
// one token for each byte of the new messages, because a token takes at least one byte.
func (p *program) promptBound(messages [][]byte) int64 {
	bound := p.Record.ContextTokens
	for _, m := range messages {
		bound += int64(len(m)) + messageOverheadTokens
	}
	return bound
}

// fitBudget returns the number of tokens that may be generated within the budget, at most
// maxTokens. When a turn is taken over, the previous attempt's reservation is still
// deducted from the budget.
func (o *org) fitBudget(p *program, created bool, promptTokens, maxTokens int64) (int64, *errs.Error) {
	root := p
	if !created {
		root = o.root(p)
	}
	left := root.Record.Budget - root.Record.Spent - root.Record.Reserved
	if left-promptTokens < 1 {
		return 0, errs.New(errs.BudgetExhausted, "open a program with a larger budget",
			"the budget of program %q has %d tokens left, and the prompt may take %d", root.Record.ID, left, promptTokens)
	}
	return min(maxTokens, left-promptTokens), nil
}

// startTurn records a new attempt of turn n and reserves its tokens. It charges a previous
// attempt that is still running with its whole reservation.
func (o *org) startTurn(p *program, n int, c *structs.BeginTurn, reservation int64, now time.Duration) *structs.Turn {
	attempt := 1
	if n <= len(p.Turns) {
		attempt = p.Turns[n-1].Attempt + 1
	}
	if previous := p.runningTurn(); previous != nil {
		// The previous attempt may have used all of its reservation.
		o.settleReservation(p, previous, previous.Reserved)
		p.LostAttempt = !p.Implicit // implicit programs have no engine session to release
	}
	t := structs.Turn{
		Number: n, State: structs.TurnRunning, Attempt: attempt, Digest: c.Digest,
		Messages: c.Messages, Entry: c.Entry, Reserved: reservation,
	}
	p.Turns = append(p.Turns[:n-1:n-1], t)
	p.Record.LastTurn = n
	if p.Record.Service == "" {
		p.Record.Service = c.Service
	}
	o.root(p).Record.Reserved += reservation
	o.markActive(p, now)
	return &p.Turns[n-1]
}

// history returns the messages and answers of the turns after knownTurns and before n.
func (p *program) history(knownTurns, n int) [][]byte {
	var out [][]byte
	for i := max(knownTurns, 0); i < n-1 && i < len(p.Turns); i++ {
		out = append(out, p.Turns[i].Messages...)
		out = append(out, p.Turns[i].Answer)
	}
	return out
}
