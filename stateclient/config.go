package stateclient

import (
	"context"

	"github.com/figlb/figlb/structs"
)

// Config runs a command of the config group. If the command has no request id, it gets the
// one of the context or a new one.
func (c *Client) Config(ctx context.Context, cmd structs.ConfigCommand) (*structs.ConfigReply, error) {
	if cmd.RequestID == "" {
		cmd.RequestID = requestID(ctx).id
	}
	return call[structs.ConfigReply](ctx, c, &request{
		group:  ConfigGroup,
		method: configMethod(&cmd),
		write:  true,
		body:   func(bool) any { return &cmd },
	})
}

// configMethod returns the wire method of a command.
func configMethod(c *structs.ConfigCommand) string {
	switch {
	case c.Rollback != nil:
		return MethodConfigRollback
	case c.GrantKey != nil:
		return MethodKeyGrant
	case c.RevokeKey != nil:
		return MethodKeyRevoke
	case c.SetDrain != nil:
		return MethodDrainSet
	case c.AddFingerprint != nil:
		return MethodFingerprintAdd
	case c.LiftFingerprint != nil:
		return MethodFingerprintLift
	case c.SubmitOrder != nil:
		return MethodOrderSubmit
	}
	return MethodConfigApply
}

// Confirm polls the configuration. A caller that measures the age of the poll must take
// the time before the call. The reply always contains the list of live entries; if the
// member reports it as unchanged, the last received list is filled in.
func (c *Client) Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error) {
	known := c.lastLive.Load()
	if known != nil {
		poll.LiveHash = known.LiveHash
	}
	r, err := query[structs.ConfirmReply](ctx, c, ConfigGroup, MethodConfigConfirm, &poll)
	if err != nil {
		return nil, err
	}
	if r.SameLive {
		r.Live = known.Live
	}
	c.lastLive.Store(&structs.ConfirmReply{Live: r.Live, LiveHash: r.LiveHash})
	return r, nil
}

// ApplyConfig replaces the declared objects.
func (c *Client) ApplyConfig(ctx context.Context, author string, cmd structs.ApplyConfig) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, Apply: &cmd})
}

// RollbackConfig applies an earlier declaration as a new revision.
func (c *Client) RollbackConfig(ctx context.Context, author string, cmd structs.RollbackConfig) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, Rollback: &cmd})
}

// QueryConfig reads the configuration, its history, the orders and the live entries.
func (c *Client) QueryConfig(ctx context.Context, q structs.ConfigQuery) (*structs.ConfigQueryReply, error) {
	return query[structs.ConfigQueryReply](ctx, c, ConfigGroup, MethodConfigGet, &q)
}

// History reads the configuration's history.
func (c *Client) History(ctx context.Context) (*structs.ConfigQueryReply, error) {
	return query[structs.ConfigQueryReply](ctx, c, ConfigGroup, MethodConfigHistory, &structs.ConfigQuery{History: true})
}

// GrantKey adds a key.
func (c *Client) GrantKey(ctx context.Context, author string, key structs.Key) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, GrantKey: &key})
}

// RevokeKey revokes a key permanently.
func (c *Client) RevokeKey(ctx context.Context, author string, cmd structs.RevokeKey) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, RevokeKey: &cmd})
}

// SetDrain takes an availability zone, host or target out of service or returns it.
func (c *Client) SetDrain(ctx context.Context, author string, cmd structs.SetDrain) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, SetDrain: &cmd})
}

// AddFingerprint quarantines the requests with a digest.
func (c *Client) AddFingerprint(ctx context.Context, author string, f structs.Fingerprint) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, AddFingerprint: &f})
}

// LiftFingerprint ends the quarantine of a digest.
func (c *Client) LiftFingerprint(ctx context.Context, author string, cmd structs.LiftFingerprint) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, LiftFingerprint: &cmd})
}

// SubmitOrder queues an order to a model engine.
func (c *Client) SubmitOrder(ctx context.Context, author string, o structs.EngineOrder) (*structs.ConfigReply, error) {
	return c.Config(ctx, structs.ConfigCommand{Author: author, SubmitOrder: &o})
}

// Orders lists the orders to engines.
func (c *Client) Orders(ctx context.Context) ([]structs.EngineOrder, error) {
	r, err := query[structs.ConfigQueryReply](ctx, c, ConfigGroup, MethodOrderList, &structs.ConfigQuery{})
	if err != nil {
		return nil, err
	}
	return r.Orders, nil
}
