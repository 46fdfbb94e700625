package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
