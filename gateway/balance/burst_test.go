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

// The tests of this file simulate a site of engines with continuous batching, in steps of 1 ms.
// Gateways choose targets by the in-flight counts that they get from polls.
const (
	modelPollMs  = 200   // interval of the polls of a gateway
	modelPauseMs = 270   // time between two turns of a program, for tool calls and thinking
	modelSlackMs = 200.0 // constant part of the deadline of a program
)

// modelConfig describes the engines of a site, its gateways and its programs.
type modelConfig struct {
	gateways, engines, slots         int
	stepMs, stepMsPerSlot            float64 // a step generates one token for each of n requests and takes stepMs + stepMsPerSlot*n
	prefillTokensPerMs               float64 // prompt tokens processed per ms
	firstTokenMs                     float64 // time from the start of a turn to its first token
	meanOutput, minOutput, maxOutput float64 // output tokens of a turn: exponentially distributed, clamped to the bounds
	inputPerTurn                     int     // input tokens that a turn adds to the prompt
	turns                            int     // turns of a program
	deadlineFactor                   float64 // the deadline of a program is this multiple of its time on idle engines, plus modelSlackMs
}

var (
	// mediumEngines have 16 slots and smallEngines 6, at equal speed.
	mediumEngines = modelConfig{gateways: 74, engines: 45, slots: 16, stepMs: 1.14, stepMsPerSlot: 0.043, prefillTokensPerMs: 336, firstTokenMs: 10,
		meanOutput: 257, minOutput: 29, maxOutput: 580, inputPerTurn: 1250, turns: 6, deadlineFactor: 1.5}
	smallEngines = modelConfig{gateways: 259, engines: 130, slots: 6, stepMs: 1.14, stepMsPerSlot: 0.0323, prefillTokensPerMs: 336, firstTokenMs: 10,
		meanOutput: 257, minOutput: 29, maxOutput: 580, inputPerTurn: 1250, turns: 6, deadlineFactor: 1.5}
	// slowEngines process prompts slowly and slow down considerably in large batches.
	slowEngines = modelConfig{gateways: 64, engines: 60, slots: 48, stepMs: 4.63, stepMsPerSlot: 0.153, prefillTokensPerMs: 37.9, firstTokenMs: 19,
		meanOutput: 34, minOutput: 5, maxOutput: 136, inputPerTurn: 770, turns: 5, deadlineFactor: 2.3}
)

// stepTime returns the time of a step with n requests in ms.
func (c *modelConfig) stepTime(n int) float64 { return c.stepMs + c.stepMsPerSlot*float64(n) }

type modelEngine struct {
	id        string
	slowdown  float64      // factor on the step time
	active    []*modelTurn // in order of arrival; those beyond the slots are queued
	prefillMs float64      // time for the prompts still to be processed
	cached    map[int]int  // cached tokens by program id
}

type modelTurn struct {
	program        *modelProgram
	set            *Set
	target         *Target
	tokensLeft     float64 // still to be generated
	firstTokenSent bool
}

type modelProgram struct {
	id        int
	gateway   int
	turn      int
	history   int     // tokens of the conversation so far
	startedAt int     // ms
	idealMs   float64 // time on idle engines
	resumeAt  int     // ms
}

type modelSite struct {
	modelConfig
	rng            *rand.Rand
	sets           []*Set
	byID           map[string]*modelEngine
	ids            []string
	reported       []map[string]int32 // in-flight counts of each gateway at its last poll
	paused         []*modelProgram    // between two turns
	started        int                // number of programs started
	deadlineRatios []float64          // time of each finished program divided by its deadline
}

