package orders

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"

	"github.com/figlb/figlb/standin/server"
)

const (
	ordersPath = "/orders"
	// KeyHeader is the name of the header in which figlb sends a call's key.
	KeyHeader = "Figlb-Call-Key"
)

// Executions counts the executions of orders.
type Executions struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"` // by Figlb-Call-Key
	ByRef map[string]int `json:"by_ref"` // by the field "ref" of the order
}

// Store records the executed orders. Replicas of the service can share it.
type Store struct {
	mu      sync.Mutex
	exec    Executions
	results map[string]json.RawMessage // replies by Figlb-Call-Key
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		exec:    Executions{ByKey: map[string]int{}, ByRef: map[string]int{}},
		results: map[string]json.RawMessage{},
	}
}

// execute counts an execution and returns the reply of the order service.
func (s *Store) execute(key string, body []byte) json.RawMessage {
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
	s.results[key] = reply
	return reply
}

// Executions returns a copy of the counts.
func (s *Store) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{Total: s.exec.Total, ByKey: maps.Clone(s.exec.ByKey), ByRef: maps.Clone(s.exec.ByRef)}
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// Service is a replica of the order service that listens on one address.
type Service struct {
	*server.Server
	store *Store
}

// Start starts a replica on addr, ip:port.
func Start(addr string, store *Store) (*Service, error) {
	s := &Service{Server: server.New(ordersPath), store: store}
	s.Handle("POST "+ordersPath, s.order)
	s.Handle("GET "+ordersPath+"/status/{key}", s.status)
	s.Handle("GET /catalogue/", read)
	s.Handle("GET /public/", read)
	s.Handle("GET /admin/executions", func(w http.ResponseWriter, _ *server.Request) {
		server.WriteJSON(w, http.StatusOK, store.Executions())
	})
	server.HandleStats(s.Server, s.Traffic)
	return s, s.Listen(addr)
}

func (s *Service) order(w http.ResponseWriter, r *server.Request) {
	reply := s.store.execute(r.Header.Get(KeyHeader), r.Payload)
	r.AfterRun()
	server.WriteJSON(w, http.StatusCreated, reply)
}

// status returns the result of the order with a call's key, or 404 if it was not executed.
func (s *Service) status(w http.ResponseWriter, r *server.Request) {
	s.store.mu.Lock()
	reply, ok := s.store.results[r.PathValue("key")]
	s.store.mu.Unlock()
	if !ok {
		server.WriteJSON(w, http.StatusNotFound, map[string]string{"state": "not_executed"})
		return
	}
	server.WriteJSON(w, http.StatusOK, reply)
}

// read serves lookups, which may be repeated; the reply depends only on the path.
func read(w http.ResponseWriter, r *server.Request) {
	path := strings.TrimSuffix(r.URL.Path, "/")
	server.WriteJSON(w, http.StatusOK, map[string]string{"path": path, "item": digest([]byte(path))})
}
