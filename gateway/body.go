package gateway

import (
	"io"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clientlimit"
)

// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

func (x *exchange) maxBodyBytes() int64 {
	if x.table == nil || x.table.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return x.table.Limits.MaxBodyBytes
}

// readBody reads the whole body within the configured limit. Its memory grows with what arrives: a
// declared length only shows where to stop.
func (x *exchange) readBody() error {
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.maxBodyBytes()
	if x.r.ContentLength > limit {
		return bodyTooLargeError(limit)
	}
	class := memory.Fresh
	if x.req.PreviousTurn != "" {
		class = memory.Begun
	}
	clientlimit.Limit(x.r, x.deadline, class)
	size := limit + 1 // one byte more shows that a body without a length is too long
	if x.r.ContentLength > 0 {
		size = x.r.ContentLength
	}
	body, err := clientlimit.ReadBody(x.r.Body, size)
	switch {
	case err != nil:
		return bodyReadError(err)
	case int64(len(body)) < x.r.ContentLength:
		return bodyReadError(io.ErrUnexpectedEOF)
	case int64(len(body)) > limit:
		return bodyTooLargeError(limit)
	}
	x.body = body
	return nil
}

// discardBody reads and drops what is left of the body of a refused request, within bounds, so that the
// caller can read the refusal.
func (x *exchange) discardBody() {
	if x.note != noteStarted {
		clientlimit.Discard(x.w, x.r, x.maxBodyBytes(), clientlimit.DiscardTime)
	}
}

func bodyTooLargeError(limit int64) error {
	return errs.New(errs.BodyTooLarge, "send a smaller body", "the body is larger than %d bytes", limit)
}

func bodyReadError(err error) error {
	var e *errs.Error
	if errors.As(err, &e) {
		return e // a bound for clients
	}
	return errs.New(errs.BadRequest, "send the whole body", "the request body could not be read: %v", err)
}
