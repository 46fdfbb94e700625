package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/figlb/figlb/internal/testsite"
)

// reportSpans prints the duration of each hop, taken from the spans that entries and members
// have written to standard output.
func reportSpans(s *site) {
	for role, ps := range map[string][]*testsite.Process{"entry": s.Entries, "member": s.Members} {
		hops := map[string]*sample{}
		for _, p := range ps {
			_ = p.Stop(callTimeout) // flushes the spans
			collectSpans(p.Stdout(), hops)
		}
		var names []string
		for n := range hops {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			h := hops[n]
			fmt.Printf("span at %s %-45s p50 %7.3f p95 %7.3f ms, n=%d\n", role, n, h.quantile(.5), h.quantile(.95), h.count())
		}
	}
}

func collectSpans(text string, hops map[string]*sample) {
	dec := json.NewDecoder(strings.NewReader(text))
	for {
		var span struct {
			Name               string
			SpanKind           int
			StartTime, EndTime time.Time
		}
		if dec.Decode(&span) != nil {
			return
		}
		name := fmt.Sprintf("%s kind=%d", span.Name, span.SpanKind)
		if hops[name] == nil {
			hops[name] = &sample{}
		}
		hops[name].add(span.EndTime.Sub(span.StartTime), nil)
	}
}
