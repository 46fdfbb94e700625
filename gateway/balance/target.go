package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/figlb/figlb/fleet"
)

const (
	// loadAge is the age up to which the load that a target told is used. The counts of
	// the other gateways are as old.
	loadAge = 300 * time.Millisecond
	// minEject and maxEject bound how long a target that fails gets no requests.
	minEject = 500 * time.Millisecond
	maxEject = 4 * time.Second
	// ejectAfter is the number of failures in a row after which a target is left out.
	ejectAfter = 2
	// slownessShare is the weight of the newest answer in the mean slowness.
	slownessShare = 0.25
	// slowFactor is the slowness from which a target counts as slow.
	slowFactor = 2.0
	// slownessHalfLife is the time in which the slowness of a target without answers comes
	// half the way back to the usual, so that it is tried again.
	slownessHalfLife = time.Second
	// stallAfter is the time without any answer after which a target with requests is
	// avoided: four times a long turn's time to its first event.
	stallAfter = 600 * time.Millisecond
	// unsoundShare is the weight of the newest answer in the share of failures.
	unsoundShare = 0.25
	// unsoundHalfLife is the time in which the share of failures of a target without
	// answers halves, so that it is tried again.
	unsoundHalfLife = 2 * time.Second
	// coldTurn is how long a gateway may use its next request to a cold target. What is not
	// used in time is lost: kept ones of hundreds of gateways would come at once.
	coldTurn = 300 * time.Millisecond
	// sparseShare is the part of what a cold target tolerates that is shared out where a
	// gateway gets less than one request a second: how many coincide is left to chance then.
	sparseShare = 0.6
)

// Target is a target with what this gateway knows of it. The Set guards its fields.
type Target struct {
	fleet.Target
	hash      uint64 // of the id
	coldUntil time.Duration
	leaving   bool // has said that it is about to stop

	inFlight int32 // of this gateway
	others   int32 // of all other gateways
	told     int32 // running and waiting, as the target told
	toldAt   time.Duration

	// pending counts requests without an answer yet; progress is when the last one was
	// answered, or when the first of them was sent.
	pending  int
	progress time.Duration
	// unsound is the mean share of requests that failed.
	unsound   float64
	unsoundAt time.Duration

	// ended counts the outcomes since they were last told to the leader, and unsoundFleet is the
	// share of failures at all gateways of the zone, as the leader told last.
	ended        fleet.Outcomes
	unsoundFleet float64

	failures   int
	eject      time.Duration
	ejectUntil time.Duration
	slowness   float64 // mean latency as a multiple of what is usual; 0: unknown
	slownessAt time.Duration

	coldTokens float64
	coldAt     time.Duration
}

// load estimates the requests that the target has.
func (t *Target) load(now time.Duration) float64 {
	n := float64(t.inFlight + t.others)
	if now-t.toldAt < loadAge {
		n = math.Max(n, float64(t.told))
	}
	return n
}

// setCold makes the target cold until a time. The turns of the gateways are spread at random.
func (t *Target) setCold(now, until time.Duration) {
	if t.coldUntil <= now && until > now {
		t.coldAt, t.coldTokens = now, rand.Float64()
	}
	t.coldUntil = until
}

// coldShare returns the requests a second to a cold target that are this gateway's share.
func coldShare(tolerated float64, gateways int) float64 {
	share := tolerated / float64(gateways)
	if share < 1 {
		share *= sparseShare
	}
	return share
}

// coldToken reports whether it is this gateway's turn to use a cold target.
func (t *Target) coldToken(now time.Duration, perSecond float64) bool {
	t.coldTokens += perSecond * (now - t.coldAt).Seconds()
	t.coldAt = now
	turns, next := math.Modf(t.coldTokens)
	t.coldTokens = next
	if turns < 1 || next/perSecond > coldTurn.Seconds() {
		return false
	}
	t.coldTokens++
	return true
}

// stalled returns how long the target has answered nothing while requests wait, beyond
// what is usual, in units of stallAfter.
func (t *Target) stalled(now time.Duration) float64 {
	if t.pending == 0 || now-t.progress < stallAfter {
		return 0
	}
	return float64(now-t.progress) / float64(stallAfter)
}

// answered notes that a request is no longer without an answer.
func (t *Target) answered(now time.Duration) {
	t.pending = max(t.pending-1, 0)
	t.progress = now
}

// unsoundNow returns the share of failures seen here, which fades while there are no answers, or
// at all gateways of the zone if that is higher.
func (t *Target) unsoundNow(now time.Duration) float64 {
	return max(t.unsoundHere(now), t.unsoundFleet)
}

func (t *Target) unsoundHere(now time.Duration) float64 {
	return t.unsound * math.Exp2(-float64(now-t.unsoundAt)/float64(unsoundHalfLife))
}

func (t *Target) noteSoundness(now time.Duration, failure float64) {
	if failure > 0 {
		t.ended.Failed++
	} else {
		t.ended.OK++
	}
	current := t.unsoundHere(now)
	t.unsound = current + unsoundShare*(failure-current)
	t.unsoundAt = now
}

// failed notes a failure and leaves the target out after several in a row.
func (t *Target) failed(now time.Duration) bool {
	t.noteSoundness(now, 1)
	t.failures++
	if t.failures < ejectAfter {
		return false
	}
	t.eject = min(max(t.eject*2, minEject), maxEject)
	t.ejectUntil = now + t.eject
	return true
}

// succeeded notes an answer that took a multiple of the usual latency; 0: not known.
func (t *Target) succeeded(now time.Duration, slowness float64) {
	t.failures, t.eject, t.ejectUntil = 0, 0, 0
	t.noteSoundness(now, 0)
	if slowness <= 0 {
		return
	}
	current := t.slowNow(now)
	t.slowness = current + slownessShare*(min(slowness, maxSlowness)-current)
	t.slownessAt = now
}

// maxSlowness bounds the weight of one very late answer.
const maxSlowness = 12.0

// slowNow returns the slowness, which approaches 1 while there are no answers.
func (t *Target) slowNow(now time.Duration) float64 {
	if t.slowness == 0 {
		return 1
	}
	fade := math.Exp2(-float64(now-t.slownessAt) / float64(slownessHalfLife))
	return 1 + (t.slowness-1)*fade
}
