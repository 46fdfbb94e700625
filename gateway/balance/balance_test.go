package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// newTargets returns n targets of service s with ids t0, t1, ... in the availability zones a to c.
func newTargets(n, slots int) []fleet.Target {
	var out []fleet.Target
	for i := range n {
		out = append(out, fleet.Target{ID: fmt.Sprint("t", i), Service: "s", Zone: string(rune('a' + i%3)), Slots: slots})
	}
	return out
}

// encodeLoadsFor encodes in-flight requests in the order of the set's targets.
func encodeLoadsFor(s *Set, inFlight map[string]int32) fleet.Loads {
	counts := make([]int32, 0, s.Size())
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		counts = append(counts, inFlight[id])
	}
	return fleet.EncodeLoads(counts)
}

// acquireCounts acquires n targets and returns how often each was chosen, with "none" for no
// target.
func acquireCounts(s *Set, now time.Duration, n int, c Criteria) map[string]int {
	out := map[string]int{}
	for range n {
		t, _ := s.Acquire(now, &c)
		if t == nil {
			out["none"]++
			continue
		}
		out[t.ID]++
	}
	return out
}

// Guards against requests being sent to targets that are draining, out of service, removed or
// excluded.
func TestIneligibleTargetsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	l := newTargets(5, 4)
	l[0].Draining = true
	s.Update(0, l)
	s.SetZonesOut([]string{"b"}) // t1 and t4
	got := acquireCounts(s, 0, 30, Criteria{Service: "s", Exclude: []string{"t2"}})
	g.Expect(got).To(Equal(map[string]int{"t3": 30}))
	gone := s.Update(0, l[:3])
	g.Expect(gone).To(HaveLen(2))
	got = acquireCounts(s, 0, 3, Criteria{Service: "s", Exclude: []string{"t2"}})
	g.Expect(got).To(Equal(map[string]int{"none": 3}))
}

// Guards against a gateway exceeding its share of a cold target's request limit.
func TestColdTargetRateLimit(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	l := newTargets(1, 16)
	l[0].ColdFor = 10 * time.Second
	s.Update(0, l)
	s.SetFleetLoad(4, nil, nil)
	s.SetColdLimits(map[string]float64{"s": 40})
	got := 0
	for ms := range 1000 {
		got += acquireCounts(s, time.Duration(ms)*time.Millisecond+time.Second, 1, Criteria{Service: "s"})["t0"]
	}
	g.Expect(got).To(BeNumerically("~", 10, 1), "limit of 40 per second, shared by 4 gateways")
	g.Expect(acquireCounts(s, 12*time.Second, 20, Criteria{Service: "s"})["t0"]).To(Equal(20), "no limit once the target is warm")
}

// Guards against requests piling up on one target while others are idle, in a burst of requests
// without affinity.
func TestLeastLoadedSpreadsEvenly(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, newTargets(6, 4))
	got := acquireCounts(s, 0, 24, Criteria{Service: "s"})
	for id, n := range got {
		g.Expect(n).To(Equal(4), id)
	}
}

// Guards against the turns of a program being spread over targets, each of which then has to
// process the prompt again, and against turns queueing at a full target while others have free
// slots.
func TestAffinityKeepsTargetUntilCrowded(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(6, 8))
	first, _ := s.Acquire(0, &Criteria{Service: "s", Affinity: "p1"})
	s.Release(first)
	for range 20 {
		again, _ := s.Acquire(0, &Criteria{Service: "s", Affinity: "p1"})
		g.Expect(again.ID).To(Equal(first.ID))
		s.Release(again)
	}
	g.Expect(s.SetFleetLoad(2, nil, encodeLoadsFor(s, map[string]int32{first.ID: 12}))).To(BeTrue())
	other, _ := s.Acquire(0, &Criteria{Service: "s", Affinity: "p1"})
	g.Expect(other.ID).NotTo(Equal(first.ID))
}

// Guards against a slow target keeping its share of requests, and against it never being tried
// again. One target is seven times slower than the others.
func TestSlowTargetIsAvoidedThenRetried(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, newTargets(4, 8))
	slow := s.byID["t0"]
	for _, target := range s.byID {
		for range 6 {
			o := Outcome{OK: true, Slowness: 1, Load: -1}
			if target == slow {
				o.Slowness = 7
			}
			s.Observe(0, target, &o)
		}
	}
	got := acquireCounts(s, 100*time.Millisecond, 16, Criteria{Service: "s"})
	g.Expect(got["t0"]).To(BeNumerically("<=", 1))
	for _, target := range s.byID {
		target.inFlight = 0
	}
	got = acquireCounts(s, 6*time.Second, 16, Criteria{Service: "s"})
	g.Expect(got["t0"]).To(BeNumerically(">=", 3), "the target is tried again after some seconds")
}

// Guards against requests to a failing target while others are healthy, and against a service
// having no target at all because all have been ejected.
func TestFailingTargetIsEjected(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(2, 8))
	failing := s.byID["t0"]
	g.Expect(s.Observe(0, failing, &Outcome{Failed: true, Load: -1})).To(BeFalse(), "a single failure may be caused by the request")
	g.Expect(s.Observe(0, failing, &Outcome{Failed: true, Load: -1})).To(BeTrue())
	g.Expect(acquireCounts(s, time.Millisecond, 6, Criteria{Service: "s"})).To(Equal(map[string]int{"t1": 6}))
	for range 2 {
		s.Observe(0, s.byID["t1"], &Outcome{Failed: true, Load: -1})
	}
	g.Expect(acquireCounts(s, time.Millisecond, 4, Criteria{Service: "s"})).NotTo(HaveKey("none"))
}

