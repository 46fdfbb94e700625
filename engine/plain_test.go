package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request without headers of its own that ends the process.
func TestPlainWithoutHeader(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	defer srv.Close()
	c := NewClient(Options{})
	defer c.Close()
	resp, fail := c.Plain(context.Background(), PlainRequest{
		Address: strings.TrimPrefix(srv.URL, "http://"), Method: http.MethodGet, URI: "/", RequestID: "r1", Timeout: time.Second,
	})
	g.Expect(fail).To(BeNil())
	g.Expect(resp.Status).To(Equal(http.StatusOK))
}
