package schedclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

const (
	// reportInterval is the interval of slot reports.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the time without an answer after which the leader is given up: it
	// may be frozen or cut off without its connections breaking.
	reportTimeout = time.Second
	// leaderProof is the age of the last answered report up to which an assignment is
	// used without asking again. It is below the time for which a new scheduler assigns
	// nothing unless each live entry has reported to it: if the old leader was alive
	// within it, no other leader can have filled the slot.
	leaderProof = 800 * time.Millisecond
	// Delays between tries to reach a leader.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// poolIdle is the time for which a pool without requests is still reported, so that
	// a new leader need not wait for this entry.
	poolIdle = 30 * time.Second
	// releaseTries bounds the sending of a release; the reports free the slot anyway.
	releaseTries = 5
)

// Resolver finds the leaders of groups.
type Resolver interface {
	// LeaderAddress returns the address of the member that leads a group, as far as
	// known.
	LeaderAddress(ctx context.Context, group uint32) (string, error)
	// LeaderFailed tells that addr did not answer as the group's leader. hint is the
	// leader's address if the member named one.
	LeaderFailed(group uint32, addr, hint string)
}

// Caller calls methods of one state member; *wire.Client implements it.
type Caller interface {
	Call(ctx context.Context, method string, req, reply any) error
}

// Options configures a client.
type Options struct {
	Entry    string // incarnation
	Groups   int    // number of organisation groups
	Resolver Resolver
	// Dial returns the caller for a member's address; it is asked for each call and
	// should return the same caller for the same address.
	Dial func(addr string) Caller
}

// Client calls the schedulers. It is safe for concurrent use.
type Client struct {
	opts   Options
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a running client.
func New(opts Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{opts: opts, ctx: ctx, cancel: cancel, pools: map[string]*pool{}}
}

// Close stops the reports.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
}

// Follow makes the client report to the scheduler of a pool for a while, also without
// slots: a new scheduler waits for the reports of all live entries.
func (c *Client) Follow(pool string) {
	p := c.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
}

// Assign waits for a slot until ctx ends. The request keeps its id over all resends. It
// fails with the scheduler's errs.Overloaded, errs.NoTarget or errs.TargetFailed, or
// with errs.Unavailable (not run) when ctx ends first.
func (c *Client) Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	p := c.pool(req.Pool)
	p.enter()
	defer p.leave()
	for try := 0; ; try++ {
		a, err := p.assignOnce(ctx, req)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, givenUp(ctx, req.Pool)
		}
		if !resendable(err) {
			return nil, err
		}
		if !pause(ctx, try) {
			return nil, givenUp(ctx, req.Pool)
		}
	}
}

func givenUp(ctx context.Context, pool string) error {
	return errs.New(errs.Unavailable, "retry with more time left", "no slot of pool %s: %v", pool, ctx.Err())
}

// Release gives a slot back. It retries through changes of leader; on failure the slot
// is freed by the next reports.
func (c *Client) Release(ctx context.Context, rel *structs.ReleaseSlot) error {
	p := c.pool(rel.Pool)
	p.forget(rel.Slot)
	var err error
	for try := range releaseTries {
		if err = p.call(ctx, dispatch.MethodRelease, rel, nil); err == nil || !resendable(err) {
			return err
		}
		if !pause(ctx, try) {
			return ctx.Err()
		}
	}
	return err
}

// AllowRetry asks whether the pool's retry budget allows a retry now.
func (c *Client) AllowRetry(ctx context.Context, poolName string) (bool, error) {
	var reply structs.RetryReply
	err := c.pool(poolName).call(ctx, dispatch.MethodAllowRetry, &structs.PoolQuery{Pool: poolName}, &reply)
	return reply.Allowed, err
}

// Status returns the targets of a pool.
func (c *Client) Status(ctx context.Context, poolName string) ([]structs.TargetStatus, error) {
	var reply []structs.TargetStatus
	err := c.pool(poolName).call(ctx, dispatch.MethodStatus, &structs.PoolQuery{Pool: poolName}, &reply)
	return reply, err
}

func (c *Client) pool(name string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[name]
	if p != nil {
		return p
	}
	p = newPool(c, name)
	c.pools[name] = p
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		p.reportLoop(c.ctx)
	}()
	return p
}

// resendable reports whether the request may be sent again, to this or another leader.
func resendable(err error) bool {
	return errs.Is(err, errs.NotLeader) ||
		errors.Is(err, wire.ErrNotSent) ||
		errors.Is(err, wire.ErrConnLost) ||
		errors.Is(err, errLeaderLost) ||
		errors.Is(err, errNoLeader)
}

// pause sleeps before the next try; it returns false if ctx ends first.
func pause(ctx context.Context, try int) bool {
	d := min(minBackoff<<min(try, 10), maxBackoff)
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
