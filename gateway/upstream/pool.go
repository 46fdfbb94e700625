package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

// dialTimeout bounds the time to a new connection. A target on the same network answers
// within milliseconds; a dark one does not answer at all.
const dialTimeout = 400 * time.Millisecond

// ErrFull tells that the pool has as many connections as the target grants this host.
var ErrFull = errors.Wrap(ErrNotSent, "all connections to the target are in use")

// Pool keeps the connections to one target.
type Pool struct {
	addr  string
	limit func() int

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
	// Dialed counts new connections.
	Dialed atomic.Int64
}

// NewPool returns a pool of connections to addr. limit returns the number of connections
// that this host may have open.
func NewPool(addr string, limit func() int) *Pool {
	return &Pool{addr: addr, limit: limit}
}

// Close closes idle connections; those in use close after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
		p.open--
	}
	p.idle = nil
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// take returns an idle connection that is sound, nil if there is none.
func (p *Pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.quiet() {
			return c
		}
		_ = c.Close()
		p.open--
	}
	return nil
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	if c := p.take(); c != nil {
		return c, nil
	}
	limit := p.limit() // asked without the lock: the limit may wait for other locks
	p.mu.Lock()
	if p.open >= limit {
		p.mu.Unlock()
		return nil, errors.WithStack(ErrFull)
	}
	p.open++
	p.mu.Unlock()
	p.Dialed.Add(1)
	c, err := dial(ctx, p.addr, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// put returns a connection after its answer has been read; idle is how long it may wait.
func (p *Pool) put(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || p.closed {
		_ = c.Close()
		p.open--
		return
	}
	c.used = true
	c.idleUntil = clock.Now() + idle
	p.idle = append(p.idle, c)
}

// Answer is the answer of a target whose body is still to be read.
type Answer struct {
	*http.Response
	pool    *Pool
	conn    *conn
	written chan struct{} // closed once the request has been written
	stop    func() bool
}

// Finish ends the exchange. whole tells that the body has been read to its end; a
// connection with anything left on it is closed.
func (a *Answer) Finish(whole bool) {
	live := a.stop()
	idle := time.Duration(0)
	select {
	case <-a.written:
		if whole && live {
			idle = reusable(a.Response)
		}
	default: // the target answered before it had read the request
	}
	a.pool.put(a.conn, idle)
}

// Discard ends the exchange without its body. The connection is used again if the rest of
// the body is short and arrives soon.
func (a *Answer) Discard() {
	err := a.conn.skipBody(a.Response)
	a.Finish(err == nil)
}

// Do sends a request and returns the head of its answer. An error caused by ErrNotSent
// proves that the target has not seen the request; after any other it may have run. When
// ctx ends the connection is closed.
func (p *Pool) Do(ctx context.Context, req *Request) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if req.Once && !c.used && !c.accepted() {
		p.put(c, 0)
		return nil, errors.Wrap(ErrNotSent, "the target has closed the new connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan struct{})
	go func() {
		// A failed write shows as a connection without an answer.
		if c.write(encodeHead(req), req.Body) == nil {
			close(written)
		}
	}()
	resp, err := c.readAnswer(req)
	if err != nil {
		stop()
		p.put(c, 0)
		return nil, errors.Wrap(err, "no answer")
	}
	return &Answer{Response: resp, pool: p, conn: c, written: written, stop: stop}, nil
}

// encodeHead writes the request line and the header.
func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Path, req.Host)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(&b) // a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// Up reports whether the target accepts a new connection.
func (p *Pool) Up(ctx context.Context) bool {
	c, err := dial(ctx, p.addr, dialTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
