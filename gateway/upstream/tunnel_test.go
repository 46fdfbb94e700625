package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (a, b net.Conn) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	a, err = net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	b, err = ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// Guards against a response that ends with its connection and looks complete although the relay or the
// target has broken it off, and against a target that works on for a caller that has left.
func TestTunnelTellsTheEndFromAFailure(t *testing.T) {
	body := strings.Repeat("0123456789", 5000)
	for _, c := range []struct {
		name string
		end  func(peer, target net.Conn)
		err  error // of the read; nil: the end of the response
	}{
		{"the target closes its connection", func(_, target net.Conn) { _ = target.Close() }, nil},
		{"the target resets its connection", func(_, target net.Conn) {
			_ = target.(*net.TCPConn).SetLinger(0)
			_ = target.Close()
		}, io.ErrUnexpectedEOF},
		{"the relay is killed", func(peer, _ net.Conn) { _ = peer.Close() }, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			own, peer := tcpPair(t)
			relayEnd, target := tcpPair(t)
			var tunnels Tunnels
			go tunnels.Serve(peer, relayEnd)
			tn := &tunnelConn{Conn: own}
			_, err := io.WriteString(tn, "request")
			g.Expect(err).NotTo(HaveOccurred())
			request := make([]byte, 7)
			_, err = io.ReadFull(target, request)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(request)).To(Equal("request"))
			go func() { _, _ = io.WriteString(target, body) }()
			got := make([]byte, len(body))
			_, err = io.ReadFull(tn, got)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(body))
			c.end(peer, target)
			_ = own.SetReadDeadline(time.Now().Add(time.Second))
			_, err = tn.Read(got)
			if c.err == nil {
				g.Expect(err).To(Equal(io.EOF))
			} else {
				g.Expect(errors.Is(err, c.err)).To(BeTrue(), "%v", err)
			}
			g.Eventually(tunnels.Count, "1s").Should(BeZero())
		})
	}
}

// Guards against a response that looks complete through a relay although the target has reset the
// connection during the upload: the relay's write may consume the error of the reset, so that its read sees
// an ordinary end.
func TestTunnelReportsAResetDuringTheUpload(t *testing.T) {
	g := NewWithT(t)
	ended := 0
	for range 50 {
		own, peer := tcpPair(t)
		relayEnd, target := tcpPair(t)
		var tunnels Tunnels
		go tunnels.Serve(peer, relayEnd)
		tn := &tunnelConn{Conn: own}
		go func() { _, _ = tn.Write(make([]byte, 4<<20)) }() // fails when the tunnel ends
		_, err := io.WriteString(target, "part")
		g.Expect(err).NotTo(HaveOccurred())
		got := make([]byte, 4)
		_, err = io.ReadFull(tn, got)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Millisecond)
		_ = target.(*net.TCPConn).SetLinger(0)
		_ = target.Close()
		if _, err = tn.Read(got); err == io.EOF {
			ended++
		}
		_ = own.Close()
	}
	g.Expect(ended).To(BeZero(), "of 50 connections that were reset")
}

// Guards against a relay that stops in the middle of a response, and against one that waits for tunnels
// without a request.
func TestRelayClosesOnlyIdleTunnels(t *testing.T) {
	g := NewWithT(t)
	own, peer := tcpPair(t)
	relayEnd, target := tcpPair(t)
	var tunnels Tunnels
	go tunnels.Serve(peer, relayEnd)
	_, err := io.WriteString(own, "request")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(tunnels.Count, "1s").Should(Equal(1), "the tunnel is served by another goroutine")
	_, err = io.ReadFull(target, make([]byte, len("request")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(tunnels.CloseIdle, 2*tunnelIdleAfter).Should(Equal(1))
	_, err = io.WriteString(target, "response")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(tunnels.CloseIdle, 2*tunnelIdleAfter).Should(BeZero())
	g.Eventually(tunnels.Count, "1s").Should(BeZero())
}

// cutLinks returns links that are cut off from all targets, with relays that open tunnels as the function
// says.
func cutLinks(open func(relay string) (net.Conn, error)) *Links {
	return NewLinks(LinksOptions{
		Dial:          func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") },
		Targets:       func(int) []string { return []string{"t1", "t2", "t3"} },
		Relays:        func() []string { return []string{"r1", "r2"} },
		OpenTunnel:    func(_ context.Context, relay, _ string) (net.Conn, error) { return open(relay) },
		CutOffChanged: func(bool) {},
	})
}

// Guards against a gateway that takes the failure of all targets for a cut of its own, and against one that
// uses a relay that is cut off as well.
func TestCutOffNeedsARelayThatReachesTheTargets(t *testing.T) {
	for _, c := range []struct {
		name   string
		open   func(relay string) bool
		cutOff bool
	}{
		{"no relay reaches a target", func(string) bool { return false }, false},
		{"one relay does", func(relay string) bool { return relay == "r2" }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := cutLinks(func(relay string) (net.Conn, error) {
				if !c.open(relay) {
					return nil, errs.New(errs.TargetFailed, "", "refused")
				}
				a, _ := tcpPair(t)
				return a, nil
			})
			_, err := l.dial(context.Background(), "t1")
			g.Expect(err).To(MatchError(ErrNotSent))
			g.Expect(l.CutOff()).To(BeFalse(), "a single target may be down")
			conn, err := l.dial(context.Background(), "t2")
			g.Expect(l.CutOff()).To(Equal(c.cutOff))
			g.Expect(err == nil).To(Equal(c.cutOff), "%v", err)
			if c.cutOff {
				g.Expect(conn.relay).To(Equal("r2"))
				g.Expect(l.reusable(conn)).To(BeTrue())
			}
		})
	}
}

// Guards against a gateway that goes on with a relay that has lost its power, whose tunnels hang.
func TestSilentRelayIsReplaced(t *testing.T) {
	g := NewWithT(t)
	var dead atomic.Bool
	l := cutLinks(func(relay string) (net.Conn, error) {
		if relay == "r2" && !dead.Load() || relay == "r1" && dead.Load() {
			a, _ := tcpPair(t)
			return a, nil
		}
		return nil, errors.New("unreachable")
	})
	_, _ = l.dial(context.Background(), "t1")
	var conns []*conn
	for _, addr := range []string{"t2", "t3"} {
		c, err := l.dial(context.Background(), addr)
		g.Expect(err).NotTo(HaveOccurred())
		l.begin(c)
		c.awaitsRepeatable.Store(true)
		conns = append(conns, c)
	}
	dead.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	g.Eventually(l.currentRelays, 4*silentAfter).Should(Equal([]string{"r1"}))
	for _, c := range conns {
		g.Eventually(func() error { return c.SetReadDeadline(time.Now()) }, "1s").Should(MatchError(net.ErrClosed), "requests are sent again")
		g.Expect(l.reusable(c)).To(BeFalse())
	}
	g.Expect(l.CutOffSince(clock.Now())).To(BeTrue())
}
