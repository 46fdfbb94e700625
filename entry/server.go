package entry

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"path"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	gztrace "github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/figlb/figlb/entry/middleware/accesslog"
	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/entry/middleware/bodylimit"
	"github.com/figlb/figlb/entry/middleware/closing"
	"github.com/figlb/figlb/entry/middleware/confirmed"
	"github.com/figlb/figlb/entry/middleware/recovery"
	"github.com/figlb/figlb/entry/middleware/tracing"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/telemetry"
)

const (
	serverName        = "figlb-entry"
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the usual idle timeout of load balancers (60 s), so that
	// idle connections are closed by the load balancer and not by the entry.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// closeGracePeriod is the time for writing the last error events after the drain
	// deadline.
	closeGracePeriod = 2 * time.Second
	// forceQuitMargin is the time between the drain deadline and the forced exit of the
	// process by go-zero, which by default comes after 5.5 s.
	forceQuitMargin = 15 * time.Second
)

// Server is the HTTP server of an entry.
type Server struct {
	entry *Entry
	http  *http.Server
	addr  string
	done  chan error
}

// Listen starts the HTTP server on the configured listen address. Port 0 selects a free
// port.
func (e *Entry) Listen() (*Server, error) {
	conf, err := e.restConf()
	if err != nil {
		return nil, err
	}
	r := &chainRouter{Router: router.NewRouter()}
	r.handler = e.outerChain().Then(r.Router)
	srv, err := rest.NewServer(conf, rest.WithRouter(r), rest.WithTLSConfig(&tls.Config{MinVersion: tls.VersionTLS12}))
	if err != nil {
		return nil, errors.Wrap(err, "set up the HTTP server")
	}
	logx.Disable() // NewServer enables the log of go-zero; figlb logs with logr
	e.addRoutes(srv, r)
	s := &Server{entry: e, done: make(chan error, 1)}
	return s, s.start(srv)
}

func (e *Entry) restConf() (rest.RestConf, error) {
	host, portText, err := net.SplitHostPort(e.opts.Settings.Listen)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "parse listen address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "parse listen port")
	}
	notice, deadline := e.opts.Settings.DrainNotice, e.opts.Settings.DrainDeadline
	// The zero value of Middlewares disables all middlewares of go-zero. The zero Timeout
	// disables its read and write timeouts, which would interrupt streams.
	return rest.RestConf{
		Host:     host,
		Port:     port,
		CertFile: e.opts.TLS.CallerCert,
		KeyFile:  e.opts.TLS.CallerKey,
		ServiceConf: service.ServiceConf{
			Name:      serverName,
			Telemetry: gztrace.Config{Disabled: true}, // started by package telemetry
			Shutdown: proc.ShutdownConf{
				WrapUpTime: notice + time.Second,
				WaitTime:   notice + deadline + forceQuitMargin,
			},
		},
	}, nil
}

// start runs the server and waits until it is listening.
func (s *Server) start(srv *rest.Server) error {
	listening := make(chan string, 1)
	option := func(h *http.Server) {
		s.http = h
		h.ErrorLog = stdlog.New(io.Discard, "", 0) // log lines of net/http may quote requests
		// go-zero has no hook for the listener. The server therefore serves the bounded one here; once it is
		// closed, go-zero's own attempt to listen ends at once with http.ErrServerClosed.
		o := s.entry.opts.Limits.Front("callers", readHeaderTimeout, idleTimeout, maxHeaderBytes)
		tlsFiles := s.entry.opts.TLS
		err := o.Serve(h, h.Addr, tlsFiles.CallerCert, tlsFiles.CallerKey, func(l net.Listener) { listening <- l.Addr().String() })
		if !errors.Is(err, http.ErrServerClosed) {
			panic(err) // passed on by the function below
		}
	}
	go func() {
		defer func() { s.done <- errors.Errorf("HTTP server: %v", recover()) }()
		srv.StartWithOpts(option)
	}()
	select {
	case s.addr = <-listening:
		return nil
	case err := <-s.done:
		return err
	}
}

