package replica

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/gomega"
)

// relay forwards TCP connections to a target that may change. While partitioned, it drops the
// bytes of both directions and leaves connections open, as a network that drops packets does.
// Connections that have lost bytes are closed when the partition ends.
type relay struct {
	ln          net.Listener
	mu          sync.Mutex
	target      string
	partitioned bool
	conns       map[net.Conn]bool // true: the connection has lost bytes
}

func newRelay() *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{ln: ln, conns: map[net.Conn]bool{}}
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) setTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

func (r *relay) setPartitioned(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = v
	if v {
		return
	}
	for c, lossy := range r.conns {
		if lossy {
			_ = c.Close()
		}
	}
}

func (r *relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *relay) serve(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in], r.conns[out] = false, false
	r.mu.Unlock()
	go r.copy(in, out)
	r.copy(out, in)
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}

func (r *relay) copy(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !r.shouldDrop(src) {
			_, err = dst.Write(buf[:n])
		}
		if err != nil {
			if err != io.EOF {
				_ = src.Close()
			}
			return
		}
	}
}

// shouldDrop reports whether bytes from a connection are dropped.
func (r *relay) shouldDrop(src net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned {
		r.conns[src] = true
	}
	return r.conns[src]
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
