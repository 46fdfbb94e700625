package clientlimit

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
)

// memoryRetryAfter is the Retry-After of a request whose body did not fit. What others hold is
// released within the bounds of their bodies' time, and mostly far sooner.
const memoryRetryAfter = time.Second

// Handler returns a handler that bounds the time, the pace and the memory of request bodies. It
// accounts for a body from its arrival until next returns, also by a panic.
func (o *Options) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		if conn == nil || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, opts: o, conn: conn, began: clock.Now()}
		b.holder = o.Account.Open(b.began, memory.Unknown, func() { _ = conn.SetReadDeadline(past) })
		defer b.holder.Close()
		conn.arriving.Store(true)
		defer conn.arriving.Store(false)
		r.Body = b
		next.ServeHTTP(w, r)
		Discard(w, r, maxUnread, DiscardTime)
	})
}

const (
	// maxUnread is the size up to which the rest of a body that the handler has not read is read after it, as
	// net/http does.
	maxUnread = 256 << 10
	// DiscardTime is the time for which the rest of a body is read before a refusal.
	DiscardTime = 500 * time.Millisecond
)

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// body is a request body within the bounds.
type body struct {
	io.ReadCloser
	opts       *Options
	conn       *Conn
	holder     *memory.Holder
	began      time.Duration
	bytes      int64
	limit      time.Duration // clock time by which the body must have arrived; 0: none
	done       bool
	discarding bool
}

// Read implements io.Reader. Its error is an *errs.Error if the body reaches a bound.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.holder.Evicted() && !b.discarding {
		return 0, b.memoryError()
	}
	if d := b.deadline(clock.Now()); d > 0 {
		_ = b.conn.SetReadDeadline(time.Now().Add(d))
	} else if b.limit > 0 {
		_ = b.conn.SetReadDeadline(past)
	}
	if b.holder.Evicted() && !b.discarding { // evicted while the deadline was set
		return 0, b.memoryError()
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if n > 0 && !b.discarding && !grow(b.holder, int64(n)) {
		return 0, b.memoryError()
	}
	if err == io.EOF {
		b.end()
		if !b.holder.Settle() && !b.discarding {
			return n, b.memoryError()
		}
		return n, err
	}
	switch {
	case err == nil:
	case b.holder.Evicted() && !b.discarding:
		return 0, b.memoryError()
	case errors.Is(err, os.ErrDeadlineExceeded) && !b.discarding:
		took := clock.Now() - b.began
		b.opts.report("body_time_ms", took.Milliseconds(), b.opts.BodyStall.Milliseconds())
		return n, errs.New(errs.BodyTimeout, "send the body faster", "%d bytes of the body came within %d ms", b.bytes, took.Milliseconds())
	}
	return n, err
}

// end ends the bounds of a body that has arrived. The server reads on for the next request.
func (b *body) end() {
	b.done = true
	b.conn.arriving.Store(false)
	_ = b.conn.SetReadDeadline(time.Time{})
}

// deadline returns the time until which the next bytes must come; 0: none, or it has passed.
func (b *body) deadline(now time.Duration) time.Duration {
	var d time.Duration
	if b.opts.BodyStall > 0 {
		d = b.opts.BodyStall
		if b.opts.BodyPace > 0 {
			due := b.began + b.opts.BodyStall + time.Duration(float64(b.bytes)/float64(b.opts.BodyPace)*float64(time.Second))
			d = min(d, max(due-now, time.Millisecond))
		}
	}
	if b.limit > 0 {
		if d == 0 || b.limit-now < d {
			d = b.limit - now
		}
	}
	return max(d, 0)
}

func (b *body) memoryError() error {
	s := b.opts.Account.Stats()
	b.opts.report("memory", s.Used, s.Limit)
	return errs.New(errs.Overloaded, "retry later", "the bodies in arrival hold %d of %d bytes", s.Used, s.Limit).WithRetryAfter(memoryRetryAfter)
}