// Addr returns the address that the server is listening on.
func (s *Server) Addr() string { return s.addr }

// Failed returns a channel that receives the reason if the server terminates on its own.
func (s *Server) Failed() <-chan error { return s.done }

// chainRouter applies the middlewares to all requests, including those without a route.
type chainRouter struct {
	httpx.Router
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (r *chainRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// outerChain is applied to all requests.
func (e *Entry) outerChain() chain.Chain {
	return chain.New(
		tracing.New(),
		accesslog.New(e.log, e.metrics),
		recovery.New(e.log),
		closing.New(e.draining.Load),
	)
}

// innerChain authenticates requests that run something or return data. Requests for which
// open returns true need no key.
func (e *Entry) innerChain(open func(*http.Request) bool) chain.Chain {
	s := e.opts.Settings
	return chain.New(
		confirmed.New(e.config.checkConfirmed),
		auth.New(e.lookupKey, open, redact),
		bodylimit.New(s.MaxBodyBytes, s.BodyTimeout),
	)
}

func (e *Entry) addRoutes(srv *rest.Server, r httpx.Router) {
	withKey := e.innerChain(func(*http.Request) bool { return false })
	for _, route := range []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.handleChat},
		{Method: http.MethodGet, Path: "/v1/models", Handler: e.handleModels},
		{Method: http.MethodPost, Path: "/v1/programs", Handler: e.handleOpenProgram},
		{Method: http.MethodGet, Path: "/v1/programs/:id", Handler: e.handleGetProgram},
		{Method: http.MethodPost, Path: "/v1/programs/:id/end", Handler: e.handleEndProgram},
		{Method: http.MethodGet, Path: "/v1/programs/:id/turns/:n", Handler: e.handleGetTurn},
		{Method: http.MethodGet, Path: "/v1/calls/:key", Handler: e.handleGetCall},
	} {
		route.Handler = withKey.ThenFunc(route.Handler).ServeHTTP
		srv.AddRoute(route)
	}
	srv.AddRoute(rest.Route{Method: http.MethodGet, Path: "/readyz", Handler: telemetry.ReadyHandler(e.Ready)})
	plain := requireCleanPath(e.innerChain(e.openRoute).ThenFunc(e.handlePlain))
	r.SetNotFoundHandler(plain)
	r.SetNotAllowedHandler(plain)
}

// plainMethods are the methods that are allowed for plain services.
var plainMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// requireCleanPath rejects paths such as /a/../b, which a target might resolve to a path
// outside the prefix of the service, and unsupported methods.
func requireCleanPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clean := path.Clean(r.URL.Path)
		if r.URL.Path != clean && r.URL.Path != clean+"/" {
			reply.Error(w, r, errs.New(errs.BadRequest, "send the path without empty and dot segments", "the path contains empty or dot segments"))
			return
		}
		if !plainMethods[r.Method] {
			reply.Error(w, r, errs.New(errs.BadRequest, "use another method", "the method %s is not supported", r.Method))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Drain performs a planned shutdown. The entry becomes unready at once but continues to
// serve during the drain notice. Then the listener is closed, and running requests may
// complete until the drain deadline. Requests that are left after it end with a typed error.
// Drain returns when all work has ended.
func (s *Server) Drain() {
	e := s.entry
	e.draining.Store(true)
	e.log.Info("stopping", "notice", e.opts.Settings.DrainNotice.String(), "deadline", e.opts.Settings.DrainDeadline.String())
	time.Sleep(e.opts.Settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.Settings.DrainDeadline)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		e.log.Info("requests still running at the drain deadline", "error", err.Error())
	}
	e.tasks.Wait(ctx)
	s.Close()
}

// Close shuts the server down immediately. Running requests end with a typed error.
func (s *Server) Close() {
	s.entry.draining.Store(true)
	s.entry.stop(drainDeadlineError())
	ctx, cancel := context.WithTimeout(context.Background(), closeGracePeriod)
	defer cancel()
	_ = s.http.Shutdown(ctx) // connections left after the grace period are closed below
	_ = s.http.Close()
	s.entry.Close()
}
