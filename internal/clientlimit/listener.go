// Package clientlimit bounds what clients that are not controlled can use of a process: connections,
// the lines of a request's head, the time and pace of a body, the time without progress of a
// response, and the memory of what arrives.
package clientlimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/internal/clock"
)

// Options are the bounds of one server. A bound of 0 is none.
type Options struct {
	Name           string // of the server, in the names of its bounds
	Connections    int
	PerSource      int           // connections by source address
	HeadLines      int           // lines of a request's head
	BodyStall      time.Duration // without progress of a body
	BodyPace       int64         // bytes per second of a body after BodyStall, on average
	ReadStall      time.Duration // in which a client reads nothing of a response
	Account        *memory.Account
	Report         func(bound string, value, limit int64)
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

func (o *Options) report(bound string, value, limit int64) {
	if o.Report != nil {
		o.Report(o.Name+"."+bound, value, limit)
	}
}

// Listener accepts connections within the bounds. At the bound of connections it closes the one
// that is worth the least in favour of a new one.
type Listener struct {
	net.Listener
	opts    *Options
	mu      sync.Mutex
	conns   map[*Conn]struct{}
	sources map[string]int // connections by source address; nil without a bound
}

// NewListener returns a listener that bounds the connections that ln accepts.
func NewListener(ln net.Listener, o *Options) *Listener {
	l := &Listener{Listener: ln, opts: o, conns: map[*Conn]struct{}{}}
	if o.PerSource > 0 {
		l.sources = map[string]int{}
	}
	return l
}

// Apply sets the bounds and hooks of an HTTP server that serves a Listener.
func (o *Options) Apply(h *http.Server) {
	h.ReadHeaderTimeout, h.IdleTimeout, h.MaxHeaderBytes = o.HeaderTimeout, o.IdleTimeout, o.MaxHeaderBytes
	h.Handler = o.Handler(h.Handler)
	h.ConnState = func(c net.Conn, s http.ConnState) {
		if conn := unwrap(c); conn != nil {
			conn.setState(s)
		}
	}
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn := unwrap(c); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
}

// Serve serves HTTP on addr within the bounds until the server is closed. listening is called once it
// listens. With a certificate, it serves TLS.
func (o *Options) Serve(h *http.Server, addr, certFile, keyFile string, listening func(net.Listener)) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	o.Apply(h)
	if listening != nil {
		listening(ln)
	}
	if certFile != "" {
		o.HeadLines = 0 // the bytes of the connection are encrypted
		return h.ServeTLS(NewListener(ln, o), certFile, keyFile)
	}
	return h.Serve(NewListener(ln, o))
}

type connKey struct{}

// unwrap returns the Conn of a connection of the server, or nil.
func unwrap(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, listener: l, inHead: true}
		conn.since.Store(int64(clock.Now()))
		if l.sources != nil {
			conn.source, _, _ = net.SplitHostPort(c.RemoteAddr().String())
		}
		if l.admit(conn) {
			return conn, nil
		}
		_ = c.Close()
	}
}

// admit adds a connection. At a bound it closes another one, or returns false if all others are worth
// more than a new one.
func (l *Listener) admit(c *Conn) bool {
	victim, ok := l.add(c)
	if victim != nil {
		_ = victim.Close()
	}
	return ok
}

func (l *Listener) add(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bySource := l.sources != nil && l.sources[c.source] >= l.opts.PerSource
	inTotal := l.opts.Connections > 0 && len(l.conns) >= l.opts.Connections
	if bySource || inTotal {
		victim = l.leastWorth(c.source, bySource)
		if bySource {
			l.opts.report("connections_by_source", int64(l.sources[c.source]), int64(l.opts.PerSource))
		} else {
			l.opts.report("connections", int64(len(l.conns)), int64(l.opts.Connections))
		}
		if victim == nil {
			return nil, false
		}
		l.remove(victim)
	}
	l.conns[c] = struct{}{}
	if l.sources != nil {
		l.sources[c.source]++
	}
	return victim, true
}

// remove removes a connection, if it has not been removed before. The caller holds mu.
func (l *Listener) remove(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.sources == nil {
		return
	}
	if l.sources[c.source]--; l.sources[c.source] <= 0 {
		delete(l.sources, c.source)
	}
}

// leastWorth returns the connection that is closed first, among those of a source if bySource is set;
// nil if all of them are in use.
func (l *Listener) leastWorth(source string, bySource bool) *Conn {
	now := clock.Now()
	var best *Conn
	bestRank, bestAge := keepRank, time.Duration(-1)
	for c := range l.conns {
		if bySource && c.source != source {
			continue
		}
		rank, age := c.rank(now)
		if rank < bestRank || rank == bestRank && rank != keepRank && age > bestAge {
			best, bestRank, bestAge = c, rank, age
		}
	}
	return best
}
