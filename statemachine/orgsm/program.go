package orgsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxOpenPrograms limits the memory that an organisation can use by opening programs, to
// which the rate limit does not apply. It is close to the number of all programs in
// progress in a site of the size that figlb is designed for.
const maxOpenPrograms = 100_000

// openProgramsRetryAfter is the retry delay sent to callers that exceed maxOpenPrograms.
const openProgramsRetryAfter = time.Minute

func (o *org) openProgram(c *structs.OpenProgram, now time.Duration) structs.OrgReply {
	o.updateLimits(c.Limits, now)
	if c.ID == "" {
		return errorReply(errs.New(errs.BadRequest, "send the id of the new program", "program id is missing"))
	}
	if o.programs[c.ID] != nil {
		return errorReply(errs.New(errs.BadRequest, "use a new id", "program id %q is in use", c.ID))
	}
	if o.openPrograms >= maxOpenPrograms {
		return errorReply(errs.New(errs.Overloaded, "end programs that are no longer used",
			"organisation %s has %d open programs", o.name, o.openPrograms).WithRetryAfter(openProgramsRetryAfter))
	}
	p := &program{Record: o.newProgramRecord(c, now)}
	if c.Parent != "" {
		if err := o.attachToParent(p, c.Parent); err != nil {
			return errorReply(err)
		}
	}
	o.addProgram(p)
	o.markActive(p, now)
	rec := o.recordWithBudget(p)
	return structs.OrgReply{Program: &rec}
}

// addProgram stores a new open program.
func (o *org) addProgram(p *program) {
	o.programs[p.Record.ID] = p
	o.openPrograms++
}

func (o *org) newProgramRecord(c *structs.OpenProgram, now time.Duration) structs.Program {
	return structs.Program{
		ID:         c.ID,
		Org:        o.name,
		Root:       c.ID,
		Service:    c.Service,
		State:      structs.ProgramOpen,
		Budget:     capToLimit(c.BudgetTokens, o.limits.BudgetTokens),
		MaxTurns:   int(capToLimit(int64(c.MaxTurns), int64(o.limits.MaxTurns))),
		OpenedAt:   now,
		LastActive: now,
	}
}

// capToLimit returns the requested value, at most the limit. A value that is not positive
// requests the limit.
func capToLimit(requested, limit int64) int64 {
	if requested <= 0 {
		return limit
	}
	return min(requested, limit)
}

// attachToParent makes p a sub-agent of a parent. The sub-agent has no budget of its own:
// it uses that of the parent's root.
func (o *org) attachToParent(p *program, parentID string) *errs.Error {
	parent, err := o.program(parentID)
	if err != nil {
		return err
	}
	if parent.Record.State != structs.ProgramOpen {
		return programEnded(parent)
	}
	p.Record.Parent = parentID
	p.Record.Root = parent.Record.Root
	p.Record.Budget = 0
	parent.Children = append(parent.Children, p.Record.ID)
	return nil
}

func programEnded(p *program) *errs.Error {
	return errs.New(errs.ProgramEnded, "open a new program", "program %q is %s", p.Record.ID, p.Record.State)
}

func (o *org) endProgram(c *structs.EndProgram, now time.Duration) structs.OrgReply {
	p, err := o.program(c.ID)
	if err != nil {
		return errorReply(err)
	}
	o.endTree(p, structs.ProgramEnded, now)
	rec := o.recordWithBudget(p)
	return structs.OrgReply{Program: &rec}
}

// endTree ends p and its descendants and queues the release of their engine memory. A turn
// in progress may still finish; the release on its targets is queued when it does.
func (o *org) endTree(p *program, state structs.ProgramState, now time.Duration) {
	if p.Record.State != structs.ProgramOpen {
		return
	}
	p.Record.State = state
	p.EndedAt = now
	o.openPrograms--
	o.queueReleases(p)
	for _, id := range p.Children {
		if child := o.programs[id]; child != nil {
			o.endTree(child, state, now)
		}
	}
}

// addTargets records targets that may hold KV cache for p. If p has ended, it queues their
// release.
func (o *org) addTargets(p *program, targets []string) {
	for _, t := range targets {
		if t != "" && !slices.Contains(p.Record.Targets, t) {
			// Copies of the record share the slice, so it is replaced rather than appended to.
			p.Record.Targets = append(slices.Clone(p.Record.Targets), t)
		}
	}
	if p.Record.State != structs.ProgramOpen {
		// A release confirmed earlier does not cover cache that the target has stored since.
		for _, t := range targets {
			o.queueRelease(p.Record.ID, t)
		}
	}
}
