package testsite

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay forwards TCP connections to an address. While cut, it reads and drops all bytes
// and keeps the connections open, as a silent network partition does.
type Relay struct {
	ln     net.Listener
	target string
	cut    atomic.Bool
	mu     sync.Mutex
	conns  []net.Conn
}

// NewRelay starts a relay to target.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target}
	go r.serve()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut starts or ends the partition. Connections that were open during a cut have lost
// bytes, so they are closed when it ends.
func (r *Relay) Cut(on bool) {
	was := r.cut.Swap(on)
	if was && !on {
		r.closeConns()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.closeConns()
}

func (r *Relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *Relay) serve() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *Relay) forward(in net.Conn) {
	r.keep(in)
	if r.cut.Load() {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.keep(out)
	go r.copy(in, out)
	r.copy(out, in)
}

func (r *Relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *Relay) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !r.cut.Load() {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if !r.cut.Load() {
		_ = dst.Close()
		_ = src.Close()
	}
}
