package orgsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// messageOverheadTokens bounds what a chat template adds to one message.
	messageOverheadTokens = 16
	// busyRetryAfter is told to callers whose turn is in progress.
	busyRetryAfter = time.Second
)

func (o *org) beginTurn(c *structs.BeginTurn, now time.Duration) structs.OrgReply {
	o.see(c.Limits, now)
	p := o.programs[c.Program]
	created := p == nil && c.Implicit && c.Program != ""
	if created {
		p = o.implicitProgram(c, now)
	}
	if p == nil {
		return refuse(unknownProgram(c.Program))
	}
	n := p.numberOf(c)
	if n >= 1 && n <= p.Rec.Answered {
		return o.recorded(p, n, c.Digest)
	}
	if err := o.mayBegin(p, n, c); err != nil {
		return refuse(err)
	}
	prompt := p.promptBound(c.Messages)
	maxTokens, err := o.fitBudget(p, created, prompt, c.MaxTokens)
	if err != nil {
		return refuse(err)
	}
	if err := o.debit(); err != nil {
		return refuse(err)
	}
	if created {
		o.add(p)
	}
	t := *o.start(p, n, c, prompt+maxTokens, now)
	t.Messages = nil
	return structs.OrgReply{BeginTurn: &structs.BeginTurnReply{
		Program:   o.view(p),
		Turn:      t,
		History:   p.history(c.KnownTurns, n),
		MaxTokens: maxTokens,
	}}
}

// implicitProgram returns a program of one call that is not stored yet.
func (o *org) implicitProgram(c *structs.BeginTurn, now time.Duration) *program {
	rec := o.newRecord(&structs.OpenProgram{ID: c.Program, Service: c.Service, MaxTurns: 1}, now)
	return &program{Rec: rec, Implicit: true}
}

// numberOf returns the number of the turn that c asks for. Number 0 asks for the first
// turn without an answer, or for the only turn of an implicit program.
func (p *program) numberOf(c *structs.BeginTurn) int {
	switch {
	case c.Turn != 0:
		return c.Turn
	case p.Implicit:
		return 1
	}
	return p.Rec.Answered + 1
}

// recorded returns an answered turn.
func (o *org) recorded(p *program, n int, digest string) structs.OrgReply {
	t := p.Turns[n-1]
	if t.Digest != digest {
		return refuse(turnConflict(p, n))
	}
	return structs.OrgReply{BeginTurn: &structs.BeginTurnReply{Program: o.view(p), Turn: t, Recorded: true}}
}

func turnConflict(p *program, n int) *errs.Error {
	return errs.New(errs.TurnConflict, "send the original request again, or send this one as a new turn",
		"turn %d of program %q was begun with another request", n, p.Rec.ID)
}

// mayBegin checks the program's state, the turn order, the turn cap and the service.
func (o *org) mayBegin(p *program, n int, c *structs.BeginTurn) *errs.Error {
	if p.Rec.State != structs.ProgramOpen {
		return programEnded(p)
	}
	if expected := p.Rec.Answered + 1; n != expected {
		return errs.New(errs.TurnOutOfOrder, "send turn "+itoa(expected),
			"program %q expects turn %d, not %d", p.Rec.ID, expected, n)
	}
	if n > p.Rec.MaxTurns {
		return errs.New(errs.TurnCapReached, "end the program and open a new one",
			"program %q has had its %d turns", p.Rec.ID, p.Rec.MaxTurns)
	}
	if p.Rec.Service != "" && c.Service != "" && p.Rec.Service != c.Service {
		return errs.New(errs.BadRequest, "open a sub-agent for the other service",
			"program %q uses service %s, not %s", p.Rec.ID, p.Rec.Service, c.Service)
	}
	if c.MaxTokens < 1 {
		return errs.New(errs.BadRequest, "send a positive limit", "the limit of generated tokens is %d", c.MaxTokens)
	}
	return p.mayTakeOver(c)
}

// mayTakeOver checks a turn in progress. A list of live entries that is empty is not
// known, and then no entry counts as dead.
func (p *program) mayTakeOver(c *structs.BeginTurn) *errs.Error {
	t := p.running()
	if t == nil {
		return nil
	}
	dead := isDead(t.Entry, c.Entry, c.LiveEntries)
	same := t.Digest == c.Digest
	if dead && same {
		return nil
	}
	if !same && (dead || c.Turn != 0) {
		// Another request must not replace one whose caller may still rely on it.
		return turnConflict(p, t.N)
	}
	return errs.New(errs.TurnInProgress, "read its outcome, or wait and send it again",
		"turn %d of program %q is in progress", t.N, p.Rec.ID).WithRetryAfter(busyRetryAfter)
}

func isDead(entry, self string, live []string) bool {
	return len(live) > 0 && entry != self && !slices.Contains(live, entry)
}

// promptBound returns an upper bound of the turn's prompt tokens: a token is at least
// one byte.
func (p *program) promptBound(messages [][]byte) int64 {
	bound := p.Rec.ContextTokens
	for _, m := range messages {
		bound += int64(len(m)) + messageOverheadTokens
	}
	return bound
}

// fitBudget returns the number of tokens that may be generated within the budget. The
// reservation of an attempt that is taken over counts already, as reserved.
func (o *org) fitBudget(p *program, created bool, prompt, maxTokens int64) (int64, *errs.Error) {
	root := p
	if !created {
		root = o.root(p)
	}
	left := root.Rec.Budget - root.Rec.Spent - root.Rec.Reserved
	if left-prompt < 1 {
		return 0, errs.New(errs.BudgetExhausted, "open a program with a larger budget",
			"the budget of program %q has %d tokens left, and the prompt may take %d", root.Rec.ID, left, prompt)
	}
	return min(maxTokens, left-prompt), nil
}

// start records the intent to run turn n.
func (o *org) start(p *program, n int, c *structs.BeginTurn, reserve int64, now time.Duration) *structs.Turn {
	attempt := 1
	if n <= len(p.Turns) {
		attempt = p.Turns[n-1].Attempt + 1
	}
	if old := p.running(); old != nil {
		// The old attempt may have used all of its reservation.
		o.settle(p, old, old.Reserved)
		p.LostAttempt = !p.Implicit // programs of one call have no engine session
	}
	t := structs.Turn{
		N: n, State: structs.TurnRunning, Attempt: attempt, Digest: c.Digest,
		Messages: c.Messages, Entry: c.Entry, Reserved: reserve,
	}
	p.Turns = append(p.Turns[:n-1:n-1], t)
	p.Rec.Turns = n
	if p.Rec.Service == "" {
		p.Rec.Service = c.Service
	}
	o.root(p).Rec.Reserved += reserve
	o.touch(p, now)
	return &p.Turns[n-1]
}

// history returns the messages and answers of the turns after known and before n.
func (p *program) history(known, n int) [][]byte {
	var out [][]byte
	for i := max(known, 0); i < n-1 && i < len(p.Turns); i++ {
		out = append(out, p.Turns[i].Messages...)
		out = append(out, p.Turns[i].Answer)
	}
	return out
}
