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
// has to find out about by failing calls of its own: none of them sees a target often. Load: 5 of
// 47 targets fail about half of their requests for 7 s. The bound lets nine in ten programs of four
// calls end.
func TestGreyTargetsBeforeManyGateways(t *testing.T) {
	const (
		targets, grey, greyShare = 47, 5, 0.47
		perSecond                = 1100
		length                   = 7 * time.Second
		pollEvery                = 200 * time.Millisecond
		most                     = 0.02 // share of the calls that fail
		zones                    = 6
	)
	for _, gateways := range []int{6, 74, 259, 370} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(gateways), 1))
			table := &hostTable{log: logr.Discard(), sound: soundnessTable{log: logr.Discard()}}
			var list []fleet.Target
			for i := range targets {
				list = append(list, fleet.Target{ID: fmt.Sprintf("t%02d", i), Service: "s", Zone: fmt.Sprint(i % zones), Slots: 6})
			}
			sets := make([]*balance.Set, gateways)
			for i := range sets {
				sets[i] = balance.NewSet(fmt.Sprint(i % zones))
				sets[i].Update(0, list)
			}
			sent, failed := 0, 0
			step := time.Second / perSecond
			for now, polled := time.Duration(0), -1; now < length; now += step {
				for at := int(now * time.Duration(gateways) / pollEvery); polled < at; {
					polled++
					i := polled % gateways
					pollSoundness(table, now, fmt.Sprint(i%zones), sets[i])
				}
				s := sets[rng.IntN(gateways)]
				target, _ := s.Acquire(now, &balance.Choice{Service: "s"})
				sent++
				spoilt := target.ID < fmt.Sprintf("t%02d", grey) && rng.Float64() < greyShare
				if spoilt {
					failed++
				}
				s.Answered(now, target)
				s.Observe(now, target, &balance.Outcome{OK: !spoilt, Failed: spoilt, Load: -1})
				s.Release(target)
			}
			t.Logf("%.4f of %d calls failed", float64(failed)/float64(sent), sent)
			NewWithT(t).Expect(float64(failed) / float64(sent)).To(BeNumerically("<", most))
		})
	}
}

// pollSoundness exchanges outcomes with the leader as a poll does.
func pollSoundness(table *hostTable, now time.Duration, zone string, s *balance.Set) {
	table.sound.add(now, zone, s.TakeOutcomes())
	s.SetUnsound(table.sound.unsound(now, zone))
}

// Guards against a zone that is cut off from sound targets and makes the gateways of other zones
// leave them, against one failure that condemns a target, and against targets that stay condemned.
func TestSoundnessByZone(t *testing.T) {
	g := NewWithT(t)
	s := soundnessTable{log: logr.Discard()}
	for range 10 {
		s.add(0, "a", map[string]fleet.Outcomes{"t1": {Failed: 3, OK: 1}, "t2": {OK: 5}})
		s.add(0, "b", map[string]fleet.Outcomes{"t1": {OK: 4}})
	}
	s.add(0, "b", map[string]fleet.Outcomes{"t2": {Failed: 1}})
	g.Expect(s.unsound(0, "a")).To(Equal(map[string]uint8{"t1": 75}))
	g.Expect(s.unsound(0, "b")).To(BeEmpty())
	g.Expect(s.unsound(0, "c")).To(BeEmpty())
	s.add(time.Second, "a", map[string]fleet.Outcomes{"t1": {OK: 300}})
	g.Expect(s.unsound(time.Second, "a")).To(BeEmpty(), "sound again")
	s.add(time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 300}})
	g.Expect(s.unsound(time.Second+unsoundInterval, "a")).NotTo(BeEmpty())
	g.Expect(s.unsound(30*time.Second, "a")).To(BeEmpty(), "tried again")
	s.add(30*time.Second, "a", map[string]fleet.Outcomes{"t1": {Failed: 300}})
	s.keep(map[string]int{"t2": 0})
	g.Expect(s.unsound(30*time.Second, "a")).To(BeEmpty(), "not listed any more")
}
