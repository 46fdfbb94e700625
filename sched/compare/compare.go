package compare

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

const (
	// warmUpTime is the simulated time before measurement starts. It covers the longest
	// programs, so that the load is steady afterwards.
	warmUpTime = 900 * time.Second
	// arrivalsEnd is the simulated time after which no program arrives.
	arrivalsEnd = 2700 * time.Second
	// maxRunTime is the simulated time at which a run ends even if programs are unfinished.
	// It stops runs whose queue keeps growing.
	maxRunTime = 4500 * time.Second
	// parallelRuns is the number of policies that are simulated in parallel. It limits the
	// CPUs used.
	parallelRuns = 2
	// floodFactor is the factor by which the largest organisation's rate is multiplied in
	// a flood.
	floodFactor = 8
	// calibrationSeed is the seed of the runs that find the saturating rate. Comparisons
	// do not use it.
	calibrationSeed = 1000
)

// Site describes the size of a site. Zones is the number of availability zones and
// Replicas the number of engines.
type Site struct {
	Name            string
	Zones, Replicas int
	KVTokens        int64 // KV cache of one engine, in tokens
}

// Sites holds the two existing sites.
var Sites = []Site{
	{Name: "ng-south", Zones: 4, Replicas: 15, KVTokens: 200_000},
	{Name: "neng", Zones: 3, Replicas: 10, KVTokens: 200_000},
}

// Contender is a named policy in a comparison.
type Contender struct {
	Name string
	New  func() sched.Policy
}

// Contenders holds the policy in use, which comes first, and the baselines.
var Contenders = []Contender{
	{"fair", func() sched.Policy { return sched.NewFair() }},
	{"least-outstanding", func() sched.Policy { return sched.LeastOutstanding{} }},
	{"round-robin", func() sched.Policy { return &sched.RoundRobin{} }},
	{"session-hash", func() sched.Policy { return &sched.SessionHash{} }},
}

// baselines holds all contenders except the policy in use. The best of them determines the
// saturating rate.
var baselines = Contenders[1:]

// SelectContenders limits Contenders to those with the given names. It does not change the baselines
// that Saturation uses.
func SelectContenders(names []string) {
	var kept []Contender
	for _, c := range Contenders {
		if slices.Contains(names, c.Name) {
			kept = append(kept, c)
		}
	}
	Contenders = kept
}

// Figures holds the results of one policy at one load over all seeds.
type Figures struct {
	Site   string
	Load   float64 // fraction of the reference rate
	Policy string
	// Quantiles of program latency, in seconds.
	P50, P95, P99 float64
	Classes       map[structs.Class][3]float64 // the same quantiles by class
	FirstTokenP95 float64                      // time to the first token of interactive calls, in seconds
	// Recomputed is the number of prompt tokens that were computed again. RecomputedShare
	// is its fraction of all prompt tokens that had been computed before.
	Recomputed      int64
	RecomputedShare float64
	Refused         int // refusals of calls; a call counts each time it is refused
	Unfinished      int // programs that had not ended when the run did
}

// Flood holds the results of one policy over all seeds while the largest organisation sends
// at floodFactor times its rate.
type Flood struct {
	Site   string
	Policy string
	// WorstService and WorstP95 compare each other organisation's results with those of
	// a run in which it is alone. WorstService is the lowest ratio of generated tokens, at
	// most 1. WorstP95 is the highest ratio of the 95th percentile of program latency.
	WorstService, WorstP95 float64
	// Refused counts all refusals of calls, RefusedOthers those of the organisations that
	// keep to their rates.
	Refused, RefusedOthers int
}

// meanDemand returns the mean engine time that a program needs, from a sample of generated
// programs.
func meanDemand() time.Duration {
	g := &generator{rnd: rand.New(rand.NewPCG(1, 1))}
	const n = 20000
	var total time.Duration
	for range n {
		total += g.program("o", g.classProfile()).engineDemand()
	}
	return total / n
}

// orgRates divides a total rate between the organisations. Rates are in programs a second.
func orgRates(total float64) []float64 {
	out := make([]float64, len(orgShares))
	for i, share := range orgShares {
		out[i] = share * total
	}
	return out
}

// simulate runs a policy on a site and returns the measurements.
func simulate(site Site, c Contender, rates []float64, seed uint64) *Result {
	g := &generator{rnd: rand.New(rand.NewPCG(seed, 5))}
	programs := g.programs(rates, 0, warmUpTime, arrivalsEnd)
	return newSimulation(site, c.New(), seed, warmUpTime, arrivalsEnd).run(programs, maxRunTime)
}

// Capacity returns the rate, in programs a second, at which the engines are fully used if
// nothing is computed twice. It does not depend on a policy.
func Capacity(site Site) float64 { return float64(site.Replicas) / meanDemand().Seconds() }

// Saturation returns the highest rate, in programs a second, at which the best baseline
// keeps the latency within maxInteractiveP95. It searches by bisection.
func Saturation(site Site) float64 {
	best := 0.0
	for _, c := range baselines {
		low, high := 0.0, Capacity(site)
		for range 7 {
			mid := (low + high) / 2
			if keepsUp(simulate(site, c, orgRates(mid), calibrationSeed)) {
				low = mid
			} else {
				high = mid
			}
		}
		best = max(best, low)
	}
	return best
}

