package command

import (
	"context"

	"github.com/figlb/figlb/structs"
)

// API is what the verbs need of the state members. Package stateclient implements it.
type API interface {
	// Config runs a command of group 0.
	Config(ctx context.Context, cmd structs.ConfigCommand) (*structs.ConfigReply, error)
	// QueryConfig reads group 0.
	QueryConfig(ctx context.Context, q structs.ConfigQuery) (*structs.ConfigQueryReply, error)
	// Members returns the status of each reachable member and the error of each other one.
	Members(ctx context.Context) (map[string]structs.MemberStatus, map[string]error)
	// RemoveMember removes a member from all groups.
	RemoveMember(ctx context.Context, id string) error
	// GetCall reads a non-repeatable call.
	GetCall(ctx context.Context, q structs.CallQuery) (*structs.Call, error)
	// ResolveCall settles a call whose outcome is unknown.
	ResolveCall(ctx context.Context, org string, r structs.ResolveCall) (*structs.Call, error)
	// Targets returns the targets as their schedulers see them.
	Targets(ctx context.Context) ([]structs.TargetStatus, error)
	// SaveSnapshot returns the state of all groups.
	SaveSnapshot(ctx context.Context) ([]byte, error)
	// LoadSnapshot replaces the state of all groups of a new site.
	LoadSnapshot(ctx context.Context, snapshot []byte) error
	Close()
}
