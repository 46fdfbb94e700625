package stateclient

import (
	"context"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
	"github.com/figlb/figlb/wire"
)

// controllerAttemptTimeout bounds one attempt of a call that may be repeated. A leader
// answers within 30 ms, and a frozen leader is replaced within 600 ms.
const controllerAttemptTimeout = 350 * time.Millisecond

// callController calls the leader of a controller group, with controllerAttemptTimeout for
// each attempt.
func callController[R any](ctx context.Context, c *Client, group uint32, method string, write bool, req any) (*R, error) {
	r := &request{group: group, method: method, write: write, timeout: controllerAttemptTimeout, body: func(bool) any { return req }}
	return call[R](ctx, c, r)
}

// Poll confirms a host's configuration with the leader of the document group.
func (c *Client) Poll(ctx context.Context, req *fleet.PollRequest) (*fleet.PollReply, error) {
	return callController[fleet.PollReply](ctx, c, fleet.DocumentGroup, fleet.MethodPoll, false, req)
}

// RequestGrant requests a grant of an organisation's rate.
func (c *Client) RequestGrant(ctx context.Context, req *fleet.RateRequest) (*fleet.Grant, error) {
	return callController[fleet.Grant](ctx, c, fleet.DocumentGroup, fleet.MethodRate, false, req)
}

// Permit asks for the permit to send a request to a target that names a request limit.
func (c *Client) Permit(ctx context.Context, req *fleet.PermitRequest) (*fleet.PermitReply, error) {
	return callController[fleet.PermitReply](ctx, c, fleet.DocumentGroup, fleet.MethodPermit, false, req)
}

// PutDocument stores a version of the document.
func (c *Client) PutDocument(ctx context.Context, req *fleet.PutRequest) (*fleet.PutReply, error) {
	return callController[fleet.PutReply](ctx, c, fleet.DocumentGroup, fleet.MethodPut, true, req)
}

// GetDocument returns the newest document.
func (c *Client) GetDocument(ctx context.Context) (*fleet.GetReply, error) {
	return callController[fleet.GetReply](ctx, c, fleet.DocumentGroup, fleet.MethodGet, false, struct{}{})
}

// ZoneOrder returns the number of the next order for an availability zone.
func (c *Client) ZoneOrder(ctx context.Context, req *fleet.ZoneOrderRequest) (*fleet.ZoneOrderReply, error) {
	return callController[fleet.ZoneOrderReply](ctx, c, fleet.DocumentGroup, fleet.MethodZoneOrder, false, req)
}

// SetZoneOutOfService takes an availability zone out of service or returns it.
func (c *Client) SetZoneOutOfService(ctx context.Context, req *fleet.ZoneRequest) (*fleet.PutReply, error) {
	return callController[fleet.PutReply](ctx, c, fleet.DocumentGroup, fleet.MethodZone, true, req)
}

// MemberFeatures asks one controller which features it understands. A controller of an older build
// understands none.
func (c *Client) MemberFeatures(ctx context.Context, addr string) (uint64, error) {
	reply, err := attempt[fleet.FeaturesReply](ctx, c, addr, &request{method: fleet.MethodFeatures, timeout: controllerAttemptTimeout}, struct{}{})
	if wire.IsUnknownMethod(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return reply.Features, nil
}

// Retire retires a store host, or asks for the state of its retirement. It may be repeated.
func (c *Client) Retire(ctx context.Context, req *fleet.RetireRequest) (*fleet.RetireReply, error) {
	return callController[fleet.RetireReply](ctx, c, fleet.DocumentGroup, fleet.MethodRetire, true, req)
}

// Hosts lists the hosts that poll the leader.
func (c *Client) Hosts(ctx context.Context) (*fleet.HostsReply, error) {
	return callController[fleet.HostsReply](ctx, c, fleet.DocumentGroup, fleet.MethodHosts, false, struct{}{})
}

// Reserve reserves tokens for a turn. It may be repeated under the same attempt.
func (c *Client) Reserve(ctx context.Context, req *ledgersm.Reserve) (*fleet.ReserveReply, error) {
	return callController[fleet.ReserveReply](ctx, c, fleet.LedgerGroup, fleet.MethodReserve, true, req)
}

// Settle ends a reservation. It may be repeated.
func (c *Client) Settle(ctx context.Context, req *ledgersm.Settle) (*ledgersm.Reply, error) {
	return callController[ledgersm.Reply](ctx, c, fleet.LedgerGroup, fleet.MethodSettle, true, req)
}

// RecordStream records or looks up the source of a stream that belongs to no turn. It may be repeated.
func (c *Client) RecordStream(ctx context.Context, req *ledgersm.RecordStream) (*ledgersm.Reply, error) {
	return callController[ledgersm.Reply](ctx, c, fleet.LedgerGroup, fleet.MethodStream, true, req)
}

// AppendEvents appends events of streams to their logs. It may be repeated.
func (c *Client) AppendEvents(ctx context.Context, req *ledgersm.AppendEvents) (*ledgersm.Reply, error) {
	return callController[ledgersm.Reply](ctx, c, fleet.LedgerGroup, fleet.MethodEvents, true, req)
}

// ProgramBegun reports whether the ledger knows a program.
func (c *Client) ProgramBegun(ctx context.Context, req *fleet.ProgramRequest) (bool, error) {
	reply, err := c.Program(ctx, req)
	if err != nil {
		return false, err
	}
	return reply.Begun, nil
}

// Program returns what the ledger knows of a program.
func (c *Client) Program(ctx context.Context, req *fleet.ProgramRequest) (*fleet.ProgramReply, error) {
	return callController[fleet.ProgramReply](ctx, c, fleet.LedgerGroup, fleet.MethodProgram, false, req)
}

// StartRollout orders a roll-out. It may be repeated under the same number.
func (c *Client) StartRollout(ctx context.Context, req *fleet.RolloutRequest) (*struct{}, error) {
	return callController[struct{}](ctx, c, fleet.DocumentGroup, fleet.MethodRollout, true, req)
}

// RolloutState returns the state of the latest roll-out of a service.
func (c *Client) RolloutState(ctx context.Context, req *fleet.RolloutStateRequest) (*fleet.RolloutStatus, error) {
	return callController[fleet.RolloutStatus](ctx, c, fleet.DocumentGroup, fleet.MethodRolloutState, false, req)
}

// Exposure asks for the permission to send one request to a version on trial.
func (c *Client) Exposure(ctx context.Context, req *fleet.ExposureRequest) (*fleet.ExposureReply, error) {
	return callController[fleet.ExposureReply](ctx, c, fleet.DocumentGroup, fleet.MethodExposure, false, req)
}
