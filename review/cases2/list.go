package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/figlb/figlb/platform/standin"
)

// list is the platform's list of targets. Besides the platform's own entries it can hold raw ones, as another
// writer may have left them.
type list struct {
	ln  net.Listener
	srv *http.Server

	mu       sync.Mutex
	targets  []*standin.Target
	draining map[string]bool
	foreign  []string // follow the platform's own entries
}

func startList() (*list, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &list{ln: ln, draining: map[string]bool{}}
	l.srv = &http.Server{Handler: l}
	go func() { _ = l.srv.Serve(ln) }() // returns when the server is closed
	return l, nil
}

func (l *list) address() string { return l.ln.Addr().String() }

func (l *list) close() { _ = l.srv.Close() }

func (l *list) set(targets []*standin.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

// drain lists a target as draining.
func (l *list) drain(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[id] = true
}

// addForeign adds the bytes of an entry.
func (l *list) addForeign(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = append(l.foreign, entry)
}

// ServeHTTP implements http.Handler.
func (l *list) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []string
	for _, t := range l.targets {
		state := "ready"
		if l.draining[t.ID] {
			state = "draining"
		}
		entry, err := json.Marshal(map[string]any{"id": t.ID, "service": t.Service, "address": t.Address(), "version": t.Version,
			"zone": t.Zone, "slots": t.Slots, "state": state, "cold-remaining-ms": 0, "born": 1700000000000})
		if err != nil {
			panic(err) // cannot happen: the map holds only encodable values
		}
		entries = append(entries, string(entry))
	}
	entries = append(entries, l.foreign...)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"instances":[`+strings.Join(entries, ",")+`],"next":null}`) // the client reads the list again
}
