package wire

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/internal/clock"
)

// Bounds are what the peers of a server may use together. A bound of 0 is none.
type Bounds struct {
	Connections int
	Account     *memory.Account
	// FrameStall is the time in which the next part of a long frame must come. Parts double in size, so it
	// must be enough for half of the longest frame.
	FrameStall time.Duration
	Report     func(bound string, value, limit int64)
}

func (b *Bounds) report(bound string, value, limit int64) {
	if b.Report != nil {
		b.Report("internal."+bound, value, limit)
	}
}

// SetBounds sets the bounds. It must be called before Serve.
func (s *Server) SetBounds(b Bounds) { s.bounds = b }

// acceptPause is the pause after a failed accept, which mostly means that no descriptor is free.
const acceptPause = 20 * time.Millisecond

// retryAccept reports, after a pause, whether to accept again after an error.
func (s *Server) retryAccept(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	time.Sleep(acceptPause)
	return true
}

// makeRoom makes room for a new connection: at the bound it closes the oldest one on which no complete
// frame has come. It returns false if there is none.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bounds.Connections <= 0 || len(s.conns) < s.bounds.Connections {
		return true
	}
	s.bounds.report("connections", int64(len(s.conns)), int64(s.bounds.Connections))
	var oldest *serverConn
	for _, c := range s.conns {
		if !c.known.Load() && (oldest == nil || c.accepted < oldest.accepted) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.conns, oldest.conn)
	_ = oldest.conn.Close()
	return true
}

const (
	// maxGrowWait bounds the wait for the memory of frames that give up, growPause is the time between two
	// attempts.
	maxGrowWait = 300 * time.Millisecond
	growPause   = 2 * time.Millisecond
)

// readFrame reads a frame within the bounds of the server. A long one that stops, or that does not fit, ends the
// connection.
func (sc *serverConn) readFrame(r *bufio.Reader) (*frame, error) {
	b := &sc.srv.bounds
	var h *memory.Holder
	long := false
	defer func() { h.Close() }()
	f, err := readFrame(r, func(n int) error {
		long = true
		if b.FrameStall > 0 {
			_ = sc.conn.SetReadDeadline(time.Now().Add(b.FrameStall))
		}
		if h == nil {
			class := memory.Unknown
			if sc.known.Load() {
				class = memory.Control
			}
			h = b.Account.Open(clock.Now(), class, func() { _ = sc.conn.Close() })
		}
		return b.grow(h, n)
	})
	if err != nil {
		return nil, err
	}
	if !h.Settle() {
		return nil, errors.New("the frame has been evicted")
	}
	if long {
		_ = sc.conn.SetReadDeadline(time.Time{})
	}
	sc.known.Store(true)
	return f, nil
}

func (b *Bounds) grow(h *memory.Holder, n int) error {
	out := h.Grow(clock.Now(), int64(n))
	for began := clock.Now(); out == memory.Wait && clock.Now()-began < maxGrowWait; {
		time.Sleep(growPause)
		out = h.Grow(clock.Now(), int64(n))
	}
	if out == memory.Granted {
		return nil
	}
	s := b.Account.Stats()
	b.report("memory", s.Used, s.Limit)
	return errors.Errorf("frames in arrival hold %d of %d bytes", s.Used, s.Limit)
}
