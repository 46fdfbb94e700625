package entry

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

var orders = structs.Service{Name: "orders", Prefix: "/orders"}

var _ = ginkgo.Describe("calls that may not be repeated", func() {
	ginkgo.It("run once and return the stored result to a resend", func() {
		// Guards against a payment that is made twice.
		b := newBed(Timing{})
		var runs atomic.Int32
		b.target("o1", "", "orders", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			body, _ := io.ReadAll(r.Body)
			Expect(r.Header.Get("Figlb-Call-Key")).To(Equal("pay-1"))
			Expect(r.Header.Get("Idempotency-Key")).To(BeEmpty())
			w.Header().Set("Location", "/orders/7")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(append([]byte("got "), body...))
		})
		b.service(orders)
		for range 2 {
			resp, body := b.do("POST", "/orders", "7", header{"Idempotency-Key": "pay-1"})
			Expect(resp.StatusCode).To(Equal(201), body)
			Expect(body).To(Equal("got 7"))
			Expect(resp.Header.Get("Location")).To(Equal("/orders/7"))
			Expect(resp.Header.Get("Idempotency-Key")).To(Equal("pay-1"))
		}
		Expect(runs.Load()).To(BeEquivalentTo(1))
		resp, body := b.do("POST", "/orders", "8", header{"Idempotency-Key": "pay-1"})
		Expect(resp.StatusCode).To(Equal(422))
		Expect(errorOf(body)).To(HaveKeyWithValue("code", "idempotency_mismatch"))
	})
})
