package stateclient

import (
	"context"
	"sync"

	"github.com/figlb/figlb/structs"
)

// methodSchedStatus is a method of package dispatch. An empty pool name selects all pools
// that the member schedules.
const methodSchedStatus = "sched.status"

// Targets returns the targets as the schedulers of all reachable members see them.
func (c *Client) Targets(ctx context.Context) ([]structs.TargetStatus, error) {
	var mu sync.Mutex
	var out []structs.TargetStatus
	var lastErr error
	answered := false
	var wg sync.WaitGroup
	for _, addr := range c.members {
		wg.Go(func() {
			part, err := attempt[[]structs.TargetStatus](ctx, c, addr, &request{method: methodSchedStatus}, &structs.PoolQuery{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			answered = true
			out = append(out, *part...)
		})
	}
	wg.Wait()
	if !answered {
		return nil, lastErr
	}
	return out, nil
}

// LeaderAddress returns the address to try first for a group.
func (c *Client) LeaderAddress(_ context.Context, group uint32) (string, error) {
	return c.leader(group), nil
}

// ReportLeaderFailure reports that addr did not answer as the leader of a group. hint is the
// leader's address if the member named one.
func (c *Client) ReportLeaderFailure(group uint32, addr, hint string) {
	next := c.nextMember(group, addr, errorClass{leader: hint})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == "" { // otherwise another call has already found the leader
		c.leaders[group] = next
	}
}

// Conn returns the connection to a member, on which its schedulers are called.
func (c *Client) Conn(addr string) Conn { return c.conn(addr) }

// Conn is a connection to one member.
type Conn interface {
	Call(ctx context.Context, method string, req, reply any) error
}
