package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
)

// orderState is the state of an order as far as its caller knows.
type orderState string

const (
	orderAcknowledged orderState = "acknowledged"
	orderNotRun       orderState = "not_run" // every attempt was refused without being run
	orderUnknown      orderState = "unknown"
)

// orderTracker records the state of each order as its caller knows it.
type orderTracker struct {
	mu     sync.Mutex
	states map[string]orderState // by reference
}

func newOrderTracker() *orderTracker { return &orderTracker{states: map[string]orderState{}} }

func (b *orderTracker) set(ref string, s orderState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[ref] = s
}

// sendOrder sends an order that must be executed at most once. All attempts carry the same
// Idempotency-Key.
func (p *program) sendOrder(ctx context.Context) bool {
	ref := fmt.Sprintf("%s-%016x%016x", p.org.Name, p.rng.Uint64(), p.rng.Uint64())
	state := orderNotRun
	r := p.sendWithRetries(ctx, call{
		method:  "POST",
		path:    p.kind.OrderPath,
		header:  map[string]string{"Idempotency-Key": ref},
		body:    map[string]any{"ref": ref, "program": p.id, "copies": 1 + p.rng.IntN(9)},
		counted: true,
		onFailure: func(f *failure) {
			if f.Run != errs.NotRun {
				state = orderUnknown
			}
		},
	})
	if r.fail == nil {
		state = orderAcknowledged
		p.checkOrder(ref, r)
	}
	p.d.orders.set(ref, state)
	return r.fail == nil
}

func (p *program) checkOrder(ref string, r *reply) {
	var got struct {
		Ref string `json:"ref"`
	}
	if json.Unmarshal(r.body, &got) != nil || got.Ref != ref {
		p.d.rec.recordViolation(mismatchedAnswer, fmt.Sprintf("order %s got %q", ref, r.body))
	}
}

// lookUpItem reads a random item of the catalogue and checks the reply.
func (p *program) lookUpItem(ctx context.Context) bool {
	path := fmt.Sprintf("%s/%d", p.kind.LookupPath, p.rng.IntN(1000))
	r := p.sendWithRetries(ctx, call{method: "GET", path: path, counted: true})
	if r.fail != nil {
		return false
	}
	var got struct {
		Path string `json:"path"`
	}
	if json.Unmarshal(r.body, &got) != nil || got.Path != path {
		p.d.rec.recordViolation(mismatchedAnswer, fmt.Sprintf("lookup of %s got %q", path, r.body))
	}
	return true
}

// check compares the states that callers know with the executions that the stand-in order
// services counted. Without urls it only records the states.
func (b *orderTracker) check(ctx context.Context, urls []string, rec *recorder) error {
	if len(urls) == 0 {
		rec.recordOrders(b.states, nil)
		return nil
	}
	executed := map[string]int{}
	for _, u := range urls {
		r := send(ctx, "GET", u+"/admin/executions", nil, nil)
		if r.fail != nil {
			return errors.Errorf("read executions from %s: %s", u, r.fail.Message)
		}
		var counts struct {
			ByRef map[string]int `json:"by_ref"`
		}
		if err := json.Unmarshal(r.body, &counts); err != nil {
			return errors.Wrapf(err, "executions from %s", u)
		}
		for ref, n := range counts.ByRef {
			executed[ref] += n
		}
	}
	rec.recordOrders(b.states, executed)
	for ref, s := range b.states {
		n := executed[ref]
		switch {
		case n > 1:
			rec.recordViolation(duplicateExecution, fmt.Sprintf("order %s was executed %d times", ref, n))
		case n == 1 && s == orderNotRun:
			rec.recordViolation(falseNotRun, "order "+ref+" was executed")
		case n == 0 && s == orderAcknowledged:
			rec.recordViolation(lostOrder, "order "+ref+" was acknowledged and not executed")
		}
	}
	return nil
}
