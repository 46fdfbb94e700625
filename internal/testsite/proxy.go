package testsite

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// LinkState is what a Proxy does with its connections.
type LinkState int

// States of the links of a host.
const (
	LinksUp      LinkState = iota
	LinksSilent            // connections hang, new ones as well
	LinksReset             // connections are reset, new ones hang
	LinksRefused           // connections live on, new ones are refused
)

// Proxy is a forward proxy through which one host connects to others. It can cut that host off from all of
// them.
type Proxy struct {
	ln net.Listener

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]struct{}
}

// dialTimeout bounds the connections that a Proxy opens.
const dialTimeout = time.Second

// NewProxy starts a proxy on a free port of 127.0.0.1.
func NewProxy() (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, conns: map[net.Conn]struct{}{}}
	go p.serve()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Set changes the state of the links. Connections that have lost bytes are reset when the links are up
// again.
func (p *Proxy) Set(state LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == LinksReset || state == LinksUp && p.state != LinksRefused {
		p.resetAll()
	}
	p.state = state
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll resets all connections. The caller holds mu.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// Up reports whether the host is not cut off.
func (p *Proxy) Up() bool { return p.is(LinksUp) }

func (p *Proxy) is(state LinkState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == state
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// end closes a connection as its peer was closed.
func (p *Proxy) end(c net.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	if tcp, ok := c.(*net.TCPConn); ok && err != nil {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.connect(in)
	}
}

// connect reads the address of the target and connects to it.
func (p *Proxy) connect(in net.Conn) {
	p.track(in)
	addr, err := bufio.NewReaderSize(in, 64).ReadString('\n') // the host sends no more until it is accepted
	if err != nil || p.is(LinksRefused) {
		p.end(in, err)
		return
	}
	if !p.is(LinksUp) {
		_, _ = io.Copy(io.Discard, in)
		p.end(in, nil)
		return
	}
	out, err := net.DialTimeout("tcp", strings.TrimSpace(addr), dialTimeout)
	if err != nil {
		p.end(in, err)
		return
	}
	p.track(out)
	if _, err := in.Write([]byte{'+'}); err == nil {
		go p.copy(in, out)
		p.copy(out, in)
	}
}

// copy forwards bytes until the source ends, and discards them while the links are silent.
func (p *Proxy) copy(dst, src net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.is(LinksSilent) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			err = nil
		} else if err == nil {
			continue
		}
		p.end(dst, err)
		p.end(src, err)
		return
	}
}
