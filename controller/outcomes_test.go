package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
)

// Guards against targets that fail part of their requests (grey failures) and that each of
// hundreds of gateways detects only through failed calls of its own, which takes long because no
// gateway calls a target often. For 7 s, targets fail some of the calls, which may not be retried.
// With the bound, nine in ten programs of four calls succeed.
func TestPartiallyFailingTargetsWithManyGateways(t *testing.T) {
	const maxFailedShare = 0.02 // of all calls
	for _, c := range []struct {
		name  string
		grey  int     // of 47 targets
		share float64 // of their requests that fail
	}{
		{"a few targets fail half of their requests", 5, 0.47},
		{"most targets lose a few responses", 28, 0.062},
	} {
		for _, gateways := range []int{6, 74, 259, 370} {
			t.Run(fmt.Sprint(c.name, ", ", gateways), func(t *testing.T) {
				m := newGreyModel(gateways, c.grey, c.share)
				m.run(7 * time.Second)
				t.Logf("%.4f of %d calls failed", float64(m.failed)/float64(m.sent), m.sent)
				NewWithT(t).Expect(float64(m.failed) / float64(m.sent)).To(BeNumerically("<", maxFailedShare))
			})
		}
	}
}

// greyModel simulates a plain service that is called through gateways that poll the leader. Some of
// its targets have a grey failure: they fail part of their requests.
type greyModel struct {
	rng          *rand.Rand
	table        *hostTable
	sets         []*balance.Set
	reported     []map[string]int32 // in-flight requests of each gateway as of its last poll
	running      []greyCall         // sorted by end
	firstHealthy string             // id; targets with lower ids fail requests
	failureShare float64
	sent, failed int
}

type greyCall struct {
	end     time.Duration
	set     *balance.Set
	target  *balance.Target
	failing bool
}

const (
	greyTargets        = 47
	greyZones          = 6
	greyCallsPerSecond = 1100
	greyCallDuration   = 60 * time.Millisecond
	greyPollInterval   = 200 * time.Millisecond
)

func newGreyModel(gateways, grey int, share float64) *greyModel {
	m := &greyModel{
		rng:      rand.New(rand.NewPCG(uint64(gateways), 1)),
		table:    &hostTable{log: logr.Discard(), outcomes: outcomeTable{log: logr.Discard()}},
		reported: make([]map[string]int32, gateways), firstHealthy: fmt.Sprintf("t%02d", grey), failureShare: share,
	}
	var list []fleet.Target
	for i := range greyTargets {
		list = append(list, fleet.Target{ID: fmt.Sprintf("t%02d", i), Service: "s", Zone: fmt.Sprint(i % greyZones), Slots: 6})
	}
	m.table.setTargets(1, list)
	for i := range gateways {
		s := balance.NewSet(fmt.Sprint(i % greyZones))
		s.Update(0, list)
		m.sets = append(m.sets, s)
	}
	return m
}

func (m *greyModel) run(length time.Duration) {
	polled := 0
	for now := time.Duration(0); now < length; now += time.Second / greyCallsPerSecond {
		for due := int(now * time.Duration(len(m.sets)) / greyPollInterval); polled < due; polled++ {
			m.poll(now, polled%len(m.sets))
		}
		for len(m.running) > 0 && m.running[0].end <= now {
			m.end(now, m.running[0])
			m.running = m.running[1:]
		}
		s := m.sets[m.rng.IntN(len(m.sets))]
		target, _ := s.Acquire(now, &balance.Criteria{Service: "s", NonRepeatable: true})
		failing := target.ID < m.firstHealthy && m.rng.Float64() < m.failureShare
		m.running = append(m.running, greyCall{end: now + greyCallDuration, set: s, target: target, failing: failing})
	}
}

func (m *greyModel) end(now time.Duration, c greyCall) {
	m.sent++
	if c.failing {
		m.failed++
	}
	c.set.RecordResponse(now, c.target)
	c.set.Observe(now, c.target, &balance.Outcome{OK: !c.failing, Failed: c.failing, Load: -1})
	c.set.Release(c.target)
}

