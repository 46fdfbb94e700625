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
	// redialDelay limits the rate of dials to an unreachable peer. For this time after a failed
	// dial, calls fail with the error of that dial.
	redialDelay = 50 * time.Millisecond
)

// ErrNotSent is the cause of an error if the request has not left this process.
var ErrNotSent = errors.New("request not sent")

// ErrConnLost is the cause of an error if the connection failed while the request was written
// or before its reply arrived. The peer may or may not have run the request.
var ErrConnLost = errors.New("connection lost before the reply")

// Client sends requests to one peer over one connection. It dials on demand and redials
// after a failure. It is safe for concurrent use.
type Client struct {
	addr    string
	tlsConf *tls.Config

	mu           sync.Mutex
	conn         *clientConn
	dialFailedAt time.Time
	dialErr      error
	closed       bool
}

// NewClient returns a client for the peer at addr. A nil tlsConf means plain TCP.
func NewClient(addr string, tlsConf *tls.Config) *Client {
	return &Client{addr: addr, tlsConf: tlsConf}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection. In-flight calls fail with ErrConnLost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.fail(ErrConnLost)
	}
}

// Call sends req, waits for the reply and decodes it into reply; a nil reply ignores the
// content. It returns the peer's *errs.Error, an error caused by ErrNotSent or ErrConnLost,
// the error of ctx, or an error of encoding or decoding.
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

// Send writes a one-way message. A nil error does not mean that the peer received it.
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

// connect returns the current connection, or dials a new one if there is none or it has failed.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(ErrNotSent, "client closed")
	}
	if c.conn != nil && !c.conn.isBroken() {
		return c.conn, nil
	}
	if time.Since(c.dialFailedAt) < redialDelay {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", c.addr, c.dialErr)
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.dialFailedAt, c.dialErr = time.Now(), err
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

// clientConn is one connection with its in-flight calls.
type clientConn struct {
	conn    net.Conn
	writeMu sync.Mutex // serialises writes to conn
	mu      sync.Mutex // guards the fields below
	nextID  uint64
	pending map[uint64]chan *frame // by call ID; closed without a frame if the connection fails
	err     error                  // why the connection failed; nil while it is usable
}

func newClientConn(conn net.Conn) *clientConn {
	cc := &clientConn{conn: conn, pending: map[uint64]chan *frame{}}
	go cc.readLoop()
	return cc
}

func (cc *clientConn) isBroken() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.err != nil
}

func (cc *clientConn) readLoop() {
	r := bufio.NewReaderSize(cc.conn, 64<<10)
	for {
		f, err := readFrame(r, nil)
		if err != nil {
			cc.fail(ErrConnLost)
			return
		}
		if ch := cc.takePending(f.ID); ch != nil {
			ch <- f
		}
	}
}

// takePending removes a pending call and returns its reply channel, or nil if the call is not
// pending.
func (cc *clientConn) takePending(id uint64) chan *frame {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ch := cc.pending[id]
	delete(cc.pending, id)
	return ch
}

// fail closes the connection and ends all pending calls. Only the first call has an effect.
func (cc *clientConn) fail(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	cc.err = err
	_ = cc.conn.Close()
	for id, ch := range cc.pending {
		close(ch)
		delete(cc.pending, id)
	}
}

// register assigns an ID to a new call and returns the channel that receives its reply.
func (cc *clientConn) register() (uint64, chan *frame, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return 0, nil, errors.Wrap(ErrNotSent, cc.err.Error())
	}
	cc.nextID++
	ch := make(chan *frame, 1)
	cc.pending[cc.nextID] = ch
	return cc.nextID, ch, nil
}

// call sends a request and waits for its reply. If ctx ends first, it sends a cancellation to
// the peer.
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
		cc.takePending(id)
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
		cc.takePending(id)
		_ = cc.write(&frame{ID: id, Cancel: true})
		return nil, ctx.Err()
	}
}

// write sends a frame. If it fails, it fails the connection and returns an error caused by
// ErrConnLost: the peer drops an incomplete frame, but the whole frame may have been sent
// before the failure was detected.
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

// traceparent returns the W3C traceparent header of the span in ctx.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
