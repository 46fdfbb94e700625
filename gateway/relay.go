package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// defaultRelayBytes bounds what is kept of a response if the options set no bound.
	defaultRelayBytes = 1 << 20
	// freeRelayBytes is kept without an account. Callers that keep up with a stream stay below it.
	freeRelayBytes = 16 << 10
	// maxRelayWait is the time for which a full relay stops reading from the target. Targets cut off a
	// response that stays unread for some seconds.
	maxRelayWait = 2 * time.Second
	// maxBrokenWait is the time in which a caller can read what has come of a response that has broken off.
	maxBrokenWait = 500 * time.Millisecond
	// relayWaitStep is the time between two attempts to keep more while the relay or the account is full.
	relayWaitStep = 5 * time.Millisecond
)

// errCallerSlow ends a response whose caller reads too slowly.
var errCallerSlow = errors.New("the caller reads too slowly")

// callerError is an error of the connection to the caller. The target has no part in it.
type callerError struct{ error }

func isCallerError(err error) bool {
	var e callerError
	return errors.As(err, &e)
}

// relay stores and forwards a response: one goroutine adds what the target sends, and another one writes it at
// the caller's pace.
type relay struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	flush  bool // after each write
	limit  int
	holder *memory.Holder
	open   func(evict func()) *memory.Holder
	done   chan struct{} // closed when the writer has ended

	mu      sync.Mutex
	changed sync.Cond
	pending [][]byte // not yet given to the writer
	kept    int      // bytes in pending and of the running write
	charged int64
	ended   bool // nothing follows
	aborted bool
	err     error // of the caller's connection
}

// newRelay starts a relay to the caller of an exchange. close must be called.
func (x *exchange) newRelay(flush bool) *relay {
	r := &relay{w: x.w, rc: http.NewResponseController(x.w), flush: flush, limit: int(x.g.opts.RelayBytes), done: make(chan struct{})}
	if r.limit <= 0 {
		r.limit = defaultRelayBytes
	}
	r.open = func(evict func()) *memory.Holder { return x.g.opts.Memory.Open(clock.Now(), memory.Response, evict) }
	r.changed.L = &r.mu
	go r.run()
	return r
}

// run writes what has been added until the relay ends.
func (r *relay) run() {
	defer close(r.done)
	for {
		out := r.next()
		if out == nil {
			return
		}
		_, err := r.w.Write(out)
		if err == nil && r.flush {
			err = r.rc.Flush()
		}
		if !r.written(out, err) {
			return
		}
	}
}

// next waits for bytes to write. It returns nil if none follow.
func (r *relay) next() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) == 0 && !r.ended && !r.aborted {
		r.changed.Wait()
	}
	if len(r.pending) == 0 || r.aborted { // what is left is dropped by close
		return nil
	}
	out := r.pending[0]
	r.pending = r.pending[1:]
	return out
}

// written records the result of a write. It returns false if it failed.
func (r *relay) written(out []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept -= len(out)
	clientlimit.PutPiece(out)
	if r.kept == 0 && r.charged > 0 {
		r.holder.Shrink(r.charged)
		r.charged = 0
	}
	if err != nil && r.err == nil {
		r.err = callerError{err}
	}
	return err == nil
}

// add adds bytes of the response. It waits a bounded time if the caller has not yet read enough.
func (r *relay) add(b []byte) error {
	for began := clock.Now(); ; {
		ok, err := r.tryAdd(b)
		if ok || err != nil {
			return err
		}
		if clock.Now()-began > maxRelayWait {
			r.abort()
			return callerError{errCallerSlow}
		}
		time.Sleep(relayWaitStep)
	}
}

// tryAdd adds bytes if they fit.
func (r *relay) tryAdd(b []byte) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return false, r.err
	}
	if r.aborted {
		return false, callerError{errCallerSlow}
	}
	if r.kept > 0 && r.kept+len(b) > r.limit {
		return false, nil
	}
	if over := int64(r.kept + len(b) - freeRelayBytes); over > r.charged && !r.charge(over-r.charged) {
		return false, nil
	}
	r.keep(b)
	r.changed.Signal()
	return true, nil
}

// keep copies bytes to the last buffer, or to a new one if they do not fit. Few bytes get a buffer of their
// size, and many get pieces that are used again. The caller holds mu.
func (r *relay) keep(b []byte) {
	last := len(r.pending) - 1
	if last < 0 || cap(r.pending[last])-len(r.pending[last]) < len(b) {
		var buf []byte
		if r.kept+len(b) > freeRelayBytes {
			buf = clientlimit.Piece()
		}
		r.pending = append(r.pending, buf)
		last++
	}
	r.pending[last] = append(r.pending[last], b...)
	r.kept += len(b)
}

// drop gives back what has not been written.
func (r *relay) drop() {
	for _, b := range r.pending {
		clientlimit.PutPiece(b)
	}
	r.pending = nil
}

