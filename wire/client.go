package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	dialTimeout = time.Second
	// redialDelay spaces dials to a peer that refuses or drops connections.
	redialDelay = 50 * time.Millisecond
)

// ErrNotSent is the cause of errors where the request has not left this process.
var ErrNotSent = errors.New("request not sent")

// ErrConnLost is the cause of errors where the connection broke after the request
// was written: the peer may or may not have run it.
var ErrConnLost = errors.New("connection lost before the reply")

// Client calls one peer. It dials on demand and redials after a failure. It is safe
// for concurrent use.
type Client struct {
	addr    string
	tlsConf *tls.Config

	mu       sync.Mutex
	conn     *clientConn
	failedAt time.Time
	failErr  error
	closed   bool
}

// NewClient returns a client of the peer at addr. tlsConf is nil for plain TCP.
func NewClient(addr string, tlsConf *tls.Config) *Client {
	return &Client{addr: addr, tlsConf: tlsConf}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Close ends the connection; calls in flight fail with ErrConnLost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.fail(ErrConnLost)
	}
}

// Call sends req and decodes the answer into reply (nil to ignore it). It returns
// the peer's *errs.Error, an error caused by ErrNotSent or ErrConnLost, or ctx's error.
func (c *Client) Call(ctx context.Context, method string, req, reply any) error {
	ctx, span := otel.Tracer("figlb/wire").Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	body, err := msgpack.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	out, err := conn.call(ctx, method, body)
	if err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(msgpack.Unmarshal(out, reply), "decode reply")
}

// Send writes a message that has no reply. A nil error does not mean that it arrived.
func (c *Client) Send(ctx context.Context, method string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return conn.write(&frame{Method: method, Body: body})
}

func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(ErrNotSent, "client closed")
	}
	if c.conn != nil && !c.conn.broken() {
		return c.conn, nil
	}
	if time.Since(c.failedAt) < redialDelay {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", c.addr, c.failErr)
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.failedAt, c.failErr = time.Now(), err
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", c.addr, err)
	}
	c.conn = newClientConn(conn)
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.tlsConf == nil {
		return d.DialContext(ctx, "tcp", c.addr)
	}
	td := tls.Dialer{NetDialer: &d, Config: c.tlsConf}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return td.DialContext(ctx, "tcp", c.addr)
}

// clientConn is one connection with its calls in flight.
type clientConn struct {
	conn    net.Conn
	writeMu sync.Mutex
	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan *frame
	err     error
}

func newClientConn(conn net.Conn) *clientConn {
	cc := &clientConn{conn: conn, waiting: map[uint64]chan *frame{}}
	go cc.readLoop()
	return cc
}

func (cc *clientConn) broken() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.err != nil
}

func (cc *clientConn) readLoop() {
	r := bufio.NewReaderSize(cc.conn, 64<<10)
	for {
		f, err := readFrame(r)
		if err != nil {
			cc.fail(ErrConnLost)
			return
		}
		if ch := cc.take(f.ID); ch != nil {
			ch <- f
		}
	}
}

func (cc *clientConn) take(id uint64) chan *frame {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ch := cc.waiting[id]
	delete(cc.waiting, id)
	return ch
}

func (cc *clientConn) fail(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	cc.err = err
	_ = cc.conn.Close()
	for id, ch := range cc.waiting {
		close(ch)
		delete(cc.waiting, id)
	}
}

func (cc *clientConn) register() (uint64, chan *frame, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return 0, nil, errors.Wrap(ErrNotSent, cc.err.Error())
	}
	cc.nextID++
	ch := make(chan *frame, 1)
	cc.waiting[cc.nextID] = ch
	return cc.nextID, ch, nil
}

func (cc *clientConn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	id, ch, err := cc.register()
	if err != nil {
		return nil, err
	}
	req := &frame{ID: id, Method: method, Body: body, Trace: traceparent(ctx)}
	if dl, ok := ctx.Deadline(); ok {
		req.Timeout = max(time.Until(dl), time.Millisecond)
	}
	if err := cc.write(req); err != nil {
		cc.take(id)
		return nil, err
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return nil, errors.WithStack(ErrConnLost)
		}
		if f.Err != nil {
			return nil, f.Err
		}
		return f.Body, nil
	case <-ctx.Done():
		cc.take(id)
		_ = cc.write(&frame{ID: id, Cancel: true})
		return nil, ctx.Err()
	}
}

// write sends a frame. A failed write may have sent a part of the frame, and the peer
// drops an incomplete frame, but a whole frame may have left before the failure was
// noticed: the error is ErrConnLost.
func (cc *clientConn) write(f *frame) error {
	cc.writeMu.Lock()
	defer cc.writeMu.Unlock()
	_ = cc.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(cc.conn, f); err != nil {
		cc.fail(ErrConnLost)
		return errors.Wrap(ErrConnLost, err.Error())
	}
	return nil
}

func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
