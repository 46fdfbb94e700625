package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kinds of violations of what figlb promises.
const (
	lostAnswer         = "lost_answer"
	mixedAnswer        = "mixed_answer"
	cutAnswer          = "cut_answer"
	lostHistory        = "lost_history"
	duplicateExecution = "duplicate_execution"
	wrongNotRun        = "wrong_not_run"
	lostOrder          = "lost_order"
	overAdmission      = "over_admission"
)

const (
	maxExamples = 20
	// Histograms hold microseconds.
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	// rateSlack is the time by which the order of arrival at the entries may differ from
	// the order of sending. A refusal counts as wrongful only if the organisation was
	// within its rate by that margin.
	rateSlack = 50 * time.Millisecond
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

type classData struct {
	programs, failed   int
	latency, ttft, gap *hdrhistogram.Histogram
}

type orgData struct {
	row     OrgRow
	latency *hdrhistogram.Histogram
	// tokens is the reference bucket, filled up to burst and last refilled at filled.
	rate, burst, tokens float64
	filled              time.Time
}

// recorder collects what callers see.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	res     *Result
	classes map[string]*classData
	orgs    map[string]*orgData
}

func newRecorder(cfg Config) *recorder {
	rec := &recorder{
		start:   time.Now(),
		res:     newResult(cfg),
		classes: map[string]*classData{},
		orgs:    map[string]*orgData{},
	}
	for _, k := range cfg.Kinds {
		rec.classes[k.Class] = &classData{latency: newHistogram(), ttft: newHistogram(), gap: newHistogram()}
	}
	for _, o := range cfg.Orgs {
		burst := float64(o.Burst)
		rec.orgs[o.Name] = &orgData{
			latency: newHistogram(), rate: float64(o.Rate), burst: burst, tokens: burst, filled: rec.start,
		}
	}
	return rec
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// program records the end of a program.
func (rec *recorder) program(org, class string, d time.Duration, ok bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c, o := rec.classes[class], rec.orgs[org]
	c.programs++
	o.row.Programs++
	if !ok {
		c.failed++
		o.row.FailedPrograms++
		return
	}
	record(c.latency, d)
	record(o.latency, d)
}

// answer records the answer of a turn.
func (rec *recorder) answer(org string, kind Kind, r *reply) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.classes[kind.Class]
	if kind.Stream {
		record(c.ttft, r.first)
	}
	for _, g := range r.gaps {
		record(c.gap, g)
	}
	tokens := len(r.text) / bytesPerToken
	rec.orgs[org].row.Tokens += tokens
	s := rec.second()
	s.Answers++
	s.Tokens += tokens
}

// second returns the row of the current second.
func (rec *recorder) second() *Second {
	n := int(time.Since(rec.start) / time.Second)
	for len(rec.res.Seconds) <= n {
		rec.res.Seconds = append(rec.res.Seconds, Second{})
	}
	return &rec.res.Seconds[n]
}

func (rec *recorder) offered(org string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.orgs[org].row.Offered++
}

// spend is what a request took from the reference bucket when it was sent.
type spend struct {
	taken  bool
	within bool // by the margin that makes a refusal wrongful
}

// sending takes a request from the organisation's reference bucket, if it has one left.
func (rec *recorder) sending(org string) spend {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	o := rec.orgs[org]
	now := time.Now()
	o.tokens = min(o.burst, o.tokens+o.rate*now.Sub(o.filled).Seconds())
	o.filled = now
	if o.rate == 0 || o.tokens < 1 {
		return spend{}
	}
	s := spend{taken: true, within: o.tokens >= 1+o.rate*rateSlack.Seconds()}
	o.tokens--
	return s
}

// admitted records a request that got its answer.
func (rec *recorder) admitted(org string, s spend) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	o := rec.orgs[org]
	o.row.Admitted++
	if !s.taken {
		o.tokens--
	}
}

// failed records an attempt that got no answer. A refused one costs no rate.
func (rec *recorder) failed(org string, f *failure, s spend) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.res.Errors[f.Code]++
	rec.second().Errors++
	if !f.refused() {
		return
	}
	o := rec.orgs[org]
	o.row.Refused++
	if s.within {
		o.row.RefusedWithinRate++
	}
	if s.taken {
		o.tokens++
	}
}

// gaveUp records a request that the caller does not send again.
func (rec *recorder) gaveUp(org string, f *failure) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.orgs[org].row.GaveUp++
	rec.res.GaveUp[f.Code]++
}

func (rec *recorder) violation(kind, detail string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violated(kind, detail)
}

func (rec *recorder) violated(kind, detail string) {
	rec.res.Violations[kind]++
	if len(rec.res.Examples) < maxExamples {
		rec.res.Examples = append(rec.res.Examples, kind+": "+detail)
	}
}

// orders records the final states of all orders. executed is nil if it is not known.
func (rec *recorder) orders(states map[string]orderState, executed map[string]int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for ref, s := range states {
		rec.res.Orders[string(s)]++
		if executed != nil {
			rec.res.Orders["executed"] += executed[ref]
		}
	}
}

// result completes and returns the result.
func (rec *recorder) result() *Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	elapsed := time.Since(rec.start)
	rec.res.ElapsedS = elapsed.Seconds()
	for name, c := range rec.classes {
		rec.res.Classes[name] = ClassRow{
			Programs: c.programs,
			Failed:   c.failed,
			Latency:  quantiles(c.latency),
			TTFT:     quantiles(c.ttft),
			Gap:      quantiles(c.gap),
		}
	}
	for name, o := range rec.orgs {
		o.row.Latency = quantiles(o.latency)
		rec.res.Orgs[name] = o.row
		limit := o.rate*elapsed.Seconds() + o.burst
		if o.rate > 0 && float64(o.row.Admitted) > limit {
			rec.violated(overAdmission, name)
		}
	}
	return rec.res
}
