package bodystore

import (
	"context"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/wire"
)

// getReply is a fleet.BodyGetReply that holds a share of the memory for reads until it has been sent.
type getReply struct {
	fleet.BodyGetReply
	release func()
}

// Release implements wire.Releaser.
func (r *getReply) Release() { r.release() }

// Register registers the body methods. store returns nil while the store is not open.
func Register(w *wire.Server, store func() *Store) {
	handle(w, store, fleet.MethodBodyPut, func(ctx context.Context, s *Store, req *fleet.BodyPut) (*fleet.BodyPutReply, error) {
		return s.Put(ctx, req)
	})
	handle(w, store, fleet.MethodBodyGet, func(ctx context.Context, s *Store, req *fleet.BodyGet) (*getReply, error) {
		bodies, release, err := s.Get(ctx, req.Keys)
		if err != nil {
			return nil, err
		}
		return &getReply{fleet.BodyGetReply{Bodies: bodies}, release}, nil
	})
	handle(w, store, fleet.MethodBodyOffer, func(_ context.Context, s *Store, req *fleet.BodyOffer) (*fleet.BodyOfferReply, error) {
		return s.Offer(req), nil
	})
}

// handle registers a method that needs the open store.
func handle[Q, R any](w *wire.Server, store func() *Store, method string, h func(context.Context, *Store, *Q) (*R, error)) {
	fleet.Handle(w, method, func(ctx context.Context, req *Q) (*R, error) {
		s := store()
		if s == nil {
			return nil, errs.New(errs.Unavailable, "use another store", "the data folder has not been read yet")
		}
		return h(ctx, s, req)
	})
}
