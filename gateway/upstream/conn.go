package upstream

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

const (
	readBufferBytes = 8 << 10
	// maxStaleResponses is the number of responses to earlier requests that are skipped
	// before a connection is closed. maxStaleBodyBytes bounds the body of each.
	maxStaleResponses = 2
	maxStaleBodyBytes = 64 << 10
	// maxInterimResponses is the number of 1xx responses that may precede the final one.
	maxInterimResponses = 8
	// maxHeadBytes bounds the status line and header of a response. The gateway has the
	// same bound for the request headers of callers.
	maxHeadBytes = 64 << 10
	// readTimeout bounds the time for reading the rest of a head after its first byte, and for
	// reading the body of a response that is skipped. Targets send both in one piece.
	readTimeout = time.Second
	// defaultIdle is how long an idle connection is kept for reuse if the target states no
	// Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the target's timeout an idle connection is given up.
	idleMargin = 700 * time.Millisecond
	// keepAliveInterval and keepAliveCount configure the TCP keep-alive probes that end a
	// connection whose peer has gone silent.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// ErrNotSent is the cause of errors for which no byte of the request has been sent.
var ErrNotSent = errors.New("request not sent")

// Request is a request to a target. Its body is held in memory.
type Request struct {
	Method string
	Path   string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// NonRepeatable marks a request that may run only once. On a new connection it is sent after
	// resetDelay, in which a target with too many connections resets the connection.
	NonRepeatable bool
	// Matches reports whether a response with this header belongs to the request. If it is nil,
	// every response does.
	Matches func(http.Header) bool
	// Unidentified reports whether a response header lacks the id of its request. On a reused
	// connection such a response may be a late one to an earlier request, so it is an error
	// there. If Unidentified is nil, every response counts as identified.
	Unidentified func(http.Header) bool
	// Carriers holds the connections on which the same request, with the same id, has been sent
	// before. It is nil for a request that is sent only once.
	Carriers *Carriers
}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	limited   *limitedReader // reads from Conn
	reader    *bufio.Reader  // reads from limited
	idleUntil time.Duration  // when an idle connection is no longer reused
	reused    bool           // the connection has carried a request before
	target    string         // address
	relay     string         // address of the gateway through which the connection leads; empty: it is direct
	upload    *upload        // of the current request; nil before the first one
	// early is set if the last response began before its request had been written.
	early bool
	// activeAt is the clock time at which the last request was sent or the last bytes were read.
	activeAt atomic.Int64
	// awaitsRepeatable is set while a repeatable request waits for its response.
	awaitsRepeatable atomic.Bool
}

func newConn(c net.Conn, links *Links, target, relay string) *conn {
	out := &conn{Conn: c, target: target, relay: relay}
	out.limited = &limitedReader{r: &activityReader{conn: out, links: links}, left: math.MaxInt64}
	out.reader = bufio.NewReaderSize(out.limited, readBufferBytes)
	return out
}

// activityReader reads from a connection and records when bytes arrive.
type activityReader struct {
	conn  *conn
	links *Links
}

// Read implements io.Reader.
func (a *activityReader) Read(p []byte) (int, error) {
	n, err := a.conn.Conn.Read(p)
	if n > 0 {
		a.conn.activeAt.Store(int64(clock.Now()))
		a.links.heard(a.conn.relay != "")
	}
	return n, err
}

// idleAndOpen reports whether an idle connection is still open, within its idle timeout and
// without unread bytes. It tries a non-blocking read, which must find nothing.
func (c *conn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 || clock.Now() >= c.idleUntil {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idleAndOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		idleAndOpen = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && idleAndOpen
}

// resetDelay is the time within which a target resets a connection that it does not accept: a
// round trip and the target's work on a new connection.
const resetDelay = 5 * time.Millisecond

// accepted waits for resetDelay and reports whether the target has left a new connection open.
func (c *conn) accepted() bool {
	time.Sleep(resetDelay)
	c.idleUntil = clock.Now() + time.Hour
	return c.idleAndOpen()
}

// write sends the head and the body of a request in a single vectored write.
func (c *conn) write(head, body []byte) error {
	bufs := net.Buffers{head}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	_, err := bufs.WriteTo(c.Conn)
	return err
}

// readResponse reads the head of the response that belongs to the request. It skips a bounded
// number of interim responses and of responses to other requests and fails after that.
func (c *conn) readResponse(req *Request) (*http.Response, error) {
	for stale, interim := 0, 0; ; {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return nil, errors.Errorf("the target sent %d interim responses", interim)
			}
			continue
		}
		if c.reused && req.Unidentified != nil && req.Unidentified(resp.Header) {
			return nil, errors.New("response without a request id on a reused connection")
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, nil
		}
		stale++
		if stale > maxStaleResponses || resp.Close {
			return nil, errors.New("the connection holds responses to other requests")
		}
		if err := c.skipBody(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next response. The wait for its first byte is bounded only by
// the context of the request.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.early = c.upload != nil && !c.upload.ended()
	defer c.limitReads(maxHeadBytes)()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return nil, errors.Errorf("the target sent status %03d, which is no status of HTTP", resp.StatusCode)
	}
	return resp, nil
}

// minStatus and maxStatus bound the statuses of HTTP. http.ReadResponse accepts any three digits, and
// net/http's server panics on those below 100.
const (
	minStatus = 100
	maxStatus = 599
)

// skipBody reads and discards the body of a response.
func (c *conn) skipBody(resp *http.Response) error {
	defer c.limitReads(maxStaleBodyBytes)()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// limitReads bounds the following reads to maxBytes in total and to readTimeout, until the
// returned function is called.
func (c *conn) limitReads(maxBytes int64) (end func()) {
	c.limited.left = maxBytes
	_ = c.SetReadDeadline(time.Now().Add(readTimeout)) // fails on a closed connection, as will the read
	return func() {
		c.limited.left = math.MaxInt64
		_ = c.SetReadDeadline(time.Time{})
	}
}

// limitedReader fails with errResponseTooLarge once left bytes have been read.
type limitedReader struct {
	r    io.Reader
	left int64 // bytes that may still be read
}

var errResponseTooLarge = errors.New("the response of the target is too large")

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errResponseTooLarge
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	return n, err
}

// reuseTime returns how long the connection may stay idle until its next request. 0 means that
// it can't be reused.
func reuseTime(resp *http.Response) time.Duration {
	if resp.Close || endsWithConnection(resp) {
		return 0
	}
	idle := defaultIdle
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if d, err := time.ParseDuration(strings.TrimSpace(value) + "s"); err == nil {
			idle = d
		}
	}
	return max(idle-idleMargin, 0)
}
