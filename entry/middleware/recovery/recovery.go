package recovery

import (
	"net/http"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// New returns the middleware. It does not recover from http.ErrAbortHandler, with which a
// handler aborts the connection so that a partial response does not look complete.
func New(log logr.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				recovered := recover()
				if recovered == nil {
					return
				}
				if recovered == http.ErrAbortHandler {
					panic(recovered)
				}
				log.Error(errors.Errorf("panic: %v", recovered), "request handler panicked", "method", r.Method, "stack", string(debug.Stack()))
				e := errs.New(errs.Internal, "report the trace id", "the request handler failed")
				reply.Error(w, r, e.WithRun(errs.RunUnknown))
			}()
			next.ServeHTTP(w, r)
		})
	}
}
