package stateserver

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/statemachine/orgsm"
	"github.com/figlb/figlb/structs"
)

const (
	// releasePeriod is the interval between rounds of the releaser.
	releasePeriod = 500 * time.Millisecond
	// releaseTimeout bounds one call to an engine.
	releaseTimeout = 2 * time.Second
	// maxReleasesPerRound bounds the number of releases of one group per round.
	maxReleasesPerRound = 1000
	// maxConcurrentReleases bounds the number of engines that are called concurrently.
	maxConcurrentReleases = 32
	// firstReleaseDelay and maxReleaseDelay bound the exponential backoff between attempts
	// at an engine that fails.
	firstReleaseDelay = time.Second
	maxReleaseDelay   = 30 * time.Second
	// missingTargetTimeout is how long a target must be missing from the configuration
	// before its memory is considered released along with it. The delay allows for a
	// configuration of this member that lags behind.
	missingTargetTimeout = time.Minute
	// maxReplyBytes bounds how much of a target's reply is read.
	maxReplyBytes = 4 << 10
)

// releaser frees the engine memory of ended programs. The pending releases are replicated;
// the releaser itself holds only the progress of its attempts and their retry delays.
type releaser struct {
	server *Server
	client *http.Client

	mu      sync.Mutex
	retries map[string]*retryState // by target
	missing map[string]time.Time   // when an undeclared target was first found missing
	// freed holds the targets that have confirmed each pending release.
	freed map[orgsm.OrgRelease]map[string]bool
}

// retryState is the backoff of a target whose last call failed.
type retryState struct {
	delay   time.Duration
	retryAt time.Time
}

func newReleaser(s *Server) *releaser {
	return &releaser{
		server:  s,
		client:  newTargetClient(releaseTimeout),
		retries: map[string]*retryState{},
		missing: map[string]time.Time{},
		freed:   map[orgsm.OrgRelease]map[string]bool{},
	}
}

// newTargetClient returns an HTTP client that follows no redirects and uses no proxy.
func newTargetClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// runRound makes one attempt at each pending release of the groups that this member leads.
func (r *releaser) runRound(ctx context.Context) {
	if r.server.StateMachines.Config.Revision() == 0 {
		return // no configuration, so no target addresses yet
	}
	idle := true
	for group, sm := range r.server.StateMachines.Orgs {
		if !r.server.Node.IsLeader(group) {
			continue
		}
		if pending := sm.Releases(maxReleasesPerRound); len(pending) > 0 {
			idle = false
			r.confirm(ctx, group, r.releaseAll(ctx, pending))
		}
	}
	if idle {
		r.clearProgress()
	}
}

// clearProgress discards the progress of releases that another leader has completed since.
func (r *releaser) clearProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.freed)
	clear(r.missing)
}

// targetReleases holds the pending releases that concern one target.
type targetReleases struct {
	target   structs.Target
	releases []orgsm.OrgRelease
}

// releaseAll calls the targets of the pending releases and returns the releases that are
// complete.
func (r *releaser) releaseAll(ctx context.Context, pending []orgsm.OrgRelease) []orgsm.OrgRelease {
	byTarget := map[string]*targetReleases{}
	var done []orgsm.OrgRelease
	for _, p := range pending {
		targets := r.targetsOf(p)
		if len(targets) == 0 && r.isLongMissing(p.Target) {
			done = append(done, p)
		}
		for _, t := range targets {
			if byTarget[t.Name] == nil {
				byTarget[t.Name] = &targetReleases{target: t}
			}
			byTarget[t.Name].releases = append(byTarget[t.Name].releases, p)
		}
	}
	r.callTargets(ctx, byTarget)
	for _, p := range pending {
		if r.isComplete(p) {
			done = append(done, p)
		}
	}
	return done
}

