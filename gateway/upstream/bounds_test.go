package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// sendBuffer is the size of the kernel's send buffer of a stand-in target's connection.
const sendBuffer = 64 << 10

// startTarget starts a listener that runs serve for each connection. It returns the address.
func startTarget(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
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
			// Otherwise the kernel buffers up to 4 MiB that the other side has not read.
			_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer) // a larger buffer only makes tests stricter
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func newTestPool(addr string) *Pool {
	return NewPool(addr, func() int { return 4 }, NewLinks(LinksOptions{}))
}

// newRequest returns a request to which only responses with the header "Id: own" belong.
func newRequest() *Request {
	return &Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{"Id": {"own"}},
		Matches: func(h http.Header) bool { return h.Get("Id") == "own" }}
}

// writeRepeatedly writes chunk until the peer closes the connection or at least maxBytes bytes have
// been sent. It returns the number of bytes.
func writeRepeatedly(c net.Conn, chunk string, maxBytes int) (sent int) {
	b := []byte(strings.Repeat(chunk, 4096/len(chunk)+1))
	for sent < maxBytes {
		n, err := c.Write(b)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// Guards against targets that keep sending bytes which never form a response to the request. A
// single such target used up all memory of a host, or held a request until its deadline.
func TestUnboundedResponses(t *testing.T) {
	const (
		deadline     = 5 * time.Second
		maxWait      = 2 * time.Second
		endless      = 64 << 20
		maxRead      = 4 << 20 // including what is buffered in the network
		maxAllocated = 8 << 20
	)
	head := "HTTP/1.1 200 OK\r\n"
	stale := head + "Id: other\r\n"
	for _, c := range []struct {
		name  string
		serve func(c net.Conn) int
	}{
		{"an endless header line", func(c net.Conn) int { _, _ = io.WriteString(c, head+"X: "); return writeRepeatedly(c, "x", endless) }},
		{"endless header lines", func(c net.Conn) int { _, _ = io.WriteString(c, head); return writeRepeatedly(c, "X-Y: z\r\n", endless) }},
		{"an endless status line", func(c net.Conn) int { return writeRepeatedly(c, "x", endless) }},
		{"endless interim responses", func(c net.Conn) int { return writeRepeatedly(c, "HTTP/1.1 102 Processing\r\n\r\n", endless) }},
		{"an endless body of another response", func(c net.Conn) int {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", stale, endless)
			return writeRepeatedly(c, "x", endless)
		}},
		{"endless chunks of another response", func(c net.Conn) int {
			_, _ = io.WriteString(c, stale+"Transfer-Encoding: chunked\r\n\r\n")
			return writeRepeatedly(c, "1\r\nx\r\n", endless)
		}},
		{"endless other responses", func(c net.Conn) int { return writeRepeatedly(c, stale+"Content-Length: 0\r\n\r\n", endless) }},
		{"a head sent byte by byte", func(c net.Conn) int {
			for i := range int(deadline / (50 * time.Millisecond)) {
				if _, err := io.WriteString(c, head[i%len(head):i%len(head)+1]); err != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			return 0
		}},
		{"a body of another response sent byte by byte", func(c net.Conn) int {
			_, _ = io.WriteString(c, stale+"Content-Length: 1000\r\n\r\n")
			for range int(deadline / (50 * time.Millisecond)) {
				if _, err := io.WriteString(c, "x"); err != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			return 0
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sent := make(chan int, 1)
			pool := newTestPool(startTarget(t, func(conn net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				sent <- c.serve(conn)
			}))
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err := pool.Do(ctx, newRequest())
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			g.Expect(err).To(HaveOccurred())
			g.Expect(errorsIsNotSent(err)).To(BeFalse(), "the request may have run")
			g.Expect(took).To(BeNumerically("<", maxWait))
			g.Expect(int64(after.TotalAlloc)-int64(before.TotalAlloc)).To(BeNumerically("<", maxAllocated), "bytes allocated")
			g.Eventually(sent, maxWait).Should(Receive(BeNumerically("<", maxRead)), "the connection must be closed")
			g.Expect(pool.Idle()).To(BeZero())
		})
	}
}

// Guards against rejecting a valid response because it is slow to begin, follows interim
// responses, has a large header or comes after a late response to an earlier request.
func TestUnusualValidResponses(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n"
	for _, c := range []struct{ name, before, response string }{
		{"after interim responses", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + own + "\r\nok"},
		{"with a large header", "", own + "X: " + strings.Repeat("x", 30<<10) + "\r\n\r\nok"},
		{"after another response", "", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("o", 3000) + own + "\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			pool := newTestPool(startTarget(t, func(conn net.Conn, br *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					time.Sleep(1200 * time.Millisecond)
					_, _ = io.WriteString(conn, c.response)
				}
			}))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 2 {
				response, err := pool.Do(ctx, newRequest())
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("ok"))
				response.Finish(true)
			}
			g.Expect(pool.Dialed.Load()).To(BeEquivalentTo(1), "the connection is reused")
		})
	}
}

// Guards against delivering a late duplicate of a response, which lacks the id of its request, to
// the next caller on the connection.
func TestResponseWithoutIDOnReusedConnection(t *testing.T) {
	g := NewWithT(t)
	duplicate := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	first := true
	pool := newTestPool(startTarget(t, func(conn net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if first {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\none")
			} else {
				_, _ = io.WriteString(conn, duplicate)
			}
			first = false
		}
	}))
	req := newRequest()
	req.Matches = nil
	req.Unidentified = func(h http.Header) bool { return h.Get("Id") == "" }
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, req)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	response.Finish(true)
	_, err = pool.Do(ctx, req)
	g.Expect(err).To(HaveOccurred(), "the response can't be matched to a request")
	g.Expect(errorsIsNotSent(err)).To(BeFalse())
}

// FuzzReadAnswer looks for responses that make readResponse panic, hang or accept a response to
// another request.
func FuzzReadAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: own\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "rubbish", "\r\n\r\n", "HTTP/1.1 999\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		go func() {
			_, _ = io.Copy(server, bytes.NewReader(data))
			_ = server.Close()
		}()
		c := newConn(client, NewLinks(LinksOptions{}), "", "")
		resp, err := c.readResponse(newRequest())
		if err != nil {
			return
		}
		if resp.Header.Get("Id") != "own" {
			t.Fatalf("response to another request: %v", resp.Header)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	})
}

func errorsIsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }
