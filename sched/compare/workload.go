package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/structs"
)

// program is a sequence of dependent turns, of an agent or one of its sub-agents.
type program struct {
	id              string
	org             string
	class           structs.Class
	service         string
	arrival         time.Duration
	firstPrompt     int64 // tokens after the system prompt or inherited history
	inheritsHistory bool  // for a sub-agent that starts from its parent's history
	turns           []turn
	counted         bool // the program's latency is measured
	parent          *program
	deadline        time.Duration // from the start; 0: none
}

// turn is one call of a program, together with the sub-agents and the tool pause that
// follow it.
type turn struct {
	outputTokens int64
	addedTokens  int64         // prompt tokens that the tools add before the next turn
	pause        time.Duration // of the tools, before the next turn
	children     []*program
}

// turnRequest is a call in the form in which it is sent to an engine.
type turnRequest struct {
	program       string
	promptTokens  int64
	outputTokens  int64
	prefix        []uint64
	prefixTokens  []int64
	historyTokens int64 // tokens of the prompt that have been computed before
}

// classProfile describes the distribution of the programs of a class.
type classProfile struct {
	class                     structs.Class
	share                     float64 // fraction of all programs
	minTurns, maxTurns        int
	promptTokens, addedTokens float64 // mean tokens
	outputTokens              float64 // mean tokens
	pause                     time.Duration
	spawnProbability          float64 // probability that a turn starts sub-agents
	deadline                  time.Duration
}

var classProfiles = []classProfile{
	{structs.ClassInteractive, 0.5, 2, 8, 1500, 500, 150, 1500 * time.Millisecond, 0.05, 0},
	{structs.ClassLookup, 0.3, 1, 2, 600, 200, 50, 500 * time.Millisecond, 0, 0},
	{structs.ClassBatch, 0.2, 6, 24, 3000, 900, 300, 4 * time.Second, 0.1, 20 * time.Minute},
}

// orgShares holds the fractions of the load that the eight organisations send. A few of
// them are large.
var orgShares = []float64{0.30, 0.24, 0.16, 0.08, 0.08, 0.06, 0.04, 0.04}

const (
	systemTokens     = 600 // system prompt that the programs of a service share
	maxContextTokens = 100_000
	maxChildTurns    = 4
	maxChildren      = 3
	// tokensSigma is the sigma parameter of the log-normal distribution of token counts.
	tokensSigma = 0.7
)

// generator generates random programs.
type generator struct {
	rnd *rand.Rand
	n   int
}

// programs returns the programs that arrive between from and end. rates holds the rates of
// the organisations in programs a second. Programs that arrive at counted or later are
// marked as counted.
func (g *generator) programs(rates []float64, from, counted, end time.Duration) []*program {
	var out []*program
	for i, rate := range rates {
		at := from
		for rate > 0 {
			at += time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			p := g.program(orgName(i), g.classProfile())
			p.arrival = at
			p.counted = at >= counted
			out = append(out, p)
		}
	}
	return out
}

func orgName(i int) string { return fmt.Sprintf("org%d", i) }

// classProfile draws a class according to the classes' shares.
func (g *generator) classProfile() classProfile {
	x := g.rnd.Float64()
	for _, s := range classProfiles {
		if x < s.share {
			return s
		}
		x -= s.share
	}
	return classProfiles[0]
}

// program generates a program of an organisation, with its sub-agents.
func (g *generator) program(org string, s classProfile) *program {
	g.n++
	p := &program{
		id: fmt.Sprintf("%s-%d", org, g.n), org: org, class: s.class,
		service: string(s.class), firstPrompt: g.tokens(s.promptTokens), deadline: s.deadline,
	}
	n := s.minTurns + g.rnd.IntN(s.maxTurns-s.minTurns+1)
	for range n {
		t := turn{outputTokens: g.tokens(s.outputTokens), addedTokens: g.tokens(s.addedTokens), pause: g.pause(s.pause)}
		if g.rnd.Float64() < s.spawnProbability {
			t.children = g.children(p, s)
		}
		p.turns = append(p.turns, t)
	}
	return p
}

// children generates the sub-agents of one turn.
func (g *generator) children(parent *program, s classProfile) []*program {
	child := s
	child.minTurns, child.maxTurns, child.spawnProbability = 1, maxChildTurns, 0
	var out []*program
	for range 1 + g.rnd.IntN(maxChildren) {
		c := g.program(parent.org, child)
		c.parent = parent
		c.inheritsHistory = g.rnd.IntN(2) == 0
		out = append(out, c)
	}
	return out
}

// tokens draws a number of tokens, at least 8, from a log-normal distribution with the given
// mean.
func (g *generator) tokens(mean float64) int64 {
	mu := math.Log(mean) - tokensSigma*tokensSigma/2
	return max(int64(math.Exp(mu+tokensSigma*g.rnd.NormFloat64())), 8)
}

// pause draws a duration from an exponential distribution with the given mean.
func (g *generator) pause(mean time.Duration) time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(mean))
}

// engineDemand returns the engine time that a program and its sub-agents need with full
// batches if no prompt token is computed twice.
func (p *program) engineDemand() time.Duration {
	fullStep := baseStepTime + engineSlots*stepTimePerSequence
	perToken := fullStep / engineSlots
	total := time.Duration(p.firstPrompt) * prefillTimePerToken
	for _, t := range p.turns {
		total += time.Duration(t.outputTokens)*perToken + time.Duration(t.addedTokens)*prefillTimePerToken
		for _, c := range t.children {
			total += c.engineDemand()
		}
	}
	return total
}

// prefixHash returns the hash that stands for the prompt prefix of a turn.
func prefixHash(id string, turn int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", id, turn))
}
