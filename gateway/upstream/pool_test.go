package upstream

import (
	"context"
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
