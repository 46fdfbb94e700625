package dispatch

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// Wire methods of a scheduler.
const (
	MethodAssign     = "sched.assign"
	MethodRelease    = "sched.release"
	MethodReport     = "sched.report"
	MethodStatus     = "sched.status"
	MethodAllowRetry = "sched.allow_retry"
)

// Register adds the scheduler's handlers to a server.
func Register(server *wire.Server, m *Manager) {
	server.Handle(MethodAssign, handler(func(ctx context.Context, req *structs.AssignRequest) (any, error) {
		return m.Assign(ctx, req)
	}))
	server.Handle(MethodRelease, handler(func(_ context.Context, rel *structs.ReleaseSlot) (any, error) {
		return struct{}{}, m.Release(rel)
	}))
	server.Handle(MethodReport, handler(func(_ context.Context, rep *structs.ReportSlots) (any, error) {
		return m.ReportSlots(rep)
	}))
	server.Handle(MethodStatus, handler(func(_ context.Context, q *structs.PoolQuery) (any, error) {
		return m.Status(q.Pool)
	}))
	server.Handle(MethodAllowRetry, handler(func(_ context.Context, q *structs.PoolQuery) (any, error) {
		allowed, err := m.AllowRetry(q.Pool)
		return structs.RetryReply{Allowed: allowed}, err
	}))
}

func handler[T any](fn func(context.Context, *T) (any, error)) wire.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		req := new(T)
		if err := msgpack.Unmarshal(body, req); err != nil {
			return nil, errs.New(errs.BadRequest, "use the same version of figlb on both sides", "decode request: %v", err)
		}
		return fn(ctx, req)
	}
}
