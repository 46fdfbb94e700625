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
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/wire"
)

// unreachableAddr is an address at which nothing listens.
const unreachableAddr = "127.0.0.1:1"

// gatewayConfirmedAgo returns a gateway whose last poll was sent and answered a given time ago.
func gatewayConfirmedAgo(t *testing.T, ago time.Duration, controllers ...string) *Gateway {
	if len(controllers) == 0 {
		controllers = []string{unreachableAddr}
	}
	client, err := stateclient.New(controllers, 2, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(client.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &Gateway{opts: Options{Client: client}, log: logr.Discard(), ctx: ctx, metrics: newMetrics(metrics.NewRegistry()),
		links: upstream.NewLinks(upstream.LinksOptions{})}
	g.config = &follower{g: g}
	setLastPollAge(g, ago)
	g.leaderContact = &leaderContact{g: g}
	g.admissions = newAdmission(g)
	return g
}

// setLastPollAge makes the last poll of a gateway one that was sent and answered a given time
// ago.
func setLastPollAge(g *Gateway, ago time.Duration) {
	at := int64(clock.Now() - ago)
	g.config.confirmedAt.Store(at)
	g.config.answeredAt.Store(at)
}

// servePeer serves the methods that a gateway offers to its peers, and returns the address.
func servePeer(t *testing.T, g *Gateway) string {
	srv, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	g.Register(srv)
	go srv.Serve()
	t.Cleanup(srv.Close)
	return srv.Addr()
}

// Guards against a host that keeps callers waiting although other hosts could serve them, and
// against hosts that send callers to each other while none of them reaches the leader.
func TestCutOff(t *testing.T) {
	const (
		responding = 50 * time.Millisecond
		absent     = 600 * time.Millisecond
		silent     = -1
	)
	for _, c := range []struct {
		desc     string
		ago      time.Duration // since this gateway's last reply from the leader
		peers    []time.Duration
		relayed  bool // calls go through peers
		isCutOff bool // neither the leader nor a relay can be reached
	}{
		{"leader responds", responding, []time.Duration{responding, responding}, false, false},
		{"leader responds, but not to the peers", responding, []time.Duration{absent, absent}, false, false},
		{"all peers reach the leader", absent, []time.Duration{responding, responding, responding}, true, false},
		{"one peer reaches the leader", absent, []time.Duration{silent, absent, responding}, true, false},
		{"no peer reaches the leader", absent, []time.Duration{absent, absent, silent}, false, false},
		{"no peer answers", absent, []time.Duration{silent, silent, silent}, false, true},
		{"the only peer does not answer", absent, []time.Duration{silent}, false, false},
		{"the only peer does not answer for longer than an election", 2 * maxElectionTime, []time.Duration{silent}, false, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := gatewayConfirmedAgo(t, c.ago)
			var peers []string
			for _, ago := range c.peers {
				addr := unreachableAddr
				if ago != silent {
					addr = servePeer(t, gatewayConfirmedAgo(t, ago))
				}
				peers = append(peers, addr)
			}
			g.leaderContact.setPeers(peers)
			g.leaderContact.check(context.Background())
			NewWithT(t).Expect(g.opts.Client.UsesRelays()).To(Equal(c.relayed))
			NewWithT(t).Expect(g.leaderContact.cutOff()).To(Equal(c.isCutOff))
			NewWithT(t).Expect(g.leaderContact.preferOtherHosts()).To(Equal(c.relayed || c.isCutOff))
		})
	}
}

// Guards against a gateway that refuses requests at once when the leader changes because it
// still counts as cut off from an earlier partition.
func TestPollReplyEndsCutOff(t *testing.T) {
	g := gatewayConfirmedAgo(t, 600*time.Millisecond)
	g.leaderContact.setPeers([]string{unreachableAddr, unreachableAddr})
	g.leaderContact.check(context.Background())
	NewWithT(t).Expect(g.leaderContact.cutOff()).To(BeTrue())
	setLastPollAge(g, 0)
	g.leaderContact.check(context.Background())
	setLastPollAge(g, 600*time.Millisecond)
	NewWithT(t).Expect(g.leaderContact.cutOff()).To(BeFalse())
}

// Guards against programs that fail at a host that does not reach the controllers although
// other hosts do, and against a host that goes on using relays after the partition has ended.
func TestCallsRelayedByPeers(t *testing.T) {
	a, addr := admissionWithoutLeader(t)
	controller := serveGrants(t, "127.0.0.1:0")
	a.g.leaderContact.setPeers([]string{
		servePeer(t, gatewayConfirmedAgo(t, 0, controller)),
		servePeer(t, gatewayConfirmedAgo(t, time.Second, controller)), // does not reach the leader either
	})
	org := &routing.Organisation{Name: "acme", Rate: 10}
	admitted := make(chan error, 1)
	go func() { admitted <- a.admit(context.Background(), org, "", 3*time.Second) }()
	time.Sleep(100 * time.Millisecond) // so that the request is already waiting
	a.g.leaderContact.check(context.Background())
	NewWithT(t).Eventually(admitted, "1s").Should(Receive(Succeed()))
	NewWithT(t).Expect(a.g.leaderContact.preferOtherHosts()).To(BeTrue())

	serveGrants(t, addr) // the partition ends
	a.g.leaderContact.check(context.Background())
	NewWithT(t).Expect(a.g.opts.Client.UsesRelays()).To(BeFalse())
}

// Guards against a host that is cut off and keeps a program's request for the 2 s for which it
// would wait for a new leader.
func TestAdmissionAtCutOffHost(t *testing.T) {
	a, _ := admissionWithoutLeader(t)
	a.g.leaderContact.cutOffFromLeader = true
	began := time.Now()
	err := errs.From(a.admit(context.Background(), &routing.Organisation{Name: "acme", Rate: 10}, "", 3*time.Second))
	NewWithT(t).Expect(err).NotTo(BeNil())
	NewWithT(t).Expect(err.Code).To(Equal(errs.Unavailable))
	NewWithT(t).Expect(err.RetryAfter).To(BeNumerically("<", 100*time.Millisecond))
	NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against requests that wait at a restarted host for its first poll reply and are
// refused when it arrives: the poll was sent more than a second ago, before the election, and
// no peers are known yet.
func TestLateFirstPollReply(t *testing.T) {
	g := gatewayConfirmedAgo(t, time.Hour)
	g.config.ready = make(chan struct{})
	g.targets = balance.NewSet("a")
	g.leaderContact.check(context.Background())
	NewWithT(t).Expect(g.leaderContact.cutOff()).To(BeTrue(), "no poll reply yet")
	sent := clock.Now() - maxElectionTime - pollInterval
	g.config.applyReply(sent, &fleet.PollRequest{}, &fleet.PollReply{})
	NewWithT(t).Expect(g.leaderContact.cutOff()).To(BeFalse())
	NewWithT(t).Expect(g.config.age()).To(BeNumerically(">", maxElectionTime), "the age of the configuration counts from the sending of the poll")
}
