package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
)

// writeTimeout limits the write of one frame. A connection whose peer has stopped reading is
// closed after it, so that a hung or unreachable peer cannot block goroutines indefinitely.
const writeTimeout = 5 * time.Second

// unknownMethodRemedy is the remedy of the error for a method that the server does not have.
const unknownMethodRemedy = "upgrade the peer"

// IsUnknownMethod reports whether a peer has answered that it does not have the method of a call.
func IsUnknownMethod(err error) bool {
	var e *errs.Error
	return errors.As(err, &e) && e.Code == errs.NotFound && e.Remedy == unknownMethodRemedy
}

const handshakeTimeout = 5 * time.Second

// readBufferBytes is the read buffer of a connection. Longer frames are read past it.
const readBufferBytes = 8 << 10

// Handler handles one call. body is the request encoded with msgpack; the returned reply is
// encoded with msgpack as well. An *errs.Error is passed to the caller unchanged.
type Handler func(ctx context.Context, body []byte) (any, error)

// Releaser is implemented by replies that hold a limited resource, such as a share of a memory budget.
// Release is called once the reply has been sent or has failed to be sent.
type Releaser interface{ Release() }

// Authorizer returns an error if a peer with a verified certificate may not call a method.
type Authorizer func(peer tls.ConnectionState, method string) error

// Server accepts connections and runs each call in its own goroutine.
type Server struct {
	log        logr.Logger
	ln         net.Listener
	handlers   map[string]Handler
	oneWay     map[string]func(body []byte)
	streams    map[string]StreamHandler
	authorizer Authorizer
	mu         sync.Mutex // guards conns and closed
	conns      map[net.Conn]*serverConn
	bounds     Bounds
	closed     bool
	wg         sync.WaitGroup // open connections
}

// Listen returns a server that listens on addr. A nil tlsConf means plain TCP.
func Listen(addr string, tlsConf *tls.Config, log logr.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	if tlsConf != nil {
		ln = tls.NewListener(ln, tlsConf)
	}
	return &Server{
		log:      log,
		ln:       ln,
		handlers: map[string]Handler{},
		oneWay:   map[string]func([]byte){},
		streams:  map[string]StreamHandler{},
		conns:    map[net.Conn]*serverConn{},
	}, nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Handle registers the handler of a method. It must be called before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// HandleOneWay registers the handler of a message that has no reply. It runs in the
// goroutine that reads the connection, which keeps the messages of a connection in order. It
// must not block. HandleOneWay must be called before Serve.
func (s *Server) HandleOneWay(method string, h func(body []byte)) { s.oneWay[method] = h }

// Authorize sets the check of which peer may call which method on TLS connections. Without it,
// every peer of the site may call every method. It must be called before Serve.
func (s *Server) Authorize(a Authorizer) { s.authorizer = a }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if s.retryAccept(err) {
				continue
			}
			return
		}
		sc := &serverConn{srv: s, conn: conn, accepted: clock.Now(), cancels: map[uint64]context.CancelFunc{}}
		if !s.makeRoom() {
			_ = conn.Close()
			continue
		}
		if !s.trackConn(conn, sc) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn, sc)
	}
}

// trackConn registers a connection so that Close ends it. It returns false if the server is
// closed.
func (s *Server) trackConn(conn net.Conn, sc *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = sc
	s.wg.Add(1)
	return true
}

// untrackConn closes a connection and removes it from the server.
func (s *Server) untrackConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
	s.wg.Done()
}

// Close stops accepting, closes all connections and waits until they are no longer read. It
// does not wait for running handlers; their contexts are cancelled.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serverConn is one accepted connection.
type serverConn struct {
	srv     *Server
	conn    net.Conn
	peer    *tls.ConnectionState          // nil without TLS
	writeMu sync.Mutex                    // serialises writes to conn
	mu      sync.Mutex                    // guards cancels
	cancels map[uint64]context.CancelFunc // of running calls, by call ID

	accepted time.Duration // clock time
	known    atomic.Bool   // the peer has sent a complete frame
}

