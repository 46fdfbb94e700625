package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// The model of this file is a site of engines that batch, before which gateways choose by
// what they learn from polls. Its time goes by in steps of 1 ms.
const (
	modelGateways = 74
	modelEngines  = 45
	modelSlots    = 16
	modelPoll     = 200 // ms between two polls of a gateway
	modelTokens   = 257 // mean output of a turn
	modelMost     = 580 // most output of a turn
	modelTurns    = 6
	modelPause    = 270 // ms between two turns of a program: tools and thinking
	modelInput    = 1250
	modelPrefill  = 336.0 // prompt tokens read in a ms
	modelFirst    = 10.0  // ms from the start of a turn to its first token
	modelAim      = 1.5   // a program is in time within this multiple of its time on idle engines
	modelSlack    = 200.0 // ms that it may take besides
)

// stepTime returns the ms for one token of each of n requests.
func stepTime(n int) float64 { return 1.14 + 0.043*float64(n) }

type modelEngine struct {
	id     string
	speed  float64 // factor of its step time
	active []*modelTurn
	stall  float64 // ms of prompts still to be read
	cached map[int]int
}

type modelTurn struct {
	p      *modelProgram
	set    *Set
	target *Target
	tokens float64 // still to be generated
	told   bool    // the first token has been answered
}

type modelProgram struct {
	id       int
	gateway  int
	turn     int
	history  int
	began    int
	ideal    float64
	resumeAt int
}

type modelSite struct {
	rng      *rand.Rand
	sets     []*Set
	engines  map[string]*modelEngine
	ids      []string
	reported []map[string]int32 // of each gateway, with its last poll
	programs []*modelProgram    // between two turns
	started  int
	ratios   []float64 // time of ended programs to their aim
}

func newModelSite(seed uint64) *modelSite {
	m := &modelSite{rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*modelEngine{}}
	var targets []fleet.Target
	for i := range modelEngines {
		id := fmt.Sprintf("engine-%02d", i)
		speed := 1.0
		if i%3 == 2 {
			speed = 1.3
		}
		m.engines[id] = &modelEngine{id: id, speed: speed, cached: map[int]int{}}
		m.ids = append(m.ids, id)
		targets = append(targets, fleet.Target{ID: id, Service: "s", Zone: fmt.Sprint(i % 4), Slots: modelSlots})
	}
	for g := range modelGateways {
		s := NewSet(fmt.Sprint(g % 4))
		s.Update(0, targets)
		m.sets = append(m.sets, s)
		m.reported = append(m.reported, nil)
	}
	return m
}

// play runs the model with so many new programs a second until a time in ms.
func (m *modelSite) play(from, to int, perSecond float64) {
	for ms := from; ms < to; ms++ {
		m.poll(ms)
		for m.rng.Float64() < perSecond/1000/(1+perSecond/1000) {
			m.started++
			p := &modelProgram{id: m.started, gateway: m.rng.IntN(modelGateways), began: ms, resumeAt: ms}
			m.programs = append(m.programs, p)
		}
		m.resume(ms)
		for _, id := range m.ids {
			m.run(ms, m.engines[id])
		}
	}
}

func (m *modelSite) poll(ms int) {
	for g, s := range m.sets {
		if (ms+g*modelPoll/modelGateways)%modelPoll != 0 {
			continue
		}
		m.reported[g] = s.InFlight()
		all := map[string]int32{}
		for _, counts := range m.reported {
			for id, n := range counts {
				all[id] += n
			}
		}
		s.SetFleet(modelGateways, m.reported[g], loads(s, all))
	}
}

func (m *modelSite) resume(ms int) {
	waiting := m.programs[:0]
	for _, p := range m.programs {
		if p.resumeAt > ms {
			waiting = append(waiting, p)
			continue
		}
		m.send(ms, p)
	}
	m.programs = waiting
}

func (m *modelSite) send(ms int, p *modelProgram) {
	s := m.sets[p.gateway]
	t, _ := s.Acquire(time.Duration(ms)*time.Millisecond, &Choice{Service: "s", Affinity: fmt.Sprint("program-", p.id)})
	e := m.engines[t.ID]
	tokens := math.Min(math.Max(m.rng.ExpFloat64()*modelTokens, 29), modelMost)
	prompt := p.history + modelInput
	unread := prompt - e.cached[p.id]
	e.stall += float64(unread) / modelPrefill
	p.ideal += tokens*stepTime(1) + modelFirst + modelInput/modelPrefill + modelPause
	p.history = prompt + int(tokens)
	e.cached[p.id] = p.history
	e.active = append(e.active, &modelTurn{p: p, set: s, target: t, tokens: tokens + modelFirst/stepTime(1)})
}

// run advances an engine by a step. Those that came first hold its slots.
func (m *modelSite) run(ms int, e *modelEngine) {
	if e.stall >= 1 {
		e.stall--
		return
	}
	n := min(len(e.active), modelSlots)
	if n == 0 {
		return
	}
	done := 1 / (stepTime(n) * e.speed)
	for _, t := range e.active[:n] {
		t.tokens -= done
		if !t.told {
			t.told = true
			t.set.Answered(time.Duration(ms)*time.Millisecond, t.target)
		}
	}
	e.active = slices.DeleteFunc(e.active, func(t *modelTurn) bool {
		if t.tokens <= 0 {
			m.end(ms, t)
		}
		return t.tokens <= 0
	})
}

func (m *modelSite) end(ms int, t *modelTurn) {
	t.set.Release(t.target)
	p := t.p
	p.turn++
	p.resumeAt = ms + modelPause
	if p.turn < modelTurns {
		m.programs = append(m.programs, p)
		return
	}
	took := float64(ms + modelPause - p.began)
	m.ratios = append(m.ratios, took/(modelAim*p.ideal+modelSlack))
}

// inTime returns the share of the ended programs that were in time.
func (m *modelSite) inTime() float64 {
	n := 0
	for _, r := range m.ratios {
		if r <= 1 {
			n++
		}
	}
	return float64(n) / float64(len(m.ratios))
}

// Guards against programs that are late in a burst although engines have free slots: gateways
// that choose the least loaded of all targets by what they knew 0.2 s ago crowd it together.
// Load: 1.7 times the usual number of programs for 6 s.
func TestBurstOfPrograms(t *testing.T) {
	const (
		usual, burst = 110, 190 // new programs in a second
		wantInTime   = 0.9      // of the programs of the burst, the aim for days with trouble
	)
	for seed := range uint64(3) {
		m := newModelSite(seed)
		m.play(0, 4000, usual)
		m.ratios = nil
		m.play(4000, 10000, burst)
		m.play(10000, 14000, usual)
		NewWithT(t).Expect(m.inTime()).To(BeNumerically(">=", wantInTime), "seed %d", seed)
	}
}
