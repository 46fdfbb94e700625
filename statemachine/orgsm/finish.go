package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func (o *org) finishTurn(c *structs.FinishTurn, now time.Duration) structs.OrgReply {
	p, err := o.program(c.Program)
	if err != nil {
		return refuse(err)
	}
	// Engine memory is real even where the outcome comes too late.
	o.addTargets(p, c.Targets)
	t, err := p.finishable(c)
	if err != nil {
		return refuse(err)
	}
	used := t.Reserved
	if c.UsageKnown {
		used = c.Usage.Total()
	}
	reserved := t.Reserved
	o.settle(p, t, used)
	t.Usage = c.Usage
	if c.Failure != nil {
		t.State, t.Failure = structs.TurnFailed, c.Failure
	} else {
		p.answer(t, c, reserved)
	}
	o.touch(p, now)
	if p.Implicit {
		o.end(p, structs.ProgramEnded, now)
	}
	o.notify(turnKey(p.Rec.ID, t.N))
	rec := o.view(p)
	return structs.OrgReply{Program: &rec}
}

// finishable returns the turn in progress that c finishes.
func (p *program) finishable(c *structs.FinishTurn) (*structs.Turn, *errs.Error) {
	if c.Turn < 1 || c.Turn > len(p.Turns) {
		return nil, errs.New(errs.BadRequest, "begin the turn first", "turn %d of program %q was not begun", c.Turn, p.Rec.ID)
	}
	t := &p.Turns[c.Turn-1]
	if t.State != structs.TurnRunning || t.Attempt != c.Attempt {
		return nil, errs.New(errs.Superseded, "read the recorded outcome",
			"attempt %d of turn %d of program %q is not in progress", c.Attempt, c.Turn, p.Rec.ID).WithRun(errs.Ran)
	}
	if c.Failure == nil && len(c.Answer) == 0 {
		return nil, errs.New(errs.BadRequest, "send an answer or a failure",
			"turn %d of program %q has neither", c.Turn, p.Rec.ID).WithRun(errs.RunUnknown)
	}
	return t, nil
}

func (p *program) answer(t *structs.Turn, c *structs.FinishTurn, reserved int64) {
	t.State = structs.TurnAnswered
	t.Answer = c.Answer
	t.FinishReason = c.FinishReason
	p.Rec.Answered = t.N
	p.Rec.Attained += c.Usage.CompletionTokens
	// Without a count from the engine, the reservation bounds the history's tokens.
	p.Rec.ContextTokens = reserved
	if c.UsageKnown {
		p.Rec.ContextTokens = c.Usage.Total()
	}
}

// settle replaces a turn's reservation by what it used. A turn is charged at most its
// reservation: more can only come from figlb's own retries, and would let the program
// exceed its budget.
func (o *org) settle(p *program, t *structs.Turn, used int64) {
	if root := o.root(p); root != nil {
		root.Rec.Reserved -= t.Reserved
		root.Rec.Spent += min(max(used, 0), t.Reserved)
	}
	t.Reserved = 0
}
