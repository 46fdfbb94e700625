package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

const (
	readBufferBytes = 8 << 10
	// maxForeignAnswers is the number of answers to earlier requests that are skipped
	// before a connection is given up, maxForeignBytes bounds the body of each.
	maxForeignAnswers = 2
	maxForeignBytes   = 64 << 10
	// maxInterimAnswers is the number of 1xx answers before the final one.
	maxInterimAnswers = 8
	// maxHeadBytes bounds the head of an answer, as large as callers' own heads may be.
	maxHeadBytes = 64 << 10
	// partTimeout bounds the time in which a head, once begun, or the body of an answer to
	// another request arrives. Targets send both in one piece.
	partTimeout = time.Second
	// defaultIdle is how long a connection is reused where the target states no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is the time by which a connection is dropped before its stated timeout.
	idleMargin = 700 * time.Millisecond
	// keepAliveInterval and keepAliveCount end a connection whose peer is silent.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// ErrNotSent is the cause of errors where no byte of the request has left.
var ErrNotSent = errors.New("request not sent")

// Request is a request to a target, complete in memory.
type Request struct {
	Method string
	Path   string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Once tells that the request may run once only. On a new connection it is sent after a
	// moment in which a target with too many connections resets it.
	Once bool
	// Owns reports whether an answer's header belongs to this request; nil: all do.
	Owns func(http.Header) bool
	// Anonymous reports whether an answer's header does not tell to which request it belongs;
	// nil: all tell. On a used connection such an answer may be a late one.
	Anonymous func(http.Header) bool
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	in        *boundedReader
	br        *bufio.Reader
	idleUntil time.Duration
	used      bool
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	in := &boundedReader{r: c, left: math.MaxInt64}
	return &conn{Conn: c, in: in, br: bufio.NewReaderSize(in, readBufferBytes)}
}

// quiet reports whether an idle connection is open and holds no unexpected bytes.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 || clock.Now() >= c.idleUntil {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// resetDelay is the time in which a target resets a connection that it does not accept:
// a round trip and its work on a new connection.
const resetDelay = 5 * time.Millisecond

// accepted waits whether the target resets a new connection.
func (c *conn) accepted() bool {
	time.Sleep(resetDelay)
	c.idleUntil = clock.Now() + time.Hour
	return c.quiet()
}

// write sends the whole request in one piece.
func (c *conn) write(head, body []byte) error {
	bufs := net.Buffers{head}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	_, err := bufs.WriteTo(c.Conn)
	return err
}

// readAnswer reads the head of the answer that belongs to the request. It fails if the target
// sends anything else without end.
func (c *conn) readAnswer(req *Request) (*http.Response, error) {
	for foreign, interim := 0, 0; ; {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if interim++; interim > maxInterimAnswers {
				return nil, errors.Errorf("the target sent %d interim answers", interim)
			}
			continue
		}
		if c.used && req.Anonymous != nil && req.Anonymous(resp.Header) {
			return nil, errors.New("an answer without a request id on a used connection")
		}
		if req.Owns == nil || req.Owns(resp.Header) {
			return resp, nil
		}
		foreign++
		if foreign > maxForeignAnswers || resp.Close {
			return nil, errors.New("the connection holds answers to other requests")
		}
		if err := c.skipBody(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next answer. The time to its first byte is bounded by the
// request alone.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	defer c.bound(maxHeadBytes)()
	return http.ReadResponse(c.br, &http.Request{Method: method})
}

// skipBody reads the body of an answer that nobody needs.
func (c *conn) skipBody(resp *http.Response) error {
	defer c.bound(maxForeignBytes)()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// bound limits the bytes and the time of the reads that follow, until the function that it
// returns is called.
func (c *conn) bound(most int64) (end func()) {
	c.in.left = most
	_ = c.SetReadDeadline(time.Now().Add(partTimeout)) // fails on a closed connection, as the read does
	return func() {
		c.in.left = math.MaxInt64
		_ = c.SetReadDeadline(time.Time{})
	}
}

// boundedReader fails once so many bytes have been read.
type boundedReader struct {
	r    io.Reader
	left int64
}

var errTooMuch = errors.New("the target sends more than an answer may have")

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooMuch
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	return n, err
}

// reusable returns how long the connection may wait for its next request; 0: not at all.
func reusable(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
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
