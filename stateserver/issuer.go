package stateserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/statemachine/configsm"
	"github.com/figlb/figlb/structs"
)

const (
	orderPeriod = 500 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	orderTimeout = 2 * time.Second
	// issuerLease is how long an issuer may send orders after it asked for the lease. No
	// call is begun that could outlast it.
	issuerLease = 5 * time.Second
	// issuerWait is how long a new issuer waits before it sends an order to a target that
	// does not check fencing numbers: the older issuer asked for its lease before the new
	// one got its own, so its lease ends within issuerLease; the rest covers the error of
	// both clocks (1%) and a call that ends at the limit.
	issuerWait = issuerLease + 500*time.Millisecond
	// orderRetryDelay spaces the tries at an engine that fails.
	orderRetryDelay = 2 * time.Second
)

// maxOrderCalls bounds the engines called at the same time.
const maxOrderCalls = 16

// issuer sends pending orders to engines while this member leads group 0.
type issuer struct {
	s      *Server
	client *http.Client
	lease  lease

	mu    sync.Mutex
	retry map[string]time.Time // by target
}

// lease is the right to issue orders.
type lease struct {
	fencing uint64 // 0: none
	// askedAt is when the lease was asked for last, gotAt when its fencing number was
	// first received.
	askedAt, gotAt time.Time
}

func newIssuer(s *Server) *issuer {
	return &issuer{s: s, client: newTargetClient(orderTimeout), retry: map[string]time.Time{}}
}

// round sends each target its oldest pending order.
func (i *issuer) round(ctx context.Context) {
	if !i.s.Node.IsLeader(stateclient.ConfigGroup) {
		return
	}
	orders := oldestPending(i.s.Machines.Config.Orders())
	orders = slices.DeleteFunc(orders, func(o structs.EngineOrder) bool { return !i.due(o.Target) })
	if len(orders) == 0 {
		return
	}
	if err := i.acquire(ctx); err != nil {
		i.s.logJob("order issuer", stateclient.ConfigGroup, err)
		return
	}
	var g errgroup.Group
	g.SetLimit(maxOrderCalls)
	for _, o := range orders {
		g.Go(func() error {
			i.issue(ctx, i.lease, o)
			return nil
		})
	}
	_ = g.Wait()
}

// oldestPending returns the oldest pending order of each target: a target gets its
// orders in sequence.
func oldestPending(orders []structs.EngineOrder) []structs.EngineOrder {
	seen := map[string]bool{}
	var out []structs.EngineOrder
	for _, o := range orders {
		if o.State != configsm.OrderPending || seen[o.Target] {
			continue
		}
		seen[o.Target] = true
		out = append(out, o)
	}
	return out
}

// acquire gets or renews the lease.
func (i *issuer) acquire(ctx context.Context) error {
	_, term := i.s.Node.Leader(stateclient.ConfigGroup)
	asked := time.Now()
	r, err := i.propose(ctx, &structs.ConfigCommand{AcquireIssuer: &structs.AcquireIssuer{Member: i.s.ID, Term: term}})
	if err != nil {
		return err
	}
	if r.Fencing != i.lease.fencing {
		i.lease.gotAt = time.Now()
	}
	i.lease.fencing, i.lease.askedAt = r.Fencing, asked
	return nil
}

func (i *issuer) propose(ctx context.Context, c *structs.ConfigCommand) (*structs.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	c.RequestID = stateclient.NewRequestID()
	c.Author = i.s.ID
	return i.s.proposeConfig(ctx, c)
}

// issue sends one order if its target may have it now.
func (i *issuer) issue(ctx context.Context, l lease, o structs.EngineOrder) {
	t, ok := i.s.Machines.Config.Target(o.Target)
	if !ok {
		i.update(ctx, l, o, configsm.OrderFailed, "the target is not declared any more")
		return
	}
	if !i.mayIssue(l, &t) {
		return
	}
	state, detail := i.send(ctx, t.Address, l.fencing, &o)
	if state == configsm.OrderPending {
		i.postpone(t.Name)
	}
	if state != o.State || detail != o.Detail {
		i.update(ctx, l, o, state, detail)
	}
}

// mayIssue reports whether the lease covers a call now, and for a target that does not
// check fencing numbers, whether each older lease has ended. The first issuer of a site
// has no predecessor.
func (i *issuer) mayIssue(l lease, t *structs.Target) bool {
	if time.Since(l.askedAt) > issuerLease-orderTimeout {
		return false
	}
	return t.ChecksFencing || l.fencing == 1 || time.Since(l.gotAt) >= issuerWait
}

func (i *issuer) due(target string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !time.Now().Before(i.retry[target])
}

func (i *issuer) postpone(target string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.retry[target] = time.Now().Add(orderRetryDelay)
}

// send posts an order and returns its new state. An order whose outcome is unknown stays
// pending and is sent again under the same id.
func (i *issuer) send(ctx context.Context, address string, fencing uint64, o *structs.EngineOrder) (state, detail string) {
	body, err := json.Marshal(map[string]any{"id": o.ID, "action": o.Action, "value": o.Value, "fencing": fencing})
	if err != nil {
		return configsm.OrderFailed, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return configsm.OrderFailed, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport does not send the request a second time.
	req.GetBody = nil
	resp, err := i.client.Do(req)
	if err != nil {
		return configsm.OrderPending, "the target does not answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return outcomeOf(resp.StatusCode, text)
}

func outcomeOf(status int, text []byte) (state, detail string) {
	switch {
	case status < 300:
		return configsm.OrderDone, ""
	case status == http.StatusConflict:
		return configsm.OrderPending, "the target has seen a newer fencing number"
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		return configsm.OrderFailed, fmt.Sprintf("the target answers %d: %s", status, bytes.TrimSpace(text))
	}
	return configsm.OrderPending, fmt.Sprintf("the target answers %d", status)
}

func (i *issuer) update(ctx context.Context, l lease, o structs.EngineOrder, state, detail string) {
	u := &structs.UpdateOrder{ID: o.ID, Fencing: l.fencing, State: state, Detail: detail}
	if _, err := i.propose(ctx, &structs.ConfigCommand{UpdateOrder: u}); err != nil {
		i.s.logJob("order issuer", stateclient.ConfigGroup, err)
	}
}