// maxInteractiveP95 is the 95th percentile of the latency of interactive programs from which
// a site counts as saturated. An interactive program has at most 8 turns and takes about
// 30 s on an idle site.
const maxInteractiveP95 = 120 * time.Second

// keepsUp reports whether the site was not saturated in a run.
func keepsUp(r *Result) bool {
	return quantile(r.Latency[structs.ClassInteractive], 0.95) < maxInteractiveP95
}

// Compare runs all contenders at a fraction, load, of a reference rate in programs a second.
func Compare(site Site, reference, load float64, seeds []uint64) []Figures {
	out := make([]Figures, len(Contenders))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, c := range Contenders {
		group.Go(func() error {
			merged := newResult()
			for _, seed := range seeds {
				merged.merge(simulate(site, c, orgRates(load*reference), seed))
			}
			out[i] = merged.figures(site, c, load)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// merge adds the measurements of another run.
func (r *Result) merge(o *Result) {
	for class, l := range o.Latency {
		r.Latency[class] = append(r.Latency[class], l...)
	}
	for org, l := range o.OrgLatency {
		r.OrgLatency[org] = append(r.OrgLatency[org], l...)
	}
	for org, n := range o.Service {
		r.Service[org] += n
	}
	for org, n := range o.OrgRefused {
		r.OrgRefused[org] += n
	}
	r.FirstToken = append(r.FirstToken, o.FirstToken...)
	r.Recomputed += o.Recomputed
	r.History += o.History
	r.Refused += o.Refused
	r.Unfinished += o.Unfinished
}

// figures summarises the merged measurements of a policy.
func (r *Result) figures(site Site, c Contender, load float64) Figures {
	f := Figures{
		Site: site.Name, Load: load, Policy: c.Name, Classes: map[structs.Class][3]float64{},
		FirstTokenP95: quantile(r.FirstToken, 0.95).Seconds(), Recomputed: r.Recomputed,
		RecomputedShare: float64(r.Recomputed) / float64(max(r.History, 1)),
		Refused:         r.Refused, Unfinished: r.Unfinished,
	}
	p := quantiles(r.allLatencies())
	f.P50, f.P95, f.P99 = p[0], p[1], p[2]
	for class, l := range r.Latency {
		f.Classes[class] = quantiles(l)
	}
	return f
}

// quantiles returns the 50th, 95th and 99th percentile in seconds.
func quantiles(l []time.Duration) [3]float64 {
	return [3]float64{quantile(l, 0.5).Seconds(), quantile(l, 0.95).Seconds(), quantile(l, 0.99).Seconds()}
}

// CompareFloods runs all contenders at a fraction, load, of a reference rate in programs a second,
// while the largest organisation sends at floodFactor times its rate.
func CompareFloods(site Site, reference, load float64, seeds []uint64) []Flood {
	out := make([]Flood, len(Contenders))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, c := range Contenders {
		group.Go(func() error {
			out[i] = measureFlood(site, c, orgRates(load*reference), seeds)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// measureFlood compares a run in which the first organisation floods the site with one run
// for each other organisation alone. base holds the organisations' rates without the flood.
func measureFlood(site Site, c Contender, base []float64, seeds []uint64) Flood {
	flooded := append([]float64{}, base...)
	flooded[0] *= floodFactor
	together := simulateSeeds(site, c, flooded, seeds)
	f := Flood{Site: site.Name, Policy: c.Name, WorstService: 1, Refused: together.Refused}
	f.RefusedOthers = together.Refused - together.OrgRefused[orgName(0)]
	for i := 1; i < len(base); i++ {
		alone := make([]float64, len(base))
		alone[i] = base[i]
		r := simulateSeeds(site, c, alone, seeds)
		org := orgName(i)
		f.WorstService = min(f.WorstService, float64(together.Service[org])/float64(r.Service[org]))
		p95 := float64(quantile(together.OrgLatency[org], 0.95)) / float64(quantile(r.OrgLatency[org], 0.95))
		f.WorstP95 = max(f.WorstP95, p95)
	}
	return f
}

// simulateSeeds merges the results of simulatePerOrg for all seeds.
func simulateSeeds(site Site, c Contender, rates []float64, seeds []uint64) *Result {
	merged := newResult()
	for _, seed := range seeds {
		merged.merge(simulatePerOrg(site, c, rates, seed))
	}
	return merged
}

// simulatePerOrg is like simulate but has a generator for each organisation, so that an
// organisation has the same programs whatever the others send. It ends the run at
// arrivalsEnd and does not wait for unfinished programs.
func simulatePerOrg(site Site, c Contender, rates []float64, seed uint64) *Result {
	var programs []*program
	for i, rate := range rates {
		g := &generator{rnd: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
		one := make([]float64, len(rates))
		one[i] = rate
		programs = append(programs, g.programs(one, 0, warmUpTime, arrivalsEnd)...)
	}
	return newSimulation(site, c.New(), seed, warmUpTime, arrivalsEnd).run(programs, arrivalsEnd)
}
