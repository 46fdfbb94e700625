package orgsm

import (
	"math/bits"
	"time"
)

const (
	// nanoRequests is the number of nano-requests in one request.
	nanoRequests = 1_000_000_000
	// microRate is the number of micro-requests per second in a rate of 1/s.
	microRate = 1_000_000
	// retryWithoutRate is told to callers of an organisation whose rate is zero.
	retryWithoutRate = time.Minute
)

// bucket is a token bucket on log time. It counts in integers, so that neither rounding
// nor the number of refills lets more than rate x time + burst through.
type bucket struct {
	Level int64         `msgpack:"l"` // nano-requests
	Rest  uint64        `msgpack:"r"` // 1e-15 requests, below one nano-request
	At    time.Duration `msgpack:"a"` // log time of Level
}

// limit is a rate and burst in the bucket's units.
type limit struct {
	rate  uint64 // micro-requests per second, which is 1e-15 requests per nanosecond
	burst int64  // nano-requests
}

func newLimit(rate float64, burst int) limit {
	return limit{rate: uint64(max(rate, 0) * microRate), burst: int64(max(burst, 0)) * nanoRequests}
}

// refilled returns the bucket at log time now. Log time never goes back; an earlier now
// leaves the bucket as it is.
func (b bucket) refilled(l limit, now time.Duration) bucket {
	if now <= b.At {
		return b
	}
	hi, lo := bits.Mul64(l.rate, uint64(now-b.At))
	lo, carry := bits.Add64(lo, b.Rest, 0)
	hi += carry
	b.At = now
	if hi >= microRate {
		return bucket{Level: l.burst, At: now}
	}
	gain, rest := bits.Div64(hi, lo, microRate)
	if gain >= uint64(max(l.burst-b.Level, 0)) {
		return bucket{Level: l.burst, At: now}
	}
	b.Level += int64(gain)
	b.Rest = rest
	return b
}

// capped returns the bucket under another limit: a smaller burst takes the excess, a
// larger one gives nothing at once.
func (b bucket) capped(l limit) bucket {
	if b.Level >= l.burst {
		return bucket{Level: l.burst, At: b.At}
	}
	return b
}

// wait returns the time until one request fits, 0 if it fits now.
func (b bucket) wait(l limit) time.Duration {
	missing := int64(nanoRequests) - b.Level
	if missing <= 0 {
		return 0
	}
	if l.rate == 0 || l.burst < nanoRequests {
		return retryWithoutRate
	}
	seconds := float64(missing) / nanoRequests * microRate / float64(l.rate)
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
