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

// The tests of this file replay the turns and calls of a site whose targets share their machines
// with others, in steps of 1 ms. Each replay runs twice: with targets that report their pace, so that
// the choice follows the expected finish, and with targets that report nothing, so that the choice is
// that of choose.go. Both see the same requests and the same machines.

const (
	unevenPollMs  = 300 // interval of polls: the counts of other gateways are 300 ms old on average
	swingMs       = 600 // time in which the pace of a machine moves between its extremes
	swingFactor   = 2.5 // between the extremes
	sharedTokens  = 12600
	routePrefixes = 3
)

// cacheKind tells how long the engines of a replay keep a prompt in their cache.
type cacheKind struct {
	name string
	// ttlMs is the time after the last use after which an entry is dropped; 0: only for space.
	ttlMs int
	// wholePrompts counts the shared prefix once for each program that has used it.
	wholePrompts bool
	// perProgram is set if programs don't share the prefix.
	perProgram bool
}

// unevenConfig describes a replay.
type unevenConfig struct {
	gateways, targets, slots int
	stepMs, readPerMs        float64 // time of a step, prompt tokens read per ms
	memory                   int     // tokens
	routes                   []unevenRoute
	cache                    cacheKind
	reports                  bool // targets report their pace
	// replaceAtMs is when replaced targets start to drain, and as many others come; 0: never. Gateways
	// see it within the following second.
	replaceAtMs, replaced int
	// homeShare is the share of the turns that come to the gateway of the program's first turn.
	homeShare float64
}

// unevenRoute describes the turns of a route. Plain calls have one turn and no prompt.
type unevenRoute struct {
	perSecond        float64 // turns
	turns, ownTokens int
	output, pauseMs  float64 // of a turn, in tokens and ms
	aimMs            float64 // for the first token, or for the whole plain call
	keyed            bool
	history          bool    // turns name the previous one
	workMs           float64 // of a plain call; 0: a turn
}

type unevenTarget struct {
	id     string
	speed  float64
	phase  float64
	active []*unevenTurn // in order of arrival; those beyond the slots wait
	cache  map[string]*cacheEntry
	cached int // tokens
	seen   map[string]bool
}

type cacheEntry struct {
	tokens, usedAt int
}

type unevenTurn struct {
	program  *unevenProgram
	set      *Set
	target   *Target
	prompt   *Prompt
	startAt  int
	left     float64 // ms of work or tokens
	started  bool
	readLeft float64
}

type unevenProgram struct {
	route    *unevenRoute
	id       int
	prefix   string
	turn     int
	resumeAt int
	last     string // id of the last target
	gateway  int
	rng      *rand.Rand
}

// unevenResult is what a replay measures.
type unevenResult struct {
	turns, late, moved       int
	promptTokens, readTokens int
	sharedRead, sharedAgain  int       // shared tokens read; those that the target had read before
	waitedWhileFree          int       // requests that had to wait while another target was idle to a half
	times, totals            []float64 // to the first token, and of the whole request, in ms
	byTarget                 map[string]int
}

func (r *unevenResult) String() string {
	slices.Sort(r.times)
	total := 0.0
	for _, ms := range r.totals {
		total += ms
	}
	q := func(p float64) float64 { return r.times[min(int(p*float64(len(r.times))), len(r.times)-1)] }
	return fmt.Sprintf("%d requests, late %.4f, moved %.4f, queued while others were free %.4f, p50 %.0f p95 %.0f p99 %.0f mean %.1f ms, prompt tokens read %.3f, shared %.3f, shared read again %.3f",
		r.turns, float64(r.late)/float64(r.turns), float64(r.moved)/float64(r.turns), float64(r.waitedWhileFree)/float64(r.turns), q(0.5), q(0.95), q(0.99), total/float64(len(r.totals)),
		float64(r.readTokens)/float64(max(r.promptTokens, 1)), float64(r.sharedRead)/float64(max(r.promptTokens, 1)), float64(r.sharedAgain)/float64(max(r.promptTokens, 1)))
}

type unevenSite struct {
	unevenConfig
	rng      *rand.Rand
	list     []fleet.Target // after the replacement
	seesAt   []int          // when each gateway sees the replacement, in ms
	sets     []*Set
	targets  map[string]*unevenTarget
	ids      []string
	reported []map[string]int32
	waiting  []*unevenProgram
	programs int
	result   unevenResult
}

