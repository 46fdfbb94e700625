package orgsm

import (
	"math/bits"
	"time"
)

const (
	// nanoRequests is the number of nano-requests in one request.
	nanoRequests = 1_000_000_000
	// microRequests is the number of micro-requests in one request, and also the number of
	// femto-requests (1e-15 requests) in one nano-request.
	microRequests = 1_000_000
	// zeroRateRetryAfter is the retry delay sent to callers of an organisation whose rate is
	// zero or whose burst is smaller than one request.
	zeroRateRetryAfter = time.Minute
)

// bucket is a token bucket that is refilled by log time. It uses integer arithmetic, so
// that neither rounding nor frequent refills admit more than rate x time + burst requests.
type bucket struct {
	Level      int64         `msgpack:"l"` // nano-requests
	Remainder  uint64        `msgpack:"r"` // femto-requests, less than one nano-request
	RefilledAt time.Duration `msgpack:"a"` // log time at which Level was computed
}

// rateLimit is a rate and a burst in the units of bucket.
type rateLimit struct {
	rate  uint64 // micro-requests per second, equal to femto-requests per nanosecond
	burst int64  // nano-requests
}

func newRateLimit(rate float64, burst int) rateLimit {
	return rateLimit{rate: uint64(max(rate, 0) * microRequests), burst: int64(max(burst, 0)) * nanoRequests}
}

// refilled returns the bucket as of log time now. A now that is not after the last refill
// leaves the bucket unchanged. The product of rate and time has 128 bits, so long pauses do
// not overflow.
func (b bucket) refilled(l rateLimit, now time.Duration) bucket {
	if now <= b.RefilledAt {
		return b
	}
	hi, lo := bits.Mul64(l.rate, uint64(now-b.RefilledAt))
	lo, carry := bits.Add64(lo, b.Remainder, 0)
	hi += carry
	b.RefilledAt = now
	if hi >= microRequests {
		return bucket{Level: l.burst, RefilledAt: now}
	}
	gain, remainder := bits.Div64(hi, lo, microRequests)
	if gain >= uint64(max(l.burst-b.Level, 0)) {
		return bucket{Level: l.burst, RefilledAt: now}
	}
	b.Level += int64(gain)
	b.Remainder = remainder
	return b
}

// capped returns the bucket after a change of the limit. A smaller burst truncates the
// level; a larger burst does not raise it, so the bucket fills up at the new rate.
func (b bucket) capped(l rateLimit) bucket {
	if b.Level >= l.burst {
		return bucket{Level: l.burst, RefilledAt: b.RefilledAt}
	}
	return b
}

// wait returns the time until one request is admitted, or 0 if one is admitted now.
func (b bucket) wait(l rateLimit) time.Duration {
	missing := int64(nanoRequests) - b.Level
	if missing <= 0 {
		return 0
	}
	if l.rate == 0 || l.burst < nanoRequests {
		return zeroRateRetryAfter
	}
	seconds := float64(missing) / nanoRequests * microRequests / float64(l.rate)
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
