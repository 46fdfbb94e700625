package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kinds of violations of figlb's guarantees.
const (
	lostAnswer         = "lost_answer"
	mismatchedAnswer   = "mixed_answer"
	truncatedAnswer    = "cut_answer"
	lostHistory        = "lost_history"
	duplicateExecution = "duplicate_execution"
	falseNotRun        = "wrong_not_run"
	lostOrder          = "lost_order"
	overAdmission      = "over_admission"
)

const (
	maxExamples = 20
	// maxMicros is the largest value of the histograms, which record microseconds.
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	// reorderMargin allows for requests that reach the entries in another order than they
	// were sent. A refusal counts as unjustified only if the organisation's bucket held, in
	// addition to the request, the tokens that are refilled in this time.
	reorderMargin = 50 * time.Millisecond
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

type classStats struct {
	programs, failed   int
	latency, ttft, gap *hdrhistogram.Histogram
}

type orgStats struct {
	row     OrgRow
	latency *hdrhistogram.Histogram
	// tokens is the level of the reference token bucket, which is refilled at rate up to
	// burst and was last refilled at refilledAt.
	rate, burst, tokens float64
	refilledAt          time.Time
}

// recorder collects the results that callers observe.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	res     *Result
	classes map[string]*classStats
	orgs    map[string]*orgStats
}

func newRecorder(cfg Config) *recorder {
	rec := &recorder{
		start:   time.Now(),
		res:     newResult(cfg),
		classes: map[string]*classStats{},
		orgs:    map[string]*orgStats{},
	}
	for _, k := range cfg.Kinds {
		rec.classes[k.Class] = &classStats{latency: newHistogram(), ttft: newHistogram(), gap: newHistogram()}
	}
	for _, o := range cfg.Orgs {
		burst := float64(o.Burst)
		rec.orgs[o.Name] = &orgStats{
			latency: newHistogram(), rate: float64(o.Rate), burst: burst, tokens: burst, refilledAt: rec.start,
		}
	}
	return rec
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// recordProgram records the end of a program. Only successful programs count towards the
// latencies.
func (rec *recorder) recordProgram(org, class string, d time.Duration, ok bool) {
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
	recordDuration(c.latency, d)
	recordDuration(o.latency, d)
}

// recordAnswer records the answer of a turn.
func (rec *recorder) recordAnswer(org string, kind Kind, r *reply) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.classes[kind.Class]
	if kind.Stream {
		recordDuration(c.ttft, r.firstToken)
	}
	for _, g := range r.tokenGaps {
		recordDuration(c.gap, g)
	}
	tokens := len(r.text) / bytesPerToken
	rec.orgs[org].row.Tokens += tokens
	s := rec.currentSecond()
	s.Answers++
	s.Tokens += tokens
}

// currentSecond returns the row of the current second of the run. rec.mu must be held.
func (rec *recorder) currentSecond() *Second {
	n := int(time.Since(rec.start) / time.Second)
	for len(rec.res.Seconds) <= n {
		rec.res.Seconds = append(rec.res.Seconds, Second{})
	}
	return &rec.res.Seconds[n]
}

func (rec *recorder) recordOffered(org string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.orgs[org].row.Offered++
}

// bucketCharge records how an attempt was charged to the reference bucket.
type bucketCharge struct {
	charged    bool // a token was taken
	withinRate bool // by reorderMargin, so that a refusal would be unjustified
}

// chargeBucket takes a token from the organisation's reference bucket, if one is left.
func (rec *recorder) chargeBucket(org string) bucketCharge {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	o := rec.orgs[org]
	now := time.Now()
	o.tokens = min(o.burst, o.tokens+o.rate*now.Sub(o.refilledAt).Seconds())
	o.refilledAt = now
	if o.rate == 0 || o.tokens < 1 {
		return bucketCharge{}
	}
	s := bucketCharge{charged: true, withinRate: o.tokens >= 1+o.rate*reorderMargin.Seconds()}
	o.tokens--
	return s
}

// recordAdmitted records a request that was answered. A request that was not charged when
// it was sent is charged now, which may make the level of the bucket negative.
func (rec *recorder) recordAdmitted(org string, s bucketCharge) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	o := rec.orgs[org]
	o.row.Admitted++
	if !s.charged {
		o.tokens--
	}
}

// recordFailure records an attempt that got no answer. The charge of a refused attempt is
// returned to the bucket.
func (rec *recorder) recordFailure(org string, f *failure, s bucketCharge) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.res.Errors[f.Code]++
	rec.currentSecond().Errors++
	if !f.refused() {
		return
	}
	o := rec.orgs[org]
	o.row.Refused++
	if s.withinRate {
		o.row.RefusedWithinRate++
	}
	if s.charged {
		o.tokens++
	}
}

// recordGaveUp records a request that the caller no longer retries.
func (rec *recorder) recordGaveUp(org string, f *failure) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.orgs[org].row.GaveUp++
	rec.res.GaveUp[f.Code]++
}

func (rec *recorder) recordViolation(kind, detail string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.addViolation(kind, detail)
}

// addViolation counts a violation. rec.mu must be held.
func (rec *recorder) addViolation(kind, detail string) {
	rec.res.Violations[kind]++
	if len(rec.res.Examples) < maxExamples {
		rec.res.Examples = append(rec.res.Examples, kind+": "+detail)
	}
}

// recordOrders records the final states of all orders and, unless executed is nil, their
// executions.
func (rec *recorder) recordOrders(states map[string]orderState, executed map[string]int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for ref, s := range states {
		rec.res.Orders[string(s)]++
		if executed != nil {
			rec.res.Orders["executed"] += executed[ref]
		}
	}
}

// result fills in the summary rows, checks the admitted load of each organisation against
// its declared limits and returns the result.
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
			rec.addViolation(overAdmission, name)
		}
	}
	return rec.res
}
