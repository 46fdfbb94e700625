package upstream

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

// A tunnel is a connection to a target through another gateway, the relay. The bytes to the target are
// sent as they are. Those of the target come in chunks with their length, and an empty chunk stands for the
// regular end of the target's connection: a response may end with its connection, and must not look
// complete if the relay has failed.

const (
	tunnelLengthBytes = 2
	tunnelChunkBytes  = 8 << 10
	// tunnelIdleAfter is the time after the last byte of a target from which its tunnel counts as idle.
	tunnelIdleAfter = 500 * time.Millisecond
)

// tunnelConn is a tunnel as the gateway sees it that has opened it.
type tunnelConn struct {
	net.Conn
	left  int // bytes of the current chunk that have not been read
	ended bool
}

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		var length [tunnelLengthBytes]byte
		if _, err := io.ReadFull(c.Conn, length[:]); err != nil {
			return 0, tunnelError(err)
		}
		c.left = int(binary.BigEndian.Uint16(length[:]))
		c.ended = c.left == 0
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, tunnelError(err)
}

// tunnelError returns the error for a tunnel that ends without an empty chunk.
func tunnelError(err error) error {
	if err == io.EOF {
		return errors.Wrap(io.ErrUnexpectedEOF, "the relay closed the tunnel")
	}
	return err
}

// SyscallConn implements syscall.Conn.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the tunnel is no system connection")
	}
	return sc.SyscallConn()
}

// Tunnels counts the tunnels that this gateway serves as a relay.
type Tunnels struct {
	mu   sync.Mutex
	open map[*tunnel]struct{}
}

// tunnel is a tunnel as the relay sees it.
type tunnel struct {
	peer, target net.Conn
	// answeredAt is the clock time of the target's last bytes; 0 while a request waits for the first.
	answeredAt atomic.Int64
	// sending is held during a write to the target. sendFailed is set, under it, after a failed one.
	sending    sync.Mutex
	sendFailed bool
}

// Count returns the number of open tunnels.
func (t *Tunnels) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Serve forwards bytes between a peer and a target until one of them ends.
func (t *Tunnels) Serve(peer, target net.Conn) {
	setKeepAlive(peer)
	tn := &tunnel{peer: peer, target: target}
	tn.answeredAt.Store(int64(clock.Now()))
	t.mu.Lock()
	if t.open == nil {
		t.open = map[*tunnel]struct{}{}
	}
	t.open[tn] = struct{}{}
	t.mu.Unlock()
	go tn.forwardRequests()
	tn.forwardResponses()
	t.mu.Lock()
	delete(t.open, tn)
	t.mu.Unlock()
}

// CloseIdle closes the tunnels on which no request waits for its response, and returns the number of the
// others.
func (t *Tunnels) CloseIdle() (busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for tn := range t.open {
		at := time.Duration(tn.answeredAt.Load())
		if at == 0 || clock.Now()-at < tunnelIdleAfter {
			busy++
			continue
		}
		tn.close()
	}
	return busy
}

func (tn *tunnel) close() {
	_ = tn.peer.Close()
	_ = tn.target.Close()
}

// forwardRequests copies the peer's bytes to the target. If the peer ends, so does the exchange with the
// target.
func (tn *tunnel) forwardRequests() {
	defer tn.close()
	buf := make([]byte, tunnelChunkBytes)
	for {
		n, err := tn.peer.Read(buf)
		if n > 0 {
			tn.answeredAt.Store(0)
			if werr := tn.send(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// send writes a part of a request to the target.
func (tn *tunnel) send(part []byte) error {
	tn.sending.Lock()
	defer tn.sending.Unlock()
	_, err := tn.target.Write(part)
	tn.sendFailed = err != nil
	return err
}

// endedRegularly reports whether the end of the target's bytes is the regular end of its connection. A
// reset is reported once by the operating system; if a write gets the report, the read sees an ordinary
// end. It waits for a write that is under way.
func (tn *tunnel) endedRegularly() bool {
	tn.sending.Lock()
	defer tn.sending.Unlock()
	return !tn.sendFailed
}

// forwardResponses copies the target's bytes to the peer in chunks.
func (tn *tunnel) forwardResponses() {
	defer tn.close()
	buf := make([]byte, tunnelLengthBytes+tunnelChunkBytes)
	for {
		n, err := tn.target.Read(buf[tunnelLengthBytes:])
		if n > 0 {
			tn.answeredAt.Store(int64(clock.Now()))
		}
		if n == 0 && err == io.EOF && !tn.endedRegularly() {
			return
		}
		if n > 0 || err == io.EOF {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, werr := tn.peer.Write(buf[:tunnelLengthBytes+n]); werr != nil {
				return
			}
		}
		if err == io.EOF && n > 0 {
			continue // the next read returns the end alone
		}
		if err != nil {
			return
		}
	}
}
