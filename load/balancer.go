package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer picks a random entry for each request, as the platform's load balancer does,
// and skips entries whose /readyz check fails.
type balancer struct {
	urls    []string
	unready []atomic.Bool
}

func newBalancer(urls []string) *balancer {
	return &balancer{urls: urls, unready: make([]atomic.Bool, len(urls))}
}

// pollReadiness polls /readyz of the entries in the background until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	for i := range b.urls {
		go func() {
			for ctx.Err() == nil {
				b.unready[i].Store(!isReady(ctx, b.urls[i]))
				sleep(ctx, readyInterval)
			}
		}()
	}
}

func isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a ready entry, or any entry if none is ready.
func (b *balancer) pick() string {
	var list []string
	for i, u := range b.urls {
		if !b.unready[i].Load() {
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		list = b.urls
	}
	return list[rand.IntN(len(list))]
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
