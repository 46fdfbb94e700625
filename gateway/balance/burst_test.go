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
	modelPoll  = 200   // ms between two polls of a gateway
	modelPause = 270   // ms between two turns of a program: tools and thinking
	modelSlack = 200.0 // ms that a program may take beyond its aim
)

// engineKind is a kind of engine with the site before it and the programs that it serves.
type engineKind struct {
	gateways, engines, slots int
	step, stepSlot           float64 // ms for one token of each of n requests: step + stepSlot x n
	prefill                  float64 // prompt tokens read in a ms
	first                    float64 // ms from the start of a turn to its first token
	tokens, least, most      float64 // mean output of a turn, its least and most
	input                    int     // tokens that a turn adds to the prompt
	turns                    int
	aim                      float64 // a program is in time within this multiple of its time on idle engines
}

var (
	// mediumEngines serve olajide-engrave-grown, smallEngines its large site.
	mediumEngines = engineKind{gateways: 74, engines: 45, slots: 16, step: 1.14, stepSlot: 0.043, prefill: 336, first: 10,
		tokens: 257, least: 29, most: 580, input: 1250, turns: 6, aim: 1.5}
	smallEngines = engineKind{gateways: 259, engines: 130, slots: 6, step: 1.14, stepSlot: 0.0323, prefill: 336, first: 10,
		tokens: 257, least: 29, most: 580, input: 1250, turns: 6, aim: 1.5}
	// slowEngines read prompts slowly and slow down a lot in large batches.
	slowEngines = engineKind{gateways: 64, engines: 60, slots: 48, step: 4.63, stepSlot: 0.153, prefill: 37.9, first: 19,
		tokens: 34, least: 5, most: 136, input: 770, turns: 5, aim: 2.3}
)

// stepTime returns the ms for one token of each of n requests.
func (k *engineKind) stepTime(n int) float64 { return k.step + k.stepSlot*float64(n) }

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
	engineKind
	rng      *rand.Rand
	sets     []*Set
	byID     map[string]*modelEngine
	ids      []string
	reported []map[string]int32 // of each gateway, with its last poll
	programs []*modelProgram    // between two turns
	started  int
	ratios   []float64 // time of ended programs to their aim
}

func newModelSite(kind engineKind, seed uint64) *modelSite {
	m := &modelSite{engineKind: kind, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*modelEngine{}}
	var targets []fleet.Target
	for i := range m.engines {
		id := fmt.Sprintf("engine-%02d", i)
		speed := 1.0
		if i%3 == 2 {
			speed = 1.3
		}
		m.byID[id] = &modelEngine{id: id, speed: speed, cached: map[int]int{}}
		m.ids = append(m.ids, id)
		targets = append(targets, fleet.Target{ID: id, Service: "s", Zone: fmt.Sprint(i % 4), Slots: m.slots})
	}
	for g := range m.gateways {
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
			p := &modelProgram{id: m.started, gateway: m.rng.IntN(m.gateways), began: ms, resumeAt: ms}
			m.programs = append(m.programs, p)
		}
		m.resume(ms)
		for _, id := range m.ids {
			m.run(ms, m.byID[id])
		}
	}
}

func (m *modelSite) poll(ms int) {
	for g, s := range m.sets {
		if (ms+g*modelPoll/m.gateways)%modelPoll != 0 {
			continue
		}
		m.reported[g] = s.InFlight()
		all := map[string]int32{}
		for _, counts := range m.reported {
			for id, n := range counts {
				all[id] += n
			}
		}
		s.SetFleet(m.gateways, m.reported[g], loads(s, all))
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
	e := m.byID[t.ID]
	tokens := math.Min(math.Max(m.rng.ExpFloat64()*m.tokens, m.least), m.most)
	prompt := p.history + m.input
	unread := prompt - e.cached[p.id]
	e.stall += float64(unread) / m.prefill
	p.ideal += tokens*m.stepTime(1) + m.first + float64(m.input)/m.prefill + modelPause
	p.history = prompt + int(tokens)
	e.cached[p.id] = p.history
	e.active = append(e.active, &modelTurn{p: p, set: s, target: t, tokens: tokens + m.first/m.stepTime(1)})
}

// run advances an engine by a step. Those that came first hold its slots.
func (m *modelSite) run(ms int, e *modelEngine) {
	if e.stall >= 1 {
		e.stall--
		return
	}
	n := min(len(e.active), m.slots)
	if n == 0 {
		return
	}
	done := 1 / (m.stepTime(n) * e.speed)
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
	if p.turn < m.turns {
		m.programs = append(m.programs, p)
		return
	}
	took := float64(ms + modelPause - p.began)
	m.ratios = append(m.ratios, took/(m.aim*p.ideal+modelSlack))
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
// Load: more than the usual number of programs for 6 s, on engines of several kinds.
func TestBurstOfPrograms(t *testing.T) {
	const wantInTime = 0.9 // of the programs of the burst, the aim for days with trouble
	for _, c := range []struct {
		name         string
		kind         engineKind
		usual, burst float64 // new programs in a second
	}{
		{"medium engines", mediumEngines, 110, 190},
		{"small engines, all slots taken", smallEngines, 200, 300},
		{"slow engines", slowEngines, 125, 250},
	} {
		for seed := range uint64(3) {
			m := newModelSite(c.kind, seed)
			m.play(0, 4000, c.usual)
			m.ratios = nil
			m.play(4000, 10000, c.burst)
			m.play(10000, 14000, c.usual)
			t.Logf("%s, seed %d: in time %.3f", c.name, seed, m.inTime())
			NewWithT(t).Expect(m.inTime()).To(BeNumerically(">=", wantInTime), "%s, seed %d", c.name, seed)
		}
	}
}
