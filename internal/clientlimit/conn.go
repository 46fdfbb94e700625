package clientlimit

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/internal/clock"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	source   string
	since    atomic.Int64 // clock time of the last change of state
	state    atomic.Int32 // http.ConnState
	arriving atomic.Bool  // a body is due
	writing  atomic.Int64 // clock time at which the running write began; 0: none
	aborted  atomic.Bool  // writes fail
	closed   sync.Once

	// The following belong to the goroutine that reads heads.
	inHead bool
	lines  int
	head   int // bytes
	last   byte
	blank  bool // the last line has no bytes so far
	holder atomic.Pointer[memory.Holder]
}

const (
	// writePiece is the size of the pieces in which long writes are made, so that ReadStall bounds the time
	// without progress instead of the time of a long write.
	writePiece = 32 << 10
	// slowAfter is the time after which a body in arrival, or a write, counts as slow for the choice of the
	// connection that is closed.
	slowAfter = time.Second
	// freeHeadBytes and freeHeadLines are the size of a head up to which it is not accounted. Ordinary
	// heads are smaller.
	freeHeadBytes = 8 << 10
	freeHeadLines = 64
	// lineCost is the memory of the parsed fields by line, apart from the text. Measured with fields of 4
	// bytes: 150 to 200 bytes.
	lineCost = 200
)

var (
	errTooManyLines = errors.New("the head of the request has too many lines")
	errNoMemory     = errors.New("no memory for the head of the request")
)

// Ranks of connections; lower ones are closed first.
const (
	newRank      = iota // no complete request so far
	slowBodyRank        // a body that does not come
	slowReadRank        // a response that is not read
	idleRank
	bodyRank // a body in arrival
	keepRank // a request in progress
)

// rank returns the rank of a connection and the time by which those of one rank are ordered.
func (c *Conn) rank(now time.Duration) (rank int, age time.Duration) {
	age = now - time.Duration(c.since.Load())
	switch http.ConnState(c.state.Load()) {
	case http.StateNew:
		return newRank, age
	case http.StateIdle:
		return idleRank, age
	}
	if w := c.writing.Load(); w != 0 && now-time.Duration(w) > slowAfter {
		return slowReadRank, now - time.Duration(w)
	}
	if c.arriving.Load() {
		if age > slowAfter {
			return slowBodyRank, age
		}
		return bodyRank, age
	}
	return keepRank, age
}

func (c *Conn) setState(s http.ConnState) {
	c.since.Store(int64(clock.Now()))
	c.state.Store(int32(s))
	switch s {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle:
		c.inHead, c.lines, c.head, c.last, c.blank = true, 0, 0, 0, false
		c.releaseHead()
	}
}

func (c *Conn) releaseHead() {
	if h := c.holder.Swap(nil); h != nil {
		h.Close()
	}
}

// Read implements net.Conn. It bounds the lines of the head of a request.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && http.ConnState(c.state.Load()) != http.StateActive && c.inHead {
		if herr := c.countHead(b[:n]); herr != nil {
			return 0, herr
		}
	}
	return n, err
}

// countHead counts the lines of the head in the bytes read, up to its end.
func (c *Conn) countHead(b []byte) error {
	limit := c.listener.opts.HeadLines
	if limit <= 0 {
		return nil
	}
	before := c.head + c.lines*lineCost
	for len(b) > 0 && c.inHead {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.head += len(b)
			c.blank = c.blank && len(b) == 1 && b[0] == '\r'
			break
		}
		empty := i == 0 || i == 1 && b[0] == '\r'
		if empty && c.lines > 0 && (c.blank || c.last == '\n') {
			c.inHead = false
			break
		}
		c.lines++
		c.head += i + 1
		b, c.last, c.blank = b[i+1:], '\n', true
	}
	if c.lines > limit {
		c.listener.opts.report("head_lines", int64(c.lines), int64(limit))
		return errTooManyLines
	}
	if c.head <= freeHeadBytes && c.lines <= freeHeadLines {
		return nil
	}
	return c.holdHead(int64(c.head + c.lines*lineCost - before))
}

// holdHead accounts for the memory of a head. A connection whose head is evicted is closed.
func (c *Conn) holdHead(n int64) error {
	a := c.listener.opts.Account
	h := c.holder.Load()
	if h == nil {
		if h = a.Open(clock.Now(), memory.Unknown, func() { _ = c.Conn.Close() }); h == nil {
			return nil
		}
		c.holder.Store(h)
	}
	if grow(h, n) {
		return nil
	}
	s := a.Stats()
	c.listener.opts.report("memory", s.Used, s.Limit)
	return errNoMemory
}

const (
	// maxGrowWait bounds the wait for the memory of evicted holders, growPause is the time between two
	// attempts.
	maxGrowWait = 300 * time.Millisecond
	growPause   = 2 * time.Millisecond
)

// grow asks for n bytes and waits a bounded time for the memory of evicted holders.
func grow(h *memory.Holder, n int64) bool {
	out := h.Grow(clock.Now(), n)
	for began := clock.Now(); out == memory.Wait && clock.Now()-began < maxGrowWait; {
		time.Sleep(growPause)
		out = h.Grow(clock.Now(), n)
	}
	return out == memory.Granted
}

// Write implements net.Conn. It fails if the client reads nothing for ReadStall.
func (c *Conn) Write(b []byte) (int, error) {
	stall := c.listener.opts.ReadStall
	if stall <= 0 {
		return c.Conn.Write(b)
	}
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		c.writing.Store(int64(clock.Now()))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(stall))
		if c.aborted.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(piece)
		c.writing.Store(0)
		written += n
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				c.listener.opts.report("read_stall_ms", stall.Milliseconds(), stall.Milliseconds())
			}
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// SetWriteDeadline implements net.Conn. A time that has passed ends all further writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.aborted.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.listener.mu.Lock()
		c.listener.remove(c)
		c.listener.mu.Unlock()
		c.releaseHead()
	})
	return err
}
