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
	// The warm-up covers the longest programs: the load is steady after it.
	warmUp   = 900 * time.Second
	arrivals = 2700 * time.Second
	// hardStop ends runs whose queue only grows.
	hardStop = 4500 * time.Second
	// parallelRuns bounds the processors used.
	parallelRuns = 2
	// floodFactor is the factor by which an organisation exceeds its rate.
	floodFactor = 8
	// calibrationSeed is not among the seeds of comparisons.
	calibrationSeed = 1000
)

// Site is the size of a site.
type Site struct {
	Name            string
	Zones, Replicas int
	KVTokens        int64 // of one replica
}

// Sites are the two sites of today.
var Sites = []Site{
	{Name: "ng-south", Zones: 4, Replicas: 15, KVTokens: 200_000},
	{Name: "neng", Zones: 3, Replicas: 10, KVTokens: 200_000},
}

// Contender is a policy under a name.
type Contender struct {
	Name string
	New  func() sched.Policy
}

// Contenders are the policy in use and the baselines.
var Contenders = []Contender{
	{"fair", func() sched.Policy { return sched.NewFair() }},
	{"least-outstanding", func() sched.Policy { return sched.LeastOutstanding{} }},
	{"round-robin", func() sched.Policy { return &sched.RoundRobin{} }},
	{"session-hash", func() sched.Policy { return &sched.SessionHash{} }},
}

// baselines are all contenders but the policy in use; they set the saturating rate.
var baselines = Contenders[1:]

// Select limits the contenders to the named ones.
func Select(names []string) {
	var kept []Contender
	for _, c := range Contenders {
		if slices.Contains(names, c.Name) {
			kept = append(kept, c)
		}
	}
	Contenders = kept
}

// Figures are the measurements of one policy at one load, over all seeds.
type Figures struct {
	Site   string
	Load   float64 // share of the reference rate
	Policy string
	// Seconds of program latency.
	P50, P95, P99 float64
	Classes       map[structs.Class][3]float64 // the same by class
	FirstTokenP95 float64                      // seconds, interactive calls
	// Recomputed is the number of prompt tokens computed again, RecomputedShare its share
	// of all prompt tokens that had been computed before.
	Recomputed      int64
	RecomputedShare float64
	Refused         int
	Unfinished      int
}

// Flood are the measurements of one policy while one organisation sends eight times its
// rate.
type Flood struct {
	Site   string
	Policy string
	// WorstService is the lowest ratio, over the other organisations, of the tokens
	// generated to those that it gets when alone; WorstP95 the highest ratio of the 95th
	// percentile of program latency.
	WorstService, WorstP95 float64
	// Refused counts refusals, RefusedOthers those of organisations within their rate.
	Refused, RefusedOthers int
}

// meanDemand returns the mean engine time of a program.
func meanDemand() time.Duration {
	g := &generator{rnd: rand.New(rand.NewPCG(1, 1))}
	const n = 20000
	var total time.Duration
	for range n {
		total += g.program("o", g.shape()).demand()
	}
	return total / n
}

// rates returns the rates of the organisations in programs a second.
func rates(total float64) []float64 {
	out := make([]float64, len(orgShares))
	for i, share := range orgShares {
		out[i] = share * total
	}
	return out
}

func simulate(site Site, c Contender, rates []float64, seed uint64) *Result {
	g := &generator{rnd: rand.New(rand.NewPCG(seed, 5))}
	programs := g.programs(rates, 0, warmUp, arrivals)
	return newSimulation(site, c.New(), seed, warmUp, arrivals).run(programs, hardStop)
}

// Capacity returns the rate, in programs a second, at which the engines are fully used
// if nothing is computed twice. It depends on no policy.
func Capacity(site Site) float64 { return float64(site.Replicas) / meanDemand().Seconds() }

// Saturation returns the rate, in programs a second, up to which the best baseline keeps
// up.
func Saturation(site Site) float64 {
	best := 0.0
	for _, c := range baselines {
		low, high := 0.0, Capacity(site)
		for range 7 {
			mid := (low + high) / 2
			if keepsUp(simulate(site, c, rates(mid), calibrationSeed)) {
				low = mid
			} else {
				high = mid
			}
		}
		best = max(best, low)
	}
	return best
}

// maxInteractiveP95 is the program latency beyond which a site counts as saturated. An
// interactive program has at most 8 turns and takes about 30 s on an idle site.
const maxInteractiveP95 = 120 * time.Second

func keepsUp(r *Result) bool {
	return quantile(r.Latency[structs.ClassInteractive], 0.95) < maxInteractiveP95
}

// Compare runs all contenders at a share of a reference rate in programs a second.
func Compare(site Site, reference, load float64, seeds []uint64) []Figures {
	out := make([]Figures, len(Contenders))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, c := range Contenders {
		group.Go(func() error {
			merged := newResult()
			for _, seed := range seeds {
				merged.merge(simulate(site, c, rates(load*reference), seed))
			}
			out[i] = merged.figures(site, c, load)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

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

func (r *Result) figures(site Site, c Contender, load float64) Figures {
	f := Figures{
		Site: site.Name, Load: load, Policy: c.Name, Classes: map[structs.Class][3]float64{},
		FirstTokenP95: quantile(r.FirstToken, 0.95).Seconds(), Recomputed: r.Recomputed,
		RecomputedShare: float64(r.Recomputed) / float64(max(r.History, 1)),
		Refused:         r.Refused, Unfinished: r.Unfinished,
	}
	p := quantiles(r.all())
	f.P50, f.P95, f.P99 = p[0], p[1], p[2]
	for class, l := range r.Latency {
		f.Classes[class] = quantiles(l)
	}
	return f
}

func quantiles(l []time.Duration) [3]float64 {
	return [3]float64{quantile(l, 0.5).Seconds(), quantile(l, 0.95).Seconds(), quantile(l, 0.99).Seconds()}
}

// Floods runs all contenders at a share of a reference rate while the largest organisation sends
// eight times its rate.
func Floods(site Site, reference, load float64, seeds []uint64) []Flood {
	out := make([]Flood, len(Contenders))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, c := range Contenders {
		group.Go(func() error {
			out[i] = flood(site, c, rates(load*reference), seeds)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

func flood(site Site, c Contender, base []float64, seeds []uint64) Flood {
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

func simulateSeeds(site Site, c Contender, rates []float64, seeds []uint64) *Result {
	merged := newResult()
	for _, seed := range seeds {
		merged.merge(simulateEach(site, c, rates, seed))
	}
	return merged
}

// simulateEach is simulate with a generator for each organisation, so that an
// organisation has the same programs whatever the others send.
func simulateEach(site Site, c Contender, rates []float64, seed uint64) *Result {
	var programs []*program
	for i, rate := range rates {
		g := &generator{rnd: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
		one := make([]float64, len(rates))
		one[i] = rate
		programs = append(programs, g.programs(one, 0, warmUp, arrivals)...)
	}
	return newSimulation(site, c.New(), seed, warmUp, arrivals).run(programs, arrivals)
}