// charge accounts for n further bytes. The caller holds mu.
func (r *relay) charge(n int64) bool {
	if r.holder == nil {
		r.holder = r.open(func() { go r.abort() })
	}
	if r.holder.Grow(clock.Now(), n) != memory.Granted {
		return false
	}
	r.charged += n
	return true
}

// abort ends a running write to the caller, whose connection is closed.
func (r *relay) abort() {
	r.mu.Lock()
	r.aborted = true
	r.changed.Signal()
	r.mu.Unlock()
	_ = r.rc.SetWriteDeadline(time.Unix(1, 0))
}

// close ends the relay. If the response is complete, it waits until the caller has read it; the server bounds
// the time in which a caller reads nothing. Of an incomplete one it passes on what has come, for a bounded time.
func (r *relay) close(complete bool) error {
	r.mu.Lock()
	r.ended = true
	r.changed.Signal()
	r.mu.Unlock()
	if !complete {
		t := time.AfterFunc(maxBrokenWait, r.abort)
		defer t.Stop()
	}
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop()
	r.holder.Close()
	if r.err == nil && r.aborted {
		return callerError{errCallerSlow}
	}
	return r.err
}

// copyEvents relays a stream to the caller, which gets the events as they arrive. The header is sent with
// the first bytes, so that a stream that breaks before them can still be turned into an error. The
// connection to the target is released at the end of the stream, before the caller has read it.
func (x *exchange) copyEvents(resp *upstream.Response, rec *eventRecorder, begin func()) (err error) {
	var out *relay
	complete := false // also after a panic
	defer func() {
		resp.Finish(complete)
		if out == nil {
			return
		}
		if cerr := out.close(complete); err == nil {
			err = cerr
		}
	}()
	buf := make([]byte, streamBufferBytes)
	for {
		n, rerr := resp.Body.Read(buf)
		if n > 0 {
			if out == nil {
				begin()
				out = x.newRelay(true)
			}
			if err := rec.add(buf[:n]); err != nil {
				return err
			}
			if err := out.add(buf[:n]); err != nil {
				return err
			}
		}
		if rerr == io.EOF && out == nil && x.restIsEmpty(resp) {
			begin()
			out = x.newRelay(true)
		}
		switch {
		case rerr == io.EOF && out == nil:
			return io.ErrUnexpectedEOF
		case rerr == io.EOF:
			err := rec.checkComplete()
			complete = err == nil
			return err
		case rerr != nil:
			return rerr
		}
	}
}

// restIsEmpty reports whether a stream without bytes is complete: its caller had all events and lacked the
// end, and the target has marked the end.
func (x *exchange) restIsEmpty(resp *upstream.Response) bool {
	return x.resumes() && !resp.EndsWithConnection()
}

// copyLong relays a long response, of which head has been read. It returns the bytes taken from the target.
func (x *exchange) copyLong(resp *upstream.Response, head []byte) (copied int64, err error) {
	out := x.newRelay(false)
	complete := false // also after a panic
	defer func() {
		resp.Finish(complete)
		if cerr := out.close(complete); err == nil {
			err = cerr
		}
	}()
	if err := out.add(head); err != nil {
		return 0, err
	}
	copied = int64(len(head))
	buf := make([]byte, longBufferBytes)
	for {
		n, rerr := resp.Body.Read(buf)
		copied += int64(n)
		if n > 0 {
			if err := out.add(buf[:n]); err != nil {
				return copied, err
			}
		}
		if rerr == io.EOF {
			complete = true
			return copied, nil
		}
		if rerr != nil {
			return copied, rerr
		}
	}
}

// longBufferBytes is the size of reads from a long response.
const longBufferBytes = 32 << 10

// writeWhole writes a response that has been read to its end. What a caller does not read is accounted for.
func (x *exchange) writeWhole(resp *http.Response, body []byte) error {
	if len(body) > freeRelayBytes {
		rc := http.NewResponseController(x.w)
		h := x.g.opts.Memory.Open(clock.Now(), memory.Response, func() { _ = rc.SetWriteDeadline(time.Unix(1, 0)) })
		defer h.Close()
		if !growWithin(h, int64(len(body)), maxRelayWait) {
			return errs.New(errs.OutcomeUnknown, "check the outcome before sending the request again",
				"no memory for the response, as callers read theirs too slowly").WithRun(errs.Ran)
		}
	}
	x.writeHeader(resp, strconv.Itoa(len(body)))
	_, _ = x.w.Write(body) // the HTTP server notices a caller that has left
	return nil
}

// growWithin asks for n bytes for a bounded time.
func growWithin(h *memory.Holder, n int64, within time.Duration) bool {
	for began := clock.Now(); ; time.Sleep(relayWaitStep) {
		if h.Grow(clock.Now(), n) == memory.Granted {
			return true
		}
		if h.Evicted() || clock.Now()-began > within {
			return false
		}
	}
}
