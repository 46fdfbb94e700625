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

const (
	limitStep      = 5 * time.Millisecond
	limitPoll      = 200 * time.Millisecond
	limitWindow    = 4 * time.Second
	limitSettle    = time.Second // the platform's pages allow 3 s until all hosts obey a limit
	limitRunLength = 14 * time.Second
)

// limitSite simulates gateways in front of one service in virtual time. The gateways poll one
// leader, request its permits and hear the limits of the targets in their responses.
type limitSite struct {
	now      time.Duration
	rng      *rand.Rand
	term     uint64
	absent   bool // the leader does not respond
	table    limitTable
	listed   []fleet.Target
	index    map[string]int
	gateways []*limitGateway
	limits   map[string]float64 // named by the targets
	affinity bool

	arrivals map[string][]time.Duration
	refused  int
	pending  []permittedRequest
}

type limitGateway struct {
	set  *balance.Set
	held fleet.LimitVersion
	out  bool // cut off from the leader
}

// permittedRequest is a request that waits for the delay of its permit.
type permittedRequest struct {
	at      time.Duration
	gateway *limitGateway
	target  string
}

func newLimitSite(gateways, targets int) *limitSite {
	s := &limitSite{rng: rand.New(rand.NewPCG(1, 2)), term: 1, index: map[string]int{}, limits: map[string]float64{}, arrivals: map[string][]time.Duration{}}
	s.table.log = logr.Discard()
	for i := range targets {
		t := fleet.Target{ID: fmt.Sprintf("t%04d", i), Service: "s", Zone: "a", Slots: 16}
		s.listed = append(s.listed, t)
		s.index[t.ID] = i
	}
	for range gateways {
		g := &limitGateway{}
		s.gateways = append(s.gateways, g)
		s.restart(g)
	}
	return s
}

// restart replaces the state of a gateway by that of a process that has just started.
func (s *limitSite) restart(g *limitGateway) {
	g.set, g.held = balance.NewSet("a"), fleet.LimitVersion{}
	g.set.Update(s.now, s.listed)
	g.set.SetFleetLoad(len(s.gateways), nil, nil)
}

// run simulates a time with perSecond requests a second.
func (s *limitSite) run(length time.Duration, perSecond float64) {
	for end := s.now + length; s.now < end; s.now += limitStep {
		for i, g := range s.gateways {
			if (s.now/limitStep+time.Duration(i))%(limitPoll/limitStep) == 0 && !s.absent && !g.out {
				s.poll(g)
			}
		}
		waiting := s.pending
		s.pending = nil
		for _, p := range waiting {
			if p.at > s.now {
				s.pending = append(s.pending, p)
			} else if t := p.gateway.set.AcquirePermitted(s.now, p.target, &balance.Criteria{}); t != nil {
				s.arrive(p.gateway, t)
			}
		}
		for n := perSecond * limitStep.Seconds(); n > 0; n-- {
			if s.rng.Float64() < n {
				s.request(s.gateways[s.rng.IntN(len(s.gateways))])
			}
		}
	}
}

func (s *limitSite) poll(g *limitGateway) {
	reported := g.set.UnreportedLimits(s.now, 10)
	s.table.report(s.now, s.term, reported)
	g.set.LimitsReported(reported)
	change := s.table.changeSince(s.now, s.term, g.held, s.index)
	g.set.SetFleetLoad(len(s.gateways), nil, nil)
	g.set.UpdateLimitWeights(s.now)
	if change == nil {
		return
	}
	if change.Version.Term != g.held.Term {
		g.set.ReportAllLimits()
	}
	limits, err := change.Limits.Decode()
	if err != nil || !g.set.ApplyLimits(s.now, limits) {
		panic(fmt.Sprint("limits cannot be applied: ", err))
	}
	g.held = change.Version
}

// request chooses a target for one request as the gateway does.
func (s *limitSite) request(g *limitGateway) {
	c := &balance.Criteria{Service: "s"}
	if s.affinity {
		c.Affinity = fmt.Sprint("program", s.rng.IntN(2000))
	}
	req := g.set.PermitCandidates(s.now, c)
	switch {
	case req == nil:
	case s.absent || g.out:
		c.Limited = balance.LimitedByShare
	case s.requestPermit(g, c, req):
		return
	}
	if t, _ := g.set.Acquire(s.now, c); t != nil {
		s.arrive(g, t)
	} else {
		s.refused++
	}
}

