// Command moves compares ways to choose a target by key: how many keys move when targets come and go, and
// how well the shares of the targets follow their sizes. It prints a table for docs/design/few-moves.md.
//
// Requests of each key arrive every half second, for four seconds, at a random gateway or mostly at that of
// its first request. The gateways see a change
// of the targets at different moments of the first second. A request that is sent to a target which is gone
// goes on to the next one of the same gateway.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const (
	turns          = 8 // requests of each key after the change
	turnsPerSecond = 2
	maxKeys        = 20000
	keysPerTarget  = 200
	// changedPart is the part of the targets that a change affects, at least one target.
	changedPart = 16
)

// fleets are the numbers of gateways, and the share of the requests of a key that come to the gateway of
// its first request.
var fleets = []struct {
	gateways  int
	homeShare float64
}{{1, 1}, {370, 0}, {370, 0.8}}

// change is a change of the targets.
type change struct {
	name           string
	added, removed bool
}

var changes = []change{{"none", false, false}, {"add", true, false}, {"remove", false, true}, {"replace", true, true}}

// target is a target with its size: 16, 16 and 12 in turn, as 16 slots at speeds of 1, 1 and 1.3.
type target struct {
	id     int
	weight float64
}

func newTarget(id int) target {
	weight := 16.0
	if id%3 == 2 {
		weight = 12
	}
	return target{id: id, weight: weight}
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	flag.Parse()
	if err := run(*seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "targets\tgateways\tat home\tchange\tmethod\tleast\tkeys moved\tmoves per key\tlargest share\tsmallest share")
	for _, targets := range []int{6, 44, 177, 2800} {
		for _, f := range fleets {
			for _, c := range changes {
				for _, m := range methods() {
					r := simulate(m, targets, f.gateways, f.homeShare, c, rand.New(rand.NewPCG(seed, uint64(targets))))
					fmt.Fprintf(w, "%d\t%d\t%.1f\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.2f\t%.2f\n", targets, f.gateways, f.homeShare, c.name, m.name, r.least, r.moved, r.moves, r.largest, r.smallest)
				}
			}
		}
	}
	return errors.Wrap(w.Flush(), "write the table")
}

// result is the outcome of a simulation.
type result struct {
	least        float64 // share of the keys whose target is gone
	moved, moves float64 // share of the keys that have moved, and moves per key
	// largest and smallest are the numbers of keys at a target at the end, as multiples of what its size
	// gives. For few keys per target they differ by chance.
	largest, smallest float64
}

// simulate runs one change.
func simulate(m method, targets, gateways int, homeShare float64, c change, rng *rand.Rand) result {
	n := max(targets/changedPart, 1)
	before, after := make([]target, targets), []target{}
	gone := map[int]bool{}
	for i := range before {
		before[i] = newTarget(i)
		if c.removed && i < n {
			gone[i] = true
			continue
		}
		after = append(after, before[i])
	}
	for i := range n {
		if c.added {
			after = append(after, newTarget(targets+i))
		}
	}
	s := &simulation{m: m, before: newView(before), after: newView(after), gone: gone, seen: make([]float64, gateways), memory: make([]map[int]int, gateways), homeShare: homeShare, rng: rng}
	for i := range s.seen {
		s.seen[i] = rng.Float64()
		s.memory[i] = map[int]int{}
	}
	return s.run(min(targets*keysPerTarget, maxKeys))
}

type simulation struct {
	m             method
	before, after *view
	gone          map[int]bool
	seen          []float64     // when each gateway sees the change, in seconds
	memory        []map[int]int // by gateway: the target of a key, for methods that remember it
	homeShare     float64
	rng           *rand.Rand
}

func (s *simulation) run(keys int) result {
	var r result
	at, home, last := make([]int, keys), make([]int, keys), make([]int, keys)
	counts := map[int]int{}
	for k := range at {
		home[k] = s.rng.IntN(len(s.seen))
		at[k] = s.choose(s.before, request{gateway: home[k], key: k, counts: counts, keys: keys, at: -1}, nil)
		counts[at[k]]++
		last[k] = home[k]
		if s.gone[at[k]] {
			r.least += 1 / float64(keys)
		}
	}
	moved := make([]bool, keys)
	for turn := range turns {
		for k := range at {
			seconds := (float64(turn) + float64(k)/float64(keys)) / turnsPerSecond
			gateway := home[k]
			if s.rng.Float64() >= s.homeShare {
				gateway = s.rng.IntN(len(s.seen))
			}
			v := s.after
			if seconds < s.seen[gateway] {
				v = s.before
			}
			req := request{gateway: gateway, key: k, counts: counts, keys: keys, at: at[k], last: last[k]}
			last[k] = gateway
			to := s.choose(v, req, nil)
			if s.gone[to] {
				to = s.choose(v, req, s.gone)
			}
			if to != at[k] {
				counts[at[k]]--
				counts[to]++
				at[k], moved[k] = to, true
				r.moves += 1 / float64(keys)
			}
		}
	}
	for _, m := range moved {
		if m {
			r.moved += 1 / float64(keys)
		}
	}
	r.smallest = 1e9
	for _, t := range s.after.targets {
		ratio := float64(counts[t.id]) / (float64(keys) * t.weight / s.after.weight)
		r.largest, r.smallest = max(r.largest, ratio), min(r.smallest, ratio)
	}
	return r
}

// choose returns the target of a request. excluded targets have failed it.
func (s *simulation) choose(v *view, r request, excluded map[int]bool) int {
	r.excluded = excluded
	if s.m.remembers && (!s.m.checked || r.gateway == r.last) {
		if t, ok := s.memory[r.gateway][r.key]; ok && v.ids[t] && !excluded[t] {
			return t
		}
	}
	t := s.m.place(v, &r)
	if s.m.remembers {
		s.memory[r.gateway][r.key] = t
	}
	return t
}
