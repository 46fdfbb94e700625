package server

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// rebindInterval is the time between attempts to listen again after a crash: an
	// outgoing connection of another process may occupy the port for a moment.
	rebindInterval  = 20 * time.Millisecond
	defaultDowntime = time.Second
)

// Request is a request to a stand-in.
type Request struct {
	*http.Request
	Payload []byte
	Fault   Fault // injected into the request; its kind is empty if there is none
}

// Decode decodes the JSON body. On failure it replies with status 400 and returns false.
func (r *Request) Decode(w http.ResponseWriter, out any) bool {
	if err := json.Unmarshal(r.Payload, out); err != nil {
		WriteError(w, http.StatusBadRequest, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}

// Server is a stand-in that serves HTTP on one address.
type Server struct {
	Faults
	Recorder
	// Downtime is the time between a crash and the restart. OnCrash and OnRestart, if set,
	// are called before the connections are closed and before requests are served again.
	Downtime           time.Duration
	OnCrash, OnRestart func()

	mux *http.ServeMux

	mu     sync.Mutex
	addr   string
	srv    *http.Server // nil between a crash and the restart
	closed bool
}

// New returns a stand-in that does not listen yet. main is the path prefix that is affected
// by injected faults without a path.
func New(mainPath string) *Server {
	s := &Server{Faults: newFaults(mainPath), Recorder: newRecorder(), Downtime: defaultDowntime, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	s.mux.HandleFunc("POST /admin/watch", s.setWatch)
	s.mux.HandleFunc("POST /admin/crash", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		go s.Crash()
	})
	s.Handle("/", func(w http.ResponseWriter, r *Request) { WriteError(w, http.StatusNotFound, "no such route") })
	return s
}

// Handle registers a route. Its requests are counted and subject to injected faults, except
// those below /admin/.
func (s *Server) Handle(pattern string, h func(http.ResponseWriter, *Request)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &Request{Request: r, Payload: body}
		if !strings.HasPrefix(r.URL.Path, "/admin/") {
			s.countRequest(req)
			req.Fault = s.take(r.URL.Path, string(body))
		}
		if req.Fault.Kind == FaultCrash {
			s.Crash()
			Abort()
		}
		if !req.applyBeforeRun(w) {
			h(w, req)
		}
	})
}

// HandleStats registers GET /admin/stats, which returns what stats returns.
func HandleStats[T any](s *Server, stats func() T) {
	s.Handle("GET /admin/stats", func(w http.ResponseWriter, _ *Request) { WriteJSON(w, http.StatusOK, stats()) })
}

// Listen starts to serve on addr, ip:port.
func (s *Server) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = ln.Addr().String()
	s.serve(ln)
	return nil
}

func (s *Server) serve(ln net.Listener) {
	s.srv = &http.Server{Handler: s.mux}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
}

// Addr returns the address, ip:port.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Crash drops all connections and refuses new ones during the downtime.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv == nil || s.closed {
		return
	}
	if s.OnCrash != nil {
		s.OnCrash()
	}
	_ = s.srv.Close()
	s.srv = nil
	time.AfterFunc(s.Downtime, s.restart)
}

func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		time.AfterFunc(rebindInterval, s.restart)
		return
	}
	if s.OnRestart != nil {
		s.OnRestart()
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

// WriteJSON replies with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError replies with an error body in the format of the OpenAI API.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// Abort drops the connection of the request being served.
func Abort() { panic(http.ErrAbortHandler) }