// serveConn reads the frames of a connection until it fails or the server is closed.
func (s *Server) serveConn(conn net.Conn, sc *serverConn) {
	defer s.untrackConn(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := sc.handshake(ctx); err != nil {
		s.log.V(1).Info("TLS handshake failed", "peer", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	r := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		f, err := sc.readFrame(r)
		if err != nil {
			return
		}
		if _, ok := s.streams[f.Method]; ok {
			sc.serveStream(ctx, f, r.Buffered() > 0)
			return
		}
		sc.handleFrame(ctx, f)
	}
}

// handshake completes the TLS handshake, which verifies the peer's certificate. Without TLS it
// does nothing.
func (sc *serverConn) handshake(ctx context.Context) error {
	conn, ok := sc.conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	state := conn.ConnectionState()
	sc.peer = &state
	return nil
}

// authorize returns an error if the peer may not call the method.
func (sc *serverConn) authorize(method string) error {
	if sc.peer == nil || sc.srv.authorizer == nil {
		return nil
	}
	return sc.srv.authorizer(*sc.peer, method)
}

// handleFrame processes one frame: a cancellation, a one-way message or a request. A one-way
// message that the peer may not send is dropped.
func (sc *serverConn) handleFrame(ctx context.Context, f *frame) {
	if f.Cancel {
		sc.cancelCall(f.ID)
		return
	}
	if h, ok := sc.srv.oneWay[f.Method]; ok {
		if sc.authorize(f.Method) == nil {
			h(f.Body)
		}
		return
	}
	callCtx, cancelCall := callContext(ctx, f)
	sc.mu.Lock()
	sc.cancels[f.ID] = cancelCall
	sc.mu.Unlock()
	go sc.runCall(callCtx, f)
}

// cancelCall cancels the context of a call, if the call is still running.
func (sc *serverConn) cancelCall(id uint64) {
	sc.mu.Lock()
	c := sc.cancels[id]
	delete(sc.cancels, id)
	sc.mu.Unlock()
	if c != nil {
		c()
	}
}

// callContext returns the context of a call, with the trace context and the timeout of its
// frame.
func callContext(ctx context.Context, f *frame) (context.Context, context.CancelFunc) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": f.Trace})
	if f.Timeout > 0 {
		return context.WithTimeout(ctx, f.Timeout)
	}
	return context.WithCancel(ctx)
}

// runCall runs the handler of a request and sends the reply.
func (sc *serverConn) runCall(ctx context.Context, f *frame) {
	defer sc.cancelCall(f.ID)
	reply := &frame{ID: f.ID}
	h, ok := sc.srv.handlers[f.Method]
	if err := sc.authorize(f.Method); err != nil {
		reply.Err = errs.From(err)
	} else if !ok {
		reply.Err = errs.New(errs.NotFound, unknownMethodRemedy, "unknown method %q", f.Method)
	} else {
		ctx, span := otel.Tracer("figlb/wire").Start(ctx, f.Method, trace.WithSpanKind(trace.SpanKindServer))
		var release func()
		reply.Body, release, reply.Err = invoke(ctx, h, f.Body)
		defer release()
		span.End()
	}
	sc.write(reply)
}

// invoke runs a handler and encodes its reply. release has to be called once the reply has been sent.
func invoke(ctx context.Context, h Handler, body []byte) (out []byte, release func(), _ *errs.Error) {
	release = func() {}
	v, err := h(ctx, body)
	if err != nil {
		return nil, release, errs.From(err)
	}
	if r, ok := v.(Releaser); ok {
		release = r.Release
	}
	out, err = msgpack.Marshal(v)
	if err != nil {
		return nil, release, errs.From(errors.Wrap(err, "encode reply"))
	}
	return out, release, nil
}

// write sends a frame. If that fails, it closes the connection.
func (sc *serverConn) write(f *frame) {
	sc.writeMu.Lock()
	defer sc.writeMu.Unlock()
	_ = sc.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(sc.conn, f); err != nil {
		sc.srv.log.V(1).Info("failed to send reply", "peer", sc.conn.RemoteAddr().String(), "error", err.Error())
		_ = sc.conn.Close()
	}
}
