package entry

import (
	"context"
	"sync"
	"time"
)

const (
	retryWindow = 10 * time.Second
	// retryShare is the part of a pool's successes in the window that may be retries,
	// retryFloor the number that is allowed in any case.
	retryShare = 0.2
	retryFloor = 3
	// maxDispatches bounds the dispatches of one request.
	maxDispatches = 3
	// retryQueryTimeout bounds the question to the scheduler.
	retryQueryTimeout = time.Second
)

// retryBudget bounds retries for each pool, so that failing targets do not multiply
// the load on the others.
type retryBudget struct {
	now func() time.Time

	mu    sync.Mutex
	pools map[string]*retryCounts
}

// retryCounts counts per second of the window.
type retryCounts struct {
	second    [int(retryWindow / time.Second)]int64
	successes [int(retryWindow / time.Second)]int
	retries   [int(retryWindow / time.Second)]int
}

func newRetryBudget(now func() time.Time) *retryBudget {
	return &retryBudget{now: now, pools: map[string]*retryCounts{}}
}

// allowRetry asks the pool's scheduler, which counts for all entries, whether a retry is
// allowed. While it does not answer, this entry's own budget decides.
func (e *Entry) allowRetry(ctx context.Context, pool string) bool {
	ctx, cancel := context.WithTimeout(ctx, retryQueryTimeout)
	defer cancel()
	allowed, err := e.sched.AllowRetry(ctx, pool)
	if err != nil {
		return e.retries.take(pool)
	}
	return allowed
}

// success counts a successful request.
func (b *retryBudget) success(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(pool)
	c.successes[i]++
}

// take counts a retry and reports whether it is allowed.
func (b *retryBudget) take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(pool)
	successes, retries := c.sums(c.second[i])
	if float64(retries+1) > max(retryFloor, retryShare*float64(successes)) {
		return false
	}
	c.retries[i]++
	return true
}

// slot returns the counts of a pool and the index of the current second.
func (b *retryBudget) slot(pool string) (*retryCounts, int) {
	c, ok := b.pools[pool]
	if !ok {
		c = &retryCounts{}
		b.pools[pool] = c
	}
	sec := b.now().Unix()
	i := int(sec % int64(len(c.second)))
	if c.second[i] != sec {
		c.second[i], c.successes[i], c.retries[i] = sec, 0, 0
	}
	return c, i
}

func (c *retryCounts) sums(now int64) (successes, retries int) {
	for i, sec := range c.second {
		if now-sec < int64(len(c.second)) {
			successes += c.successes[i]
			retries += c.retries[i]
		}
	}
	return successes, retries
}
