package configsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxFinishedOrders limits the number of orders kept after they are done or have failed.
const maxFinishedOrders = 1000

// States of engine orders.
const (
	OrderPending = "pending"
	OrderDone    = "done"
	OrderFailed  = "failed"
)

// issuer is the member that holds the lease for sending orders to engines.
type issuer struct {
	Member  string        `msgpack:"m"`
	Term    uint64        `msgpack:"t"`
	Fencing uint64        `msgpack:"f"`
	Renewed time.Duration `msgpack:"r"` // log time of the last grant or renewal
}

// acquireIssuer grants the issuer lease to a member under a new fencing number. If the
// member holds the lease in the same term already, it renews the lease under the same
// number. A member of an older term is rejected.
func (s *state) acquireIssuer(a *structs.AcquireIssuer, now time.Duration) (uint64, *errs.Error) {
	if a.Term < s.issuer.Term {
		return 0, errs.New(errs.Superseded, "stop issuing orders",
			"member %s of term %d issues orders now", s.issuer.Member, s.issuer.Term)
	}
	holdsLease := s.issuer.Member == a.Member && s.issuer.Term == a.Term
	if !holdsLease {
		s.issuer = issuer{Member: a.Member, Term: a.Term, Fencing: s.issuer.Fencing + 1}
	}
	s.issuer.Renewed = now
	return s.issuer.Fencing, nil
}

// submitOrder adds a pending order for a model engine. Submitting the same order again
// changes nothing.
func (s *state) submitOrder(o *structs.EngineOrder) *errs.Error {
	if o.ID == "" {
		return errs.New(errs.BadRequest, "send an order id", "the order has no id")
	}
	if !slices.Contains([]string{"load_model", "load_adapter", "set_version", "set_role"}, o.Action) {
		return errs.New(errs.BadRequest, "use load_model, load_adapter, set_version or set_role", "action %q is unknown", o.Action)
	}
	if err := s.checkOrderTarget(o.Target); err != nil {
		return err
	}
	if old := s.order(o.ID); old != nil {
		if old.Target == o.Target && old.Action == o.Action && old.Value == o.Value {
			return nil
		}
		return errs.New(errs.BadRequest, "use a new id", "order id %q is in use", o.ID)
	}
	s.orders = append(s.orders, structs.EngineOrder{
		ID: o.ID, Target: o.Target, Action: o.Action, Value: o.Value, State: OrderPending,
	})
	s.pruneFinishedOrders()
	return nil
}

func (s *state) checkOrderTarget(name string) *errs.Error {
	obj, ok := s.lookup(structs.KindTarget, name)
	if !ok {
		return errs.New(errs.NotFound, "check the name in the configuration", "target %q does not exist", name)
	}
	var t structs.Target
	decode(obj, &t)
	if t.Model == "" {
		return errs.New(errs.BadRequest, "choose a model engine", "target %q is not a model engine", name)
	}
	return nil
}

func (s *state) order(id string) *structs.EngineOrder {
	for i := range s.orders {
		if s.orders[i].ID == id {
			return &s.orders[i]
		}
	}
	return nil
}

// pruneFinishedOrders deletes the oldest finished orders in excess of maxFinishedOrders.
func (s *state) pruneFinishedOrders() {
	finished := 0
	for _, o := range s.orders {
		if o.State != OrderPending {
			finished++
		}
	}
	excess := finished - maxFinishedOrders
	s.orders = slices.DeleteFunc(s.orders, func(o structs.EngineOrder) bool {
		drop := excess > 0 && o.State != OrderPending
		if drop {
			excess--
		}
		return drop
	})
}

// updateOrder records the progress of a pending order, reported by the current issuer.
func (s *state) updateOrder(u *structs.UpdateOrder) *errs.Error {
	o := s.order(u.ID)
	if o == nil {
		return errs.New(errs.NotFound, "check the id in the list of orders", "order %q does not exist", u.ID)
	}
	if u.Fencing != s.issuer.Fencing {
		return errs.New(errs.Superseded, "stop issuing orders",
			"fencing number %d is not the current one, %d", u.Fencing, s.issuer.Fencing)
	}
	if o.State != OrderPending {
		return errs.New(errs.Superseded, "submit a new order", "order %q is %s", u.ID, o.State)
	}
	if !slices.Contains([]string{OrderPending, OrderDone, OrderFailed}, u.State) {
		return errs.New(errs.BadRequest, "use pending, done or failed", "order state %q is unknown", u.State)
	}
	o.State, o.Fencing, o.Detail = u.State, u.Fencing, u.Detail
	return nil
}
