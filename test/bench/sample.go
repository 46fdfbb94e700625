package main

import (
	"math"
	"slices"
	"sync"
	"time"
)

// sample collects durations.
type sample struct {
	mu     sync.Mutex
	values []time.Duration
	errors int
	last   error
}

func (s *sample) add(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.errors++
		s.last = err
		return
	}
	s.values = append(s.values, d)
}

// at returns a quantile in milliseconds.
func (s *sample) at(q float64) float64 {
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

// openLoop calls f at a constant rate, each call on its own goroutine, and waits for all.
// A slow call does not delay the next one.
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
