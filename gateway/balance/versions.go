package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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
	s.watchNewVersions(now)
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
	if w := s.versions[c.Service]; w != nil && !w.mixed && c.Version == "" && c.NotVersion == "" {
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

// versionKey identifies a software version of a service.
type versionKey struct{ service, version string }

// InFlightExcept returns the number of requests of this gateway that are in flight at targets of a
// service with another software version than the given one, targets that are no longer listed included.
func (s *Set) InFlightExcept(service, version string) (n int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, count := range s.inFlight {
		if k.service == service && k.version != version {
			n += count
		}
	}
	return n
}

// VersionRule tells which versions of a service carry its load during a roll-out: only those with the
// name Only, or all but Not. The zero value admits all.
type VersionRule struct{ Only, Not string }

func (r VersionRule) admits(version string) bool {
	return (r.Only == "" || version == r.Only) && (r.Not == "" || version != r.Not)
}

// SetVersionRules sets, by service, the versions whose targets count in Utilisation. It does not restrict
// the choice of a target, which Criteria do.
func (s *Set) SetVersionRules(rules map[string]VersionRule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = rules
}

// minTrialTargets is the least number of targets that a version on trial uses: with fewer, a single
// failing target could not be told from a bad version.
const minTrialTargets = 3

// trialTargets returns the targets to which TrialPart restricts the choice, or nil. All gateways choose
// the same ones, as far as they agree on which are usable. Cold targets are not counted, because they take
// few requests. The caller holds mu.
func (s *Set) trialTargets(now time.Duration, c *Criteria) []*Target {
	if c.TrialPart <= 0 || c.Version == "" {
		return nil
	}
	var all []*Target
	for _, t := range s.byService[c.Service] {
		if t.Version == c.Version && s.usable(t) && t.ejectedUntil <= now {
			all = append(all, t)
		}
	}
	warm := max(int(math.Ceil(c.TrialPart*float64(len(all)))), minTrialTargets)
	slices.SortFunc(all, func(a, b *Target) int { return cmp.Compare(a.hash, b.hash) })
	for i, t := range all {
		if t.coldUntil <= now {
			warm--
		}
		if warm == 0 {
			return all[:i+1]
		}
	}
	return nil
}

// IsCold reports whether a target is cold.
func (s *Set) IsCold(now time.Duration, t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.coldUntil > now
}

// HoldNewVersions makes a version that appears beside other versions of its service get nothing for a
// time, unless no other target is left: the order for its roll-out may not be known yet.
func (s *Set) HoldNewVersions(hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newVersionHold = hold
}

// watchNewVersions records when versions have appeared. The first ones of a service count as old. The
// caller holds mu, and calls it before versions of services without targets are removed.
func (s *Set) watchNewVersions(now time.Duration) {
	since := make(map[versionKey]time.Duration, len(s.versionSince))
	served := map[string]bool{}
	for k := range s.versionSince {
		served[k.service] = true
	}
	for service, targets := range s.byService {
		for _, t := range targets {
			k := versionKey{service, t.Version}
			at, known := s.versionSince[k]
			switch {
			case known:
				since[k] = at
			case served[service]:
				since[k] = now
			default:
				since[k] = now - s.newVersionHold
			}
		}
	}
	s.versionSince = since
}

// held reports whether a target's version has just appeared and the request does not ask for it. The
// caller holds mu.
func (s *Set) held(now time.Duration, c *Criteria, t *Target) bool {
	if s.newVersionHold == 0 || c.Version != "" {
		return false
	}
	return now-s.versionSince[versionKey{t.Service, t.Version}] < s.newVersionHold
}
