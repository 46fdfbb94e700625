package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

// dialTimeout bounds the time to establish a connection. A target on the same network accepts
// within milliseconds; an unreachable one does not reply at all.
const dialTimeout = 400 * time.Millisecond

// ErrFull is returned if the pool has as many open connections as this host may have to the
// target.
var ErrFull = errors.Wrap(ErrNotSent, "all connections to the target are in use")

// Carriers is the set of connections that have carried a request. When the request is sent again it
// uses none of them: a late copy of the earlier response has the id of the request, so that on the
// same connection it could not be told from the response to the later send. The zero value is an
// empty set. It is not safe for concurrent use.
type Carriers struct {
	conns []*conn
}

// add adds a connection to a set that is not nil.
func (s *Carriers) add(c *conn) {
	if s != nil {
		s.conns = append(s.conns, c)
	}
}

// contains reports whether a connection is in the set. A nil set is empty.
func (s *Carriers) contains(c *conn) bool { return s != nil && slices.Contains(s.conns, c) }

// Pool manages the connections to one target.
type Pool struct {
	addr  string
	limit func() int
	links *Links

	mu        sync.Mutex
	idle      []*conn
	openCount int
	closed    bool
	// Dialed counts the attempts to open a connection.
	Dialed atomic.Int64
}

// NewPool returns a pool of connections to addr. limit returns the number of connections
// that this host may have open; it is called without the lock of the pool.
func NewPool(addr string, limit func() int, links *Links) *Pool {
	return &Pool{addr: addr, limit: limit, links: links}
}

// Close closes the idle connections. Connections in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
		p.openCount--
	}
	p.idle = nil
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// popIdle returns the most recently used idle connection that is still usable and has not carried
// the request, nil if there is none. It closes the unusable ones that it finds.
func (p *Pool) popIdle(carriers *Carriers) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if carriers.contains(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if p.links.reusable(c) && c.idleAndOpen() {
			return c
		}
		_ = c.Close()
		p.openCount--
	}
	return nil
}

// reserveDial counts a new connection as open. At the limit it makes room by closing an idle
// connection that has carried the request; if there is none, it returns false.
func (p *Pool) reserveDial(limit int, carriers *Carriers) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount >= limit {
		i := slices.IndexFunc(p.idle, carriers.contains)
		if i < 0 {
			return false
		}
		_ = p.idle[i].Close()
		p.idle = slices.Delete(p.idle, i, i+1)
		p.openCount--
	}
	p.openCount++
	return true
}

// get returns an idle connection that has not carried the request or opens a new one. It fails with
// ErrFull at the limit.
func (p *Pool) get(ctx context.Context, carriers *Carriers) (*conn, error) {
	if c := p.popIdle(carriers); c != nil {
		return c, nil
	}
	limit := p.limit() // called without the lock, as limit may wait for other locks
	if !p.reserveDial(limit, carriers) {
		return nil, errors.WithStack(ErrFull)
	}
	p.Dialed.Add(1)
	c, err := p.links.dial(ctx, p.addr)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// put returns a connection to the pool after its response has been read. It may stay idle for
// the given time and is closed if that is 0.
func (p *Pool) put(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || p.closed {
		_ = c.Close()
		p.openCount--
		return
	}
	c.reused = true
	c.idleUntil = clock.Now() + idle
	p.idle = append(p.idle, c)
}

// Response is a response of a target whose body has not been read yet. Finish or Discard must be
// called to release its connection.
type Response struct {
	*http.Response
	pool     *Pool
	conn     *conn
	upload   *upload
	stop     func() bool
	finished bool
}

// Connection returns the local address of the connection, which identifies it in logs.
func (a *Response) Connection() string { return a.conn.LocalAddr().String() }

// Finish ends the exchange. bodyRead reports whether the body has been read to its end; otherwise
// the connection is closed. Further calls have no effect.
func (a *Response) Finish(bodyRead bool) {
	if a.finished {
		return
	}
	a.finished = true
	active := a.stop()
	idle := time.Duration(0)
	// A target that has responded before the request was written may not read it soon, even if the operating system has
	// taken the rest since then: the next request would wait behind it.
	if !a.conn.early && a.upload.succeeded() && bodyRead && active {
		idle = reuseTime(a.Response)
	}
	a.pool.links.end(a.conn)
	a.pool.put(a.conn, idle)
}

// Discard ends the exchange and discards the rest of the body. The connection is reused if that
// rest is short and arrives soon.
func (a *Response) Discard() {
	err := a.conn.skipBody(a.Response)
	a.Finish(err == nil)
}

// Do sends a request and returns its response once the head has been read. An error whose cause
// is ErrNotSent guarantees that the target has not seen the request; after any other error the
// request may have run. The connection is closed when ctx ends.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx, req.Carriers)
	if err != nil {
		return nil, err
	}
	req.Carriers.add(c)
	if req.NonRepeatable && !c.reused && !c.accepted() {
		p.put(c, 0)
		return nil, errors.Wrap(ErrNotSent, "the target closed the new connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	p.links.begin(c)
	c.awaitsRepeatable.Store(!req.NonRepeatable)
	up := c.send(req)
	resp, err := c.readResponse(req)
	c.awaitsRepeatable.Store(false)
	if err != nil {
		p.links.end(c)
		stop()
		p.put(c, 0)
		return nil, errors.Wrap(err, "no response")
	}
	if endsWithConnection(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, upload: up}
	}
	return &Response{Response: resp, pool: p, conn: c, upload: up, stop: stop}, nil
}

// maxDirectWriteBytes is the size up to which a request is written before its response is read. The
// empty send buffer of a connection without an unanswered request takes it at once.
const maxDirectWriteBytes = 8 << 10

// upload is the sending of a request. err is valid once done is closed.
type upload struct {
	done chan struct{}
	err  error
}

// ended reports whether the request has been written, or its write has failed.
func (u *upload) ended() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// succeeded reports whether the whole request has been written.
func (u *upload) succeeded() bool { return u.ended() && u.err == nil }

// send writes a request, a long one concurrently, because the target may respond before it has read
// all of it. A failed write is not reported by itself: either no response can be read, or the target
// responded early, and Finish closes the connection.
func (c *conn) send(req *Request) *upload {
	u := &upload{done: make(chan struct{})}
	c.upload = u
	head := encodeHead(req)
	write := func() {
		u.err = c.write(head, req.Body)
		close(u.done)
	}
	if len(head)+len(req.Body) <= maxDirectWriteBytes {
		write()
	} else {
		go write()
	}
	return u
}

// EndsWithConnection reports whether the response has no framing, so that its body ends with the connection.
func (r *Response) EndsWithConnection() bool { return endsWithConnection(r.Response) }

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection. If a target resets the
// connection during the upload, the operating system reports this once, and if the write gets the
// report, the read sees an ordinary end. The end therefore counts only after the whole request has been
// written.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader. At the end it waits for the upload, which ends with the request's context
// at the latest.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	<-b.upload.done
	if b.upload.err != nil {
		return n, errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended during the upload (%v)", b.upload.err)
	}
	return n, io.EOF
}

// encodeHead returns the request line and the header.
func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Path, req.Host)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(&b) // writes to a bytes.Buffer do not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// Reachable reports whether the target accepts new connections.
func (p *Pool) Reachable(ctx context.Context) bool {
	c, err := p.links.dial(ctx, p.addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
