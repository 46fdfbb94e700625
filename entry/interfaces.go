package entry

import (
	"context"

	"github.com/figlb/figlb/structs"
)

// State is the replicated state as the entry uses it. Errors are *errs.Error for
// refusals; errs.Uncertain, errs.Unavailable and context errors mean that a command
// may or may not be recorded.
type State interface {
	OpenProgram(ctx context.Context, org string, req structs.OpenProgram) (*structs.Program, error)
	EndProgram(ctx context.Context, org string, req structs.EndProgram) (*structs.Program, error)
	GetProgram(ctx context.Context, req structs.ProgramQuery) (*structs.Program, error)

	BeginTurn(ctx context.Context, org string, req structs.BeginTurn) (*structs.BeginTurnReply, error)
	FinishTurn(ctx context.Context, org string, req structs.FinishTurn) error
	GetTurn(ctx context.Context, req structs.TurnQuery) (*structs.Turn, error)

	BeginCall(ctx context.Context, org string, req structs.BeginCall) (*structs.BeginCallReply, error)
	FinishCall(ctx context.Context, org string, req structs.FinishCall) (*structs.Call, error)
	ResolveCall(ctx context.Context, org string, req structs.ResolveCall) (*structs.Call, error)
	GetCall(ctx context.Context, req structs.CallQuery) (*structs.Call, error)

	Debit(ctx context.Context, org string, req structs.Debit) error

	ConfirmConfig(ctx context.Context, req structs.ConfirmConfig) (*structs.ConfirmReply, error)
	AddFingerprint(ctx context.Context, req structs.Fingerprint) error
}

// Scheduler assigns requests to targets.
type Scheduler interface {
	// Assign waits in the scheduler's queue until a target has a free slot.
	Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error)
	Release(ctx context.Context, req *structs.ReleaseSlot) error
	Report(ctx context.Context, req *structs.ReportSlots) error
}