// requestPermit requests a permit and acts on the reply. It returns true if the request is permitted
// or refused.
func (s *limitSite) requestPermit(g *limitGateway, c *balance.Criteria, req *fleet.PermitRequest) bool {
	if req.NoAlternative {
		req.MaxDelay = 150 * time.Millisecond
	} else if s.affinity {
		req.MaxDelay = 40 * time.Millisecond
	}
	reply := s.table.permit(s.now, s.term, req)
	switch {
	case reply.Granted > 0:
		s.pending = append(s.pending, permittedRequest{s.now + reply.Delay, g, req.Candidates[reply.Granted-1]})
		return true
	case len(reply.WaitMs) == 0 && len(req.Limits) == 0:
		g.set.ReportLimits(req.Candidates)
		next := g.set.PermitCandidates(s.now, c)
		return next != nil && s.requestPermit(g, c, next)
	case len(reply.WaitMs) == 0:
		c.Limited = balance.LimitedByShare
		return false
	}
	g.set.PermitDenied(s.now, req, reply)
	if req.NoAlternative {
		s.refused++
	}
	return req.NoAlternative
}

// arrive counts a request at a target and has the gateway hear the target's limit.
func (s *limitSite) arrive(g *limitGateway, t *balance.Target) {
	s.arrivals[t.ID] = append(s.arrivals[t.ID], s.now)
	limit, named := s.limits[t.ID]
	if !named {
		limit = fleet.NoLimit
	}
	g.set.HearLimit(s.now, t, limit)
	g.set.RecordResponse(s.now, t)
	g.set.Release(t)
}

// nameLimits makes the first n targets name a limit; a negative one ends it.
func (s *limitSite) nameLimits(n int, perSecond float64) {
	for _, t := range s.listed[:n] {
		if perSecond < 0 {
			delete(s.limits, t.ID)
		} else {
			s.limits[t.ID] = perSecond
		}
	}
}

// expectBound checks that no target with a limit got more requests in any limitWindow since a time
// than the platform's pages allow.
func (s *limitSite) expectBound(g Gomega, since time.Duration, perSecond float64) {
	bound := int(1.5*perSecond*limitWindow.Seconds()) + 5
	for id := range s.limits {
		first, all := 0, s.arrivals[id]
		for last, at := range all {
			if at < since {
				first = last + 1
				continue
			}
			for at-all[first] >= limitWindow {
				first++
			}
			g.Expect(last-first+1).To(BeNumerically("<=", bound), "%s at %s", id, at)
		}
	}
}

// used returns the part of the limits that was used since a time.
func (s *limitSite) used(since time.Duration, perSecond float64) float64 {
	n := 0
	for id := range s.limits {
		for _, at := range s.arrivals[id] {
			if at >= since {
				n++
			}
		}
	}
	return float64(n) / (float64(len(s.limits)) * perSecond * (s.now - since).Seconds())
}

// Guards against targets in need that get many times what they take from all hosts together, where
// the limit is below one request for each host, and against hosts that avoid limited targets.
func TestLimitedTargetsBeforeManyGateways(t *testing.T) {
	for _, c := range []struct {
		name                       string
		gateways, targets, limited int
		perSecond                  float64 // limit
		load                       float64 // requests per second
		affinity                   bool
		during                     func(s *limitSite, perSecond, load float64) // after 4 s; nil: nothing happens
		minUsed                    float64                                     // part of the limits
	}{
		{"few hosts", 6, 9, 6, 7, 160, true, nil, 0.75},
		{"hundreds of hosts", 370, 100, 70, 2, 800, true, nil, 0.75},
		{"hundreds of hosts, plain calls", 370, 100, 70, 2, 800, false, nil, 0.75},
		{"less than a request a second", 370, 20, 10, 0.5, 800, false, nil, 0.75},
		{"all targets of the service", 370, 20, 20, 2, 400, false, nil, 0.75},
		{"a limit of no requests at all", 370, 20, 10, 0, 400, false, nil, 0},
		{"one target among many, little load", 370, 150, 1, 1, 300, false, nil, 0},
		{"hosts restart one after the other", 370, 20, 10, 2, 400, false, func(s *limitSite, _, load float64) {
			for _, g := range s.gateways {
				s.restart(g)
				s.run(limitStep, load)
			}
		}, 0.75},
		{"hosts join and leave", 120, 20, 10, 2, 400, false, func(s *limitSite, _, load float64) {
			leaving := s.gateways[:60]
			s.gateways = s.gateways[60:]
			for range leaving {
				g := &limitGateway{}
				s.gateways = append(s.gateways, g, &limitGateway{})
				s.restart(g)
				s.restart(s.gateways[len(s.gateways)-1])
				s.run(2*limitStep, load)
			}
		}, 0.75},
		{"the leader changes twice", 370, 20, 10, 2, 400, false, func(s *limitSite, _, load float64) {
			for range 2 {
				s.absent = true
				s.run(time.Second, load)
				s.absent, s.term = false, s.term+1
				s.run(time.Second, load)
			}
		}, 0.6},
		{"a third of the hosts is cut off", 370, 20, 10, 2, 400, false, func(s *limitSite, _, load float64) {
			for i := range s.gateways {
				s.gateways[i].out = i%3 == 0
			}
			s.run(4*time.Second, load)
			for _, g := range s.gateways {
				g.out = false
			}
		}, 0.75},
		{"the leader is absent to the end", 370, 20, 10, 2, 400, false, func(s *limitSite, _, load float64) { s.absent = true }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newLimitSite(c.gateways, c.targets)
			s.affinity = c.affinity
			s.run(2*time.Second, c.load)
			s.nameLimits(c.limited, c.perSecond)
			named := s.now
			s.run(4*time.Second, c.load)
			if c.during != nil {
				c.during(s, c.perSecond, c.load)
			}
			s.run(max(named+limitRunLength-s.now, limitWindow), c.load)
			s.expectBound(g, named+limitSettle, c.perSecond)
			if c.limited == c.targets {
				g.Expect(s.refused).To(BeNumerically(">", 0))
			}
			if c.minUsed > 0 {
				g.Expect(s.used(named+limitSettle, c.perSecond)).To(BeNumerically(">=", c.minUsed), "used part of the limits")
			}
		})
	}
}

