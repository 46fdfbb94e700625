package balance

// SetLimit records the request limit that a target has named in a response, or that it has named
// none. It returns false if nothing has changed.
func (s *Set) SetLimit(t *Target, limited bool, perSecond float64) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.limited == limited && t.limitPerSecond == perSecond {
		return false
	}
	t.limited, t.limitPerSecond = limited, perSecond
	return true
}

// Limited reports whether a target names a request limit.
func (s *Set) Limited(t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.limited
}
