package crowd

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

// startEntry starts a site of figlb's own interface and returns its entry, the address of it, a check
// by an ordinary request, and the client made by make with a valid key.
func startEntry(t *testing.T, make func(key string) client) (p *testsite.Process, addr string, run client, ordinary func() error) {
	g := NewWithT(t)
	s, err := testsite.Start(testsite.Options{Bin: bin, Dir: t.TempDir(), Members: 1, Entries: 1, Engines: 1,
		EntryExtra: fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", memoryMB, maxFDs)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Close)
	t.Cleanup(func() { logTail(t, s.Entries[0]) })
	key, _, err := s.GrantKey("acme")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.WaitKey(key, 10*time.Second)).To(Succeed())
	return s.Entries[0], s.EntryAddrs[0], make(key), get(s.EntryAddrs[0], "/v1/models", "Authorization", "Bearer "+key)
}

// keyed makes a client send a valid key.
func keyed(key string, run client) client {
	return func(c net.Conn) error { return run(&keyedConn{Conn: c, key: key}) }
}

// keyedConn replaces the key in what is written.
type keyedConn struct {
	net.Conn
	key string
}

func (c *keyedConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("POST ")) {
		if _, err := c.Conn.Write(bytes.ReplaceAll(b, []byte(apiKey), []byte(c.key))); err != nil {
			return 0, err
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against bodies that all requests of an entry hold together without a bound.
func TestBodiesAtAnEntry(t *testing.T) {
	p, addr, run, ordinary := startEntry(t, func(key string) client { return keyed(key, shortBody("/v1/chat/completions", 8<<20, 256<<10)) })
	crowd(t, p, addr, bodies, run, ordinary)
}

// Guards against the memory of parsed fields at an entry.
func TestHeadsOfManyFieldsAtAnEntry(t *testing.T) {
	p, addr, run, ordinary := startEntry(t, func(string) client { return manyFields("/v1/models", 60<<10, false) })
	crowd(t, p, addr, connections, run, ordinary)
}

// Guards against connections without a request that use up an entry's descriptors.
func TestSilentConnectionsAtAnEntry(t *testing.T) {
	p, addr, run, ordinary := startEntry(t, func(string) client { return silent })
	crowd(t, p, addr, connections, run, ordinary)
}
