package compare

import (
	"sort"
	"time"

	"github.com/figlb/figlb/structs"
)

// Result holds the measurements of one run.
type Result struct {
	// Latency holds the program latencies of each class.
	Latency map[structs.Class][]time.Duration
	// FirstToken holds the times from the queue to the first token of interactive calls.
	FirstToken []time.Duration
	// Recomputed counts prompt tokens that had been computed before and were computed
	// again; History counts all prompt tokens that had been computed before.
	Recomputed, History int64
	// Service counts the tokens generated for each organisation in the counted time.
	Service map[string]int64
	// OrgLatency holds the program latencies of each organisation.
	OrgLatency map[string][]time.Duration
	// Refused counts refused calls, OrgRefused by organisation.
	Refused    int
	OrgRefused map[string]int
	Unfinished int

	ended map[string]bool
}

func newResult() *Result {
	return &Result{
		Latency:    map[structs.Class][]time.Duration{},
		Service:    map[string]int64{},
		OrgLatency: map[string][]time.Duration{},
		OrgRefused: map[string]int{},
		ended:      map[string]bool{},
	}
}

func (r *Result) program(p *program, latency time.Duration) {
	r.ended[p.id] = true
	r.Latency[p.class] = append(r.Latency[p.class], latency)
	r.OrgLatency[p.org] = append(r.OrgLatency[p.org], latency)
}

func (r *Result) call(c *call, j *job) {
	s := c.run.sim
	if s.now < s.from {
		return
	}
	r.History += j.req.history
	r.Recomputed += max(j.req.history-j.cached, 0)
	if c.run.spec.class == structs.ClassInteractive {
		r.FirstToken = append(r.FirstToken, j.first-c.queued)
	}
	if s.now < s.to {
		r.Service[c.run.spec.org] += j.req.output
	}
}

// all returns the latencies of all classes.
func (r *Result) all() []time.Duration {
	var out []time.Duration
	for _, l := range r.Latency {
		out = append(out, l...)
	}
	return out
}

// quantile returns the q-quantile of values, which it sorts.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
