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

// Guards against targets that fail part of their requests and that each of hundreds of gateways
// has to find out about by failing calls of its own: none of them sees a target often. Load: targets
// fail some of the calls that may not be repeated for 7 s. The bound lets nine in ten programs of
// four calls end.
func TestGreyTargetsBeforeManyGateways(t *testing.T) {
	const most = 0.02 // share of the calls that fail
	for _, c := range []struct {
		name  string
		grey  int     // of 47 targets
		share float64 // of their requests that fail
	}{
		{"a few fail half of their requests", 5, 0.47},
		{"most lose a few answers", 28, 0.062},
	} {
		for _, gateways := range []int{6, 74, 259, 370} {
			t.Run(fmt.Sprint(c.name, ", ", gateways), func(t *testing.T) {
				m := newGreyModel(gateways, c.grey, c.share)
				m.play(7 * time.Second)
				t.Logf("%.4f of %d calls failed", float64(m.failed)/float64(m.sent), m.sent)
				NewWithT(t).Expect(float64(m.failed) / float64(m.sent)).To(BeNumerically("<", most))
			})
		}
	}
}

// greyModel is a plain service before gateways that poll the leader.
type greyModel struct {
	rng          *rand.Rand
	table        *hostTable
	sets         []*balance.Set
	told         []map[string]int32 // requests in flight of each gateway, as told last
	running      []greyCall         // in the order of their ends
	grey         string             // targets with lower ids fail requests
	share        float64
	sent, failed int
}

type greyCall struct {
	end     time.Duration
	set     *balance.Set
	target  *balance.Target
	failing bool
}

const (
	greyTargets   = 47
	greyZones     = 6
	greyPerSecond = 1100
	greyLength    = 60 * time.Millisecond // of a call
	greyPoll      = 200 * time.Millisecond
)

func newGreyModel(gateways, grey int, share float64) *greyModel {
	m := &greyModel{
		rng:   rand.New(rand.NewPCG(uint64(gateways), 1)),
		table: &hostTable{log: logr.Discard(), sound: soundnessTable{log: logr.Discard()}},
		told:  make([]map[string]int32, gateways), grey: fmt.Sprintf("t%02d", grey), share: share,
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

func (m *greyModel) play(length time.Duration) {
	polled := 0
	for now := time.Duration(0); now < length; now += time.Second / greyPerSecond {
		for due := int(now * time.Duration(len(m.sets)) / greyPoll); polled < due; polled++ {
			m.poll(now, polled%len(m.sets))
		}
		for len(m.running) > 0 && m.running[0].end <= now {
			m.end(now, m.running[0])
			m.running = m.running[1:]
		}
		s := m.sets[m.rng.IntN(len(m.sets))]
		target, _ := s.Acquire(now, &balance.Choice{Service: "s", Once: true})
		failing := target.ID < m.grey && m.rng.Float64() < m.share
		m.running = append(m.running, greyCall{end: now + greyLength, set: s, target: target, failing: failing})
	}
}

func (m *greyModel) end(now time.Duration, c greyCall) {
	m.sent++
	if c.failing {
		m.failed++
	}
	c.set.Answered(now, c.target)
	c.set.Observe(now, c.target, &balance.Outcome{OK: !c.failing, Failed: c.failing, Load: -1})
	c.set.Release(c.target)
}

// poll exchanges loads and outcomes with the leader as a poll does.
func (m *greyModel) poll(now time.Duration, gateway int) {
	s, zone := m.sets[gateway], fmt.Sprint(gateway%greyZones)
	own := s.InFlight()
	m.table.loads.replace(m.told[gateway], own)
	m.told[gateway] = own
	m.table.sound.add(now, zone, s.TakeOutcomes())
	s.SetFleet(len(m.sets), own, fleet.EncodeLoads(m.table.loads.counts))
	s.SetUnsound(m.table.sound.unsound(now, zone))
}

// Guards against a zone that is cut off from sound targets and makes the gateways of other zones
// leave them, against one failure that condemns a target, and against targets that stay condemned.
func TestSoundnessByZone(t *testing.T) {
	g := NewWithT(t)
	s := soundnessTable{log: logr.Discard()}
	for range 10 {
		s.add(time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 3, OK: 1}, "t2": {OK: 5}, "t3": {Failed: 1, OK: 9}})
		s.add(time.Second, "b", map[string]fleet.Outcomes{"t1": {OK: 4}, "t3": {Failed: 1, OK: 9}})
		s.add(time.Second, "c", map[string]fleet.Outcomes{"t3": {OK: 10}})
	}
	s.add(time.Second, "b", map[string]fleet.Outcomes{"t2": {Failed: 1}})
	g.Expect(s.unsound(time.Second, "a")).To(Equal(map[string]uint8{"t1": 75, "t3": 10}))
	g.Expect(s.unsound(time.Second, "b")).To(Equal(map[string]uint8{"t3": 10}))
	g.Expect(s.unsound(time.Second, "c")).To(Equal(map[string]uint8{"t3": 6}), "two other zones say so")
	s.add(2*time.Second, "a", map[string]fleet.Outcomes{"t1": {OK: 900}, "t3": {OK: 900}})
	s.add(2*time.Second, "b", map[string]fleet.Outcomes{"t3": {OK: 900}})
	g.Expect(s.unsound(2*time.Second, "a")).To(BeEmpty(), "sound again")
	s.keep([]fleet.Target{{ID: "t1", Born: 1}, {ID: "t3", Born: 1}})
	s.add(2*time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 300}, "t3": {Failed: 300}})
	g.Expect(s.unsound(2*time.Second, "a")).To(HaveLen(2))
	s.keep([]fleet.Target{{ID: "t1", Born: 1}, {ID: "t3", Born: 2}})
	g.Expect(s.unsound(2*time.Second, "a")).To(Equal(map[string]uint8{"t1": 100}), "one has started anew")
	s.keep(nil)
	g.Expect(s.unsound(2*time.Second, "a")).To(BeEmpty(), "not listed any more")
}

// Guards against a target that was down for a few seconds, as with its zone, and that hundreds of
// gateways avoid long after it is back.
func TestSoundnessOfATargetThatIsBack(t *testing.T) {
	const (
		down = 4 * time.Second
		// patience is the time after which all gateways that avoid it are to try it again.
		patience = 10 * time.Second
	)
	g := NewWithT(t)
	s := soundnessTable{log: logr.Discard()}
	for now := time.Second; now <= down; now += 100 * time.Millisecond {
		s.add(now, "a", map[string]fleet.Outcomes{"t1": {Failed: 20}})
	}
	g.Expect(s.unsound(down, "a")).To(HaveKeyWithValue("t1", BeNumerically(">", 90)))
	g.Expect(s.unsound(down+4*time.Second, "a")["t1"]).To(BeNumerically("<", 30), "tried where others are full")
	g.Expect(s.unsound(down+patience+time.Second, "a")).To(BeEmpty())
	s.add(down, "a", map[string]fleet.Outcomes{"t1": {Failed: 20}})
	s.add(down+time.Second, "a", map[string]fleet.Outcomes{"t1": {OK: recoveredAfter}})
	g.Expect(s.unsound(down+time.Second, "a")).To(BeEmpty(), "a few successes show that it is back")
}
