package stateclient

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

const (
	// attemptTimeout bounds one attempt at one member, so that a member that became
	// unreachable without closing its connections delays a call by less than 1 s.
	attemptTimeout = 900 * time.Millisecond
	// firstBackoff and maxBackoff bound the exponential backoff between attempts.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	// silentPeriod is how long a member that did not answer in time is skipped while
	// other members are available.
	silentPeriod = 500 * time.Millisecond
)

// Client calls state members. It is safe for concurrent use.
type Client struct {
	groups  int
	tlsConf *tls.Config
	// discovering is set if members are learned with SetMembers. Leader hints are then
	// followed to addresses that are not in members.
	discovering bool
	// lastLive holds the last received list of live entries with its hash.
	lastLive atomic.Pointer[structs.ConfirmReply]

	mu      sync.Mutex
	members []string
	conns   map[string]*wire.Client
	leaders map[uint32]string // leader's address by group
	// stalledAt is when a command was last delayed by at least stallThreshold.
	stalledAt time.Time
	// silentUntil holds the members that did not answer in time and until when they are
	// skipped.
	silentUntil map[string]time.Time
	probes      map[string]*probe
	relays      []string // relays used now; if empty, members are called directly
	// knownRelays holds all relays set so far. Their addresses are never cached as leaders.
	knownRelays map[string]bool
}

// New returns a client of the members at the given addresses of a site with a number of
// organisation groups. tlsConf is nil for plain TCP.
func New(members []string, groups int, tlsConf *tls.Config) (*Client, error) {
	if len(members) == 0 {
		return nil, errors.New("no state members given")
	}
	if groups < 1 {
		return nil, errors.Errorf("number of organisation groups is %d; it must be at least 1", groups)
	}
	return &Client{
		groups:      groups,
		members:     members,
		tlsConf:     tlsConf,
		conns:       map[string]*wire.Client{},
		leaders:     map[uint32]string{},
		silentUntil: map[string]time.Time{},
		probes:      map[string]*probe{},
		knownRelays: map[string]bool{},
	}, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// Groups returns the number of organisation groups.
func (c *Client) Groups() int { return c.groups }

// OrgGroup returns the group of an organisation.
func (c *Client) OrgGroup(org string) uint32 { return OrgGroup(org, c.groups) }

// PoolGroup returns the group whose leader schedules a pool.
func (c *Client) PoolGroup(pool string) uint32 { return PoolGroup(pool, c.groups) }

// NewRequestID returns a new request id.
func NewRequestID() string { return uuid.NewString() }

// conn returns the connection to a member and creates it on first use.
func (c *Client) conn(addr string) *wire.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == nil {
		c.conns[addr] = wire.NewClient(addr, c.tlsConf)
	}
	return c.conns[addr]
}

// leader returns the address to try first for a group.
func (c *Client) leader(group uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr := c.pickRelay(); addr != "" {
		return addr
	}
	if addr := c.leaders[group]; addr != "" {
		return addr
	}
	return c.nextResponsive(rand.IntN(len(c.members)))
}

// nextResponsive returns the first member from index i on that is not marked as silent, or
// the member at i if all are. The caller holds mu.
func (c *Client) nextResponsive(i int) string {
	for n := range c.members {
		addr := c.members[(i+n)%len(c.members)]
		if !c.isSilent(addr) {
			return addr
		}
	}
	return c.members[i%len(c.members)]
}

func (c *Client) isSilent(addr string) bool { return time.Now().Before(c.silentUntil[addr]) }

// recordAnswer caches the member that gave a final answer as the leader of a group, unless it
// is a relay, and clears its silent mark.
func (c *Client) recordAnswer(group uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silentUntil, addr)
	if !c.knownRelays[addr] {
		c.leaders[group] = addr
	}
}

// nextMember returns the member to try after addr gave no final answer. It follows the leader
// hint unless the hinted member is silent or unknown, because an unknown address may not
// be reachable.
func (c *Client) nextMember(group uint32, addr string, class errorClass) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == addr {
		delete(c.leaders, group)
	}
	if class.silent {
		c.silentUntil[addr] = time.Now().Add(silentPeriod)
		c.replaceConn(addr)
	}
	if relay := c.pickRelay(); relay != "" {
		return relay
	}
	known := slices.Contains(c.members, class.leader) || (c.discovering && class.leader != "")
	if class.leader != addr && known && !c.isSilent(class.leader) {
		return class.leader
	}
	return c.nextResponsive(slices.Index(c.members, addr) + 1)
}