func newModelSite(config modelConfig, seed uint64) *modelSite {
	m := &modelSite{modelConfig: config, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*modelEngine{}}
	var targets []fleet.Target
	for i := range m.engines {
		id := fmt.Sprintf("engine-%02d", i)
		slowdown := 1.0
		if i%3 == 2 {
			slowdown = 1.3
		}
		m.byID[id] = &modelEngine{id: id, slowdown: slowdown, cached: map[int]int{}}
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

// simulate runs the model between two times in ms, with perSecond new programs per second on
// average.
func (m *modelSite) simulate(from, to int, perSecond float64) {
	for ms := from; ms < to; ms++ {
		m.pollGateways(ms)
		for m.rng.Float64() < perSecond/1000/(1+perSecond/1000) {
			m.started++
			p := &modelProgram{id: m.started, gateway: m.rng.IntN(m.gateways), startedAt: ms, resumeAt: ms}
			m.paused = append(m.paused, p)
		}
		m.resumePrograms(ms)
		for _, id := range m.ids {
			m.stepEngine(ms, m.byID[id])
		}
	}
}

// pollGateways runs the polls that are due: a gateway reports its in-flight requests and gets the
// total of all gateways. The polls of the gateways are spread over the interval.
func (m *modelSite) pollGateways(ms int) {
	for g, s := range m.sets {
		if (ms+g*modelPollMs/m.gateways)%modelPollMs != 0 {
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
	}
}

// resumePrograms starts the next turn of the programs whose pause has ended.
func (m *modelSite) resumePrograms(ms int) {
	waiting := m.paused[:0]
	for _, p := range m.paused {
		if p.resumeAt > ms {
			waiting = append(waiting, p)
			continue
		}
		m.startTurn(ms, p)
	}
	m.paused = waiting
}

// startTurn chooses a target for the next turn of a program and queues the turn there.
func (m *modelSite) startTurn(ms int, program *modelProgram) {
	s := m.sets[program.gateway]
	t, _ := s.Acquire(time.Duration(ms)*time.Millisecond, &Criteria{Service: "s", Affinity: fmt.Sprint("program-", program.id)})
	e := m.byID[t.ID]
	tokens := math.Min(math.Max(m.rng.ExpFloat64()*m.meanOutput, m.minOutput), m.maxOutput)
	prompt := program.history + m.inputPerTurn
	uncached := prompt - e.cached[program.id]
	e.prefillMs += float64(uncached) / m.prefillTokensPerMs
	program.idealMs += tokens*m.stepTime(1) + m.firstTokenMs + float64(m.inputPerTurn)/m.prefillTokensPerMs + modelPauseMs
	program.history = prompt + int(tokens)
	e.cached[program.id] = program.history
	e.active = append(e.active, &modelTurn{program: program, set: s, target: t, tokensLeft: tokens + m.firstTokenMs/m.stepTime(1)})
}

// stepEngine advances an engine by 1 ms. The turns that arrived first hold its slots.
func (m *modelSite) stepEngine(ms int, e *modelEngine) {
	if e.prefillMs >= 1 {
		e.prefillMs--
		return
	}
	n := min(len(e.active), m.slots)
	if n == 0 {
		return
	}
	generated := 1 / (m.stepTime(n) * e.slowdown)
	for _, t := range e.active[:n] {
		t.tokensLeft -= generated
		if !t.firstTokenSent {
			t.firstTokenSent = true
			t.set.RecordResponse(time.Duration(ms)*time.Millisecond, t.target)
		}
	}
	e.active = slices.DeleteFunc(e.active, func(t *modelTurn) bool {
		if t.tokensLeft <= 0 {
			m.finishTurn(ms, t)
		}
		return t.tokensLeft <= 0
	})
}

// finishTurn releases the target and schedules the next turn, or records the time of the program
// after its last turn.
func (m *modelSite) finishTurn(ms int, t *modelTurn) {
	t.set.Release(t.target)
	program := t.program
	program.turn++
	program.resumeAt = ms + modelPauseMs
	if program.turn < m.turns {
		m.paused = append(m.paused, program)
		return
	}
	took := float64(ms + modelPauseMs - program.startedAt)
	m.deadlineRatios = append(m.deadlineRatios, took/(m.deadlineFactor*program.idealMs+modelSlackMs))
}

// onTimeShare returns the share of the finished programs that met their deadline.
func (m *modelSite) onTimeShare() float64 {
	n := 0
	for _, r := range m.deadlineRatios {
		if r <= 1 {
			n++
		}
	}
	return float64(n) / float64(len(m.deadlineRatios))
}

// Guards against programs missing their deadline in a burst although engines have free slots.
// This happens if gateways always choose the least loaded target by counts that are 0.2 s old,
// as they all choose the same one. The burst lasts 6 s and is run on several kinds of engines.
func TestProgramsOnTimeDuringBurst(t *testing.T) {
	const minOnTimeShare = 0.9 // of the programs finished from the start of the burst; the objective for days with failures
	for _, c := range []struct {
		name         string
		config       modelConfig
		usual, burst float64 // new programs per second
	}{
		{"medium engines", mediumEngines, 110, 190},
		{"small engines, all slots taken", smallEngines, 200, 300},
		{"slow engines", slowEngines, 125, 250},
	} {
		for seed := range uint64(3) {
			m := newModelSite(c.config, seed)
			m.simulate(0, 4000, c.usual)
			m.deadlineRatios = nil
			m.simulate(4000, 10000, c.burst)
			m.simulate(10000, 14000, c.usual)
			t.Logf("%s, seed %d: share on time %.3f", c.name, seed, m.onTimeShare())
			NewWithT(t).Expect(m.onTimeShare()).To(BeNumerically(">=", minOnTimeShare), "%s, seed %d", c.name, seed)
		}
	}
}
