// Package httpserver runs go-zero's REST server with a single handler for all requests and
// without go-zero's middleware and timeouts.
package httpserver

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/stat"
	gztrace "github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/figlb/figlb/internal/clientlimit"
)

// shutdownDelay is the delay after a signal before go-zero ends the process. It is far longer
// than a shutdown takes, because the process handles signals and exits on its own.
const shutdownDelay = 24 * time.Hour

// Options configure a Server.
type Options struct {
	Name    string
	Addr    string
	Handler http.Handler
	Bounds  *clientlimit.Options // of the clients, with the timeouts and the size of heads
}

// Server is a running HTTP server.
type Server struct {
	http *http.Server
	done chan error
}

// Start starts the server and returns once it is listening.
func Start(opts Options) (*Server, error) {
	host, portText, err := net.SplitHostPort(opts.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrap(err, "listen port")
	}
	conf := rest.RestConf{
		Host: host,
		Port: port,
		ServiceConf: service.ServiceConf{
			Name:      opts.Name,
			Telemetry: gztrace.Config{Disabled: true}, // package telemetry sets up tracing
			Shutdown:  proc.ShutdownConf{WrapUpTime: shutdownDelay, WaitTime: 2 * shutdownDelay},
		},
	}
	srv, err := rest.NewServer(conf, rest.WithRouter(&singleHandlerRouter{Router: router.NewRouter(), handler: opts.Handler}))
	if err != nil {
		return nil, errors.Wrap(err, "set up the HTTP server")
	}
	logx.Disable() // NewServer sets up go-zero's own logger; figlb logs through logr
	stat.DisableLog()
	s := &Server{done: make(chan error, 1)}
	return s, s.start(srv, opts)
}

func (s *Server) start(srv *rest.Server, opts Options) error {
	listening := make(chan struct{}, 1)
	configure := func(h *http.Server) {
		s.http = h
		h.ErrorLog = stdlog.New(io.Discard, "", 0) // net/http's log lines may contain parts of requests
		// go-zero has no hook for the listener. The server therefore serves the bounded one here; once it is
		// closed, go-zero's own attempt to listen ends at once with http.ErrServerClosed.
		err := opts.Bounds.Serve(h, opts.Addr, "", "", func(net.Listener) { listening <- struct{}{} })
		if !errors.Is(err, http.ErrServerClosed) {
			panic(err) // passed on by the function below
		}
	}
	go func() {
		defer func() { s.done <- errors.Errorf("HTTP server: %v", recover()) }()
		srv.StartWithOpts(configure)
	}()
	select {
	case <-listening:
		return nil
	case err := <-s.done:
		return err
	}
}

// Failed returns the channel that receives the error if the server stops on its own.
func (s *Server) Failed() <-chan error { return s.done }

// Shutdown closes the listener and idle connections, and waits for in-flight requests until
// ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections without waiting for in-flight requests.
func (s *Server) Close() { _ = s.http.Close() }

// singleHandlerRouter is a router that passes every request to one handler.
type singleHandlerRouter struct {
	httpx.Router
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (r *singleHandlerRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}