// Guards against a target keeping its share although it fails half of its requests. It is never
// ejected, as no two failures are consecutive.
func TestHighFailureRateReducesShare(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, newTargets(4, 8))
	for i := range 20 {
		for _, target := range s.byID {
			fails := target.ID == "t0" && i%2 == 0
			s.Observe(0, target, &Outcome{Failed: fails, OK: !fails, Load: -1})
		}
	}
	g.Expect(acquireCounts(s, 100*time.Millisecond, 12, Criteria{Service: "s"})["t0"]).To(BeNumerically("<=", 1))
}

// Guards against requests still being sent to a target that has stopped responding, until the
// first of them reaches its deadline.
func TestStalledTargetIsAvoided(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, newTargets(4, 8))
	pendingAtT0 := 0 // requests pending at t0; equal targets are chosen at random
	for n := 0; n < 8 || pendingAtT0 == 0; n++ {
		target, _ := s.Acquire(0, &Criteria{Service: "s"})
		if target.ID == "t0" {
			pendingAtT0++
			continue
		}
		s.RecordResponse(50*time.Millisecond, target)
		s.Release(target)
	}
	g.Expect(acquireCounts(s, 900*time.Millisecond, 12, Criteria{Service: "s"})).NotTo(HaveKey("t0"))
}

// BenchmarkAcquire measures choosing a target for a turn with affinity.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{45, 280, 2800} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			s := NewSet("a")
			s.Update(0, newTargets(n, 16))
			for i := range b.N {
				t, _ := s.Acquire(0, &Criteria{Service: "s", Affinity: fmt.Sprint("program-", i)})
				s.Release(t)
			}
		})
	}
}

// Guards against an uneven distribution of programs over targets when the ids of targets or
// programs are similar, and against the second choice depending only on the first: all load of a
// failing target would then move to a single other one.
func TestRendezvousHashingDistribution(t *testing.T) {
	g := NewWithT(t)
	const (
		targets  = 45
		programs = 20000
	)
	s := NewSet("a")
	s.Update(0, newTargets(targets, 16))
	firsts := map[string]int{}
	seconds := map[string]int{} // second targets of the programs whose first target is t0
	for i := range programs {
		first, second := firstTwo(xxhash.Sum64String(fmt.Sprint("program-", i)), s.byService["s"])
		firsts[first.ID]++
		if first.ID == "t0" {
			seconds[second.ID]++
		}
	}
	g.Expect(firsts).To(HaveLen(targets))
	for id, n := range firsts {
		g.Expect(n).To(BeNumerically("~", programs/targets, programs/targets/4), id)
	}
	g.Expect(len(seconds)).To(BeNumerically(">=", targets-5))
	g.Expect(seconds).NotTo(HaveKey("t0"))
}

// Guards against firstTwo and rankedTargets disagreeing on the ranking: a program would lose its
// cache whenever its first targets are crowded.
func TestFirstTwoMatchesFullRanking(t *testing.T) {
	s := NewSet("a")
	s.Update(0, newTargets(7, 16))
	for key := range uint64(100) {
		first, second := firstTwo(key, s.byService["s"])
		order := rankedTargets(key, s.byService["s"])
		NewWithT(t).Expect(order[:2]).To(Equal([]*Target{first, second}))
	}
}

// Guards against loads being assigned to the wrong targets after the list has changed, and
// against a gateway counting its own requests twice.
func TestSetFleetAfterListChange(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(4, 8))
	gone := s.ApplyChange(0, []fleet.Target{{ID: "t1x", Service: "s", Slots: 8}}, []string{"t2", "never"})
	g.Expect(gone).To(HaveLen(1))
	g.Expect(gone[0].ID).To(Equal("t2"))
	g.Expect(s.SetFleetLoad(2, nil, fleet.Loads{1, 2, 3})).To(BeFalse(), "loads don't match the list")
	g.Expect(s.SetFleetLoad(2, map[string]int32{"t1x": 2, "t3": 9}, fleet.Loads{1, 2, 3, 4})).To(BeTrue())
	otherInFlight := map[string]int32{}
	for id, target := range s.byID {
		otherInFlight[id] = target.otherInFlight
	}
	g.Expect(otherInFlight).To(Equal(map[string]int32{"t0": 1, "t1": 2, "t1x": 1, "t3": 0}))
	g.Expect(s.SetFleetLoad(3, nil, nil)).To(BeTrue(), "empty loads keep the previous counts")
	g.Expect(s.byID["t1"].otherInFlight).To(BeEquivalentTo(2))
}

// Guards against a target keeping its share although it reports errors for its requests, and
// against ejecting it for errors that may be caused by the requests.
func TestErrorResponsesReduceShare(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, newTargets(4, 8))
	for range 6 {
		for id, target := range s.byID {
			ejected := s.Observe(0, target, &Outcome{OK: id != "t0", Errored: id == "t0", Load: -1})
			g.Expect(ejected).To(BeFalse())
		}
	}
	g.Expect(acquireCounts(s, 100*time.Millisecond, 16, Criteria{Service: "s"})["t0"]).To(BeZero())
	g.Expect(acquireCounts(s, 0, 1, Criteria{Service: "s", Exclude: []string{"t1", "t2", "t3"}})["t0"]).To(Equal(1))
}