// request is one call to the leader of a group.
type request struct {
	group  uint32
	method string
	// body returns the message of an attempt; resend is true for all attempts but the first.
	body func(resend bool) any
	// write is set if the call changes state.
	write bool
	// wait is how long the peer may intentionally delay its answer; unlimited removes the
	// bound. The peer is probed while it delays.
	wait      time.Duration
	unlimited bool
	// timeout bounds one attempt; 0 means attemptTimeout plus wait.
	timeout time.Duration
}

func (r *request) waits() bool { return r.unlimited || r.wait > 0 }

// call sends a request to the group's leader and retries until it gets a final answer or
// the context ends.
func call[R any](ctx context.Context, c *Client, r *request) (*R, error) {
	var mayHaveRun bool
	addr := c.leader(r.group)
	backoff := firstBackoff
	for n := 0; ; n++ {
		reply, err := attempt[R](ctx, c, addr, r, r.body(n > 0))
		class := classify(err)
		if class.final {
			c.recordAnswer(r.group, addr)
			return reply, err
		}
		mayHaveRun = mayHaveRun || class.mayHaveRun
		addr = c.nextMember(r.group, addr, class)
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return nil, unansweredError(r, mayHaveRun, err)
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// sleep waits for d and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// attempt makes one call to one member. It returns at its deadline even if the connection
// is blocked in a dial or a write.
func attempt[R any](ctx context.Context, c *Client, addr string, r *request, body any) (*R, error) {
	ctx, cancel := attemptContext(ctx, r)
	defer cancel()
	var probeFailed <-chan struct{}
	if r.waits() {
		p := c.acquireProbe(addr)
		defer c.releaseProbe(addr, p)
		probeFailed = p.failed
	}
	type result struct {
		reply *R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := new(R)
		err := c.conn(addr).Call(ctx, r.method, body, reply)
		done <- result{reply, err}
	}()
	select {
	case res := <-done:
		return res.reply, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-probeFailed:
		return nil, errors.WithStack(errProbeFailed)
	}
}

func attemptContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if r.unlimited {
		return context.WithCancel(ctx)
	}
	if r.timeout > 0 {
		return context.WithTimeout(ctx, r.timeout)
	}
	return context.WithTimeout(ctx, attemptTimeout+r.wait)
}

// errorClass describes what the result of an attempt means for the request.
type errorClass struct {
	final      bool   // the result is returned to the caller
	mayHaveRun bool   // the member may have executed the request
	silent     bool   // the member did not answer in time
	leader     string // leader's address if the member named it, else empty
}

func classify(err error) errorClass {
	var e *errs.Error
	switch {
	case err == nil:
		return errorClass{final: true}
	case errors.As(err, &e):
		return classifyTyped(e)
	case errors.Is(err, wire.ErrNotSent):
		return errorClass{}
	case errors.Is(err, wire.ErrConnLost), errors.Is(err, context.Canceled):
		return errorClass{mayHaveRun: true}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errProbeFailed):
		return errorClass{mayHaveRun: true, silent: true}
	}
	return errorClass{final: true} // the message could not be encoded or decoded
}

func classifyTyped(e *errs.Error) errorClass {
	switch e.Code {
	case errs.NotLeader:
		return errorClass{leader: e.Leader}
	case errs.Uncertain:
		return errorClass{mayHaveRun: true}
	}
	return errorClass{final: true}
}

// unansweredError returns the error of a request whose context ended without a final
// answer.
func unansweredError(r *request, mayHaveRun bool, lastErr error) error {
	if mayHaveRun && r.write {
		return errs.New(errs.Uncertain, "read the recorded outcome, or send the request again under the same request id",
			"no state member confirmed %s in time: %v", r.method, lastErr).WithRun(errs.RunUnknown)
	}
	return errs.New(errs.Unavailable, "retry, and check that a majority of the state members is up",
		"no state member answered %s in time: %v", r.method, lastErr).WithRetryAfter(time.Second)
}
