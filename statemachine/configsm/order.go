package configsm

import (
	"slices"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxSettledOrders bounds the orders kept after they are done or have failed.
const maxSettledOrders = 1000

// Order states.
const (
	OrderPending = "pending"
	OrderDone    = "done"
	OrderFailed  = "failed"
)

// issuer is the member that may send orders to engines.
type issuer struct {
	Member  string        `msgpack:"m"`
	Term    uint64        `msgpack:"t"`
	Fencing uint64        `msgpack:"f"`
	Renewed time.Duration `msgpack:"r"` // log time
}

// acquireIssuer gives a member the lease under a new fencing number, or renews its lease
// under the same number.
func (s *state) acquireIssuer(a *structs.AcquireIssuer, now time.Duration) (uint64, *errs.Error) {
	if a.Term < s.issuer.Term {
		return 0, errs.New(errs.Superseded, "stop issuing orders",
			"member %s of term %d issues orders now", s.issuer.Member, s.issuer.Term)
	}
	held := s.issuer.Member == a.Member && s.issuer.Term == a.Term
	if !held {
		s.issuer = issuer{Member: a.Member, Term: a.Term, Fencing: s.issuer.Fencing + 1}
	}
	s.issuer.Renewed = now
	return s.issuer.Fencing, nil
}

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
	s.dropSettledOrders()
	return nil
}

func (s *state) checkOrderTarget(name string) *errs.Error {
	obj, ok := s.live(structs.KindTarget, name)
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

func (s *state) dropSettledOrders() {
	settled := 0
	for _, o := range s.orders {
		if o.State != OrderPending {
			settled++
		}
	}
	excess := settled - maxSettledOrders
	s.orders = slices.DeleteFunc(s.orders, func(o structs.EngineOrder) bool {
		drop := excess > 0 && o.State != OrderPending
		if drop {
			excess--
		}
		return drop
	})
}

// updateOrder records progress reported by the current issuer.
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
