package recovery

import (
	"net/http"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// New returns the middleware. http.ErrAbortHandler passes through: it ends the
// connection of an answer that must not look complete.
func New(log logr.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				p := recover()
				if p == nil {
					return
				}
				if p == http.ErrAbortHandler {
					panic(p)
				}
				log.Error(errors.Errorf("panic: %v", p), "request handler panicked", "method", r.Method, "stack", string(debug.Stack()))
				e := errs.New(errs.Internal, "report the trace id", "the request handler failed")
				reply.Error(w, r, e.WithRun(errs.RunUnknown))
			}()
			next.ServeHTTP(w, r)
		})
	}
}
