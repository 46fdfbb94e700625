package balance

import "time"

// versionWatch tracks since when all listed targets of a service run the same software version.
type versionWatch struct {
	version string
	mixed   bool
	since   time.Duration // clock time of the last change
}

// watchVersions updates the tracked versions of all services after a change of the list. The caller
// holds mu.
func (s *Set) watchVersions(now time.Duration) {
	for service, targets := range s.byService {
		version, mixed := targets[0].Version, false
		for _, t := range targets {
			mixed = mixed || t.Version != version
		}
		w := s.versions[service]
		if w == nil || w.mixed || mixed || w.version != version {
			s.versions[service] = &versionWatch{version: version, mixed: mixed, since: now}
		}
	}
	for service := range s.versions {
		if len(s.byService[service]) == 0 {
			delete(s.versions, service)
		}
	}
}

// SoleVersion returns the software version of a service if all of its targets have run it for at
// least the given time, otherwise an empty string.
func (s *Set) SoleVersion(now time.Duration, service string, atLeast time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.versions[service]
	if w == nil || w.mixed || now-w.since < atLeast {
		return ""
	}
	return w.version
}

// PreferredVersion returns the software version of the target that would be chosen for a request now,
// and false if no target may take it.
func (s *Set) PreferredVersion(now time.Duration, c *Criteria) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.versions[c.Service]; w != nil && !w.mixed {
		return w.version, true
	}
	candidates, _ := s.eligible(now, c)
	if len(candidates) == 0 {
		return "", false
	}
	return s.choose(now, c, candidates).Version, true
}

// Serves reports whether a usable target of a service runs a software version.
func (s *Set) Serves(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.byService[service] {
		if t.Version == version && s.usable(t) {
			return true
		}
	}
	return false
}
