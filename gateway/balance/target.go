package balance

import (
	"math"
	"time"

	"github.com/figlb/figlb/fleet"
)

const (
	// maxReportAge is the age up to which the load that a target reported is used. The counts
	// of the other gateways are about as old.
	maxReportAge = 300 * time.Millisecond
	// minEjectionTime and maxEjectionTime bound how long a failing target stays ejected. The
	// time doubles with each further failure.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// ejectAfterFailures is the number of consecutive failures after which a target is ejected.
	ejectAfterFailures = 2
	// slownessWeight is the weight of the newest response in the moving average of slowness.
	slownessWeight = 0.25
	// slowThreshold is the slowness from which a target counts as slow.
	slowThreshold = 2.0
	// slownessHalfLife is the time in which the slowness of a target without responses moves
	// half of the way back to 1, so that the target is tried again.
	slownessHalfLife = time.Second
	// stallAfter is the time without any response after which a target with pending requests
	// is avoided: four times the time to the first event of a long turn.
	stallAfter = 600 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average of failures.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate of a target without responses
	// halves, so that the target is tried again.
	failureHalfLife = 2 * time.Second
	// shareTokenLifetime is how long a gateway may use a token of its share of a common rate.
	// Unused tokens expire: if hundreds of gateways each kept one, they could all spend it at
	// the same moment.
	shareTokenLifetime = 300 * time.Millisecond
	// sparseShareFactor scales the rate of a gateway whose share of a common rate is below one
	// request per second. Requests of different gateways then coincide at random, so that only
	// part of the rate is handed out.
	sparseShareFactor = 0.6
)

// Target is a target with the state that this gateway keeps of it. The mutex of its Set guards
// the fields.
type Target struct {
	fleet.Target
	hash uint64 // of the id
	// weight is the weight in rendezvous hashing among targets of different sizes and speeds, above 0
	// and at most 1.
	weight    float64
	coldUntil time.Duration
	leaving   bool // the target has announced that it is about to stop
	listedAt  time.Duration
	removed   bool // the target is not listed any more, or was replaced
	limit     requestLimit
	pace      pace
	prefixes  sentPrefixes
	// tokens is the length of the prompts of this gateway's requests in flight.
	tokens int

	inFlight      int32   // requests of this gateway
	otherInFlight int32   // requests of all other gateways
	otherMean     float64 // moving average of otherInFlight over polls
	reportedLoad  int32   // running and queued requests, as last reported by the target
	reportedAt    time.Duration

	// pending counts requests that have no response yet. lastProgress is the time of the last
	// response, or of the first pending request if that was sent later.
	pending      int
	lastProgress time.Duration
	// meanFailure is the exponential moving average of failures (1) and successes (0) as of
	// meanFailureAt.
	meanFailure   float64
	meanFailureAt time.Duration

	// unreportedOutcomes counts the outcomes since the last report to the leader.
	// zoneFailureRate is the share of requests that failed for all gateways of the zone, as
	// last received from the leader.
	unreportedOutcomes fleet.Outcomes
	zoneFailureRate    float64

	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Duration
	slowness            float64 // moving average of latency as a multiple of the usual; 0: unknown
	slownessAt          time.Duration

	// coldTokens holds this gateway's share of the requests that the target takes while it is
	// cold.
	coldTokens shareBucket
}

// load estimates the number of requests at the target: the in-flight requests of all gateways,
// or the load that the target has reported if that is recent and higher.
func (t *Target) load(now time.Duration) float64 {
	n := float64(t.inFlight + t.otherInFlight)
	if now-t.reportedAt < maxReportAge {
		n = math.Max(n, float64(t.reportedLoad))
	}
	return n
}

// setCold makes the target cold until the given time.
func (t *Target) setCold(now, until time.Duration) {
	if t.coldUntil <= now && until > now {
		t.coldTokens.start(now)
	}
	t.coldUntil = until
}

// stallRatio returns how long the target has sent no response while requests are pending, in
// units of stallAfter. It is 0 below stallAfter.
func (t *Target) stallRatio(now time.Duration) float64 {
	if t.pending == 0 || now-t.lastProgress < stallAfter {
		return 0
	}
	return float64(now-t.lastProgress) / float64(stallAfter)
}

// recordResponse records that a pending request has got its response or will get none.
func (t *Target) recordResponse(now time.Duration) {
	t.pending = max(t.pending-1, 0)
	t.lastProgress = now
}

// failureRate returns the failure rate seen by this gateway or by all gateways of the zone,
// whichever is higher.
func (t *Target) failureRate(now time.Duration) float64 {
	return max(t.localFailureRate(now), t.zoneFailureRate)
}

// localFailureRate returns the failure rate seen by this gateway. It decays while there are no
// outcomes.
func (t *Target) localFailureRate(now time.Duration) float64 {
	return t.meanFailure * math.Exp2(-float64(now-t.meanFailureAt)/float64(failureHalfLife))
}

// recordResult adds an outcome to the counts and to the moving average: 1 for a failure, 0 for
// a success.
func (t *Target) recordResult(now time.Duration, failure float64) {
	if failure > 0 {
		t.unreportedOutcomes.Failed++
	} else {
		t.unreportedOutcomes.OK++
	}
	current := t.localFailureRate(now)
	t.meanFailure = current + failureWeight*(failure-current)
	t.meanFailureAt = now
}

// recordFailure records a failure and ejects the target after several in a row. It returns
// true if the target is ejected.
func (t *Target) recordFailure(now time.Duration) bool {
	t.recordResult(now, 1)
	t.consecutiveFailures++
	if t.consecutiveFailures < ejectAfterFailures {
		return false
	}
	t.ejectionTime = min(max(t.ejectionTime*2, minEjectionTime), maxEjectionTime)
	t.ejectedUntil = now + t.ejectionTime
	return true
}

// recordSuccess records a successful response. slowness is its latency as a multiple of the
// usual; 0 means unknown.
func (t *Target) recordSuccess(now time.Duration, slowness float64) {
	t.consecutiveFailures, t.ejectionTime, t.ejectedUntil = 0, 0, 0
	t.recordResult(now, 0)
	if slowness <= 0 {
		return
	}
	current := t.currentSlowness(now)
	t.slowness = current + slownessWeight*(min(slowness, maxSlowness)-current)
	t.slownessAt = now
}

// maxSlowness bounds the effect of a single very late response on the average.
const maxSlowness = 12.0

// currentSlowness returns the slowness, which decays towards 1 while there are no responses.
func (t *Target) currentSlowness(now time.Duration) float64 {
	if t.slowness == 0 {
		return 1
	}
	decay := math.Exp2(-float64(now-t.slownessAt) / float64(slownessHalfLife))
	return 1 + (t.slowness-1)*decay
}
