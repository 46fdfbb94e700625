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
	// orderPeriod is the interval between rounds of the issuer.
	orderPeriod = 500 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	orderTimeout = 2 * time.Second
	// issuerLease is how long an issuer may send orders, counted from when it requested
	// the lease. No call is started whose timeout would end after the lease.
	issuerLease = 5 * time.Second
	// issuerTakeoverWait is how long a new issuer waits before it sends an order to a
	// target that does not check fencing numbers. The previous issuer requested its lease
	// before the new issuer was granted one, so the previous lease ends within
	// issuerLease. The additional 500 ms cover the error of both clocks (1%) and a call
	// that lasts until the end of the lease.
	issuerTakeoverWait = issuerLease + 500*time.Millisecond
	// orderRetryDelay is the delay between attempts to send an order that failed.
	orderRetryDelay = 2 * time.Second
)

// maxConcurrentOrders bounds the number of engines that are called concurrently.
const maxConcurrentOrders = 16

// issuer sends pending orders to engines while this member leads group 0.
type issuer struct {
	server *Server
	client *http.Client
	lease  lease

	mu      sync.Mutex
	retryAt map[string]time.Time // next attempt, by target
}

// lease is the right to send orders. It is identified by its fencing number, which is
// greater for each later lease.
type lease struct {
	fencing uint64 // 0 if no lease was granted yet
	// requestedAt is when the lease was last requested or renewed; grantedAt is when its
	// fencing number was first received.
	requestedAt, grantedAt time.Time
}

func newIssuer(s *Server) *issuer {
	return &issuer{server: s, client: newTargetClient(orderTimeout), retryAt: map[string]time.Time{}}
}

// runRound sends each target its oldest pending order, unless a retry delay is still running.
func (i *issuer) runRound(ctx context.Context) {
	if !i.server.Node.IsLeader(stateclient.ConfigGroup) {
		return
	}
	orders := oldestPending(i.server.StateMachines.Config.Orders())
	orders = slices.DeleteFunc(orders, func(o structs.EngineOrder) bool { return !i.retryDue(o.Target) })
	if len(orders) == 0 {
		return
	}
	if err := i.acquireLease(ctx); err != nil {
		i.server.logJobError("order issuer", stateclient.ConfigGroup, err)
		return
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentOrders)
	for _, o := range orders {
		g.Go(func() error {
			i.issue(ctx, i.lease, o)
			return nil
		})
	}
	_ = g.Wait()
}

// oldestPending returns the oldest pending order of each target, because the orders of a
// target are sent one after the other.
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

// acquireLease obtains the lease or renews it.
func (i *issuer) acquireLease(ctx context.Context) error {
	_, term := i.server.Node.Leader(stateclient.ConfigGroup)
	requestedAt := time.Now()
	r, err := i.propose(ctx, &structs.ConfigCommand{AcquireIssuer: &structs.AcquireIssuer{Member: i.server.ID, Term: term}})
	if err != nil {
		return err
	}
	if r.Fencing != i.lease.fencing {
		i.lease.grantedAt = time.Now()
	}
	i.lease.fencing, i.lease.requestedAt = r.Fencing, requestedAt
	return nil
}

func (i *issuer) propose(ctx context.Context, c *structs.ConfigCommand) (*structs.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	c.RequestID = stateclient.NewRequestID()
	c.Author = i.server.ID
	return i.server.proposeConfig(ctx, c)
}

// issue sends one order if mayIssue allows it, and records a change of its state.
func (i *issuer) issue(ctx context.Context, l lease, o structs.EngineOrder) {
	t, ok := i.server.StateMachines.Config.Target(o.Target)
	if !ok {
		i.updateOrder(ctx, l, o, configsm.OrderFailed, "the target is not declared any more")
		return
	}
	if !i.mayIssue(l, &t) {
		return
	}
	state, detail := i.send(ctx, t.Address, l.fencing, &o)
	if state == configsm.OrderPending {
		i.delayRetry(t.Name)
	}
	if state != o.State || detail != o.Detail {
		i.updateOrder(ctx, l, o, state, detail)
	}
}

// mayIssue reports whether a call that starts now ends within the lease. For a target that
// does not check fencing numbers, all earlier leases must also have expired; fencing
// number 1 has no earlier lease.
func (i *issuer) mayIssue(l lease, t *structs.Target) bool {
	if time.Since(l.requestedAt) > issuerLease-orderTimeout {
		return false
	}
	return t.ChecksFencing || l.fencing == 1 || time.Since(l.grantedAt) >= issuerTakeoverWait
}

// retryDue reports whether a target has no retry delay running.
func (i *issuer) retryDue(target string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !time.Now().Before(i.retryAt[target])
}

func (i *issuer) delayRetry(target string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.retryAt[target] = time.Now().Add(orderRetryDelay)
}

// send posts an order to its target and returns the new state. An order whose outcome is
// unknown stays pending and is sent again under the same id.
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
	// Without GetBody the transport cannot resend the request by itself.
	req.GetBody = nil
	resp, err := i.client.Do(req)
	if err != nil {
		return configsm.OrderPending, "the target does not answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return outcomeOfReply(resp.StatusCode, text)
}

// outcomeOfReply derives the state of an order from the target's HTTP reply. A status
// below 300 completes the order and a 4xx status other than 408, 409 and 429 fails it; any
// other status leaves it pending.
func outcomeOfReply(status int, text []byte) (state, detail string) {
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

// updateOrder records the new state of an order through the log.
func (i *issuer) updateOrder(ctx context.Context, l lease, o structs.EngineOrder, state, detail string) {
	u := &structs.UpdateOrder{ID: o.ID, Fencing: l.fencing, State: state, Detail: detail}
	if _, err := i.propose(ctx, &structs.ConfigCommand{UpdateOrder: u}); err != nil {
		i.server.logJobError("order issuer", stateclient.ConfigGroup, err)
	}
}
