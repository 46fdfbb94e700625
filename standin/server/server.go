package server

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// rebindInterval is the time between attempts to listen again after a crash; the port
// may be held for a moment by an outgoing connection of another process.
const rebindInterval = 20 * time.Millisecond

// Server serves HTTP on one address.
type Server struct {
	addr    string
	handler http.Handler

	mu     sync.Mutex
	srv    *http.Server
	closed bool
}

// Start listens on addr, ip:port, and serves h.
func Start(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	s := &Server{addr: ln.Addr().String(), handler: h}
	s.serve(ln)
	return s, nil
}

func (s *Server) serve(ln net.Listener) {
	s.srv = &http.Server{Handler: s.handler}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
}

// Addr returns the address, ip:port.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Crash drops all connections and refuses new ones for the given time. Before it listens
// again it calls restart.
func (s *Server) Crash(downtime time.Duration, restart func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.srv == nil {
		return
	}
	_ = s.srv.Close()
	s.srv = nil
	time.AfterFunc(downtime, func() {
		restart()
		s.rebind()
	})
}

func (s *Server) rebind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		time.AfterFunc(rebindInterval, s.rebind)
		return
	}
	s.serve(ln)
}

// Close drops all connections and stops listening.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.srv != nil {
		_ = s.srv.Close()
	}
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with an error body of the OpenAI shape.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// ReadJSON decodes a request body; on failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		WriteError(w, http.StatusBadRequest, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}

// Abort drops the connection of the request being served.
func Abort() { panic(http.ErrAbortHandler) }