// Limit sets the clock time by which the body of a request must have arrived, and the class of what it
// holds. It has no effect on requests outside of a bounded server.
func Limit(r *http.Request, until time.Duration, class memory.Class) {
	if b, ok := r.Body.(*body); ok {
		b.limit = until
		b.holder.SetClass(class)
	}
}

// Discard reads and drops what is left of a body before a refusal is sent, within maxBytes and the given
// time, so that a client which sends its whole request first can read the refusal. If that does not reach
// the end of the body, the connection is closed after the response.
func Discard(w http.ResponseWriter, r *http.Request, maxBytes int64, within time.Duration) {
	b, ok := r.Body.(*body)
	if !ok || b.done || b.discarding {
		return
	}
	b.discarding = true
	b.holder.Close()
	b.limit = clock.Now() + within
	var err error
	if r.Header.Get("Expect") == "" { // else the client waits for an interim response before it sends the body
		_, err = io.CopyN(io.Discard, b, maxBytes+1)
	}
	if errors.Is(err, http.ErrBodyReadAfterClose) {
		// The server has read the rest of the body for a response that was flushed, and may wait for the next
		// request already: ending that read would cancel the contexts of all further requests.
		b.end()
	}
	if !b.done {
		w.Header().Set("Connection", "close")
		_ = b.conn.SetReadDeadline(past) // else the server would read on, without a bound of time
	}
}

const (
	// firstBodyBytes is the memory for a body before its first byte has arrived. It doubles up to smallBodyBytes.
	firstBodyBytes = 4 << 10
	// smallBodyBytes is the size from which the rest of a body is read into pieces of pieceBytes, which are used
	// again. Buffers that grow would leave garbage of twice the size, also of bodies that are given up.
	smallBodyBytes = 32 << 10
	pieceBytes     = 64 << 10
)

// pieces are buffers of pieceBytes.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// Piece returns an empty buffer of 64 KB, which PutPiece may give back.
func Piece() []byte { return pieces.Get().(*[pieceBytes]byte)[:0] }

// PutPiece gives back a buffer that is no longer used. It drops those that Piece has not returned.
func PutPiece(b []byte) {
	if cap(b) == pieceBytes {
		pieces.Put((*[pieceBytes]byte)(b[:pieceBytes]))
	}
}

// ReadBody reads a body of up to size bytes, which it returns also if there are fewer. Its memory grows with
// what arrives: size only shows where to stop.
func ReadBody(r io.Reader, size int64) ([]byte, error) {
	out := make([]byte, 0, min(size, firstBodyBytes))
	for {
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		if int64(len(out)) == size {
			return out, readEnd(r)
		}
		if len(out) == cap(out) && len(out) >= smallBodyBytes {
			return readPieces(r, out, size)
		}
		if len(out) == cap(out) {
			out = append(make([]byte, 0, min(size, 2*int64(cap(out)))), out...)
		}
	}
}

// readEnd reads past the last byte of a body, which shows that it has arrived.
func readEnd(r io.Reader) error {
	var end [1]byte
	if _, err := r.Read(end[:]); err != io.EOF {
		return err
	}
	return nil
}

// readPieces reads the rest of a body that begins with head.
func readPieces(r io.Reader, head []byte, size int64) ([]byte, error) {
	var rest []*[pieceBytes]byte
	defer func() {
		for _, p := range rest {
			pieces.Put(p)
		}
	}()
	total, used := int64(len(head)), pieceBytes
	for {
		if used == pieceBytes {
			rest, used = append(rest, pieces.Get().(*[pieceBytes]byte)), 0
		}
		room := min(int64(pieceBytes-used), size-total)
		n, err := r.Read(rest[len(rest)-1][used : int64(used)+room])
		used, total = used+n, total+int64(n)
		if err == nil && total == size {
			err = readEnd(r)
			if err == nil {
				err = io.EOF
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	out := append(make([]byte, 0, total), head...)
	for _, p := range rest {
		out = append(out, p[:min(pieceBytes, total-int64(len(out)))]...)
	}
	return out, nil
}
