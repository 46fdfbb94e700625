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

func list(n, slots int) []fleet.Target {
	var out []fleet.Target
	for i := range n {
		out = append(out, fleet.Target{ID: fmt.Sprint("t", i), Service: "s", Zone: string(rune('a' + i%3)), Slots: slots})
	}
	return out
}

// loads returns requests in flight in the order of a set's targets.
func loads(s *Set, inFlight map[string]int32) fleet.Loads {
	counts := make([]int32, 0, s.Size())
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		counts = append(counts, inFlight[id])
	}
	return fleet.EncodeLoads(counts)
}

func counts(s *Set, now time.Duration, n int, c Choice) map[string]int {
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

// Guards against targets that get requests although they drain, are out of service, gone or
// excluded.
func TestTargetsThatGetNothing(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	l := list(5, 4)
	l[0].Draining = true
	s.Update(0, l)
	s.SetZonesOut([]string{"b"}) // t1 and t4
	got := counts(s, 0, 30, Choice{Service: "s", Exclude: []string{"t2"}})
	g.Expect(got).To(Equal(map[string]int{"t3": 30}))
	gone := s.Update(0, l[:3])
	g.Expect(gone).To(HaveLen(2))
	got = counts(s, 0, 3, Choice{Service: "s", Exclude: []string{"t2"}})
	g.Expect(got).To(Equal(map[string]int{"none": 3}))
}

// Guards against a cold target that gets more than its share of this gateway in a second.
func TestColdLimit(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	l := list(1, 16)
	l[0].ColdFor = 10 * time.Second
	s.Update(0, l)
	s.SetFleet(4, nil, nil)
	s.SetCold(map[string]float64{"s": 40})
	got := 0
	for ms := range 1000 {
		got += counts(s, time.Duration(ms)*time.Millisecond+time.Second, 1, Choice{Service: "s"})["t0"]
	}
	g.Expect(got).To(BeNumerically("~", 10, 1), "40 a second over 4 gateways")
	g.Expect(counts(s, 12*time.Second, 20, Choice{Service: "s"})["t0"]).To(Equal(20), "no limit once it is warm")
}

// Guards against requests that pile up on one target while others are idle. Load: bursts
// without affinity.
func TestEvenLoad(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, list(6, 4))
	got := counts(s, 0, 24, Choice{Service: "s"})
	for id, n := range got {
		g.Expect(n).To(Equal(4), id)
	}
}

// Guards against a program whose turns are spread over targets, so that each has to read
// its prompt, and against one that waits at a full target while others have room.
func TestAffinity(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, list(6, 8))
	home, _ := s.Acquire(0, &Choice{Service: "s", Affinity: "p1"})
	s.Release(home)
	for range 20 {
		again, _ := s.Acquire(0, &Choice{Service: "s", Affinity: "p1"})
		g.Expect(again.ID).To(Equal(home.ID))
		s.Release(again)
	}
	g.Expect(s.SetFleet(2, nil, loads(s, map[string]int32{home.ID: 12}))).To(BeTrue())
	other, _ := s.Acquire(0, &Choice{Service: "s", Affinity: "p1"})
	g.Expect(other.ID).NotTo(Equal(home.ID))
}

// Guards against a slow target that keeps its share, and against one that is never tried
// again. Load: one target runs seven times slower for some seconds.
func TestSlowTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, list(4, 8))
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
	got := counts(s, 100*time.Millisecond, 16, Choice{Service: "s"})
	g.Expect(got["t0"]).To(BeNumerically("<=", 1))
	for _, target := range s.byID {
		target.inFlight = 0
	}
	got = counts(s, 6*time.Second, 16, Choice{Service: "s"})
	g.Expect(got["t0"]).To(BeNumerically(">=", 3), "tried again after some seconds")
}

// Guards against a target that fails and gets requests while others are sound, and against
// a service without any target because all have failed.
func TestFailingTargets(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, list(2, 8))
	bad := s.byID["t0"]
	g.Expect(s.Observe(0, bad, &Outcome{Failed: true, Load: -1})).To(BeFalse(), "one failure may be the request's")
	g.Expect(s.Observe(0, bad, &Outcome{Failed: true, Load: -1})).To(BeTrue())
	g.Expect(counts(s, time.Millisecond, 6, Choice{Service: "s"})).To(Equal(map[string]int{"t1": 6}))
	for range 2 {
		s.Observe(0, s.byID["t1"], &Outcome{Failed: true, Load: -1})
	}
	g.Expect(counts(s, time.Millisecond, 4, Choice{Service: "s"})).NotTo(HaveKey("none"))
}

