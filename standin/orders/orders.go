package orders

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/figlb/figlb/standin/server"
)

const (
	ordersPath = "/orders"
	// KeyHeader names the header by which figlb sends a call's key.
	KeyHeader = "Figlb-Call-Key"
)

// Executions tells which orders were executed how often.
type Executions struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"` // by Figlb-Call-Key
	ByRef map[string]int `json:"by_ref"` // by the field "ref" of the order
}

// Stats are the counters of an order service.
type Stats struct {
	Executions
	Catalogue int `json:"catalogue"`
	Public    int `json:"public"`
	server.Traffic
}

// Store holds the executed orders. Several replicas of the service share it.
type Store struct {
	mu      sync.Mutex
	exec    Executions
	results map[string]result
}

type result struct {
	State  string          `json:"state"` // "executed"
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		exec:    Executions{ByKey: map[string]int{}, ByRef: map[string]int{}},
		results: map[string]result{},
	}
}

func (s *Store) execute(key string, body []byte) result {
	var order struct {
		Ref string `json:"ref"`
	}
	_ = json.Unmarshal(body, &order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exec.Total++
	s.exec.ByKey[key]++
	s.exec.ByRef[order.Ref]++
	reply, _ := json.Marshal(map[string]any{"order": s.exec.Total, "ref": order.Ref, "digest": digest(body)})
	res := result{State: "executed", Status: http.StatusCreated, Body: reply}
	s.results[key] = res
	return res
}

func (s *Store) status(key string) (result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res, ok := s.results[key]
	return res, ok
}

// Executions returns a copy of the counts.
func (s *Store) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Executions{Total: s.exec.Total, ByKey: map[string]int{}, ByRef: map[string]int{}}
	for k, n := range s.exec.ByKey {
		out.ByKey[k] = n
	}
	for k, n := range s.exec.ByRef {
		out.ByRef[k] = n
	}
	return out
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// Service is a replica of the order service that listens on one address.
type Service struct {
	store  *Store
	srv    *server.Server
	rec    *server.Recorder
	faults *server.Faults

	mu                sync.Mutex
	catalogue, public int
}

// Start starts a replica on addr, ip:port.
func Start(addr string, store *Store) (*Service, error) {
	s := &Service{store: store, rec: server.NewRecorder(), faults: server.NewFaults(ordersPath)}
	srv, err := server.Start(addr, s.rec.Wrap(s.routes()))
	s.srv = srv
	return s, err
}

// Addr returns the address, ip:port.
func (s *Service) Addr() string { return s.srv.Addr() }

// URL returns the base URL.
func (s *Service) URL() string { return s.srv.URL() }

// Faults returns the injected faults.
func (s *Service) Faults() *server.Faults { return s.faults }

// Close stops the replica.
func (s *Service) Close() { s.srv.Close() }

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Executions: s.store.Executions(), Catalogue: s.catalogue, Public: s.public, Traffic: s.rec.Traffic()}
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ordersPath, s.order)
	mux.HandleFunc("GET "+ordersPath+"/status/{key}", s.status)
	mux.HandleFunc("GET /catalogue/", s.read(&s.catalogue))
	mux.HandleFunc("GET /public/", s.read(&s.public))
	mux.HandleFunc("POST /admin/faults", s.faults.Handle)
	mux.HandleFunc("POST /admin/watch", s.rec.HandleWatch)
	mux.HandleFunc("GET /admin/executions", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.store.Executions())
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.faults.Take(r.URL.Path, string(body))
	if fault.Before(w, r) {
		return
	}
	res := s.store.execute(r.Header.Get(KeyHeader), body)
	fault.After(r)
	server.WriteJSON(w, res.Status, res.Body)
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	if s.faults.Take(r.URL.Path, "").Before(w, r) {
		return
	}
	res, ok := s.store.status(r.PathValue("key"))
	if !ok {
		server.WriteJSON(w, http.StatusNotFound, map[string]string{"state": "not_executed"})
		return
	}
	server.WriteJSON(w, http.StatusOK, res)
}

// read serves repeatable lookups; the answer is a function of the path.
func (s *Service) read(count *int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.Take(r.URL.Path, "").Before(w, r) {
			return
		}
		s.mu.Lock()
		*count++
		s.mu.Unlock()
		server.WriteJSON(w, http.StatusOK, Item(strings.TrimSuffix(r.URL.Path, "/")))
	}
}

// Item returns the lookup answer for a path.
func Item(path string) map[string]string {
	return map[string]string{"path": path, "item": digest([]byte(path))}
}