// poll exchanges loads and outcomes between a gateway and the leader, as a real poll does.
func (m *greyModel) poll(now time.Duration, gateway int) {
	s, zone := m.sets[gateway], fmt.Sprint(gateway%greyZones)
	own := s.InFlight()
	m.table.loads.replace(m.reported[gateway], own)
	m.reported[gateway] = own
	m.table.outcomes.add(now, zone, s.TakeOutcomes())
	s.SetFleetLoad(len(m.sets), own, fleet.EncodeLoads(m.table.loads.counts))
	s.SetZoneFailureRates(m.table.outcomes.failingTargets(now, zone))
}

// Guards against a zone that is cut off from healthy targets and makes the gateways of other zones
// avoid them, against a target that is reported after a single failure, and against targets that
// are still reported after they have recovered, restarted or left the list.
func TestFailingTargetsByZone(t *testing.T) {
	g := NewWithT(t)
	s := outcomeTable{log: logr.Discard()}
	for range 10 {
		s.add(time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 3, OK: 1}, "t2": {OK: 5}, "t3": {Failed: 1, OK: 9}})
		s.add(time.Second, "b", map[string]fleet.Outcomes{"t1": {OK: 4}, "t3": {Failed: 1, OK: 9}})
		s.add(time.Second, "c", map[string]fleet.Outcomes{"t3": {OK: 10}})
	}
	s.add(time.Second, "b", map[string]fleet.Outcomes{"t2": {Failed: 1}})
	g.Expect(s.failingTargets(time.Second, "a")).To(Equal(map[string]uint8{"t1": 75, "t3": 10}))
	g.Expect(s.failingTargets(time.Second, "b")).To(Equal(map[string]uint8{"t3": 10}))
	g.Expect(s.failingTargets(time.Second, "c")).To(Equal(map[string]uint8{"t3": 6}), "it fails for two other zones")
	s.add(2*time.Second, "a", map[string]fleet.Outcomes{"t1": {OK: 900}, "t3": {OK: 900}})
	s.add(2*time.Second, "b", map[string]fleet.Outcomes{"t3": {OK: 900}})
	g.Expect(s.failingTargets(2*time.Second, "a")).To(BeEmpty(), "healthy again")
	s.retain([]fleet.Target{{ID: "t1", StartedAt: 1}, {ID: "t3", StartedAt: 1}})
	s.add(2*time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 300}, "t3": {Failed: 300}})
	g.Expect(s.failingTargets(2*time.Second, "a")).To(HaveLen(2))
	s.retain([]fleet.Target{{ID: "t1", StartedAt: 1}, {ID: "t3", StartedAt: 2}})
	g.Expect(s.failingTargets(2*time.Second, "a")).To(Equal(map[string]uint8{"t1": 100}), "t3 has restarted")
	s.retain(nil)
	g.Expect(s.failingTargets(2*time.Second, "a")).To(BeEmpty(), "no longer listed")
}

// Guards against a target that was down for a few seconds, for example in a zone outage, and that
// hundreds of gateways avoid long after it has recovered.
func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	const (
		downFor = 4 * time.Second
		// maxAvoidance is the time after which all gateways must try the target again.
		maxAvoidance = 10 * time.Second
	)
	g := NewWithT(t)
	s := outcomeTable{log: logr.Discard()}
	for now := time.Second; now <= downFor; now += 100 * time.Millisecond {
		s.add(now, "a", map[string]fleet.Outcomes{"t1": {Failed: 20}})
	}
	g.Expect(s.failingTargets(downFor, "a")).To(HaveKeyWithValue("t1", BeNumerically(">", 90)))
	g.Expect(s.failingTargets(downFor+4*time.Second, "a")["t1"]).To(BeNumerically("<", 30), "gateways try it where other targets are full")
	g.Expect(s.failingTargets(downFor+maxAvoidance+time.Second, "a")).To(BeEmpty())
	s.add(downFor, "a", map[string]fleet.Outcomes{"t1": {Failed: 20}})
	s.add(downFor+time.Second, "a", map[string]fleet.Outcomes{"t1": {OK: recoverySuccesses}})
	g.Expect(s.failingTargets(downFor+time.Second, "a")).To(BeEmpty(), "a few successes in a row clear the failures")
}
