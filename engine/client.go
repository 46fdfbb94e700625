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
	// idleConnTimeout is shorter than the usual idle timeout of HTTP servers, so that a
	// request is rarely sent on a connection that the target is closing.
	idleConnTimeout        = 20 * time.Second
	maxIdleConnsPerTarget  = 256
	maxResponseHeaderBytes = 64 << 10
	// defaultFirstEventTimeout is long enough for a cold engine to load its model.
	defaultFirstEventTimeout = 30 * time.Second
	defaultStallTimeout      = 10 * time.Second
)

// Causes of failures. The chain of Failure.Err contains one of them, a transport error or
// the cause with which the caller cancelled the request.
var (
	// ErrTimeout is the cause if a model engine exceeds a timeout of Options, or a plain
	// service exceeds PlainRequest.Timeout.
	ErrTimeout   = errors.New("the target did not respond within the timeout")
	ErrTruncated = errors.New("the response ended before it was complete")
	ErrMalformed = errors.New("the response is malformed")
	// ErrRedirect is the cause for any 3xx status of a model engine, and for a 3xx status
	// with a Location header of a plain service.
	ErrRedirect = errors.New("the target responded with a redirect")
	// ErrResponseMismatch is the cause if the response echoes another request ID, or if the chunks
	// of a stream differ in their IDs.
	ErrResponseMismatch   = errors.New("the response belongs to another request")
	ErrTokenLimitExceeded = errors.New("the response has more tokens than requested")
	// ErrBadStatus is the cause if a model engine responds with a status other than 200
	// that is not a redirect.
	ErrBadStatus        = errors.New("the target responded with an error status")
	ErrResponseTooLarge = errors.New("the response exceeds the size limit")
)

// Failure describes why a request to a target failed.
type Failure struct {
	Outcome structs.Outcome
	// Target is the target's name, set by the caller of the client.
	Target string
	// Written is false only if no byte of the request has been sent, so that the target
	// cannot have run it.
	Written bool
	// Status is the HTTP status, 0 if no response header arrived.
	Status int
	// Message is the error message in a model engine's error response. It is not read for
	// redirects and for the statuses 429 and 503.
	Message string
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Outcome) + ": " + f.Err.Error() }

// Unwrap returns f.Err.
func (f *Failure) Unwrap() error { return f.Err }

// Options holds the timeouts for responses of model engines.
type Options struct {
	// FirstEventTimeout is the timeout from the start of the request to the first complete event
	// with data. 0 means 30 s.
	FirstEventTimeout time.Duration
	// StallTimeout is the timeout between two events with data. 0 means 10 s.
	StallTimeout time.Duration
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	opts Options
	// unpooled opens a new connection for each request.
	unpooled *http.Transport

	mu         sync.Mutex
	transports map[string]*http.Transport // by address
}

// NewClient returns a client that has no connections yet.
func NewClient(opts Options) *Client {
	if opts.FirstEventTimeout == 0 {
		opts.FirstEventTimeout = defaultFirstEventTimeout
	}
	if opts.StallTimeout == 0 {
		opts.StallTimeout = defaultStallTimeout
	}
	unpooled := newTransport()
	unpooled.DisableKeepAlives = true
	return &Client{opts: opts, unpooled: unpooled, transports: map[string]*http.Transport{}}
}

// keepAliveConfig detects within 6 s (3 s idle and 3 probes, 1 s apart) that a target's host
// has disappeared without closing its connections.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// newTransport returns a transport that uses no proxy, no compression and no HTTP/2.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// pooledTransport returns the transport that holds the connection pool of address.
func (c *Client) pooledTransport(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.transports[address]
	if !ok {
		transport = newTransport()
		c.transports[address] = transport
	}
	return transport
}

// Retain closes the idle connections of all targets that are not in addresses and removes
// their connection pools.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, transport := range c.transports {
		if !addresses[address] {
			transport.CloseIdleConnections()
			delete(c.transports, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Retain(nil) }

// watchdog cancels a request with ErrTimeout unless it is reset or stopped in time.
type watchdog struct {
	timer *time.Timer
	stall time.Duration
}

// startWatchdog starts a watchdog that expires after firstEvent. A reset makes it expire
// stall after the reset.
func startWatchdog(cancel context.CancelCauseFunc, firstEvent, stall time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(firstEvent, func() { cancel(ErrTimeout) }), stall: stall}
}

func (w *watchdog) reset() { w.timer.Reset(w.stall) }
func (w *watchdog) stop()  { w.timer.Stop() }
