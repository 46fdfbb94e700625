package bodylimit

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/admission/memory"
	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/internal/clock"
)

type contextKey struct{}

// New returns the middleware. It reads the whole body (at most maxBytes, within timeout)
// before it calls the handler, which gets the body from Body.
func New(maxBytes int64, timeout time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, e := read(w, r, maxBytes, timeout)
			if e != nil {
				// The connection cannot be reused, because the rest of the body is unread.
				w.Header().Set("Connection", "close")
				reply.Error(w, r, e)
				return
			}
			ctx := context.WithValue(r.Context(), contextKey{}, body)
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

// Body returns the body that the middleware has read.
func Body(r *http.Request) []byte {
	body, _ := r.Context().Value(contextKey{}).([]byte)
	return body
}

func read(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, *errs.Error) {
	if r.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errs.From(err)
	}
	clientlimit.Limit(r, clock.Now()+timeout, memory.Fresh)
	size := maxBytes + 1
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	body, err := clientlimit.ReadBody(r.Body, size)
	if err != nil {
		return nil, readError(err, timeout)
	}
	if int64(len(body)) > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, errs.From(err)
	}
	return body, nil
}

func tooLarge(maxBytes int64) *errs.Error {
	return errs.New(errs.BodyTooLarge, "send a smaller body", "the body is larger than %d bytes", maxBytes)
}

func readError(err error, timeout time.Duration) *errs.Error {
	var e *errs.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.New(errs.BodyTimeout, "send the body faster", "the body did not arrive within %s", timeout)
	}
	return errs.New(errs.BadRequest, "send the complete body", "the body ended before it was complete")
}
