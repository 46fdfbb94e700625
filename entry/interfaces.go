package entry

import (
	"context"

	"github.com/figlb/figlb/structs"
)

// State is the part of the replicated state that the entry uses; *stateclient.Client
// implements it. Refused commands and queries return an *errs.Error. After errs.Uncertain,
// errs.Unavailable or a context error, a command may or may not have been applied.
type State interface {
	OpenProgram(ctx context.Context, org string, req structs.OpenProgram) (*structs.Program, error)
	EndProgram(ctx context.Context, org string, req structs.EndProgram) (*structs.Program, error)
	GetProgram(ctx context.Context, req structs.ProgramQuery) (*structs.Program, error)

	BeginTurn(ctx context.Context, org string, req structs.BeginTurn) (*structs.BeginTurnReply, error)
	FinishTurn(ctx context.Context, org string, req structs.FinishTurn) (*structs.Program, error)
	GetTurn(ctx context.Context, req structs.TurnQuery) (*structs.Turn, error)

	BeginCall(ctx context.Context, org string, req structs.BeginCall) (*structs.BeginCallReply, error)
	FinishCall(ctx context.Context, org string, req structs.FinishCall) (*structs.Call, error)
	ResolveCall(ctx context.Context, org string, req structs.ResolveCall) (*structs.Call, error)
	GetCall(ctx context.Context, req structs.CallQuery) (*structs.Call, error)

	Debit(ctx context.Context, org string, req structs.Debit) error

	Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error)
	AddFingerprint(ctx context.Context, author string, f structs.Fingerprint) (*structs.ConfigReply, error)
}

// Scheduler assigns requests to targets; *schedclient.Client implements it. Between Assign
// and Release it reports the slot as in use to the schedulers.
type Scheduler interface {
	// Assign waits in the queue of the scheduler until a target has a free slot. A request
	// that excludes targets is a retry; it fails with errs.TargetFailed if the retry budget
	// of the pool is exhausted.
	Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error)
	// Release returns the slot of an assignment.
	Release(ctx context.Context, req *structs.ReleaseSlot) error
}
