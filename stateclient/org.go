package stateclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// stallThreshold is the time after which a refusal counts as delayed by figlb: a
	// member that works answers within milliseconds.
	stallThreshold = 100 * time.Millisecond
	// maxRateWait bounds how long a command waits for its organisation's rate, and for how
	// long after a delay commands wait.
	maxRateWait = 3 * time.Second
	minRateWait = 5 * time.Millisecond
)

// org sends a command to the group of its organisation. What waited for a new leader
// arrives all at once and would exceed the burst although it was sent within the rate;
// therefore, for a while after a delay, commands wait for the rate instead of being refused,
// also those that were not delayed but meet the others at the bucket.
func (c *Client) org(ctx context.Context, method string, cmd structs.OrgCommand) (*structs.OrgReply, error) {
	start := time.Now()
	id := requestID(ctx)
	for {
		sent := time.Now()
		r, err := c.orgOnce(ctx, method, cmd, id)
		if time.Since(sent) >= stallThreshold {
			c.noteStall()
		}
		waited := time.Since(start)
		if !errs.Is(err, errs.RateLimited) || !c.stalledLately() || waited > maxRateWait {
			return r, err
		}
		pause := max(errs.From(err).RetryAfter, minRateWait)
		if pause > maxRateWait-waited || !sleep(ctx, pause) {
			return r, err
		}
		// The refused command stays refused under its id.
		id = requestIdentity{id: NewRequestID()}
	}
}

// noteStall records that a command was delayed now.
func (c *Client) noteStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledAt = time.Now()
}

func (c *Client) stalledLately() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stalledAt.IsZero() && time.Since(c.stalledAt) < maxRateWait
}

func (c *Client) orgOnce(ctx context.Context, method string, cmd structs.OrgCommand, id requestIdentity) (*structs.OrgReply, error) {
	cmd.RequestID = id.id
	return call[structs.OrgReply](ctx, c, &request{
		group:  c.OrgGroup(cmd.Org),
		method: method,
		write:  true,
		body: func(resend bool) any {
			out := cmd
			out.Resend = resend || id.resend
			return &out
		},
	})
}

// errIncomplete reports a reply without the part that the method promises.
var errIncomplete = errors.New("the state member's reply is incomplete")

func part[T any](v *T, err error) (*T, error) {
	if err == nil && v == nil {
		return nil, errors.WithStack(errIncomplete)
	}
	return v, err
}

// OpenProgram creates a program.
func (c *Client) OpenProgram(ctx context.Context, org string, cmd structs.OpenProgram) (*structs.Program, error) {
	r, err := c.org(ctx, MethodProgramOpen, structs.OrgCommand{Org: org, OpenProgram: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.Program, nil)
}

// EndProgram ends a program and its sub-agents.
func (c *Client) EndProgram(ctx context.Context, org string, cmd structs.EndProgram) (*structs.Program, error) {
	r, err := c.org(ctx, MethodProgramEnd, structs.OrgCommand{Org: org, EndProgram: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.Program, nil)
}

// BeginTurn begins a turn or returns its recorded answer.
func (c *Client) BeginTurn(ctx context.Context, org string, cmd structs.BeginTurn) (*structs.BeginTurnReply, error) {
	r, err := c.org(ctx, MethodTurnBegin, structs.OrgCommand{Org: org, BeginTurn: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.BeginTurn, nil)
}

// FinishTurn records a turn's answer or failure.
func (c *Client) FinishTurn(ctx context.Context, org string, cmd structs.FinishTurn) (*structs.Program, error) {
	r, err := c.org(ctx, MethodTurnFinish, structs.OrgCommand{Org: org, FinishTurn: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.Program, nil)
}

// BeginCall begins a call that may not be repeated, or returns its record.
func (c *Client) BeginCall(ctx context.Context, org string, cmd structs.BeginCall) (*structs.BeginCallReply, error) {
	r, err := c.org(ctx, MethodCallBegin, structs.OrgCommand{Org: org, BeginCall: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.BeginCall, nil)
}

// FinishCall records a call's outcome.
func (c *Client) FinishCall(ctx context.Context, org string, cmd structs.FinishCall) (*structs.Call, error) {
	r, err := c.org(ctx, MethodCallFinish, structs.OrgCommand{Org: org, FinishCall: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.Call, nil)
}

// ResolveCall settles an unknown call.
func (c *Client) ResolveCall(ctx context.Context, org string, cmd structs.ResolveCall) (*structs.Call, error) {
	r, err := c.org(ctx, MethodCallResolve, structs.OrgCommand{Org: org, ResolveCall: &cmd})
	if err != nil {
		return nil, err
	}
	return part(r.Call, nil)
}

// Debit takes one request from the organisation's bucket.
func (c *Client) Debit(ctx context.Context, org string, cmd structs.Debit) error {
	_, err := c.org(ctx, MethodRateDebit, structs.OrgCommand{Org: org, Debit: &cmd})
	return err
}
