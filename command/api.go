package command

import (
	"context"

	"github.com/figlb/figlb/structs"
)

// API is the client interface to the state members that the verbs use. It is implemented
// by stateclient.Client.
type API interface {
	// Config submits a command to group 0, the configuration group.
	Config(ctx context.Context, cmd structs.ConfigCommand) (*structs.ConfigReply, error)
	// QueryConfig reads from the configuration group.
	QueryConfig(ctx context.Context, q structs.ConfigQuery) (*structs.ConfigQueryReply, error)
	// Members returns the status of each reachable member and the error for each unreachable
	// one, both by address.
	Members(ctx context.Context) (map[string]structs.MemberStatus, map[string]error)
	// RemoveMember removes a member from all groups.
	RemoveMember(ctx context.Context, id string) error
	// GetCall returns the record of a non-repeatable call.
	GetCall(ctx context.Context, q structs.CallQuery) (*structs.Call, error)
	// ResolveCall records the outcome of a call whose outcome is unknown.
	ResolveCall(ctx context.Context, org string, r structs.ResolveCall) (*structs.Call, error)
	// Targets returns the status of all targets as reported by their schedulers.
	Targets(ctx context.Context) ([]structs.TargetStatus, error)
	// SaveSnapshot returns a snapshot of all groups.
	SaveSnapshot(ctx context.Context) ([]byte, error)
	// LoadSnapshot restores a snapshot of all groups into a new site.
	LoadSnapshot(ctx context.Context, snapshot []byte) error
	Close()
}
