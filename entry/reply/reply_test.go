package reply

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
)

// A resend of an order that had been executed was refused as "not run" by an entry that
// could not confirm its configuration: the caller might have ordered again.
func TestRunStateOfRefusals(t *testing.T) {
	cases := []struct {
		desc   string
		header string
		code   errs.Code
		want   errs.RunState
	}{
		{"no name: this request was not run", "", errs.ConfigUnconfirmed, errs.NotRun},
		{"a named call may have been run before", "Idempotency-Key", errs.ConfigUnconfirmed, errs.RunUnknown},
		{"a named turn may have been run before", "Figlb-Turn", errs.Unavailable, errs.RunUnknown},
		{"a withdrawn key says nothing about the call", "Idempotency-Key", errs.KeyRevoked, errs.RunUnknown},
		{"the service may have been declared before", "Idempotency-Key", errs.NotFound, errs.RunUnknown},
		{"the record was read: the proof holds", "Idempotency-Key", errs.RateLimited, errs.NotRun},
		{"the record was read: the proof holds", "Idempotency-Key", errs.NoTarget, errs.NotRun},
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
