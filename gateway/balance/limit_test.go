package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// Guards against an older statement of another gateway that replaces what this one has heard since, and
// against a newer one that is ignored.
func TestNewestLimitStatementCounts(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name           string
		heard          float64 // by this gateway 1 s ago; fleet.NoLimit: it has heard the end of a limit
		told           fleet.Limit
		wantLimited    bool
		wantUnreported bool
	}{
		{"newer limit", fleet.NoLimit, fleet.Limit{PerSecond: 3, Age: 100 * time.Millisecond}, true, false},
		{"older limit", fleet.NoLimit, fleet.Limit{PerSecond: 3, Age: 2 * time.Second}, false, true},
		{"newer end", 3, fleet.Limit{PerSecond: fleet.NoLimit, Age: 100 * time.Millisecond}, false, false},
		{"older end", 3, fleet.Limit{PerSecond: fleet.NoLimit, Age: 2 * time.Second}, true, true},
		{"own statement", 3, fleet.Limit{PerSecond: 3, Age: 1100 * time.Millisecond}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := NewSet("a")
			s.Update(0, newTargets(1, 6))
			s.HearLimit(0, s.ordered[0], 5)
			s.HearLimit(now-time.Second, s.ordered[0], c.heard)
			g.Expect(s.ApplyLimits(now, []fleet.Limit{c.told})).To(BeTrue())
			g.Expect(s.Limited(s.ordered[0])).To(Equal(c.wantLimited))
			g.Expect(s.UnreportedLimits(now, 1)).To(HaveLen(map[bool]int{true: 1}[c.wantUnreported]))
		})
	}
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(2, 6))
	g.Expect(s.ApplyLimits(now, []fleet.Limit{{Index: 2}})).To(BeFalse(), "an index beyond the list")
}

// Guards against new programs that are admitted into slots which a request limit keeps free.
func TestUtilisationLeavesOutLimitedTargets(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(3, 6))
	s.HearLimit(0, s.ordered[0], 1)
	s.HearLimit(0, s.ordered[1], 1)
	for range 6 {
		target, _ := s.Acquire(0, &Criteria{Service: "s"})
		g.Expect(target.ID).To(Equal("t2"))
	}
	g.Expect(s.Utilisation(0, "s")).To(Equal(1.0))
	s.HearLimit(0, s.ordered[2], 1)
	g.Expect(s.Utilisation(0, "s")).To(BeNumerically("~", 6.0/18, 0.01), "all targets name a limit")
}

// Guards against programs that move between targets with each denied permit, so that their prompts are
// processed again and again: as many programs as a limited target takes stay there, the others leave it
// for good, and those of other targets stay where they are.
func TestProgramsLeaveLimitedTargetsInProportion(t *testing.T) {
	const programs, targets = 4000, 10
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(targets, 16))
	home := func() map[string]int {
		homes := map[string]int{}
		for p := range programs {
			first, _ := firstTwo(uint64(p)*0x9e3779b97f4a7c15, s.ordered)
			homes[fmt.Sprint(p)] = int(first.ID[1] - '0')
		}
		return homes
	}
	before := home()
	s.HearLimit(0, s.ordered[0], 4)
	s.setLimitWeights("s", 100) // 9 targets without a limit get 96 of 100 requests a second
	after := home()
	stay, moved := 0, 0
	for p, target := range after {
		switch {
		case target != before[p] && before[p] != 0:
			moved++
		case target == 0:
			stay++
		}
	}
	g.Expect(moved).To(BeZero(), "programs of targets without a limit")
	g.Expect(float64(stay)).To(BeNumerically("~", programs*0.04*limitOversubscription, 0.25*programs*0.04), "programs of the limited target")
}

// Measures how long a gateway takes to choose candidates for a permit among the 560 targets of one of
// five models, all of which name a limit.
func BenchmarkPermitCandidates(b *testing.B) {
	const targets = 560
	s := NewSet("a")
	var list []fleet.Target
	for i := range targets {
		list = append(list, fleet.Target{ID: fmt.Sprintf("i-%08x", i), Service: "s", Zone: "a", Slots: 16})
	}
	s.Update(0, list)
	for _, t := range s.ordered {
		s.HearLimit(0, t, 0.5)
	}
	for i := 0; b.Loop(); i++ {
		s.PermitCandidates(time.Second, &Criteria{Service: "s", Affinity: fmt.Sprint(i)})
	}
}
