package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/structs"
)

// program is a chain of turns.
type program struct {
	id       string
	org      string
	class    structs.Class
	service  string
	arrival  time.Duration
	first    int64 // tokens of the first prompt beyond the inherited prefix
	forks    bool  // a sub-agent that starts from its parent's history
	turns    []turn
	counted  bool
	parent   *program
	deadline time.Duration
}

// turn is one call of a program and what follows it.
type turn struct {
	output   int64
	added    int64 // prompt tokens that the tools add before the next turn
	pause    time.Duration
	children []*program
}

// turnRequest is a call as it is sent to an engine.
type turnRequest struct {
	program      string
	prompt       int64
	output       int64
	prefix       []uint64
	prefixTokens []int64
	history      int64 // tokens of the prompt that have been computed before
}

// shape describes the programs of a class.
type shape struct {
	class              structs.Class
	share              float64 // of programs
	minTurns, maxTurns int
	prompt, added      float64 // mean tokens
	output             float64 // mean tokens
	pause              time.Duration
	spawn              float64 // probability that a turn starts sub-agents
	deadline           time.Duration
}

var shapes = []shape{
	{structs.ClassInteractive, 0.5, 2, 8, 1500, 500, 150, 1500 * time.Millisecond, 0.05, 0},
	{structs.ClassLookup, 0.3, 1, 2, 600, 200, 50, 500 * time.Millisecond, 0, 0},
	{structs.ClassBatch, 0.2, 6, 24, 3000, 900, 300, 4 * time.Second, 0.1, 20 * time.Minute},
}

// orgShares are the shares of the load of the eight organisations, a few of them large.
var orgShares = []float64{0.30, 0.24, 0.16, 0.08, 0.08, 0.06, 0.04, 0.04}

const (
	systemTokens = 600 // system prompt that the programs of a service share
	maxContext   = 100_000
	childTurns   = 4
	maxChildren  = 3
	// tokensShape is the shape parameter of the log-normal sizes.
	tokensShape = 0.7
)

// generator draws programs.
type generator struct {
	rnd *rand.Rand
	n   int
}

// programs returns the programs that arrive until end. rates are in programs a second
// by organisation.
func (g *generator) programs(rates []float64, from, counted, end time.Duration) []*program {
	var out []*program
	for i, rate := range rates {
		at := from
		for rate > 0 {
			at += time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			p := g.program(orgName(i), g.shape())
			p.arrival = at
			p.counted = at >= counted
			out = append(out, p)
		}
	}
	return out
}

func orgName(i int) string { return fmt.Sprintf("org%d", i) }

func (g *generator) shape() shape {
	x := g.rnd.Float64()
	for _, s := range shapes {
		if x < s.share {
			return s
		}
		x -= s.share
	}
	return shapes[0]
}

func (g *generator) program(org string, s shape) *program {
	g.n++
	p := &program{
		id: fmt.Sprintf("%s-%d", org, g.n), org: org, class: s.class,
		service: string(s.class), first: g.tokens(s.prompt), deadline: s.deadline,
	}
	n := s.minTurns + g.rnd.IntN(s.maxTurns-s.minTurns+1)
	for range n {
		t := turn{output: g.tokens(s.output), added: g.tokens(s.added), pause: g.pause(s.pause)}
		if g.rnd.Float64() < s.spawn {
			t.children = g.children(p, s)
		}
		p.turns = append(p.turns, t)
	}
	return p
}

func (g *generator) children(parent *program, s shape) []*program {
	child := s
	child.minTurns, child.maxTurns, child.spawn = 1, childTurns, 0
	var out []*program
	for range 1 + g.rnd.IntN(maxChildren) {
		c := g.program(parent.org, child)
		c.parent = parent
		c.forks = g.rnd.IntN(2) == 0
		out = append(out, c)
	}
	return out
}

// tokens draws a log-normal size with the given mean.
func (g *generator) tokens(mean float64) int64 {
	mu := math.Log(mean) - tokensShape*tokensShape/2
	return max(int64(math.Exp(mu+tokensShape*g.rnd.NormFloat64())), 8)
}

func (g *generator) pause(mean time.Duration) time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(mean))
}

// demand returns the engine time of a program at full batch if none of its history is
// computed twice.
func (p *program) demand() time.Duration {
	fullStep := stepBase + engineSlots*stepPerSeq
	perToken := fullStep / engineSlots
	total := time.Duration(p.first) * prefillToken
	for _, t := range p.turns {
		total += time.Duration(t.output)*perToken + time.Duration(t.added)*prefillToken
		for _, c := range t.children {
			total += c.demand()
		}
	}
	return total
}

func prefixHash(id string, turn int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", id, turn))
}
