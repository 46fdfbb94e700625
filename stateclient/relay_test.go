package stateclient

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/wire"
)

// startLeader starts a controller that is the leader and returns its address.
func startLeader(t *testing.T) string {
	srv, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	srv.Handle(fleet.MethodContact, func(context.Context, []byte) (any, error) { return &fleet.ContactReply{ReachesLeader: true}, nil })
	srv.Handle(fleet.MethodRate, func(context.Context, []byte) (any, error) { return &fleet.Grant{Tokens: 1}, nil })
	go srv.Serve()
	t.Cleanup(srv.Close)
	return srv.Addr()
}

// dropFirstConnection returns the address of a proxy that discards all data on the first
// connection and forwards later connections to target, as after a network partition in
// which a connection was lost silently.
func dropFirstConnection(t *testing.T, target string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for first := true; ; first = false {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			if first {
				go func() { _, _ = io.Copy(io.Discard, in) }()
				continue
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(out, in) }()
			go func() { _, _ = io.Copy(in, out) }()
		}
	}()
	return ln.Addr().String()
}

// Guards against a host that keeps using relays after a network partition has ended, because
// it still calls the controllers over a connection that the partition broke silently.
func TestContactReplacesBrokenConnection(t *testing.T) {
	c, err := New([]string{dropFirstConnection(t, startLeader(t))}, 1, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	NewWithT(t).Expect(c.LeaderReachable(context.Background())).To(BeFalse())
	NewWithT(t).Expect(c.LeaderReachable(context.Background())).To(BeTrue())
}

// Guards against caching a relay as the leader, which would be called as such once calls go
// to the controllers directly again.
func TestRelayIsNotCachedAsLeader(t *testing.T) {
	relay := startLeader(t) // stands for a gateway that relays to the leader
	c, err := New([]string{"127.0.0.1:1"}, 1, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	c.SetRelays([]string{relay})
	_, err = c.RequestGrant(context.Background(), &fleet.RateRequest{})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c.SetRelays(nil)
	NewWithT(t).Expect(c.leader(fleet.DocumentGroup)).NotTo(Equal(relay))
}
