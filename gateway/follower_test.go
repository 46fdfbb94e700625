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

// Guards against requests that arrive at a suspended host and are refused when it resumes,
// although the leader would answer a poll within milliseconds, and against requests that wait
// although the leader is known not to respond.
func TestRequestsWaitForPollAfterSuspension(t *testing.T) {
	const (
		suspended  = 6 * time.Second
		replyDelay = 40 * time.Millisecond
		soon       = 100 * time.Millisecond
	)
	for _, c := range []struct {
		name         string
		sinceAttempt time.Duration // time since the last completed poll was sent
		answered     bool          // the next poll is answered
		confirmed    bool
		maxWait      time.Duration
	}{
		{"resumed, the leader responds", suspended, true, true, soon},
		{"resumed, the leader does not respond", suspended, false, false, resumeWait + soon},
		{"not suspended, the leader does not respond", time.Second, false, false, soon},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			gw := gatewayConfirmedAgo(t, suspended)
			gw.targets = balance.NewSet("a")
			f := gw.config
			f.current.Store(&routing.Table{Version: 1})
			f.attemptedAt.Store(int64(clock.Now() - c.sinceAttempt))
			if c.answered {
				time.AfterFunc(replyDelay, func() { f.applyReply(clock.Now(), &fleet.PollRequest{}, &fleet.PollReply{Version: f.version()}) })
			}
			began := time.Now()
			f.awaitPollAfterSuspension(context.Background(), 3*time.Second)
			g.Expect(time.Since(began)).To(BeNumerically("<", c.maxWait))
			if c.confirmed {
				g.Expect(f.checkConfirmed()).To(Succeed())
			} else {
				g.Expect(f.checkConfirmed()).NotTo(Succeed())
			}
		})
	}
}

// Guards against a gateway that knows no peers for two seconds after its start because it was
// the first one to poll. If it were cut off in that time, it would refuse requests whose calls
// peers could relay.
func TestPollsRequestPeersUntilEnoughAreKnown(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayConfirmedAgo(t, 0)
	gw.targets = balance.NewSet("a")
	wantsPeers := func() bool { return gw.config.pollRequest().WantPeers }
	reply := func(peers ...string) {
		gw.config.applyReply(clock.Now(), &fleet.PollRequest{WantPeers: true}, &fleet.PollReply{Peers: peers})
	}
	reply("g2:1")
	g.Expect(wantsPeers()).To(BeTrue(), "one peer is too few")
	reply("g2:1", "g3:1")
	g.Expect(wantsPeers()).To(BeFalse())
	gw.config.peersRequestedAt -= peersRefreshInterval
	g.Expect(wantsPeers()).To(BeTrue(), "the peers are due for a refresh")
}
