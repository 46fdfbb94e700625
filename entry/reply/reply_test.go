package reply

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
)

// Guards against the run state "not run" for a resend of a request that was run, after
// which the caller may place the order a second time. It happened when an entry refused
// a resent order because it could not confirm its configuration.
func TestErrorRunStateOfPossibleResends(t *testing.T) {
	cases := []struct {
		desc   string
		header string
		code   errs.Code
		want   errs.RunState
	}{
		{"request without key or turn number was not run", "", errs.ConfigUnconfirmed, errs.NotRun},
		{"call with an idempotency key may have been run before", "Idempotency-Key", errs.ConfigUnconfirmed, errs.RunUnknown},
		{"request with a turn number may have been run before", "Figlb-Turn", errs.Unavailable, errs.RunUnknown},
		{"call may have been run before its API key was revoked", "Idempotency-Key", errs.KeyRevoked, errs.RunUnknown},
		{"call may have been run while the service was declared", "Idempotency-Key", errs.NotFound, errs.RunUnknown},
		{"rate-limited call was not run according to its record", "Idempotency-Key", errs.RateLimited, errs.NotRun},
		{"call without a target was not run according to its record", "Idempotency-Key", errs.NoTarget, errs.NotRun},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := httptest.NewRequest(http.MethodPost, "/orders", nil)
			if c.header != "" {
				r.Header.Set(c.header, "1")
			}
			w := httptest.NewRecorder()
			Error(w, r, errs.New(c.code, "remedy", "message"))
			var body struct{ Error struct{ Run errs.RunState } }
			g.Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(gomega.Succeed())
			g.Expect(body.Error.Run).To(gomega.Equal(c.want))
		})
	}
}
