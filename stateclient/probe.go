package stateclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
)

const (
	// probePeriod and probeTimeout bound how long a cut-off member holds a waiting call.
	probePeriod  = 300 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
)

// errCutOff is the cause of errors where a member stopped answering during a call that
// waits on purpose.
var errCutOff = errors.New("the member does not answer")

// probe checks one member while calls wait for it.
type probe struct {
	users  int
	failed chan struct{} // closed when the member has not answered in time
	stop   context.CancelFunc
}

// watch returns the running probe of a member, or starts one.
func (c *Client) watch(addr string) *probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.probes[addr]
	if p == nil {
		ctx, cancel := context.WithCancel(context.Background())
		p = &probe{failed: make(chan struct{}), stop: cancel}
		c.probes[addr] = p
		go c.probe(ctx, addr, p)
	}
	p.users++
	return p
}

// unwatch stops the probe with its last user.
func (c *Client) unwatch(addr string, p *probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.users--
	if p.users > 0 {
		return
	}
	p.stop()
	if c.probes[addr] == p {
		delete(c.probes, addr)
	}
}

// probe pings a member until it fails to answer or nobody waits for it.
func (c *Client) probe(ctx context.Context, addr string, p *probe) {
	periodic.RunLater(ctx, probePeriod, func(ctx context.Context) bool {
		if c.ping(ctx, addr) || ctx.Err() != nil {
			return true
		}
		c.probeFailed(addr, p)
		return false
	})
}

// ping reports whether a member answers, with whatever.
func (c *Client) ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := attempt[ignored](ctx, c, addr, &request{method: MethodPing}, struct{}{})
	var typed *errs.Error
	return err == nil || errors.As(err, &typed)
}

func (c *Client) probeFailed(addr string, p *probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probes[addr] == p {
		delete(c.probes, addr)
	}
	close(p.failed)
}
