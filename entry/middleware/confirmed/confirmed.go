package confirmed

import (
	"net/http"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// New returns the middleware. check is evaluated for each request and returns nil
// while the configuration is confirmed.
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
