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
	// reportTimeout is how long a report may go unanswered before the leader is abandoned: the
	// leader may be frozen or partitioned without its connections breaking.
	reportTimeout = time.Second
	// leaderConfirmTTL is the age of the last answered report up to which an assignment is
	// accepted without another report. It is shorter than the time in which a new scheduler
	// assigns nothing unless all live entries have reported to it. So if the leader that made
	// the assignment was alive within leaderConfirmTTL, no other leader can have assigned the
	// slot to another request.
	leaderConfirmTTL = 800 * time.Millisecond
	// Bounds of the exponential backoff between attempts to reach a leader.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// poolIdleTimeout is how long a pool continues to be reported after its last request, so
	// that a new leader does not have to wait for this entry.
	poolIdleTimeout = 30 * time.Second
	// maxReleaseAttempts bounds the attempts to release a slot. If all fail, the scheduler frees
	// the slot because the reports no longer contain it.
	maxReleaseAttempts = 5
)

// Resolver finds the leaders of groups.
type Resolver interface {
	// LeaderAddress returns the address of the member that, as far as known, leads a group.
	LeaderAddress(ctx context.Context, group uint32) (string, error)
	// ReportLeaderFailure reports that the member at addr did not answer as the group's leader. hint
	// is the address of the leader that the member named, or empty.
	ReportLeaderFailure(group uint32, addr, hint string)
}

// Caller calls methods of one state member; *wire.Client implements it.
type Caller interface {
	Call(ctx context.Context, method string, req, reply any) error
}

// Options configures a client.
type Options struct {
	Entry    string // incarnation of the calling entry
	Groups   int    // number of organisation groups
	Resolver Resolver
	// Dial returns the Caller for a member's address. It is called for each request and should
	// return the same Caller for the same address.
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

// New returns a client. It must be closed after use.
func New(opts Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{opts: opts, ctx: ctx, cancel: cancel, pools: map[string]*pool{}}
}

// Close stops the slot reports.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
}

// Follow makes the client report to the scheduler of a pool for poolIdleTimeout, even if it has
// no slots there. A new scheduler waits for the reports of all live entries.
func (c *Client) Follow(pool string) {
	p := c.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
}

// Assign waits for a slot until ctx ends. All resends of the request have the same id. It
// fails with the scheduler's errs.Overloaded, errs.NoTarget or errs.TargetFailed, or with
// errs.Unavailable (not run) if ctx ends first.
func (c *Client) Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	p := c.pool(req.Pool)
	p.beginAssign()
	defer p.endAssign()
	for attempt := 0; ; attempt++ {
		a, err := p.assignOnce(ctx, req)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, noSlotError(ctx, req.Pool)
		}
		if !resendable(err) {
			return nil, err
		}
		if !sleepBackoff(ctx, attempt) {
			return nil, noSlotError(ctx, req.Pool)
		}
	}
}

// noSlotError returns the error of a request that got no slot before ctx ended.
func noSlotError(ctx context.Context, pool string) error {
	return errs.New(errs.Unavailable, "retry with a longer timeout", "no slot was assigned in pool %s: %v", pool, ctx.Err())
}

// Release releases a slot. It retries after changes of leader. If it fails, the scheduler frees
// the slot because the next reports do not contain it.
func (c *Client) Release(ctx context.Context, rel *structs.ReleaseSlot) error {
	p := c.pool(rel.Pool)
	p.forgetSlot(rel.Slot)
	var err error
	for attempt := range maxReleaseAttempts {
		if err = p.call(ctx, dispatch.MethodRelease, rel, nil); err == nil || !resendable(err) {
			return err
		}
		if !sleepBackoff(ctx, attempt) {
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

// Status returns the state of the targets of a pool.
func (c *Client) Status(ctx context.Context, poolName string) ([]structs.TargetStatus, error) {
	var reply []structs.TargetStatus
	err := c.pool(poolName).call(ctx, dispatch.MethodStatus, &structs.PoolQuery{Pool: poolName}, &reply)
	return reply, err
}

// pool returns the state of the named pool. On first use it starts the pool's slot reports.
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

// resendable reports whether a request that failed with err may be sent again, to the same or
// another leader.
func resendable(err error) bool {
	return errs.Is(err, errs.NotLeader) ||
		errors.Is(err, wire.ErrNotSent) ||
		errors.Is(err, wire.ErrConnLost) ||
		errors.Is(err, errLeaderUnresponsive) ||
		errors.Is(err, errLeaderUnknown)
}

// sleepBackoff sleeps between attempts, with exponential backoff and jitter. attempt is the number
// of the failed attempt, from 0. It returns false if ctx ends first.
func sleepBackoff(ctx context.Context, attempt int) bool {
	d := min(minBackoff<<min(attempt, 10), maxBackoff)
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
