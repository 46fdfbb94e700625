package stateserver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/statemachine/configsm"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// registerOrgCommands registers the commands of the organisation groups. Each method
// accepts only its own kind of command.
func (s *Server) registerOrgCommands(w *wire.Server) {
	for method, matches := range map[string]func(*structs.OrgCommand) bool{
		stateclient.MethodProgramOpen: func(c *structs.OrgCommand) bool { return c.OpenProgram != nil },
		stateclient.MethodProgramEnd:  func(c *structs.OrgCommand) bool { return c.EndProgram != nil },
		stateclient.MethodTurnBegin:   func(c *structs.OrgCommand) bool { return c.BeginTurn != nil },
		stateclient.MethodTurnFinish:  func(c *structs.OrgCommand) bool { return c.FinishTurn != nil },
		stateclient.MethodCallBegin:   func(c *structs.OrgCommand) bool { return c.BeginCall != nil },
		stateclient.MethodCallFinish:  func(c *structs.OrgCommand) bool { return c.FinishCall != nil },
		stateclient.MethodCallResolve: func(c *structs.OrgCommand) bool { return c.ResolveCall != nil },
		stateclient.MethodRateDebit:   func(c *structs.OrgCommand) bool { return c.Debit != nil },
	} {
		handle(s, w, method, func(ctx context.Context, c *structs.OrgCommand) (any, error) {
			if !matches(c) || c.Org == "" || c.RequestID == "" {
				return nil, incompleteCommand(method)
			}
			return s.handleOrgCommand(ctx, c)
		})
	}
}

func incompleteCommand(method string) *errs.Error {
	return errs.New(errs.BadRequest, "upgrade the sender", "%s: the command is incomplete", method)
}

// handleOrgCommand proposes a command. The leader rejects a command that exceeds the
// organisation's rate without a log entry. A resend is always proposed, because its first
// copy may be in the log already.
func (s *Server) handleOrgCommand(ctx context.Context, c *structs.OrgCommand) (*structs.OrgReply, error) {
	group := stateclient.OrgGroup(c.Org, s.groups)
	if !c.Resend && s.Node.IsLeader(group) {
		if err := s.StateMachines.Orgs[group].CheckRateLimit(c, s.Node.LogTime(group)); err != nil {
			return nil, err
		}
	}
	return s.proposeOrg(ctx, group, c)
}

func (s *Server) proposeOrg(ctx context.Context, group uint32, c *structs.OrgCommand) (*structs.OrgReply, error) {
	reply := new(structs.OrgReply)
	if err := s.propose(ctx, group, c, reply); err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	return reply, nil
}

// propose replicates a command through the log of a group and decodes the state machine's
// reply.
func (s *Server) propose(ctx context.Context, group uint32, cmd, reply any) error {
	body, err := msgpack.Marshal(cmd)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	out, err := s.Node.Propose(ctx, group, body)
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(out, reply), "decode the state machine's reply")
}

// registerConfigCommands registers the commands of the config group. Each method accepts
// only its own kind of command.
func (s *Server) registerConfigCommands(w *wire.Server) {
	for method, matches := range map[string]func(*structs.ConfigCommand) bool{
		stateclient.MethodConfigApply:     func(c *structs.ConfigCommand) bool { return c.Apply != nil },
		stateclient.MethodConfigRollback:  func(c *structs.ConfigCommand) bool { return c.Rollback != nil },
		stateclient.MethodKeyGrant:        func(c *structs.ConfigCommand) bool { return c.GrantKey != nil },
		stateclient.MethodKeyRevoke:       func(c *structs.ConfigCommand) bool { return c.RevokeKey != nil },
		stateclient.MethodDrainSet:        func(c *structs.ConfigCommand) bool { return c.SetDrain != nil },
		stateclient.MethodFingerprintAdd:  func(c *structs.ConfigCommand) bool { return c.AddFingerprint != nil },
		stateclient.MethodFingerprintLift: func(c *structs.ConfigCommand) bool { return c.LiftFingerprint != nil },
		stateclient.MethodOrderSubmit:     func(c *structs.ConfigCommand) bool { return c.SubmitOrder != nil },
	} {
		handle(s, w, method, func(ctx context.Context, c *structs.ConfigCommand) (any, error) {
			if !matches(c) || c.RequestID == "" {
				return nil, incompleteCommand(method)
			}
			return s.proposeConfig(ctx, c)
		})
	}
}

// proposeConfig stamps a command with the current time and proposes it to the config group.
func (s *Server) proposeConfig(ctx context.Context, c *structs.ConfigCommand) (*structs.ConfigReply, error) {
	c.Now = time.Now().Unix()
	var reply configsm.Reply
	if err := s.propose(ctx, stateclient.ConfigGroup, c, &reply); err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	return &reply.OK, nil
}
