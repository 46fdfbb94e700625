package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/wire"
)

// nowhere is an address at which nothing listens.
const nowhere = "127.0.0.1:1"

// confirmedGateway returns a gateway whose last poll was answered some time ago.
func confirmedGateway(t *testing.T, ago time.Duration, controllers ...string) *Gateway {
	if len(controllers) == 0 {
		controllers = []string{nowhere}
	}
	client, err := stateclient.New(controllers, 2, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(client.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &Gateway{opts: Options{Client: client}, log: logr.Discard(), ctx: ctx, metrics: newMetrics(metrics.NewRegistry())}
	g.config = &follower{g: g}
	setAnswered(g, ago)
	g.contact = &contact{g: g}
	g.rates = newAdmission(g)
	return g
}

// setAnswered makes the last poll of a gateway one that was sent and answered some time ago.
func setAnswered(g *Gateway, ago time.Duration) {
	at := int64(clock.Now() - ago)
	g.config.confirmed.Store(at)
	g.config.answered.Store(at)
}

// peer starts a gateway for others to ask and returns its address.
func peer(t *testing.T, g *Gateway) string {
	srv, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	g.Register(srv)
	go srv.Serve()
	t.Cleanup(srv.Close)
	return srv.Addr()
}

// Guards against a host that keeps callers waiting although others would serve them, and
// against hosts that send callers around while the leader is absent for all.
func TestCutOff(t *testing.T) {
	const (
		inTouch = 50 * time.Millisecond
		absent  = 600 * time.Millisecond
		silent  = -1
	)
	for _, c := range []struct {
		desc  string
		ago   time.Duration // since the own last answer of the leader
		peers []time.Duration
		relay bool // others relay the calls
		cut   bool // nothing can be done here
	}{
		{"in touch", inTouch, []time.Duration{inTouch, inTouch}, false, false},
		{"in touch, peers absent", inTouch, []time.Duration{absent, absent}, false, false},
		{"others are in touch", absent, []time.Duration{inTouch, inTouch, inTouch}, true, false},
		{"one other is in touch", absent, []time.Duration{silent, absent, inTouch}, true, false},
		{"the leader is absent for others", absent, []time.Duration{absent, absent, silent}, false, false},
		{"nobody answers", absent, []time.Duration{silent, silent, silent}, false, true},
		{"a single peer may be down", absent, []time.Duration{silent}, false, false},
		{"longer than an election, a single peer", 2 * electionTime, []time.Duration{silent}, false, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := confirmedGateway(t, c.ago)
			var peers []string
			for _, ago := range c.peers {
				addr := nowhere
				if ago != silent {
					addr = peer(t, confirmedGateway(t, ago))
				}
				peers = append(peers, addr)
			}
			g.contact.setPeers(peers)
			g.contact.check(context.Background())
			NewWithT(t).Expect(g.opts.Client.Relaying()).To(Equal(c.relay))
			NewWithT(t).Expect(g.contact.cutOff()).To(Equal(c.cut))
			NewWithT(t).Expect(g.contact.avoid()).To(Equal(c.relay || c.cut))
		})
	}
}

// Guards against a host that refuses requests at once when the leader changes, because it was
// cut off some time before.
func TestContactRegained(t *testing.T) {
	g := confirmedGateway(t, 600*time.Millisecond)
	g.contact.setPeers([]string{nowhere, nowhere})
	g.contact.check(context.Background())
	NewWithT(t).Expect(g.contact.cutOff()).To(BeTrue())
	setAnswered(g, 0)
	g.contact.check(context.Background())
	setAnswered(g, 600*time.Millisecond)
	NewWithT(t).Expect(g.contact.cutOff()).To(BeFalse())
}

// Guards against programs that fail at a host that does not reach the controllers though other
// hosts do, and against a host that uses relays for ever.
func TestRelay(t *testing.T) {
	a, addr := leaderless(t)
	controller := serveRates(t, "127.0.0.1:0")
	a.g.contact.setPeers([]string{
		peer(t, confirmedGateway(t, 0, controller)),
		peer(t, confirmedGateway(t, time.Second, controller)), // does not reach the leader either
	})
	org := &routing.Organisation{Name: "acme", Rate: 10}
	admitted := make(chan error, 1)
	go func() { admitted <- a.admit(context.Background(), org, "", 3*time.Second) }()
	time.Sleep(100 * time.Millisecond) // the request already waits
	a.g.contact.check(context.Background())
	NewWithT(t).Eventually(admitted, "1s").Should(Receive(Succeed()))
	NewWithT(t).Expect(a.g.contact.avoid()).To(BeTrue())

	serveRates(t, addr) // the cut ends
	a.g.contact.check(context.Background())
	NewWithT(t).Expect(a.g.opts.Client.Relaying()).To(BeFalse())
}

// Guards against a cut-off host that keeps a program's request for the 2 s for which it would
// wait for a new leader.
func TestAdmissionAtCutOffHost(t *testing.T) {
	a, _ := leaderless(t)
	a.g.contact.cut = true
	began := time.Now()
	err := errs.From(a.admit(context.Background(), &routing.Organisation{Name: "acme", Rate: 10}, "", 3*time.Second))
	NewWithT(t).Expect(err).NotTo(BeNil())
	NewWithT(t).Expect(err.Code).To(Equal(errs.Unavailable))
	NewWithT(t).Expect(err.RetryAfter).To(BeNumerically("<", 100*time.Millisecond))
	NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against requests that have waited at a restarted host for its first answer of the leader
// and are refused when it comes: the poll was sent before the election, more than a second ago,
// and no other host is known yet.
func TestLateFirstAnswer(t *testing.T) {
	g := confirmedGateway(t, time.Hour)
	g.config.first = make(chan struct{})
	g.targets = balance.NewSet("a")
	g.contact.check(context.Background())
	NewWithT(t).Expect(g.contact.cutOff()).To(BeTrue(), "no answer yet")
	sent := clock.Now() - electionTime - pollInterval
	g.config.accept(sent, &fleet.PollRequest{}, &fleet.PollReply{})
	NewWithT(t).Expect(g.contact.cutOff()).To(BeFalse())
	NewWithT(t).Expect(g.config.age()).To(BeNumerically(">", electionTime), "the configuration is as old as the poll")
}
