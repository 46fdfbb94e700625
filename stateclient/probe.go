package stateclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
)

const (
	// probePeriod and probeTimeout bound how long an unreachable member delays a call that
	// waits for it.
	probePeriod  = 300 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
)

// errProbeFailed is the error of a call that waits for a delayed answer of a member which has
// stopped answering pings.
var errProbeFailed = errors.New("the member does not answer")

// probe pings one member while calls wait for its answer.
type probe struct {
	users  int           // waiting calls
	failed chan struct{} // closed when the member has not answered in time
	stop   context.CancelFunc
}

// acquireProbe returns the running probe of a member or starts one, and adds a user to it.
func (c *Client) acquireProbe(addr string) *probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.probes[addr]
	if p == nil {
		ctx, cancel := context.WithCancel(context.Background())
		p = &probe{failed: make(chan struct{}), stop: cancel}
		c.probes[addr] = p
		go c.runProbe(ctx, addr, p)
	}
	p.users++
	return p
}

// releaseProbe removes a user of a probe and stops the probe after the last one.
func (c *Client) releaseProbe(addr string, p *probe) {
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

// runProbe pings a member until it fails to answer or ctx ends.
func (c *Client) runProbe(ctx context.Context, addr string, p *probe) {
	periodic.RunLater(ctx, probePeriod, func(ctx context.Context) bool {
		if c.ping(ctx, addr) || ctx.Err() != nil {
			return true
		}
		c.probeFailed(addr, p)
		return false
	})
}

// ping reports whether a member answers, be it with an error.
func (c *Client) ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := attempt[ignoredReply](ctx, c, addr, &request{method: MethodPing}, struct{}{})
	var typed *errs.Error
	return err == nil || errors.As(err, &typed)
}

// probeFailed ends a probe and notifies the calls that use it.
func (c *Client) probeFailed(addr string, p *probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probes[addr] == p {
		delete(c.probes, addr)
	}
	close(p.failed)
}
