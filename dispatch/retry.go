package dispatch

import "time"

// The retry budget of a pool: retries in the last retryWindow may be at most retryShare
// of its successes in that time. In any case minRetries and as many retries as the pool
// has slots are allowed, so that all that ran in a lost zone can run again elsewhere.
const (
	retryWindow  = 10 * time.Second
	retryBuckets = 10
	retryShare   = 0.2
	minRetries   = 3
)

// retryBudget counts successes and retries in buckets of a tenth of the window.
type retryBudget struct {
	buckets [retryBuckets]retryBucket
}

type retryBucket struct {
	epoch              int64
	successes, retries int
}

func epochOf(now time.Duration) int64 { return int64(now / (retryWindow / retryBuckets)) }

func (b *retryBudget) bucket(now time.Duration) *retryBucket {
	epoch := epochOf(now)
	k := &b.buckets[epoch%retryBuckets]
	if k.epoch != epoch {
		*k = retryBucket{epoch: epoch}
	}
	return k
}

func (b *retryBudget) success(now time.Duration) { b.bucket(now).successes++ }

// allowed reports whether a retry fits the budget now.
func (b *retryBudget) allowed(now time.Duration, slots int) bool {
	oldest := epochOf(now) - retryBuckets
	successes, retries := 0, 0
	for _, k := range b.buckets {
		if k.epoch > oldest {
			successes += k.successes
			retries += k.retries
		}
	}
	return float64(retries+1) <= max(minRetries, float64(slots), retryShare*float64(successes))
}

// take counts a retry if it fits the budget.
func (b *retryBudget) take(now time.Duration, slots int) bool {
	if !b.allowed(now, slots) {
		return false
	}
	b.bucket(now).retries++
	return true
}
