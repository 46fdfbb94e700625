package testsite

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to an address. While it is cut, it discards all bytes that it
// reads but keeps the connections open, which simulates a silent network partition.
type Relay struct {
	ln       net.Listener
	target   string
	cut      atomic.Bool
	mute     atomic.Bool  // bytes from the target are discarded
	delay    atomic.Int64 // nanoseconds before each chunk is forwarded
	sent     atomic.Int64 // bytes forwarded from the client to the target
	returned atomic.Int64 // bytes forwarded from the target to the client
	mu       sync.Mutex
	conns    []net.Conn
}

// NewRelay starts a relay to target on a free port of 127.0.0.1.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", target)
}

// NewRelayAt starts a relay to target that listens on addr.
func NewRelayAt(addr, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target}
	go r.serve()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut starts or ends a partition in both directions. Connections that were open during the
// partition may have lost bytes, so all connections are closed when it ends.
func (r *Relay) Cut(on bool) {
	was := r.cut.Swap(on)
	if was && !on {
		r.closeConns()
	}
}

// Mute starts or ends a one-way partition, in which bytes from the target are discarded. All
// connections are closed when it ends.
func (r *Relay) Mute(on bool) {
	was := r.mute.Swap(on)
	if was && !on {
		r.closeConns()
	}
}

// Delay sets the time for which each chunk is held before it is forwarded.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset closes all connections.
func (r *Relay) Reset() { r.closeConns() }

// Bytes returns how many bytes the relay has forwarded from clients (sent) and to clients
// (received).
func (r *Relay) Bytes() (sent, received int64) { return r.sent.Load(), r.returned.Load() }

// Close closes the listener and all connections.
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
	r.track(in)
	if r.cut.Load() {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(out)
	go r.copy(in, out, &r.returned)
	r.copy(out, in, &r.sent)
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *Relay) copy(dst, src net.Conn, count *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if d := time.Duration(r.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		muted := r.mute.Load() && count == &r.returned
		if n > 0 && !muted && !r.cut.Load() {
			count.Add(int64(n))
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
