package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// plainService is a kind of small service of plain calls with 6 targets of 6 slots.
func plainService(keyed bool, gateways int, perSecond float64) unevenConfig {
	return unevenConfig{gateways: gateways, targets: 6, slots: 6, routes: []unevenRoute{
		{perSecond: perSecond * 0.6, turns: 1, workMs: 6.5, aimMs: 60, keyed: keyed},
		{perSecond: perSecond * 0.2, turns: 1, workMs: 26, aimMs: 150, keyed: keyed},
		{perSecond: perSecond * 0.2, turns: 1, workMs: 17.4, aimMs: 100, keyed: keyed},
	}}
}

// scaled returns a config with a multiple of its requests.
func (c unevenConfig) scaled(factor float64) unevenConfig {
	c.routes = slices.Clone(c.routes)
	for i := range c.routes {
		c.routes[i].perSecond *= factor
	}
	return c
}

// replayBoth runs a replay with targets that report nothing and with targets that report their pace.
func replayBoth(t *testing.T, name string, c unevenConfig, ms int) (present, paced *unevenResult) {
	present = newUnevenSite(c, 1).run(ms)
	c.reports = true
	paced = newUnevenSite(c, 1).run(ms)
	t.Logf("%s: present policy: %s", name, present)
	t.Logf("%s: with paces:     %s", name, paced)
	return present, paced
}

// Guards against turns that come later, wait more or leave their target more often with the policy for
// uneven targets than with the present one, at one to eight times the load of the known sites.
func TestTurnsAtUnevenTargets(t *testing.T) {
	const (
		lateTolerance  = 0.003 // of the requests; a few more or less are chance
		movedTolerance = 0.005
		readTolerance  = 0.01
	)
	for _, base := range []unevenConfig{engines16, engines8} {
		for _, gateways := range []int{20, 57} {
			for _, factor := range []float64{1, 4, 8} {
				c := base.scaled(factor)
				c.gateways = gateways
				name := fmt.Sprintf("%d slots, %d gateways, load x%v", c.slots, gateways, factor)
				present, paced := replayBoth(t, name, c, 8000)
				g := NewWithT(t)
				g.Expect(share(paced.late, paced)).To(BeNumerically("<=", share(present.late, present)+lateTolerance), name)
				if factor < 8 { // then targets are crowded, which justifies moves
					g.Expect(share(paced.moved, paced)).To(BeNumerically("<=", share(present.moved, present)+movedTolerance), name)
				}
				g.Expect(share(paced.waitedWhileFree, paced)).To(BeNumerically("<=", share(present.waitedWhileFree, present)+lateTolerance), name)
				g.Expect(paced.readShare()).To(BeNumerically("<=", present.readShare()+readTolerance), name)
			}
		}
	}
}

// Guards against more moves than with the present policy when targets are replaced under load, and
// against fast machines that get no larger share than slow ones.
func TestTurnsWhileTargetsAreReplaced(t *testing.T) {
	for _, base := range []unevenConfig{engines16, engines8} {
		for _, gateways := range []int{20, 57} {
			c := base.scaled(4)
			c.gateways, c.replaceAtMs, c.replaced, c.homeShare = gateways, 5000, 4, 0.8
			name := fmt.Sprintf("%d slots, %d gateways, 4 of 44 targets replaced", c.slots, gateways)
			present, paced := replayBoth(t, name, c, 10000)
			t.Logf("%s: share of the slow third of the machines: present %.3f, with paces %.3f", name, present.slowShare(), paced.slowShare())
			g := NewWithT(t)
			g.Expect(share(paced.moved, paced)).To(BeNumerically("<=", share(present.moved, present)), name)
			g.Expect(share(paced.late, paced)).To(BeNumerically("<=", share(present.late, present)+0.003), name)
			g.Expect(paced.slowShare()).To(BeNumerically("<", 0.34), name)
		}
	}
}

// slowShare returns the share of the requests at the slow third of the machines.
func (r *unevenResult) slowShare() float64 {
	n := 0
	for id, requests := range r.byTarget {
		var i int
		if _, err := fmt.Sscanf(id, "target-%d", &i); err == nil && i%3 == 2 {
			n += requests
		}
	}
	return share(n, r)
}

// Guards against short calls that queue behind one target of a small service while others are free.
func TestPlainCallsAtUnevenTargets(t *testing.T) {
	const maxLate = 0.01
	for _, keyed := range []bool{false, true} {
		for _, gateways := range []int{20, 57} {
			for _, perSecond := range []float64{300, 1000, 1500} {
				name := fmt.Sprintf("6 targets of 6 slots, keyed %v, %d gateways, %v calls/s", keyed, gateways, perSecond)
				present, paced := replayBoth(t, name, plainService(keyed, gateways, perSecond), 6000)
				g := NewWithT(t)
				g.Expect(share(paced.late, paced)).To(BeNumerically("<=", maxLate), name)
				g.Expect(share(paced.late, paced)).To(BeNumerically("<=", share(present.late, present)), name)
			}
		}
	}
}

