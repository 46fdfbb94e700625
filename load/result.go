package load

import (
	"encoding/json"
	"os"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Result holds the results that the callers of a run observed. Times are in milliseconds
// unless a name ends in S.
type Result struct {
	Seed     int64   `json:"seed"`
	Direct   bool    `json:"direct"`
	ElapsedS float64 `json:"elapsed_s"`
	// Classes has a row per service class, Orgs one per organisation.
	Classes map[string]ClassRow `json:"classes"`
	Orgs    map[string]OrgRow   `json:"organisations"`
	// Errors counts failed attempts by error code. GaveUp counts requests that were never
	// answered by the error code of their last attempt.
	Errors map[string]int `json:"errors"`
	GaveUp map[string]int `json:"gave_up"`
	// Orders counts orders by the state that their caller knows. Its key "executed" counts
	// the executions, if these are known.
	Orders  map[string]int `json:"orders"`
	Seconds []Second       `json:"seconds"`
	// Violations counts violations of figlb's guarantees by kind. Examples describes the
	// first of them.
	Violations map[string]int `json:"violations"`
	Examples   []string       `json:"examples,omitempty"`
}

// ClassRow summarises the programs of one service class.
type ClassRow struct {
	Programs int       `json:"programs"`
	Failed   int       `json:"failed"`
	Latency  Quantiles `json:"latency_ms"` // of whole programs
	TTFT     Quantiles `json:"ttft_ms"`    // of streamed answers, since the first attempt
	Gap      Quantiles `json:"gap_ms"`     // between events with tokens
}

// OrgRow summarises the service that an organisation got.
type OrgRow struct {
	Programs       int `json:"programs"`
	FailedPrograms int `json:"failed_programs"`
	// Offered and Admitted count requests, however often they are retried. Refused and
	// RefusedWithinRate count refused attempts.
	Offered           int       `json:"offered"`
	Admitted          int       `json:"admitted"`
	Refused           int       `json:"refused"`
	RefusedWithinRate int       `json:"refused_within_rate"`
	GaveUp            int       `json:"gave_up"`
	Tokens            int       `json:"tokens"`
	Latency           Quantiles `json:"latency_ms"`
}

// Second counts the answers, answer tokens and failed attempts of one second of the run.
type Second struct {
	Answers int `json:"answers"`
	Tokens  int `json:"tokens"`
	Errors  int `json:"errors"`
}

// Quantiles summarises a histogram.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

const microsPerMilli = 1000.0

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / microsPerMilli }
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / microsPerMilli,
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

func newResult(cfg Config) *Result {
	return &Result{
		Seed:       cfg.Seed,
		Direct:     cfg.Direct,
		Classes:    map[string]ClassRow{},
		Orgs:       map[string]OrgRow{},
		Errors:     map[string]int{},
		GaveUp:     map[string]int{},
		Orders:     map[string]int{},
		Violations: map[string]int{},
	}
}

// OK reports whether the run saw no violation.
func (r *Result) OK() bool { return len(r.Violations) == 0 }

// WriteFile writes the result as JSON.
func (r *Result) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write result")
}

// ReadResult reads a result written by WriteFile.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "result file %s", path)
	}
	return &r, nil
}
