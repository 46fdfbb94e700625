package site

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// List is a stand-in for the platform's list of targets.
type List struct {
	ln  net.Listener
	srv *http.Server

	mu       sync.Mutex
	replicas []*Replica
}

func startList(address string) (*List, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &List{ln: ln}
	l.srv = &http.Server{Handler: l}
	go func() { _ = l.srv.Serve(ln) }()
	return l, nil
}

// Address returns the address of the list.
func (l *List) Address() string { return l.ln.Addr().String() }

func (l *List) close() { _ = l.srv.Close() }

// Set replaces the listed replicas.
func (l *List) Set(replicas ...*Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas = replicas
}

type listEntry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold-remaining-ms"`
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []listEntry{}
	for _, t := range l.replicas {
		if zone := r.URL.Query().Get("zone"); zone != "" && zone != t.Zone {
			continue
		}
		entries = append(entries, listEntry{ID: t.ID, Service: t.Service, Address: t.Address(), Zone: t.Zone, Version: "v1",
			Slots: t.Slots, State: "ready"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}