// Guards against a target that is kept at an old limit after it has named a higher one or none.
func TestLimitsChangeAndEnd(t *testing.T) {
	g := NewWithT(t)
	const load = 400
	s := newLimitSite(370, 20)
	s.nameLimits(10, 8)
	s.run(3*time.Second, load)
	s.nameLimits(10, 2)
	changed := s.now
	s.run(6*time.Second, load)
	s.expectBound(g, changed+limitSettle, 2)
	s.nameLimits(10, 12)
	changed = s.now
	s.run(6*time.Second, load)
	g.Expect(s.used(changed+2*time.Second, 12)).To(BeNumerically(">=", 0.75), "used part of a raised limit")
	s.nameLimits(10, fleet.NoLimit)
	s.run(2*time.Second, load)
	ended := s.now
	s.run(2*time.Second, load)
	n := 0
	for _, target := range s.listed[:10] {
		for _, at := range s.arrivals[target.ID] {
			if at >= ended {
				n++
			}
		}
	}
	g.Expect(n).To(BeNumerically(">=", load*2/4), "requests at ten of twenty targets in 2 s after the end of their limits")
}

// Guards against callers that are all told to return at the same moment, and against a time at
// which the targets cannot take them.
func TestRefusedCallersReturnAtThePaceOfTheLimits(t *testing.T) {
	g := NewWithT(t)
	table := &limitTable{log: logr.Discard()}
	req := &fleet.PermitRequest{Candidates: []string{"a", "b"}, NoAlternative: true}
	now := time.Second
	table.report(now, 1, []fleet.LimitStatement{{Target: "a", PerSecond: 2}, {Target: "b", PerSecond: 2}})
	var previous time.Duration
	for i := range 16 {
		reply := table.permit(now, 1, req)
		g.Expect(reply.Granted).To(BeZero())
		g.Expect(reply.RetryAfter).To(BeNumerically(">=", previous), "caller %d", i)
		previous = reply.RetryAfter
	}
	g.Expect(previous).To(BeNumerically("~", 4*time.Second, 600*time.Millisecond), "the sixteenth caller before two targets with 2 requests a second each")
	for range 40 {
		g.Expect(table.permit(now, 1, req).RetryAfter).To(BeNumerically("<=", maxReturnDelay))
	}
}

// Guards against the limit of a target that has restarted under its id, or of one that was removed.
func TestLimitsEndWithTheirTarget(t *testing.T) {
	g := NewWithT(t)
	table := &limitTable{log: logr.Discard()}
	targets := []fleet.Target{{ID: "a", StartedAt: 1}, {ID: "b", StartedAt: 1}, {ID: "c", StartedAt: 1}}
	index := map[string]int{"a": 0, "b": 1, "c": 2}
	table.report(0, 1, []fleet.LimitStatement{{Target: "a", PerSecond: 3}, {Target: "b", PerSecond: 3}, {Target: "c", PerSecond: 3}})
	table.retain(targets)
	targets[1].StartedAt = 2
	table.retain(targets[:2])
	limits, err := table.changeSince(0, 1, fleet.LimitVersion{}, index).Limits.Decode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(limits).To(HaveLen(1))
	g.Expect(limits[0].Index).To(Equal(0))
}

// Measures one request for a permit at the leader, with 2,800 targets that all name a limit.
func BenchmarkPermit(b *testing.B) {
	table := &limitTable{log: logr.Discard()}
	ids := make([]string, 2800)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
		table.report(0, 1, []fleet.LimitStatement{{Target: ids[i], PerSecond: 0.5}})
	}
	now := time.Second
	for i := 0; b.Loop(); i++ {
		first := i * 8 % len(ids)
		now += time.Millisecond / 3
		table.permit(now, 1, &fleet.PermitRequest{Candidates: ids[first : first+8], NoAlternative: true})
	}
}
