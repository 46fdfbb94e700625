package orgsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxOpenPrograms bounds the memory that an organisation can take by opening programs,
// which its rate does not limit. It is near the number of all programs in progress at
// the target size.
const maxOpenPrograms = 100_000

// openRetryAfter is told to callers over that bound.
const openRetryAfter = time.Minute

func (o *org) openProgram(c *structs.OpenProgram, now time.Duration) structs.OrgReply {
	o.see(c.Limits, now)
	if c.ID == "" {
		return refuse(errs.New(errs.BadRequest, "send the id of the new program", "program id is missing"))
	}
	if o.programs[c.ID] != nil {
		return refuse(errs.New(errs.BadRequest, "use a new id", "program id %q is in use", c.ID))
	}
	if o.open >= maxOpenPrograms {
		return refuse(errs.New(errs.Overloaded, "end programs that are no longer used",
			"organisation %s has %d open programs", o.name, o.open).WithRetryAfter(openRetryAfter))
	}
	p := &program{Rec: o.newRecord(c, now)}
	if c.Parent != "" {
		if err := o.adopt(p, c.Parent); err != nil {
			return refuse(err)
		}
	}
	o.add(p)
	o.touch(p, now)
	rec := o.view(p)
	return structs.OrgReply{Program: &rec}
}

// add stores a new program.
func (o *org) add(p *program) {
	o.programs[p.Rec.ID] = p
	o.open++
}

func (o *org) newRecord(c *structs.OpenProgram, now time.Duration) structs.Program {
	return structs.Program{
		ID:         c.ID,
		Org:        o.name,
		Root:       c.ID,
		Service:    c.Service,
		State:      structs.ProgramOpen,
		Budget:     lowered(c.BudgetTokens, o.limits.BudgetTokens),
		MaxTurns:   int(lowered(int64(c.MaxTurns), int64(o.limits.MaxTurns))),
		OpenedAt:   now,
		LastActive: now,
	}
}

// lowered returns what was asked for, at most the limit; 0 asks for the limit.
func lowered(asked, limit int64) int64 {
	if asked <= 0 {
		return limit
	}
	return min(asked, limit)
}

// adopt makes p a sub-agent that shares the budget of its parent's root.
func (o *org) adopt(p *program, parentID string) *errs.Error {
	parent, err := o.program(parentID)
	if err != nil {
		return err
	}
	if parent.Rec.State != structs.ProgramOpen {
		return programEnded(parent)
	}
	p.Rec.Parent = parentID
	p.Rec.Root = parent.Rec.Root
	p.Rec.Budget = 0
	parent.Children = append(parent.Children, p.Rec.ID)
	return nil
}

func programEnded(p *program) *errs.Error {
	return errs.New(errs.ProgramEnded, "open a new program", "program %q is %s", p.Rec.ID, p.Rec.State)
}

func (o *org) endProgram(c *structs.EndProgram, now time.Duration) structs.OrgReply {
	p, err := o.program(c.ID)
	if err != nil {
		return refuse(err)
	}
	o.end(p, structs.ProgramEnded, now)
	rec := o.view(p)
	return structs.OrgReply{Program: &rec}
}

// end closes p and its sub-agents and queues the release of their engine memory. A
// turn in progress may still finish; its targets are queued when it does.
func (o *org) end(p *program, state structs.ProgramState, now time.Duration) {
	if p.Rec.State != structs.ProgramOpen {
		return
	}
	p.Rec.State = state
	p.EndedAt = now
	o.open--
	o.queueReleases(p)
	for _, id := range p.Children {
		if child := o.programs[id]; child != nil {
			o.end(child, state, now)
		}
	}
}

// addTargets records targets that may hold KV cache for p.
func (o *org) addTargets(p *program, targets []string) {
	for _, t := range targets {
		if t != "" && !slices.Contains(p.Rec.Targets, t) {
			// The slice is replaced, because readers share the old one.
			p.Rec.Targets = append(slices.Clone(p.Rec.Targets), t)
		}
	}
	if p.Rec.State != structs.ProgramOpen {
		// The target stored the cache after an earlier release may have been confirmed.
		for _, t := range targets {
			o.queueRelease(p.Rec.ID, t)
		}
	}
}
