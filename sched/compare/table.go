package compare

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/figlb/figlb/structs"
)

// Report holds the results of a comparison.
type Report struct {
	Seeds []uint64
	// Reference is the rate that counts as 100% load, in programs a second, by site.
	Reference map[string]float64
	Figures   []Figures
	Floods    []Flood
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// WriteTable writes the report as text tables. Times are in seconds.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for site, rate := range r.Reference {
		_, _ = fmt.Fprintf(t, "%s: 100%% is %.2f programs a second\n", site, rate)
	}
	_, _ = fmt.Fprintln(t, "site\tload\tpolicy\tp50\tp95\tp99\tinteractive p50/p95/p99\tlookup p50/p95/p99\tbatch p50/p95/p99\tTTFT p95\trecomputed\tshare\trefused\tunfinished")
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(t, "%s\t%.0f%%\t%s\t%.1f\t%.1f\t%.1f\t%s\t%s\t%s\t%.2f\t%d\t%.3f\t%d\t%d\n",
			f.Site, 100*f.Load, f.Policy, f.P50, f.P95, f.P99, f.class(structs.ClassInteractive),
			f.class(structs.ClassLookup), f.class(structs.ClassBatch), f.FirstTokenP95, f.Recomputed, f.RecomputedShare,
			f.Refused, f.Unfinished)
	}
	_, _ = fmt.Fprintln(t, "\nsite\tpolicy\tworst service under 8x\tworst p95 ratio under 8x\trefused\tof others")
	for _, f := range r.Floods {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%.2f\t%d\t%d\n", f.Site, f.Policy, f.WorstService, f.WorstP95, f.Refused, f.RefusedOthers)
	}
	return t.Flush()
}

// class formats the latency quantiles of a class.
func (f *Figures) class(c structs.Class) string {
	p := f.Classes[c]
	return fmt.Sprintf("%.1f/%.1f/%.1f", p[0], p[1], p[2])
}
