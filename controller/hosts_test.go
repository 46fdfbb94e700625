package controller

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// A restarted gateway learns the event interval of idle engines from the others. Guards against
// reporting the event interval of busy engines, as measured by another gateway that has just
// restarted, instead of the lowest value that any gateway has measured.
func TestMinIdleEventInterval(t *testing.T) {
	g := NewWithT(t)
	table := &hostTable{log: logr.Discard()}
	poll := func(host string, idle map[string]float64) {
		table.recordPoll(1, &fleet.PollRequest{Host: host, Kind: fleet.KindGateway, IdleEventInterval: idle})
	}
	g.Expect(table.minIdleEventInterval()).To(BeEmpty())
	poll("g1", map[string]float64{"a": 2, "b": 7})
	poll("g2", map[string]float64{"a": 3, "b": 5})
	poll("g3", nil)
	g.Expect(table.minIdleEventInterval()).To(Equal(map[string]float64{"a": 2, "b": 5}))
}

// A gateway asks its peers whether they reach the leader. Guards against peers that include the
// gateway itself, store hosts or gateways without an address, and against more than maxPeers.
func TestPeers(t *testing.T) {
	g := NewWithT(t)
	hosts := &hostTable{log: logr.Discard()}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		hosts.recordPoll(1, &fleet.PollRequest{Host: name, Kind: fleet.KindGateway, Address: name + ":1"})
	}
	hosts.recordPoll(1, &fleet.PollRequest{Host: "s", Kind: fleet.KindStore, Address: "s:1"})
	hosts.recordPoll(1, &fleet.PollRequest{Host: "old", Kind: fleet.KindGateway})
	seen := map[string]bool{}
	for range 200 {
		peers := hosts.peers("a")
		g.Expect(peers).To(HaveLen(maxPeers))
		for _, p := range peers {
			seen[p] = true
		}
	}
	g.Expect(seen).To(Equal(map[string]bool{"b:1": true, "c:1": true, "d:1": true, "e:1": true}))
}

// A gateway that is cut off from the targets uses its peers as relays. Guards against peers that are cut
// off as well while there are others, and against no peers at all if all of them are.
func TestPeersReachTheTargets(t *testing.T) {
	g := NewWithT(t)
	hosts := &hostTable{log: logr.Discard()}
	poll := func(cutOff bool, names ...string) {
		for _, name := range names {
			hosts.recordPoll(1, &fleet.PollRequest{Host: name, Kind: fleet.KindGateway, Address: name + ":1", CutOff: cutOff})
		}
	}
	poll(true, "a", "b", "c", "d", "e", "f")
	g.Expect(hosts.peers("a")).To(HaveLen(maxPeers))
	poll(false, "e", "f")
	for range 20 {
		g.Expect(hosts.peers("a")).To(ContainElements("e:1", "f:1"))
	}
	poll(false, "d")
	g.Expect(hosts.peers("a")).To(ConsistOf("d:1", "e:1", "f:1"))
}

// Guards against hosts that are never removed, against loads of a gateway that are lost or are kept
// after it has gone, and against a request that goes on crashing targets without being blocked.
func TestHostTable(t *testing.T) {
	g := NewWithT(t)
	const digest = 5
	table := hostTable{log: logr.Discard()}
	table.setTargets(digest, []fleet.Target{{ID: "t1"}})
	document := documentsm.New()
	poll := func(host, kind string, load int32, crashes ...uint64) {
		table.recordPoll(3, &fleet.PollRequest{Host: host, Kind: kind, InFlight: map[string]int32{"t1": load}})
		applyCrashes(g, document, 0, host, 0, crashes...)
		state := document.Get()
		table.updateBlocked(&state)
	}
	poll("g1", fleet.KindGateway, 2, 77)
	poll("g2", fleet.KindGateway, 5, 77, 88)
	poll("s1", fleet.KindStore, 0)
	view := func() *fleet.PollReply {
		reply := &fleet.PollReply{}
		time.Sleep(2 * table.loads.sendInterval())
		table.fillFleetState(&fleet.PollRequest{Host: "g1"}, digest, reply)
		return reply
	}
	got := view()
	g.Expect(got.Loads).To(Equal(fleet.Loads{7}), "includes the requests of the polling gateway")
	g.Expect(got.Gateways).To(Equal(2))
	g.Expect(got.Blocked).To(BeEmpty())
	poll("g1", fleet.KindGateway, 2, 77)
	g.Expect(view().Blocked).To(Equal([]uint64{77}), "the third crash")
	table.hosts["g2"].lastPoll -= hostTimeout + time.Second
	table.lastExpiry -= 2 * expireInterval
	poll("g1", fleet.KindGateway, 2)
	got = view()
	g.Expect(got.Gateways).To(Equal(1), "a silent host is removed")
	g.Expect(got.Loads).To(Equal(fleet.Loads{2}), "the loads of a silent host are removed")
	g.Expect(table.list(4).Hosts).To(BeEmpty(), "a new term starts without hosts")
	g.Expect(view().Blocked).To(Equal([]uint64{77}), "crash records are kept in a new term")
}
