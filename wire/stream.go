package wire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
)

// A stream is a connection whose first frame is a request that the server accepts; after the reply both
// sides use the connection as they like.

// StreamHandler decides on the request of a stream. It returns the function that serves the connection
// once the request has been accepted, or an error, which the peer receives.
type StreamHandler func(ctx context.Context, body []byte) (func(net.Conn), error)

// HandleStream registers the handler of a stream. It must be called before Serve.
func (s *Server) HandleStream(method string, h StreamHandler) { s.streams[method] = h }

// serveStream accepts or rejects a stream and serves it until it ends. buffered reports whether bytes
// have been read beyond the request, which the peer must not send before the reply.
func (sc *serverConn) serveStream(ctx context.Context, f *frame, buffered bool) {
	reply := &frame{ID: f.ID}
	var serve func(net.Conn)
	err := sc.authorize(f.Method)
	if err == nil && buffered {
		err = errs.New(errs.BadRequest, "wait for the reply", "bytes were sent before stream %q was accepted", f.Method)
	}
	if err == nil {
		ctx, cancel := callContext(ctx, f)
		serve, err = sc.srv.streams[f.Method](ctx, f.Body)
		cancel()
	}
	reply.Err = errs.From(err)
	sc.write(reply)
	if err == nil {
		_ = sc.conn.SetWriteDeadline(time.Time{})
		serve(sc.conn)
	}
}

// OpenStream connects to a peer and requests a stream. It returns the peer's *errs.Error, or another error if
// the peer does not answer. The context bounds the time until the reply.
func OpenStream(ctx context.Context, addr string, tlsConf *tls.Config, method string, req any) (net.Conn, error) {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	c := NewClient(addr, tlsConf)
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", addr, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = requestStream(ctx, conn, method, body)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// requestStream sends the request of a stream and reads the reply.
func requestStream(ctx context.Context, conn net.Conn, method string, body []byte) error {
	req := &frame{ID: 1, Method: method, Body: body, Trace: traceparent(ctx)}
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	if err := writeFrame(conn, req); err != nil {
		return errors.Wrap(ErrConnLost, err.Error())
	}
	reply, err := readFrame(conn, nil)
	if err != nil {
		return errors.Wrap(ErrConnLost, err.Error())
	}
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}
