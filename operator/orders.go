package operator

import (
	"context"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/wire"
)

// minStores is the number of store hosts that must remain after one is retired while the leader is of a
// build that keeps no bodies on them.
const minStores = 2

// Operations implements platform.Operations by calls to the controller leaders.
type Operations struct {
	Client *stateclient.Client
}

// Put stores a valid configuration. A configuration that is not newer than the one in force
// is acknowledged without effect.
func (o *Operations) Put(ctx context.Context, t *routing.Table, body []byte) error {
	_, err := o.Client.PutDocument(ctx, &fleet.PutRequest{Version: t.Version, Body: body})
	return err
}

// Get returns the body of the newest configuration, exactly as it was received.
func (o *Operations) Get(ctx context.Context) ([]byte, error) {
	reply, err := o.Client.GetDocument(ctx)
	if err != nil {
		return nil, err
	}
	if reply.Version == 0 {
		return nil, errs.New(errs.Unavailable, "send a configuration first", "there is no configuration yet")
	}
	return reply.Body, nil
}

// NextZoneOrder returns the number under which the next order for an availability zone can be executed.
// It is higher than those of all orders that have been acknowledged.
func (o *Operations) NextZoneOrder(ctx context.Context, zone string) (uint64, error) {
	reply, err := o.Client.ZoneOrder(ctx, &fleet.ZoneOrderRequest{Zone: zone})
	if err != nil {
		return 0, err
	}
	return reply.Order, nil
}

// SetZoneOutOfService takes an availability zone out of service, or returns it to service if out is
// false. It fails if another order for the zone has been executed under this number or a higher one.
func (o *Operations) SetZoneOutOfService(ctx context.Context, zone string, out bool, order uint64) error {
	_, err := o.Client.SetZoneOutOfService(ctx, &fleet.ZoneRequest{Zone: zone, Out: out, Order: order})
	return err
}

// Retire orders that a store host is retired and reports whether it holds no more data and can be removed.
// It fails if too few store hosts would remain.
func (o *Operations) Retire(ctx context.Context, host string) (bool, error) {
	reply, err := o.Client.Retire(ctx, &fleet.RetireRequest{Host: host, Order: true})
	if wire.IsUnknownMethod(err) {
		return o.retireWithoutOrder(ctx, host)
	}
	if err != nil {
		return false, err
	}
	return reply.Completed, nil
}

// IsRetired reports whether a retired store host holds no more data.
func (o *Operations) IsRetired(ctx context.Context, host string) (bool, error) {
	reply, err := o.Client.Retire(ctx, &fleet.RetireRequest{Host: host})
	if wire.IsUnknownMethod(err) {
		return o.isKnownStore(ctx, host)
	}
	if err != nil {
		return false, err
	}
	return reply.Completed, nil
}

// retireWithoutOrder serves Retire while the leader is of a build without such orders. Store hosts hold no
// bodies then.
func (o *Operations) retireWithoutOrder(ctx context.Context, host string) (bool, error) {
	stores, known, err := o.stores(ctx, host)
	if err != nil {
		return false, err
	}
	if known && stores-1 < minStores {
		return false, errs.New(errs.Superseded, "add a store host first", "%d store hosts would remain of at least %d", stores-1, minStores)
	}
	return o.isKnownStore(ctx, host)
}

// isKnownStore returns true for a known store host and fails for another one.
func (o *Operations) isKnownStore(ctx context.Context, host string) (bool, error) {
	_, known, err := o.stores(ctx, host)
	if err != nil {
		return false, err
	}
	if !known {
		return false, errs.New(errs.NotFound, "name a store host", "store host %q is not known", host)
	}
	return true, nil
}

// stores returns the number of store hosts and whether host is one of them. For some time
// after an election, the leader may not have received a poll from every host. In that time an
// unknown host leads to Unavailable, because it may exist.
func (o *Operations) stores(ctx context.Context, host string) (n int, known bool, err error) {
	reply, err := o.Client.Hosts(ctx)
	if err != nil {
		return 0, false, err
	}
	for _, h := range reply.Hosts {
		if h.Kind != fleet.KindStore {
			continue
		}
		n++
		known = known || h.Name == host
	}
	if !known && !reply.Complete {
		return 0, false, errs.New(errs.Unavailable, "retry", "the list of hosts is incomplete after a leader election")
	}
	return n, known, nil
}
