package confirmed

import (
	"net/http"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// New returns the middleware. It calls check for each request. check returns nil while the
// configuration is confirmed, and otherwise the error to respond with.
func New(check func() *errs.Error) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if e := check(); e != nil {
				reply.Error(w, r, e)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
