package weights

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figlb/figlb/standin/server"
)

const (
	weightsPath = "/weights/"
	chunkBytes  = 32 << 10
)

// Store is a weight store that listens on one address.
type Store struct {
	*server.Server
	rate int // bytes per second
	size int // bytes per object

	mu   sync.Mutex
	next time.Time // earliest time at which the next chunk may be sent
}

// Start starts a store on addr, ip:port. It sends at most rate bytes per second over all
// downloads; each object has size bytes.
func Start(addr string, rate, size int) (*Store, error) {
	s := &Store{Server: server.New(weightsPath), rate: rate, size: size}
	s.Handle("GET "+weightsPath+"{name...}", s.get)
	server.HandleStats(s.Server, s.Traffic)
	return s, s.Listen(addr)
}

func (s *Store) get(w http.ResponseWriter, r *server.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	chunk := bytes.Repeat([]byte("w"), chunkBytes)
	for left := s.size; left > 0; {
		n := min(left, chunkBytes)
		r.Wait(s.reserve(n))
		if _, err := w.Write(chunk[:n]); err != nil || r.Context().Err() != nil {
			return
		}
		left -= n
	}
}

// reserve reserves the time in which n bytes are sent at the rate, and returns how long to
// wait before sending them.
func (s *Store) reserve(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(n) * time.Second / time.Duration(s.rate))
	return time.Until(s.next)
}
