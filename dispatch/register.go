package dispatch

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// Methods of a scheduler in the wire protocol.
const (
	MethodAssign     = "sched.assign"
	MethodRelease    = "sched.release"
	MethodReport     = "sched.report"
	MethodStatus     = "sched.status"
	MethodAllowRetry = "sched.allow_retry"
)

// Register adds handlers for the methods of the manager's schedulers to a server.
func Register(server *wire.Server, m *Manager) {
	server.Handle(MethodAssign, decodeHandler(func(ctx context.Context, req *structs.AssignRequest) (any, error) {
		return m.Assign(ctx, req)
	}))
	server.Handle(MethodRelease, decodeHandler(func(_ context.Context, rel *structs.ReleaseSlot) (any, error) {
		return struct{}{}, m.Release(rel)
	}))
	server.Handle(MethodReport, decodeHandler(func(_ context.Context, rep *structs.ReportSlots) (any, error) {
		return m.ReportSlots(rep)
	}))
	server.Handle(MethodStatus, decodeHandler(func(_ context.Context, q *structs.PoolQuery) (any, error) {
		return m.Status(q.Pool)
	}))
	server.Handle(MethodAllowRetry, decodeHandler(func(_ context.Context, q *structs.PoolQuery) (any, error) {
		allowed, err := m.AllowRetry(q.Pool)
		return structs.RetryReply{Allowed: allowed}, err
	}))
}

// decodeHandler returns a wire handler that decodes the request for fn.
func decodeHandler[T any](fn func(context.Context, *T) (any, error)) wire.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		req := new(T)
		if err := msgpack.Unmarshal(body, req); err != nil {
			return nil, errs.New(errs.BadRequest, "use the same version of figlb on both sides", "decode request: %v", err)
		}
		return fn(ctx, req)
	}
}