// Guards against a target that fails half of its requests, never two in a row, and keeps
// its share.
func TestUnsoundTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, list(4, 8))
	for i := range 20 {
		for _, target := range s.byID {
			fails := target.ID == "t0" && i%2 == 0
			s.Observe(0, target, &Outcome{Failed: fails, OK: !fails, Load: -1})
		}
	}
	g.Expect(counts(s, 100*time.Millisecond, 12, Choice{Service: "s"})["t0"]).To(BeNumerically("<=", 1))
}

// Guards against requests that go on to a target that has fallen silent, until the first of
// them reaches its deadline.
func TestSilentTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, list(4, 8))
	waits := 0 // at t0; targets that are equal are chosen at random
	for n := 0; n < 8 || waits == 0; n++ {
		target, _ := s.Acquire(0, &Choice{Service: "s"})
		if target.ID == "t0" {
			waits++
			continue
		}
		s.Answered(50*time.Millisecond, target)
		s.Release(target)
	}
	g.Expect(counts(s, 900*time.Millisecond, 12, Choice{Service: "s"})).NotTo(HaveKey("t0"))
}

// BenchmarkAcquire measures the choice of a target for a turn.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{45, 280, 2800} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			s := NewSet("a")
			s.Update(0, list(n, 16))
			for i := range b.N {
				t, _ := s.Acquire(0, &Choice{Service: "s", Affinity: fmt.Sprint("program-", i)})
				s.Release(t)
			}
		})
	}
}

// Guards against targets that get more programs than others because their ids, or the ids of
// programs, are alike, and against a second choice that depends on the first alone: the load of
// a target that fails would then go to a single other one.
func TestSpreadOfPrograms(t *testing.T) {
	g := NewWithT(t)
	const (
		targets  = 45
		programs = 20000
	)
	s := NewSet("a")
	s.Update(0, list(targets, 16))
	firsts := map[string]int{}
	seconds := map[string]int{} // of the programs whose first target is t0
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

// Guards against the two ways to the order of targets that differ, so that a program loses its
// cache each time its first targets are crowded.
func TestFirstTwoLeadTheOrder(t *testing.T) {
	s := NewSet("a")
	s.Update(0, list(7, 16))
	for key := range uint64(100) {
		first, second := firstTwo(key, s.byService["s"])
		order := inOrder(key, s.byService["s"])
		NewWithT(t).Expect(order[:2]).To(Equal([]*Target{first, second}))
	}
}

// Guards against loads that are given to the wrong targets after the list has changed, and
// against a gateway that counts its own requests twice.
func TestLoadsOfAChangedList(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, list(4, 8))
	gone := s.Change(0, []fleet.Target{{ID: "t1x", Service: "s", Slots: 8}}, []string{"t2", "never"})
	g.Expect(gone).To(HaveLen(1))
	g.Expect(gone[0].ID).To(Equal("t2"))
	g.Expect(s.SetFleet(2, nil, fleet.Loads{1, 2, 3})).To(BeFalse(), "loads of another list")
	g.Expect(s.SetFleet(2, map[string]int32{"t1x": 2, "t3": 9}, fleet.Loads{1, 2, 3, 4})).To(BeTrue())
	others := map[string]int32{}
	for id, target := range s.byID {
		others[id] = target.others
	}
	g.Expect(others).To(Equal(map[string]int32{"t0": 1, "t1": 2, "t1x": 1, "t3": 0}))
	g.Expect(s.SetFleet(3, nil, nil)).To(BeTrue(), "not told this time")
	g.Expect(s.byID["t1"].others).To(BeEquivalentTo(2))
}

// Guards against a target that answers most requests with errors of its own and keeps its share,
// and against one that is left out for errors that may be the requests'.
func TestErroringTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("z")
	s.Update(0, list(4, 8))
	for range 6 {
		for id, target := range s.byID {
			left := s.Observe(0, target, &Outcome{OK: id != "t0", Errored: id == "t0", Load: -1})
			g.Expect(left).To(BeFalse())
		}
	}
	g.Expect(counts(s, 100*time.Millisecond, 16, Choice{Service: "s"})["t0"]).To(BeZero())
	g.Expect(counts(s, 0, 1, Choice{Service: "s", Exclude: []string{"t1", "t2", "t3"}})["t0"]).To(Equal(1))
}
