package bodystore

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/wire"
)

// Guards against messages that differ between the client and the store, replies that end early without the rest
// being fetched, memory of replies that is not released, and methods that are served before the store is open.
func TestClientAndServer(t *testing.T) {
	g := NewWithT(t)
	w, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	defer w.Close()
	var store *Store
	Register(w, func() *Store { return store })
	go w.Serve()
	c := NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Expect(errs.Is(c.Put(ctx, w.Addr(), testBody(0, 100)), errs.Unavailable)).To(BeTrue())
	store = openStore(g, t.TempDir(), newTestDisk(t.TempDir()), 0)
	defer store.Close()
	keys := []string{"unknown"}
	for i := range 7 {
		g.Expect(c.Put(ctx, w.Addr(), testBody(i, 700<<10))).To(Succeed())
		keys = append(keys, testBody(i, 0).Key)
	}
	for range 10 { // four times the memory for replies
		bodies, err := c.Get(ctx, w.Addr(), keys)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bodies).To(HaveLen(8))
		g.Expect(bodies[0].Found).To(BeFalse())
		for i, b := range bodies[1:] {
			g.Expect(b.Found).To(BeTrue())
			g.Expect(b.Input).To(Equal(testBody(i, 700<<10).Input))
			g.Expect(b.Output).To(Equal(testBody(i, 700<<10).Output))
		}
	}
}

// Guards against calls that wait for a silent store beyond their time, and against a connection that is kept after
// the network has begun to drop its packets.
func TestClientReplacesSilentConnection(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn // never read
		}
	}()
	c := NewClient()
	defer c.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		start := time.Now()
		_, err := c.Get(ctx, ln.Addr().String(), []string{"key"})
		cancel()
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(time.Since(start)).To(BeNumerically("<", silentLimit))
		time.Sleep(silentLimit)
	}
	g.Eventually(accepted).Should(HaveLen(2))
}
