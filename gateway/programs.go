package gateway

import "sync"

// maxPrograms bounds each of the two generations of a programSet.
const maxPrograms = 8192

// programSet remembers the programs of which this gateway has recently admitted a request. It
// keeps two generations and drops the old one when the new one is full.
type programSet struct {
	mu       sync.Mutex
	new, old map[string]struct{}
}

// has reports whether the set contains a program, and moves it to the new generation.
func (s *programSet) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.new[key]; ok {
		return true
	}
	_, ok := s.old[key]
	if ok {
		s.insert(key)
	}
	return ok
}

func (s *programSet) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.insert(key)
}

// insert adds a program to the new generation. The caller holds mu.
func (s *programSet) insert(key string) {
	if s.new == nil || len(s.new) >= maxPrograms {
		s.old = s.new
		s.new = map[string]struct{}{}
	}
	s.new[key] = struct{}{}
}
