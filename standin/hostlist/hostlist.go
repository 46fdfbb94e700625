package hostlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/figlb/figlb/standin/server"
)

const hostsPath = "/hosts"

// Host is an entry of the list.
type Host struct {
	Name  string `json:"name"`
	State string `json:"state"` // "live" or "leaving"
}

// Hosts is the body of GET /hosts and POST /admin/hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// List is a host list that listens on one address.
type List struct {
	*server.Server
	lag time.Duration

	mu       sync.Mutex
	versions []version // oldest first; the first one is shown
}

// version is the content of the list from a point in time.
type version struct {
	hosts       Hosts
	visibleFrom time.Time // time from which it is shown
}

// Start starts an empty list on addr, ip:port, that shows each change after lag.
func Start(addr string, lag time.Duration) (*List, error) {
	l := &List{Server: server.New(hostsPath), lag: lag, versions: []version{{hosts: Hosts{Hosts: []Host{}}}}}
	l.Handle("GET "+hostsPath, l.get)
	l.Handle("POST /admin/hosts", l.set)
	server.HandleStats(l.Server, l.Traffic)
	return l, l.Listen(addr)
}

// Set replaces the list; the change becomes visible after the lag.
func (l *List) Set(hosts ...Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{hosts: Hosts{Hosts: hosts}, visibleFrom: time.Now().Add(l.lag)})
}

func (l *List) get(w http.ResponseWriter, _ *server.Request) {
	l.mu.Lock()
	for len(l.versions) > 1 && !l.versions[1].visibleFrom.After(time.Now()) {
		l.versions = l.versions[1:]
	}
	now := l.versions[0].hosts
	l.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, now)
}

func (l *List) set(w http.ResponseWriter, r *server.Request) {
	var body Hosts
	if !r.Decode(w, &body) {
		return
	}
	l.Set(body.Hosts...)
	w.WriteHeader(http.StatusNoContent)
}
