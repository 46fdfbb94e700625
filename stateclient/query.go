package stateclient

import (
	"context"
	"time"

	"github.com/figlb/figlb/structs"
)

// query reads from the leader of a group.
func query[R any](ctx context.Context, c *Client, group uint32, method string, req any) (*R, error) {
	return call[R](ctx, c, &request{group: group, method: method, body: func(bool) any { return req }})
}

// GetProgram reads a program.
func (c *Client) GetProgram(ctx context.Context, q structs.ProgramQuery) (*structs.Program, error) {
	return query[structs.Program](ctx, c, c.OrgGroup(q.Org), MethodProgramGet, &q)
}

// GetTurn reads a turn. It waits at most q.Wait for a turn in progress to end.
func (c *Client) GetTurn(ctx context.Context, q structs.TurnQuery) (*structs.Turn, error) {
	until := time.Now().Add(q.Wait)
	return call[structs.Turn](ctx, c, &request{
		group:  c.OrgGroup(q.Org),
		method: MethodTurnGet,
		wait:   q.Wait,
		body: func(bool) any {
			next := q
			next.Wait = max(time.Until(until), 0)
			return &next
		},
	})
}

// GetCall reads a call. It waits at most q.Wait for a call in progress to end.
func (c *Client) GetCall(ctx context.Context, q structs.CallQuery) (*structs.Call, error) {
	until := time.Now().Add(q.Wait)
	return call[structs.Call](ctx, c, &request{
		group:  c.OrgGroup(q.Org),
		method: MethodCallGet,
		wait:   q.Wait,
		body: func(bool) any {
			next := q
			next.Wait = max(time.Until(until), 0)
			return &next
		},
	})
}
