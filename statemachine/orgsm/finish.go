package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// finishTurn records the outcome of a turn and charges its usage to the budget.
func (o *org) finishTurn(c *structs.FinishTurn, now time.Duration) structs.OrgReply {
	p, err := o.program(c.Program)
	if err != nil {
		return errorReply(err)
	}
	// The engines hold memory for the program even if the outcome is rejected below.
	o.addTargets(p, c.Targets)
	t, err := p.turnToFinish(c)
	if err != nil {
		return errorReply(err)
	}
	used := t.Reserved
	if c.UsageKnown {
		used = c.Usage.Total()
	}
	reserved := t.Reserved
	o.settleReservation(p, t, used)
	t.Usage = c.Usage
	if c.Failure != nil {
		t.State, t.Failure = structs.TurnFailed, c.Failure
	} else {
		p.recordAnswer(t, c, reserved)
	}
	o.markActive(p, now)
	if p.Implicit {
		o.endTree(p, structs.ProgramEnded, now)
	}
	o.notify(turnKey(p.Record.ID, t.Number))
	rec := o.recordWithBudget(p)
	return structs.OrgReply{Program: &rec}
}

// turnToFinish returns the running turn that c finishes, or an error if c does not match
// its current attempt or carries no outcome.
func (p *program) turnToFinish(c *structs.FinishTurn) (*structs.Turn, *errs.Error) {
	if c.Turn < 1 || c.Turn > len(p.Turns) {
		return nil, errs.New(errs.BadRequest, "begin the turn first", "turn %d of program %q was not begun", c.Turn, p.Record.ID)
	}
	t := &p.Turns[c.Turn-1]
	if t.State != structs.TurnRunning || t.Attempt != c.Attempt {
		return nil, errs.New(errs.Superseded, "read the recorded outcome",
			"attempt %d of turn %d of program %q is not in progress", c.Attempt, c.Turn, p.Record.ID).WithRun(errs.Ran)
	}
	if c.Failure == nil && len(c.Answer) == 0 {
		return nil, errs.New(errs.BadRequest, "send an answer or a failure",
			"turn %d of program %q has neither", c.Turn, p.Record.ID).WithRun(errs.RunUnknown)
	}
	return t, nil
}

func (p *program) recordAnswer(t *structs.Turn, c *structs.FinishTurn, reserved int64) {
	t.State = structs.TurnAnswered
	t.Answer = c.Answer
	t.FinishReason = c.FinishReason
	p.Record.LastAnsweredTurn = t.Number
	p.Record.AttainedTokens += c.Usage.CompletionTokens
	// If the engine reported no token count, the reservation is an upper bound of the
	// history's tokens.
	p.Record.ContextTokens = reserved
	if c.UsageKnown {
		p.Record.ContextTokens = c.Usage.Total()
	}
}

// settleReservation replaces a turn's reservation with the tokens used. A turn is charged
// at most its reservation: a higher use can only result from figlb's own retries, and
// charging it would exceed the program's budget.
func (o *org) settleReservation(p *program, t *structs.Turn, used int64) {
	if root := o.root(p); root != nil {
		root.Record.Reserved -= t.Reserved
		root.Record.Spent += min(max(used, 0), t.Reserved)
	}
	t.Reserved = 0
}
