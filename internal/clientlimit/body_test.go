package clientlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/settings"
)

// Guards against bodies that change when they are read in pieces, at the sizes where the way of reading
// changes, with and without a known size.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, smallBodyBytes - 1, smallBodyBytes, smallBodyBytes + 1,
		smallBodyBytes + pieceBytes, smallBodyBytes + 3*pieceBytes + 7} {
		g := NewWithT(t)
		text := make([]byte, size)
		_, _ = rand.New(rand.NewSource(int64(size))).Read(text)
		for _, limit := range []int{size, size + 1, 4 << 20} {
			for _, r := range []io.Reader{bytes.NewReader(text), iotest.HalfReader(bytes.NewReader(text)), iotest.DataErrReader(bytes.NewReader(text))} {
				got, err := ReadBody(r, int64(limit))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(got, text)).To(BeTrue(), "%d bytes of at most %d", size, limit)
			}
		}
		_, err := ReadBody(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), int64(size+1))
		g.Expect(err).To(Equal(io.ErrUnexpectedEOF))
	}
}

// Guards against a connection whose further requests are cancelled: the server reads what is left of a
// small body when a handler that has not read it flushes its response, and then already waits for the next
// request, so that no read of the connection may be ended. The fault is a race, so the requests are repeated.
func TestRequestsAfterARefusalWithoutTheBody(t *testing.T) {
	g := NewWithT(t)
	const rounds = 300
	var cancelled atomic.Int32
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			return
		}
		if r.Context().Err() != nil {
			cancelled.Add(1)
		}
	})}
	limits := New(settings.ClientLimits{}.WithDefaults(0, 0, false), logr.Discard(), metrics.NewRegistry())
	o := limits.Front("test", time.Second, time.Second, 16<<10)
	addr := make(chan string, 1)
	go func() { _ = o.Serve(h, "127.0.0.1:0", "", "", func(l net.Listener) { addr <- l.Addr().String() }) }() // until Close
	defer func() { _ = h.Close() }()
	to := <-addr
	for range rounds {
		c, err := net.Dial("tcp", to)
		g.Expect(err).NotTo(HaveOccurred())
		br := bufio.NewReader(c)
		for _, path := range []string{"/refused", "/served"} {
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", path)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(br, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_ = c.Close()
	}
	g.Expect(cancelled.Load()).To(BeZero(), "of %d requests that followed a refusal", rounds)
}
