package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	})
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
