package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}

// WriteTable writes the result as human-readable tables.
func (r *Result) WriteTable(out io.Writer) {
	w := newTable(out)
	fmt.Fprintln(w, "class\tprograms\tfailed\tmeasure (ms)\tcount\tmean\tp50\tp90\tp95\tp99\tmax")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		head := fmt.Sprintf("%s\t%d\t%d", name, c.Programs, c.Failed)
		writeQuantiles(w, head, "program latency", c.Latency)
		writeQuantiles(w, "\t\t", "time to first token", c.TTFT)
		writeQuantiles(w, "\t\t", "gap between tokens", c.Gap)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "organisation\tprograms\tfailed\toffered\tadmitted\trefused\twithin rate\tgave up\ttokens\tp95 latency (ms)")
	for _, name := range sortedKeys(r.Orgs) {
		o := r.Orgs[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", name, o.Programs, o.FailedPrograms,
			o.Offered, o.Admitted, o.Refused, o.RefusedWithinRate, o.GaveUp, o.Tokens, o.Latency.P95)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	for _, row := range r.counters() {
		fmt.Fprintf(w, "%s\t%s\n", row[0], row[1])
	}
	_ = w.Flush()
	for _, e := range r.Examples {
		fmt.Fprintln(out, "  ", e)
	}
}

func writeQuantiles(w io.Writer, head, name string, q Quantiles) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", head, name, q.Count, q.Mean, q.P50, q.P90, q.P95, q.P99, q.Max)
}

// counters returns the names and values of the figures of the whole run.
func (r *Result) counters() [][2]string {
	return [][2]string{
		{"elapsed (s)", fmt.Sprintf("%.1f", r.ElapsedS)},
		{"answers/s", fmt.Sprintf("%.1f", r.perSecond(func(s Second) int { return s.Answers }))},
		{"tokens/s", fmt.Sprintf("%.1f", r.perSecond(func(s Second) int { return s.Tokens }))},
		{"errors", formatCounts(r.Errors)},
		{"gave up", formatCounts(r.GaveUp)},
		{"orders", formatCounts(r.Orders)},
		{"violations", formatCounts(r.Violations)},
	}
}

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}
