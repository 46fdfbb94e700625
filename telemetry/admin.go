package telemetry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/clientlimit"
)

const adminReadTimeout = 5 * time.Second

// Admin is an HTTP server for /healthz, /readyz and /metrics on a separate address.
type Admin struct {
	ln  net.Listener
	srv *http.Server
}

// StartAdmin starts the server on addr. ready returns nil while the process accepts
// requests, and otherwise the reason why it does not. bounds are those of the server's clients.
func StartAdmin(addr string, registry metrics.Registry, ready func() error, bounds *clientlimit.Options) (*Admin, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", ReadyHandler(ready))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(registry.GetAll())
	})
	a := &Admin{ln: ln, srv: &http.Server{Handler: mux, ReadTimeout: adminReadTimeout}}
	bounds.Apply(a.srv)
	go func() { _ = a.srv.Serve(clientlimit.NewListener(ln, bounds)) }()
	return a, nil
}

// ReadyHandler responds with 200 if ready returns nil, and otherwise with 503 and the error.
func ReadyHandler(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// Addr returns the address that the server listens on.
func (a *Admin) Addr() string { return a.ln.Addr().String() }

// Close stops the server after its active requests have ended.
func (a *Admin) Close() { _ = a.srv.Shutdown(context.Background()) }
