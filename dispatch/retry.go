package dispatch

import "time"

// Limits of a pool's retry budget. Within the last retryWindow, the number of retries may
// be at most the largest of three values: minRetries, the number of slots of the pool, and
// retryRatio times the number of successes. The number of slots is included so that all
// requests that were running in a lost availability zone can be retried elsewhere.
const (
	retryWindow  = 10 * time.Second
	retryBuckets = 10
	retryRatio   = 0.2
	minRetries   = 3
)

// retryBudget counts successes and retries of a pool in a ring of buckets, each of which
// covers a tenth of retryWindow.
type retryBudget struct {
	buckets [retryBuckets]retryBucket
}

// retryBucket holds the counts of one time span.
type retryBucket struct {
	epoch              int64 // number of the bucket's time span, see epochOf
	successes, retries int
}

// epochOf returns the number of the bucket-sized time span in which now lies.
func epochOf(now time.Duration) int64 { return int64(now / (retryWindow / retryBuckets)) }

// currentBucket returns the bucket for now. It resets the bucket if its counts are of an
// earlier time span.
func (b *retryBudget) currentBucket(now time.Duration) *retryBucket {
	epoch := epochOf(now)
	bucket := &b.buckets[epoch%retryBuckets]
	if bucket.epoch != epoch {
		*bucket = retryBucket{epoch: epoch}
	}
	return bucket
}

// recordSuccess counts a successful request.
func (b *retryBudget) recordSuccess(now time.Duration) { b.currentBucket(now).successes++ }

// allows reports whether the budget of a pool with the given number of slots allows a
// retry now.
func (b *retryBudget) allows(now time.Duration, slots int) bool {
	oldest := epochOf(now) - retryBuckets
	successes, retries := 0, 0
	for _, bucket := range b.buckets {
		if bucket.epoch > oldest {
			successes += bucket.successes
			retries += bucket.retries
		}
	}
	return float64(retries+1) <= max(minRetries, float64(slots), retryRatio*float64(successes))
}

// take counts a retry and returns true if the budget allows the retry.
func (b *retryBudget) take(now time.Duration, slots int) bool {
	if !b.allows(now, slots) {
		return false
	}
	b.currentBucket(now).retries++
	return true
}
