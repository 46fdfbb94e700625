package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a deadlock that blocks all requests and polls of a gateway. The limit function
// of a pool takes the lock of the target set, and choosing a target calls Pool.Idle under that
// lock, so the pool must not hold its own lock while it calls the limit function.
func TestIdleDoesNotBlockOnLimit(t *testing.T) {
	g := NewWithT(t)
	asked, release := make(chan struct{}), make(chan struct{})
	p := NewPool("127.0.0.1:1", func() int {
		close(asked)
		<-release
		return 0
	}, NewLinks(LinksOptions{}))
	ended := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), &Request{Method: "GET", Path: "/", Host: "h"})
		ended <- err
	}()
	<-asked
	idle := make(chan int, 1)
	go func() { idle <- p.Idle() }()
	g.Eventually(idle, time.Second).Should(Receive(Equal(0)))
	close(release)
	g.Eventually(ended, time.Second).Should(Receive(MatchError(ErrFull)))
}

// lateCopyTarget starts a target that refuses the first request on each connection. Where the
// response to the next request on that connection is expected, it sends a late copy of the refusal
// before it runs that request.
func lateCopyTarget(t *testing.T, ran *atomic.Int32) (addr string) {
	const refusal = "HTTP/1.1 503 Full\r\nId: own\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var refused atomic.Int32
	return startTarget(t, func(c net.Conn, br *bufio.Reader) {
		for first := true; ; first = false {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if first && refused.Add(1) == 1 {
				_, _ = io.WriteString(c, refusal)
				continue
			}
			if !first {
				_, _ = io.WriteString(c, refusal)
			}
			ran.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// Guards against taking a late copy of a refusal, which has the id of its request, for the response
// to the next send of the same request: the request counted as not run while the target ran it.
func TestLateCopyOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit int // connections that the pool may have
	}{
		{"with room for another connection", 2},
		{"at the limit of connections", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var ran atomic.Int32
			pool := NewPool(lateCopyTarget(t, &ran), func() int { return c.limit }, NewLinks(LinksOptions{}))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var carriers Carriers
			req := newRequest()
			req.Carriers = &carriers
			response, err := pool.Do(ctx, req)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			response.Discard()
			g.Expect(pool.Idle()).To(Equal(1), "a refusal does not cost the connection")

			response, err = pool.Do(ctx, req)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK), "the response to the second send")
			g.Expect(ran.Load()).To(BeEquivalentTo(1))
			response.Discard()
		})
	}
}

// Guards against opening a connection, or failing, for a request that may use an idle connection:
// only the connections that have carried the same request are left out.
func TestConnectionsThatCarriedTheRequest(t *testing.T) {
	g := NewWithT(t)
	pool := NewPool(startTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok")
		}
	}), func() int { return 2 }, NewLinks(LinksOptions{}))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var carriers Carriers
	repeated := newRequest()
	repeated.Carriers = &carriers
	send := func(req *Request) *Response {
		response, err := pool.Do(ctx, req)
		g.Expect(err).NotTo(HaveOccurred())
		return response
	}
	first, other := send(repeated), send(newRequest())
	other.Discard()
	first.Discard() // the most recently used connection has carried the request
	second := send(repeated)
	g.Expect(pool.Dialed.Load()).To(BeEquivalentTo(2), "the repeated request uses the other connection")
	third := send(newRequest())
	g.Expect(pool.Dialed.Load()).To(BeEquivalentTo(2), "other requests use both")
	_, err := pool.Do(ctx, repeated)
	g.Expect(err).To(MatchError(ErrFull), "connections in use are not closed")
	second.Discard()
	third.Discard()
}

// Guards against closing the connection of a target that responds at once: the response could be
// read before it was known that the whole request had been written.
func TestFastResponsesKeepTheConnection(t *testing.T) {
	g := NewWithT(t)
	pool := newTestPool(startTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 500 {
		response, err := pool.Do(ctx, newRequest())
		g.Expect(err).NotTo(HaveOccurred())
		response.Discard()
	}
	g.Expect(pool.Dialed.Load()).To(BeEquivalentTo(1))
}