// Shows how much of all prompts is a shared prefix that a target reads again, by the way in which
// targets keep their cache: with 3 or 11 turns a program, most reads are due to its first turn. Guards against a policy that reads more of them than the present one.
func TestSharedPrefixesReadAgain(t *testing.T) {
	for _, cache := range []cacheKind{
		{name: "least recently used"},
		{name: "dropped after 3 s", ttlMs: 3000},
		{name: "dropped after 1 s", ttlMs: 1000},
		{name: "whole prompts", wholePrompts: true},
		{name: "not shared by programs", perProgram: true},
	} {
		c := engines8
		c.cache = cache
		present, paced := replayBoth(t, "cache "+cache.name, c, 30000)
		NewWithT(t).Expect(paced.readShare()).To(BeNumerically("<=", present.readShare()+0.01), cache.name)
	}
}

func share(n int, r *unevenResult) float64 { return float64(n) / float64(r.turns) }

func (r *unevenResult) readShare() float64 { return float64(r.readTokens) / float64(r.promptTokens) }

// Guards against a change of the choice among targets that have equal sizes and report no pace: it
// has to be that of eb04025, which the functions of this test repeat.
func TestEvenTargetsAreChosenAsBefore(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(7, 7))
	s := NewSet("a")
	list := newTargets(12, 4)
	s.Update(0, list)
	s.SetColdLimits(map[string]float64{"s": 20})
	var inFlight []*Target
	compared := 0
	for i := range 20000 {
		now := time.Duration(i) * 3 * time.Millisecond
		switch rng.IntN(12) {
		case 0:
			loads := make(fleet.Loads, s.Size())
			for j := range loads {
				loads[j] = byte(rng.IntN(8))
			}
			s.SetFleetLoad(1+rng.IntN(20), nil, loads)
		case 1:
			j := rng.IntN(len(list))
			list[j].Draining = rng.IntN(4) == 0
			list[j].ColdFor = time.Duration(rng.IntN(2)) * 100 * time.Millisecond
			s.Update(now, list)
		case 2, 3, 4, 5, 6:
			if len(inFlight) > 0 {
				j := rng.IntN(len(inFlight))
				target := inFlight[j]
				inFlight = slices.Delete(inFlight, j, j+1)
				s.RecordResponse(now, target)
				s.Observe(now, target, &Outcome{OK: rng.IntN(10) > 0, Failed: rng.IntN(20) == 0, Slowness: rng.Float64() * 4, Load: rng.IntN(6)})
				s.Release(target)
			}
		default:
			c := &Criteria{Service: "s", NonRepeatable: rng.IntN(2) == 0, Prompt: &Prompt{Parts: []PromptPart{{"p", sharedTokens}, {"q", 100}}, MaxOutput: 50}}
			if rng.IntN(3) > 0 {
				c.Affinity = fmt.Sprint("program-", rng.IntN(50))
			}
			candidates, _ := s.eligible(now, c)
			if len(candidates) == 0 {
				continue
			}
			compared++
			if c.Affinity != "" {
				want := presentByAffinity(now, c.Affinity, candidates)
				got, _ := s.Acquire(now, c)
				g.Expect(got).To(BeIdenticalTo(want), "request %d", i)
				inFlight = append(inFlight, got)
				continue
			}
			least := presentLeastCost(s, now, candidates, c)
			got := s.choose(now, c, candidates)
			g.Expect(presentCost(s, now, got, c)).To(Equal(least), "request %d", i)
			s.acquire(now, got)
			inFlight = append(inFlight, got)
		}
	}
	g.Expect(compared).To(BeNumerically(">", 5000))
}

// presentByAffinity is the choice of eb04025 for a request with an affinity key.
func presentByAffinity(now time.Duration, affinity string, candidates []*Target) *Target {
	key := xxhash.Sum64String(affinity)
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b *Target) int { return cmp.Compare(presentRank(b, key), presentRank(a, key)) })
	best, bestCost := ranked[0], ranked[0].expectedCost(now)-0.25
	if len(ranked) > 1 && ranked[1].expectedCost(now) < bestCost {
		best, bestCost = ranked[1], ranked[1].expectedCost(now)
	}
	for i := 2; i < len(ranked) && (i%2 != 0 || bestCost >= 1.5); i++ {
		if c := ranked[i].expectedCost(now); c < bestCost {
			best, bestCost = ranked[i], c
		}
	}
	return best
}

