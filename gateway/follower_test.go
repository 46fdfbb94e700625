package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

// Guards against requests that have waited at a frozen host and are refused at the moment it wakes,
// although the leader answers a poll within milliseconds; and against requests that wait while
// the leader is known not to answer.
func TestRequestsAtAHostThatWakes(t *testing.T) {
	const (
		frozen = 6 * time.Second
		answer = 40 * time.Millisecond
		soon   = 100 * time.Millisecond
	)
	for _, c := range []struct {
		name      string
		tried     time.Duration // since the last poll that has ended was sent
		answered  bool          // the next poll is answered
		confirmed bool
		most      time.Duration
	}{
		{"awake again", frozen, true, true, soon},
		{"awake without a leader", frozen, false, false, wakeWait + soon},
		{"the leader does not answer", time.Second, false, false, soon},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			gw := confirmedGateway(t, frozen)
			gw.targets = balance.NewSet("a")
			f := gw.config
			f.current.Store(&routing.Table{Version: 1})
			f.tried.Store(int64(clock.Now() - c.tried))
			if c.answered {
				time.AfterFunc(answer, func() { f.accept(clock.Now(), &fleet.PollRequest{}, &fleet.PollReply{Version: f.version()}) })
			}
			began := time.Now()
			f.awaitWake(context.Background(), 3*time.Second)
			g.Expect(time.Since(began)).To(BeNumerically("<", c.most))
			if c.confirmed {
				g.Expect(f.check()).To(Succeed())
			} else {
				g.Expect(f.check()).NotTo(Succeed())
			}
		})
	}
}

// Guards against a gateway that knows no other gateways for two seconds after its start, because
// it was the first to poll: cut off in that time, it would refuse what others could relay.
func TestPeersAreAskedForUntilThereAreEnough(t *testing.T) {
	g := NewWithT(t)
	gw := confirmedGateway(t, 0)
	gw.targets = balance.NewSet("a")
	asks := func() bool { return gw.config.request().WantPeers }
	answer := func(peers ...string) {
		gw.config.accept(clock.Now(), &fleet.PollRequest{WantPeers: true}, &fleet.PollReply{Peers: peers})
	}
	answer("g2:1")
	g.Expect(asks()).To(BeTrue(), "one is too few")
	answer("g2:1", "g3:1")
	g.Expect(asks()).To(BeFalse())
	gw.config.asked -= peersInterval
	g.Expect(asks()).To(BeTrue(), "they are old")
}
