package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

func versionedList(old, new int) (list []fleet.Target) {
	for i := range old {
		list = append(list, fleet.Target{ID: fmt.Sprint("o", i), Service: "s", Slots: 8, Version: "v1"})
	}
	for i := range new {
		list = append(list, fleet.Target{ID: fmt.Sprint("n", i), Service: "s", Slots: 8, Version: "v2"})
	}
	return list
}

// Guards against a version on trial whose few requests are spread so thinly that it is never under load,
// and against requests to the version that is left out.
func TestTrialUsesPartOfTheTargets(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, versionedList(45, 45))
	used := map[string]bool{}
	for i := range 500 {
		target, _ := s.Acquire(0, &Criteria{Service: "s", Version: "v2", TrialPart: 0.1, Affinity: fmt.Sprint(i)})
		used[target.ID] = true
		s.Release(target)
		target, _ = s.Acquire(0, &Criteria{Service: "s", NotVersion: "v2", Affinity: fmt.Sprint(i)})
		g.Expect(target.Version).To(Equal("v1"))
		s.Release(target)
	}
	g.Expect(used).To(HaveLen(5))
	g.Expect(s.InFlightExcept("s", "v2")).To(BeZero())
}

// Guards against requests in flight that are forgotten when their target is no longer listed.
func TestInFlightCountsTargetsThatAreGone(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, versionedList(1, 1))
	target, _ := s.Acquire(0, &Criteria{Service: "s", NotVersion: "v2"})
	s.Update(0, versionedList(0, 1))
	g.Expect(s.InFlightExcept("s", "v2")).To(BeEquivalentTo(1))
	s.Release(target)
	g.Expect(s.InFlightExcept("s", "v2")).To(BeZero())
}

// Guards against requests to a version whose order is not known yet, and against a hold that keeps the
// only targets from serving, or those of sites without roll-outs.
func TestNewVersionIsHeld(t *testing.T) {
	const hold = 8 * time.Second
	for _, c := range []struct {
		desc     string
		hold     time.Duration
		old      int
		criteria Criteria
		at       time.Duration
		used     bool
	}{
		{"beside the old one", hold, 2, Criteria{}, time.Second, false},
		{"chosen by a roll-out", hold, 2, Criteria{Version: "v2"}, time.Second, true},
		{"after the hold", hold, 2, Criteria{}, 10 * time.Second, true},
		{"the only one", hold, 0, Criteria{}, time.Second, true},
		{"without a hold", 0, 2, Criteria{}, time.Second, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := NewSet("a")
			s.HoldNewVersions(c.hold)
			s.Update(0, versionedList(2, 0))
			s.Update(time.Second, versionedList(c.old, 2))
			used := false
			c.criteria.Service = "s"
			for i := range 100 {
				c.criteria.Affinity = fmt.Sprint(i)
				target, reason := s.Acquire(c.at, &c.criteria)
				g.Expect(target).NotTo(BeNil(), reason)
				used = used || target.Version == "v2"
			}
			g.Expect(used).To(Equal(c.used))
		})
	}
}
