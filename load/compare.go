package load

import (
	"fmt"
	"io"
	"maps"
)

// Compare prints two results side by side, with the second as a multiple of the first.
// Quantiles are in milliseconds.
func Compare(out io.Writer, nameA, nameB string, a, b *Result) {
	rowsA, rowsB := a.metrics(), b.metrics()
	keys := maps.Clone(rowsA)
	maps.Copy(keys, rowsB)
	w := newTable(out)
	fmt.Fprintf(w, "figure\t%s\t%s\tratio\n", nameA, nameB)
	for _, k := range sortedKeys(keys) {
		ratio := "-"
		if rowsA[k] != 0 {
			ratio = fmt.Sprintf("%.3f", rowsB[k]/rowsA[k])
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\n", k, rowsA[k], rowsB[k], ratio)
	}
	_ = w.Flush()
}

// metrics returns the compared figures by name.
func (r *Result) metrics() map[string]float64 {
	out := map[string]float64{"answers/s": r.perSecond(func(s Second) int { return s.Answers })}
	out["tokens/s"] = r.perSecond(func(s Second) int { return s.Tokens })
	for name, c := range r.Classes {
		addQuantiles(out, name+" latency", c.Latency)
		addQuantiles(out, name+" ttft", c.TTFT)
		addQuantiles(out, name+" gap", c.Gap)
		out[name+" failed"] = float64(c.Failed)
	}
	for name, o := range r.Orgs {
		out[name+" latency p95"] = o.Latency.P95
		out[name+" refused within rate"] = float64(o.RefusedWithinRate)
	}
	for name, n := range r.Violations {
		out["violation "+name] = float64(n)
	}
	return out
}

func addQuantiles(out map[string]float64, name string, q Quantiles) {
	if q.Count == 0 {
		return
	}
	out[name+" p50"] = q.P50
	out[name+" p95"] = q.P95
	out[name+" p99"] = q.P99
}

// perSecond returns the mean rate of a count over the run.
func (r *Result) perSecond(count func(Second) int) float64 {
	sum := 0
	for _, s := range r.Seconds {
		sum += count(s)
	}
	return float64(sum) / r.ElapsedS
}