// presentRank is the rank of eb04025 of a target without a request limit.
func presentRank(t *Target, key uint64) uint64 {
	x := key ^ xxhash.Sum64String(t.ID)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// presentLeastCost is the cost by which eb04025 chooses a target for a request without an affinity
// key: the least of all.
func presentLeastCost(s *Set, now time.Duration, candidates []*Target, c *Criteria) float64 {
	least := math.Inf(1)
	for _, t := range candidates {
		least = min(least, presentCost(s, now, t, c))
	}
	return least
}

func presentCost(s *Set, now time.Duration, t *Target, c *Criteria) float64 {
	cost := t.expectedCost(now)
	if t.Zone == s.zone {
		cost -= 0.04
	}
	if c.NonRepeatable {
		cost += t.failureRate(now) * 10
	}
	return cost
}

// Guards against a pace that cannot be, which would keep requests away from a target or draw all of
// them, and against a pace that is still used when it has long changed.
func TestPaceIsBelievedForAShortTime(t *testing.T) {
	g := NewWithT(t)
	var p pace
	for _, wrong := range []int{0, -5, MaxPacePercent + 1} {
		g.Expect(p.record(time.Second, wrong)).To(BeFalse())
	}
	g.Expect(p.expected(time.Second, 0)).To(Equal(1.0))
	g.Expect(p.record(time.Second, 250)).To(BeTrue())
	g.Expect(p.expected(time.Second, 0)).To(BeNumerically("~", 2.5, 0.01))
	g.Expect(p.expected(time.Second+100*time.Millisecond, 0)).To(BeNumerically("~", 1.79, 0.05))
	g.Expect(p.expected(time.Second+maxReportAge, 0)).To(BeNumerically("~", 1, 0.1))
	for i := range 100 {
		p.record(time.Second+time.Duration(i)*100*time.Millisecond, 130)
	}
	g.Expect(p.usual(11*time.Second)).To(BeNumerically("~", 1.3, 0.02), "the speed of the machine")
}

// Guards against turns that leave the target which has their history, or which read a shared prefix
// at a new target while one that holds it is free.
func TestTurnsPreferTargetsThatHoldTheirPrompt(t *testing.T) {
	g := NewWithT(t)
	s := NewSet("a")
	s.Update(0, newTargets(8, 8))
	s.SetFleetLoad(20, nil, nil)
	s.Observe(0, s.byID["t0"], &Outcome{OK: true, Load: 0, PacePercent: 100})
	attempts := 0
	turn := func(now time.Duration, program, previous string, tokens int) *Target {
		attempts++
		prompt := &Prompt{Parts: []PromptPart{{"shared", sharedTokens}, {program, tokens}}, MaxOutput: 60}
		got, _ := s.Acquire(now, &Criteria{Service: "s", Affinity: program, Attempt: fmt.Sprint("a", attempts), Previous: previous, Prompt: prompt})
		s.RecordResponse(now, got)
		s.ReleaseTurn(got, prompt)
		g.Expect(got.tokens).To(BeZero())
		return got
	}
	first := turn(time.Second, "p", "", 800)
	for i := range 10 {
		g.Expect(turn(time.Second+time.Duration(i)*time.Millisecond, fmt.Sprint("q", i), "", 800).ID).To(Equal(first.ID), "only this target holds the prefix")
	}
	s.SetFleetLoad(20, nil, encodeLoadsFor(s, map[string]int32{first.ID: 24}))
	second := turn(2*time.Second, "p", "a1", 1600)
	g.Expect(second.ID).NotTo(Equal(first.ID), "a queue has formed")
	s.SetFleetLoad(20, nil, encodeLoadsFor(s, nil))
	g.Expect(turn(3*time.Second, "p", "a12", 2400).ID).To(Equal(second.ID), "the history is there")
	g.Expect(turn(4*time.Second, "p", "elsewhere", 3200).ID).To(Equal(first.ID), "another gateway has served the last turn, where it ranks first")
}

// BenchmarkAcquireUneven measures choosing a target for a turn at targets that report their pace.
func BenchmarkAcquireUneven(b *testing.B) {
	for _, n := range []int{44, 280, 2800} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			s := NewSet("a")
			s.Update(0, newTargets(n, 16))
			s.Observe(0, s.byID["t0"], &Outcome{OK: true, PacePercent: 120})
			prompt := &Prompt{Parts: []PromptPart{{"shared", sharedTokens}, {"own", 800}}, MaxOutput: 60}
			for i := range b.N {
				t, _ := s.Acquire(0, &Criteria{Service: "s", Affinity: fmt.Sprint("program-", i), Prompt: prompt})
				s.ReleaseTurn(t, prompt)
			}
		})
	}
}
