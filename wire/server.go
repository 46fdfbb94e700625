package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/errs"
)

// writeTimeout ends a connection whose peer has stopped reading, so that a frozen
// or silently cut-off peer cannot hold the server's goroutines.
const writeTimeout = 5 * time.Second

const handshakeTimeout = 5 * time.Second

// Handler answers one call. The body is the msgpack request; the reply is encoded
// with msgpack. An *errs.Error reaches the caller unchanged.
type Handler func(ctx context.Context, body []byte) (any, error)

// Authorizer decides whether a peer with a verified certificate may call a method.
type Authorizer func(peer tls.ConnectionState, method string) error

// Server accepts connections and runs each call on its own goroutine.
type Server struct {
	log      logr.Logger
	ln       net.Listener
	handlers map[string]Handler
	oneWay   map[string]func(body []byte)
	allow    Authorizer
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// Listen opens the server's socket. tlsConf is nil for plain TCP.
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
		conns:    map[net.Conn]struct{}{},
	}, nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Handle registers the handler of a method. It must be called before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// HandleOneWay registers the handler of messages that have no reply. It runs on the
// connection's reading goroutine, so messages of one sender stay in order; it must
// not block.
func (s *Server) HandleOneWay(method string, h func(body []byte)) { s.oneWay[method] = h }

// Authorize sets who may call which method on TLS connections; without it each peer of the
// site may call each method. It must be called before Serve.
func (s *Server) Authorize(a Authorizer) { s.allow = a }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
	s.wg.Done()
}

// Close stops the server and ends its connections.
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
	peer    *tls.ConnectionState // nil without TLS
	writeMu sync.Mutex
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc := &serverConn{srv: s, conn: conn, cancels: map[uint64]context.CancelFunc{}}
	if err := sc.handshake(ctx); err != nil {
		s.log.V(1).Info("TLS handshake failed", "peer", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		sc.accept(ctx, f)
	}
}

// handshake verifies the peer's certificate.
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

// authorize returns the error for a method that the peer may not call.
func (sc *serverConn) authorize(method string) error {
	if sc.peer == nil || sc.srv.allow == nil {
		return nil
	}
	return sc.srv.allow(*sc.peer, method)
}

func (sc *serverConn) accept(ctx context.Context, f *frame) {
	if f.Cancel {
		sc.cancel(f.ID)
		return
	}
	if h, ok := sc.srv.oneWay[f.Method]; ok {
		if sc.authorize(f.Method) == nil {
			h(f.Body)
		}
		return
	}
	callCtx, cancel := callContext(ctx, f)
	sc.mu.Lock()
	sc.cancels[f.ID] = cancel
	sc.mu.Unlock()
	go sc.run(callCtx, f)
}

func (sc *serverConn) cancel(id uint64) {
	sc.mu.Lock()
	c := sc.cancels[id]
	delete(sc.cancels, id)
	sc.mu.Unlock()
	if c != nil {
		c()
	}
}

func callContext(ctx context.Context, f *frame) (context.Context, context.CancelFunc) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": f.Trace})
	if f.Timeout > 0 {
		return context.WithTimeout(ctx, f.Timeout)
	}
	return context.WithCancel(ctx)
}

func (sc *serverConn) run(ctx context.Context, f *frame) {
	defer sc.cancel(f.ID)
	reply := &frame{ID: f.ID}
	h, ok := sc.srv.handlers[f.Method]
	if err := sc.authorize(f.Method); err != nil {
		reply.Err = errs.From(err)
	} else if !ok {
		reply.Err = errs.New(errs.NotFound, "upgrade the peer", "unknown method %q", f.Method)
	} else {
		ctx, span := otel.Tracer("figlb/wire").Start(ctx, f.Method, trace.WithSpanKind(trace.SpanKindServer))
		reply.Body, reply.Err = invoke(ctx, h, f.Body)
		span.End()
	}
	sc.write(reply)
}

func invoke(ctx context.Context, h Handler, body []byte) ([]byte, *errs.Error) {
	v, err := h(ctx, body)
	if err != nil {
		return nil, errs.From(err)
	}
	out, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errs.From(errors.Wrap(err, "encode reply"))
	}
	return out, nil
}

func (sc *serverConn) write(f *frame) {
	sc.writeMu.Lock()
	defer sc.writeMu.Unlock()
	_ = sc.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(sc.conn, f); err != nil {
		sc.srv.log.V(1).Info("reply not sent", "peer", sc.conn.RemoteAddr().String(), "error", err.Error())
		_ = sc.conn.Close()
	}
}
