package controller

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/routing"
)

func tableWith(rate, burst float64) *routing.Table {
	t := &routing.Table{Version: 1, Organisations: []routing.Organisation{{Name: "acme", Rate: rate, Burst: burst}}}
	if err := t.Build(); err != nil {
		panic(err) // a fixed table
	}
	return t
}

// Guards against more grants than the rate and the burst allow, and against a change of
// leader that brings a second burst within a window.
func TestRatesOverAChangeOfLeader(t *testing.T) {
	g := NewWithT(t)
	const rate, burst = 200, 200
	table := tableWith(rate, burst)
	var rates rateTable
	granted := 0.0
	began := time.Now()
	for time.Since(began) < 400*time.Millisecond {
		granted += rates.take(1, table, "acme", 1000, 0).Tokens
	}
	var next rateTable // the new leader knows nothing of the grants before
	for time.Since(began) < 800*time.Millisecond {
		granted += next.take(2, table, "acme", 1000, 0).Tokens
	}
	limit := burst*startShare + rate*time.Since(began).Seconds() + burst*startShare
	g.Expect(granted).To(BeNumerically("<=", limit+2))
	g.Expect(granted).To(BeNumerically(">=", rate*0.7), "an organisation gets its rate")
}

// Guards against organisations without a rate that are limited, and against unknown ones
// that are admitted or asked for in a tight loop.
func TestRatesOfOthers(t *testing.T) {
	g := NewWithT(t)
	var rates rateTable
	g.Expect(rates.take(1, tableWith(0, 0), "acme", 50, 0).Tokens).To(BeEquivalentTo(50))
	for _, grant := range []fleet.Grant{rates.take(1, tableWith(9, 9), "nobody", 5, 0), rates.take(1, nil, "acme", 5, 0)} {
		g.Expect(grant.Tokens).To(BeZero())
		g.Expect(grant.Wait).To(BeNumerically(">", 0))
	}
}

// Guards against new programs that are refused although the rate has room, or admitted
// although it has none.
func TestScarcity(t *testing.T) {
	g := NewWithT(t)
	b := &bucket{tokens: 60, filled: true}
	g.Expect(b.recovery(0, 100, 10)).To(BeZero())
	b.tokens = 30
	g.Expect(b.recovery(0, 100, 10)).To(Equal(2500*time.Millisecond), "until 55 of 100 at 10 a second")
	b.tokens = 50
	g.Expect(b.recovery(0, 100, 10)).To(BeNumerically(">", 0), "not before it has plenty")
	b.tokens = 56
	g.Expect(b.recovery(0, 100, 10)).To(BeZero())
	fresh := &bucket{tokens: 5}
	g.Expect(fresh.recovery(time.Second, 100, 10)).To(BeZero(), "low because the leader is new")
	g.Expect(fresh.recovery(settlePeriod+time.Second, 100, 10)).To(BeNumerically(">", 0))
}

// Guards against a host that counts for ever, loads of a gateway that are lost or stay, and
// a request that goes on to crash targets.
func TestHosts(t *testing.T) {
	g := NewWithT(t)
	const digest = 5
	table := hostTable{log: logr.Discard()}
	table.setTargets(digest, []fleet.Target{{ID: "t1"}})
	poll := func(host, kind string, load int32, crashes ...uint64) {
		table.note(3, &fleet.PollRequest{Host: host, Kind: kind, InFlight: map[string]int32{"t1": load}, Crashes: crashes})
	}
	poll("g1", fleet.KindGateway, 2, 77)
	poll("g2", fleet.KindGateway, 5, 77, 88)
	poll("s1", fleet.KindStore, 0)
	view := func() *fleet.PollReply {
		reply := &fleet.PollReply{}
		time.Sleep(2 * table.loads.interval())
		table.view(&fleet.PollRequest{Host: "g1"}, digest, reply)
		return reply
	}
	got := view()
	g.Expect(got.Loads).To(Equal(fleet.Loads{7}), "with its own, which the gateway knows")
	g.Expect(got.Gateways).To(Equal(2))
	g.Expect(got.Blocked).To(BeEmpty())
	poll("g1", fleet.KindGateway, 2, 77)
	g.Expect(view().Blocked).To(Equal([]uint64{77}), "the third crash")
	table.hosts["g2"].seen -= hostTimeout + time.Second
	table.expired -= 2 * expireInterval
	poll("g1", fleet.KindGateway, 2)
	got = view()
	g.Expect(got.Gateways).To(Equal(1), "a host that is silent")
	g.Expect(got.Loads).To(Equal(fleet.Loads{2}), "nothing of a host that is silent")
	g.Expect(table.all(4).Hosts).To(BeEmpty(), "a new term begins anew")
	g.Expect(view().Blocked).To(Equal([]uint64{77}), "crashes are kept")
}
