package main

import (
	"math"
	"slices"
	"sync"
	"time"
)

// sample collects the durations of successful calls and counts failed ones.
type sample struct {
	mu      sync.Mutex
	values  []time.Duration
	errors  int
	lastErr error
}

func (s *sample) add(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.errors++
		s.lastErr = err
		return
	}
	s.values = append(s.values, d)
}

// quantile returns the q-quantile of the durations in milliseconds, NaN if there are none.
func (s *sample) quantile(q float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.values) == 0 {
		return math.NaN()
	}
	slices.Sort(s.values)
	i := min(int(q*float64(len(s.values))), len(s.values)-1)
	return s.values[i].Seconds() * 1e3
}

func (s *sample) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}

// openLoop calls f at a constant rate per second for the length of window, each call on its
// own goroutine so that a slow call does not delay the next one, and waits for all calls.
func openLoop(rate int, window time.Duration, f func(i int)) {
	var wg sync.WaitGroup
	start := time.Now()
	n := int(window.Seconds() * float64(rate))
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}
