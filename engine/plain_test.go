package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
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

// startRawTarget starts a target that reads the head of each request and calls serve.
func startRawTarget(t *testing.T, serve func(c *net.TCPConn)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReaderSize(c, 512)
				for line := ""; line != "\r\n" && err == nil; {
					line, err = r.ReadString('\n')
				}
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a part of a response that counts as the whole one: the target answers a long upload at once
// without a length and resets the connection while the upload is being written.
func TestPlainEarlyResponseThatIsReset(t *testing.T) {
	g := NewWithT(t)
	addr := startRawTarget(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 4000))
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	c := NewClient(Options{})
	defer c.Close()
	complete := 0
	for range 100 {
		resp, fail := c.Plain(context.Background(), PlainRequest{Address: addr, Method: http.MethodPost, URI: "/", RequestID: "r1",
			Body: make([]byte, 4<<20), Timeout: 2 * time.Second, NewConnection: true})
		if fail == nil {
			complete++
			g.Expect(resp.Body).To(HaveLen(4000))
		} else {
			g.Expect(fail.Written).To(BeTrue(), "the request may have run")
		}
	}
	g.Expect(complete).To(BeZero(), "of 100 responses that were reset")
}

// Guards against a status that is none of HTTP's: an entry that passes it on panics.
func TestPlainStatusOutsideTheRange(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		g := NewWithT(t)
		addr := startRawTarget(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		})
		c := NewClient(Options{})
		_, fail := c.Plain(context.Background(), PlainRequest{Address: addr, Method: http.MethodGet, URI: "/", RequestID: "r1", Timeout: time.Second})
		g.Expect(fail).NotTo(BeNil(), status)
		g.Expect(errors.Is(fail.Err, ErrMalformed)).To(BeTrue(), "%v", fail.Err)
		g.Expect(fail.Written).To(BeTrue())
		c.Close()
	}
}