func newUnevenSite(config unevenConfig, seed uint64) *unevenSite {
	m := &unevenSite{unevenConfig: config, rng: rand.New(rand.NewPCG(seed, 2)), targets: map[string]*unevenTarget{}}
	m.result.byTarget = map[string]int{}
	var list []fleet.Target
	for i := range m.unevenConfig.targets + m.replaced {
		t := &unevenTarget{id: fmt.Sprintf("target-%04d", i), speed: 1, phase: m.rng.Float64(), cache: map[string]*cacheEntry{}, seen: map[string]bool{}}
		if i%3 == 2 {
			t.speed = 1.3
		}
		m.targets[t.id] = t
		m.ids = append(m.ids, t.id)
		list = append(list, fleet.Target{ID: t.id, Service: "s", Zone: fmt.Sprint(i % 4), Slots: m.slots})
	}
	m.list = slices.Clone(list)
	for i := range m.replaced {
		m.list[i].Draining = true
	}
	for g := range m.gateways {
		s := NewSet(fmt.Sprint(g % 4))
		s.Update(0, list[:m.unevenConfig.targets])
		m.seesAt = append(m.seesAt, m.replaceAtMs+g*1000/m.gateways)
		m.sets = append(m.sets, s)
		m.reported = append(m.reported, nil)
	}
	return m
}

// pace returns how long work takes at a target, as a multiple of the usual: a triangle wave between
// the extremes.
func (m *unevenSite) pace(ms int, t *unevenTarget) float64 {
	_, x := math.Modf(float64(ms)/(2*swingMs) + t.phase)
	x = math.Abs(2*x - 1) // 0 to 1
	return t.speed * math.Pow(swingFactor, x-0.5)
}

func (m *unevenSite) run(toMs int) *unevenResult {
	for ms := range toMs {
		m.poll(ms)
		m.startPrograms(ms)
		waiting := m.waiting[:0]
		for _, p := range m.waiting {
			if p.resumeAt > ms {
				waiting = append(waiting, p)
				continue
			}
			m.start(ms, p)
		}
		m.waiting = waiting
		for _, id := range m.ids {
			m.step(ms, m.targets[id])
		}
	}
	return &m.result
}

func (m *unevenSite) poll(ms int) {
	for g, s := range m.sets {
		if m.replaceAtMs > 0 && ms == m.seesAt[g] {
			s.Update(time.Duration(ms)*time.Millisecond, m.list)
		}
		if (ms+g*unevenPollMs/m.gateways)%unevenPollMs != 0 {
			continue
		}
		m.reported[g] = s.InFlight()
		total := map[string]int32{}
		for _, counts := range m.reported {
			for id, n := range counts {
				total[id] += n
			}
		}
		s.SetFleetLoad(m.gateways, m.reported[g], encodeLoadsFor(s, total))
		s.UpdateLimitWeights(time.Duration(ms) * time.Millisecond)
	}
}

func (m *unevenSite) startPrograms(ms int) {
	for i := range m.routes {
		r := &m.routes[i]
		perMs := r.perSecond / float64(r.turns) / 1000
		for m.rng.Float64() < perMs/(1+perMs) {
			m.programs++
			m.waiting = append(m.waiting, &unevenProgram{route: r, id: m.programs, prefix: fmt.Sprint("prefix-", i, "-", m.programs%routePrefixes), resumeAt: ms,
				rng: rand.New(rand.NewPCG(uint64(m.programs), 3))})
		}
	}
}

// start chooses a target for the next turn of a program.
func (m *unevenSite) start(ms int, p *unevenProgram) {
	if p.last == "" || p.rng.Float64() >= m.homeShare {
		p.gateway = p.rng.IntN(m.gateways)
	}
	s := m.sets[p.gateway]
	c := &Criteria{Service: "s"}
	turn := &unevenTurn{program: p, set: s, startAt: ms, left: p.route.workMs}
	if p.route.keyed {
		c.Affinity, c.Attempt = fmt.Sprint("program-", p.id), fmt.Sprint(p.id, "-", p.turn)
	}
	if p.route.history && p.turn > 0 {
		c.Previous = fmt.Sprint(p.id, "-", p.turn-1)
	}
	own := fmt.Sprint("own-", p.id)
	ownTokens := p.route.ownTokens * (p.turn + 1)
	if p.route.workMs == 0 {
		output := min(max(p.rng.ExpFloat64()*p.route.output, 20), 3*p.route.output)
		turn.left = output
		c.Prompt = &Prompt{Parts: []PromptPart{{ID: p.prefix, Tokens: sharedTokens}, {ID: own, Tokens: ownTokens}}, MaxOutput: int(3 * p.route.output)}
		turn.prompt = c.Prompt
	} else {
		turn.left *= 0.5 + p.rng.Float64()
	}
	turn.target, _ = s.Acquire(time.Duration(ms)*time.Millisecond, c)
	t := m.targets[turn.target.ID]
	m.result.turns++
	m.result.byTarget[t.id]++
	if p.last != "" && p.last != t.id {
		m.result.moved++
	}
	p.last = t.id
	if len(t.active) >= m.slots && slices.ContainsFunc(m.ids, func(id string) bool { return len(m.targets[id].active) <= m.slots/2 }) {
		m.result.waitedWhileFree++
	}
	if turn.prompt != nil {
		turn.readLeft = float64(m.lookUp(ms, t, p, own, ownTokens)) / m.readPerMs
	}
	t.active = append(t.active, turn)
}

