package fleet

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/wire"
)

// Handle registers a handler for a method and decodes requests into its request type.
func Handle[Q, R any](w *wire.Server, method string, h func(context.Context, *Q) (*R, error)) {
	w.Handle(method, func(ctx context.Context, body []byte) (any, error) {
		req := new(Q)
		if err := msgpack.Unmarshal(body, req); err != nil {
			return nil, errs.New(errs.BadRequest, "upgrade the peer", "%s: %v", method, err)
		}
		return h(ctx, req)
	})
}