// targetsOf returns the declared targets that a release concerns: one target, or all
// targets of a service if the release does not name one.
func (r *releaser) targetsOf(p orgsm.OrgRelease) []structs.Target {
	if service, ok := orgsm.ServiceOfReleaseTarget(p.Target); ok {
		return r.server.StateMachines.Config.EnginesOf(service)
	}
	if t, ok := r.server.StateMachines.Config.Target(p.Target); ok {
		return []structs.Target{t}
	}
	return nil
}

// isLongMissing reports whether a target has been missing from the configuration for longer
// than missingTargetTimeout. The first call for a target starts that time.
func (r *releaser) isLongMissing(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.missing[target]
	if !ok {
		r.missing[target] = time.Now()
		return false
	}
	return time.Since(since) > missingTargetTimeout
}

// callTargets calls the targets whose retry is due, at most maxConcurrentReleases at a
// time.
func (r *releaser) callTargets(ctx context.Context, byTarget map[string]*targetReleases) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReleases)
	for name, work := range byTarget {
		if !r.retryDue(name) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.releaseAtTarget(ctx, work)
		})
	}
	wg.Wait()
}

// releaseAtTarget sends the releases of one target and stops at the first failure.
func (r *releaser) releaseAtTarget(ctx context.Context, work *targetReleases) {
	for _, p := range work.releases {
		if r.isFreed(p, work.target.Name) {
			continue
		}
		if err := r.delete(ctx, work.target.Address, p.Program); err != nil {
			r.server.Log.V(1).Info("release failed; retrying after a delay", "target", work.target.Name, "error", err.Error())
			r.recordFailure(work.target.Name)
			return
		}
		r.recordSuccess(p, work.target.Name)
	}
}

// delete frees a program's memory at an engine. Status 404 counts as success: the engine
// holds no memory of the program.
func (r *releaser) delete(ctx context.Context, address, program string) error {
	u := "http://" + address + "/v1/sessions/" + url.PathEscape(program)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return errors.Wrap(err, "create release request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return errors.Errorf("engine answered with status %s", resp.Status)
	}
	return nil
}

// retryDue reports whether a target has no retry delay running. The target is declared, so
// its mark as missing is cleared.
func (r *releaser) retryDue(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.missing, target)
	state := r.retries[target]
	return state == nil || !time.Now().Before(state.retryAt)
}

// recordFailure doubles the retry delay of a target up to maxReleaseDelay.
func (r *releaser) recordFailure(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.retries[target]
	if state == nil {
		state = &retryState{delay: firstReleaseDelay / 2}
		r.retries[target] = state
	}
	state.delay = min(2*state.delay, maxReleaseDelay)
	state.retryAt = time.Now().Add(state.delay)
}

// recordSuccess clears the retry delay of a target and notes that it confirmed a release.
func (r *releaser) recordSuccess(p orgsm.OrgRelease, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.retries, target)
	if r.freed[p] == nil {
		r.freed[p] = map[string]bool{}
	}
	r.freed[p][target] = true
}

func (r *releaser) isFreed(p orgsm.OrgRelease, target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freed[p][target]
}

// isComplete reports whether each target of a release has confirmed it.
func (r *releaser) isComplete(p orgsm.OrgRelease) bool {
	targets := r.targetsOf(p)
	for _, t := range targets {
		if !r.isFreed(p, t.Name) {
			return false
		}
	}
	return len(targets) > 0
}

// confirm removes complete releases from the replicated state, with one command for each
// organisation.
func (r *releaser) confirm(ctx context.Context, group uint32, done []orgsm.OrgRelease) {
	byOrg := map[string][]structs.Release{}
	for _, p := range done {
		byOrg[p.Org] = append(byOrg[p.Org], p.Release)
	}
	for org, releases := range byOrg {
		c := &structs.OrgCommand{
			RequestID: stateclient.NewRequestID(), Org: org, ConfirmReleases: &structs.ConfirmReleases{Releases: releases},
		}
		if _, err := r.server.proposeJob(ctx, group, c); err != nil {
			r.server.logJobError("releaser", group, err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range done {
		delete(r.freed, p)
		delete(r.missing, p.Target)
	}
}