// lookUp returns the prompt tokens that a target has to read, and stores the prompt in its cache.
func (m *unevenSite) lookUp(ms int, t *unevenTarget, p *unevenProgram, own string, ownTokens int) int {
	read := 0
	use := func(key string, tokens int) (missing int) {
		e := t.cache[key]
		if e != nil && m.cache.ttlMs > 0 && ms-e.usedAt > m.cache.ttlMs {
			t.cached -= e.tokens
			e = nil
		}
		if e == nil {
			e = &cacheEntry{}
			t.cache[key] = e
		}
		missing = max(tokens-e.tokens, 0)
		t.cached += missing
		e.tokens, e.usedAt = max(tokens, e.tokens), ms
		return missing
	}
	prefix := p.prefix
	if m.cache.perProgram {
		prefix += "-" + own
	}
	if n := use(prefix, sharedTokens); n > 0 {
		read += n
		m.result.sharedRead += n
		if t.seen[p.prefix] {
			m.result.sharedAgain += n
		}
		t.seen[p.prefix] = true
	}
	read += use(own, ownTokens)
	if m.cache.wholePrompts {
		use("whole-"+own, sharedTokens)
	}
	held := 0
	for _, a := range t.active {
		held += a.prompt.total()
	}
	for t.cached+held > m.memory && len(t.cache) > 1 {
		oldest := ""
		for key, e := range t.cache {
			if oldest == "" || cmp.Or(cmp.Compare(e.usedAt, t.cache[oldest].usedAt), cmp.Compare(key, oldest)) < 0 {
				oldest = key
			}
		}
		t.cached -= t.cache[oldest].tokens
		delete(t.cache, oldest)
	}
	m.result.promptTokens += sharedTokens + ownTokens
	m.result.readTokens += read
	return read
}

// step advances a target by 1 ms. The requests that arrived first hold its slots; prompts are read
// one after the other before the next tokens are generated.
func (m *unevenSite) step(ms int, t *unevenTarget) {
	n := min(len(t.active), m.slots)
	if n == 0 {
		return
	}
	budget := 1 / m.pace(ms, t)
	for _, a := range t.active[:n] {
		spent := min(budget, a.readLeft)
		a.readLeft -= spent
		budget -= spent
	}
	done := false
	for _, a := range t.active[:n] {
		if a.readLeft > 0 {
			continue
		}
		if !a.started {
			a.started = true
			a.set.RecordResponse(time.Duration(ms)*time.Millisecond, a.target)
			if a.prompt != nil {
				m.report(ms, t, a)
				m.record(float64(ms-a.startAt), a.program.route)
			}
		}
		if a.prompt == nil {
			a.left -= 1 / m.pace(ms, t)
		} else {
			a.left -= budget / (m.stepMs * (1 + batchCost*float64(n)/float64(m.slots)))
		}
		done = done || a.left <= 0
	}
	if !done {
		return
	}
	t.active = slices.DeleteFunc(t.active, func(a *unevenTurn) bool {
		if a.left > 0 || !a.started {
			return false
		}
		a.set.ReleaseTurn(a.target, a.prompt)
		m.result.totals = append(m.result.totals, float64(ms-a.startAt))
		if a.prompt == nil {
			m.report(ms, t, a)
			m.record(float64(ms-a.startAt), a.program.route)
		}
		p := a.program
		if p.turn++; p.turn < p.route.turns {
			p.resumeAt = ms + int(p.route.pauseMs)
			m.waiting = append(m.waiting, p)
		}
		return true
	})
}

// report passes on what the head of a response says about its target. The heads of plain calls come
// with the end of their work.
func (m *unevenSite) report(ms int, t *unevenTarget, a *unevenTurn) {
	if m.reports {
		a.set.Observe(time.Duration(ms)*time.Millisecond, a.target, &Outcome{OK: true, Load: len(t.active), PacePercent: int(100 * m.pace(ms, t))})
	}
}

func (m *unevenSite) record(ms float64, r *unevenRoute) {
	m.result.times = append(m.result.times, ms)
	if ms > r.aimMs {
		m.result.late++
	}
}

var (
	// engines16 and engines8 are kinds of engines with 16 and 8 slots.
	engines16 = unevenConfig{gateways: 57, targets: 44, slots: 16, stepMs: 1.06, readPerMs: 257, memory: 360036, routes: []unevenRoute{
		{perSecond: 61.9, turns: 4, ownTokens: 1680, output: 200, pauseMs: 300, aimMs: 200, keyed: true, history: true},
		{perSecond: 29.2, turns: 11, ownTokens: 840, output: 200, pauseMs: 300, aimMs: 400, keyed: true},
	}}
	engines8 = unevenConfig{gateways: 20, targets: 44, slots: 8, stepMs: 0.549, readPerMs: 558, memory: 315614, routes: []unevenRoute{
		{perSecond: 73.9, turns: 3, ownTokens: 1680, output: 200, pauseMs: 300, aimMs: 250, keyed: true, history: true},
		{perSecond: 15.8, turns: 11, ownTokens: 840, output: 200, pauseMs: 300, aimMs: 400, keyed: true},
	}}
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
