package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is below the idle timeouts that HTTP servers usually have, so
	// that a request seldom meets a connection that the target is closing.
	idleConnTimeout        = 20 * time.Second
	maxIdleConnsPerTarget  = 256
	maxResponseHeaderBytes = 64 << 10
	// defaultFirstByteTimeout covers the load of a cold engine.
	defaultFirstByteTimeout = 30 * time.Second
	defaultStallTimeout     = 10 * time.Second
)

// Causes of failures. Failure.Err has one of them, or a network error, in its chain.
var (
	ErrStalled   = errors.New("the target sent nothing within the stall timeout")
	ErrCut       = errors.New("the answer was cut")
	ErrGarbled   = errors.New("the answer is not valid")
	ErrRedirect  = errors.New("the target answered with a redirect")
	ErrMismatch  = errors.New("the answer belongs to another request")
	ErrOverlong  = errors.New("the answer is longer than requested")
	ErrBadStatus = errors.New("the target answered with an error status")
	ErrTooLarge  = errors.New("the answer exceeds the size limit")
)

// Failure tells why a request to a target did not succeed.
type Failure struct {
	Outcome structs.Outcome
	// Target is the target's name, set by the caller of the client.
	Target string
	// Written is false only if no byte of the request has left this process.
	Written bool
	// Status is the HTTP status, 0 if none arrived.
	Status int
	// Message is the target's own error text for a 4xx status.
	Message string
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Outcome) + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Options bound the waits for a target.
type Options struct {
	// FirstByte bounds the time to the first byte of a model engine's answer, Stall the
	// time between two parts of an answer. 0: the defaults.
	FirstByte time.Duration
	Stall     time.Duration
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	opts  Options
	fresh *http.Transport

	mu    sync.Mutex
	pools map[string]*http.Transport // by address
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	if opts.FirstByte == 0 {
		opts.FirstByte = defaultFirstByteTimeout
	}
	if opts.Stall == 0 {
		opts.Stall = defaultStallTimeout
	}
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{opts: opts, fresh: fresh, pools: map[string]*http.Transport{}}
}

// keepAlive notices within 6 s that a target's host has gone silently.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// newTransport returns a transport without proxy, compression and HTTP/2.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.pools[address]
	if !ok {
		t = newTransport()
		c.pools[address] = t
	}
	return t
}

// Retain closes the idle connections of targets that are not in addresses and forgets
// their pools.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, t := range c.pools {
		if !addresses[a] {
			t.CloseIdleConnections()
			delete(c.pools, a)
		}
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.Retain(nil) }

// watchdog cancels a request whose target stays silent.
type watchdog struct {
	timer *time.Timer
	stall time.Duration
}

func startWatchdog(cancel context.CancelCauseFunc, first, stall time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(first, func() { cancel(ErrStalled) }), stall: stall}
}

func (w *watchdog) progress() { w.timer.Reset(w.stall) }
func (w *watchdog) stop()     { w.timer.Stop() }
