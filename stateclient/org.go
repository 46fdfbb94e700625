package stateclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// stallThreshold is the duration from which a command counts as delayed by figlb
	// itself, because a healthy member answers within milliseconds.
	stallThreshold = 100 * time.Millisecond
	// maxRateWait bounds how long a command waits for its organisation's rate limit, and
	// for how long after a delayed command others wait instead of being refused.
	maxRateWait = 3 * time.Second
	// minRateWait is the shortest pause before a rate-limited command is repeated.
	minRateWait = 5 * time.Millisecond
)

// runOrgCommand sends a command to the group of its organisation. Commands that waited
// for a new leader arrive all at once and would exceed the burst of the token bucket
// although they were sent within the rate. Therefore, for maxRateWait after a delay, all
// commands wait for the rate instead of being refused, including those that were not
// delayed themselves but share the bucket with delayed ones.
func (c *Client) runOrgCommand(ctx context.Context, method string, cmd structs.OrgCommand) (*structs.OrgReply, error) {
	start := time.Now()
	id := requestID(ctx)
	for {
		sent := time.Now()
		r, err := c.sendOrgCommand(ctx, method, cmd, id)
		if time.Since(sent) >= stallThreshold {
			c.recordStall()
		}
		waited := time.Since(start)
		if !errs.Is(err, errs.RateLimited) || !c.recentlyStalled() || waited > maxRateWait {
			return r, err
		}
		pause := max(errs.From(err).RetryAfter, minRateWait)
		if pause > maxRateWait-waited || !sleep(ctx, pause) {
			return r, err
		}
		// A resend under the same request id would get the recorded refusal again.
		id = requestIdentity{id: NewRequestID()}
	}
}

// recordStall records that a command was delayed now.
func (c *Client) recordStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledAt = time.Now()
}

// recentlyStalled reports whether a command was delayed within the last maxRateWait.
func (c *Client) recentlyStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stalledAt.IsZero() && time.Since(c.stalledAt) < maxRateWait
}

// sendOrgCommand sends a command under one request id.
func (c *Client) sendOrgCommand(ctx context.Context, method string, cmd structs.OrgCommand, id requestIdentity) (*structs.OrgReply, error) {
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

// errIncompleteReply reports a reply that lacks the part which the method must return.
var errIncompleteReply = errors.New("the state member's reply is incomplete")

// requirePart returns an error if the required part of a successful reply is missing.
func requirePart[T any](v *T, err error) (*T, error) {
	if err == nil && v == nil {
		return nil, errors.WithStack(errIncompleteReply)
	}
	return v, err
}

// OpenProgram creates a program.
func (c *Client) OpenProgram(ctx context.Context, org string, cmd structs.OpenProgram) (*structs.Program, error) {
	r, err := c.runOrgCommand(ctx, MethodProgramOpen, structs.OrgCommand{Org: org, OpenProgram: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.Program, nil)
}

// EndProgram ends a program and its sub-agents.
func (c *Client) EndProgram(ctx context.Context, org string, cmd structs.EndProgram) (*structs.Program, error) {
	r, err := c.runOrgCommand(ctx, MethodProgramEnd, structs.OrgCommand{Org: org, EndProgram: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.Program, nil)
}

// BeginTurn begins a turn or returns its recorded answer.
func (c *Client) BeginTurn(ctx context.Context, org string, cmd structs.BeginTurn) (*structs.BeginTurnReply, error) {
	r, err := c.runOrgCommand(ctx, MethodTurnBegin, structs.OrgCommand{Org: org, BeginTurn: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.BeginTurn, nil)
}

// FinishTurn records a turn's answer or failure.
func (c *Client) FinishTurn(ctx context.Context, org string, cmd structs.FinishTurn) (*structs.Program, error) {
	r, err := c.runOrgCommand(ctx, MethodTurnFinish, structs.OrgCommand{Org: org, FinishTurn: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.Program, nil)
}

// BeginCall begins a call that must not run more than once, or returns its record.
func (c *Client) BeginCall(ctx context.Context, org string, cmd structs.BeginCall) (*structs.BeginCallReply, error) {
	r, err := c.runOrgCommand(ctx, MethodCallBegin, structs.OrgCommand{Org: org, BeginCall: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.BeginCall, nil)
}

// FinishCall records a call's outcome.
func (c *Client) FinishCall(ctx context.Context, org string, cmd structs.FinishCall) (*structs.Call, error) {
	r, err := c.runOrgCommand(ctx, MethodCallFinish, structs.OrgCommand{Org: org, FinishCall: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.Call, nil)
}

// ResolveCall sets the outcome of a call whose outcome is unknown.
func (c *Client) ResolveCall(ctx context.Context, org string, cmd structs.ResolveCall) (*structs.Call, error) {
	r, err := c.runOrgCommand(ctx, MethodCallResolve, structs.OrgCommand{Org: org, ResolveCall: &cmd})
	if err != nil {
		return nil, err
	}
	return requirePart(r.Call, nil)
}

// Debit takes one request from the organisation's token bucket.
func (c *Client) Debit(ctx context.Context, org string, cmd structs.Debit) error {
	_, err := c.runOrgCommand(ctx, MethodRateDebit, structs.OrgCommand{Org: org, Debit: &cmd})
	return err
}
