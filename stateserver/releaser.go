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
	releasePeriod = 500 * time.Millisecond
	// releaseTimeout bounds one call to an engine.
	releaseTimeout = 2 * time.Second
	// maxReleases bounds the releases of one group in one round.
	maxReleases = 1000
	// releaseWorkers bounds the engines called at the same time.
	releaseWorkers = 32
	// firstReleaseDelay and maxReleaseDelay space the tries at an engine that fails.
	firstReleaseDelay = time.Second
	maxReleaseDelay   = 30 * time.Second
	// goneAfter is how long a target must be missing from the configuration before its
	// memory counts as gone with it: this member's configuration may lag.
	goneAfter = time.Minute
	// maxReplyBytes bounds what is read of a target's reply.
	maxReplyBytes = 4 << 10
)

// releaser frees the engine memory of ended programs. Its own state is only about the
// pace of its tries; the pending releases are replicated.
type releaser struct {
	s      *Server
	client *http.Client

	mu      sync.Mutex
	engines map[string]*engineHealth // by target
	missing map[string]time.Time     // targets not declared, since when
	freed   map[orgsm.OrgRelease]map[string]bool
}

type engineHealth struct {
	delay time.Duration
	retry time.Time
}

func newReleaser(s *Server) *releaser {
	return &releaser{
		s:       s,
		client:  newTargetClient(releaseTimeout),
		engines: map[string]*engineHealth{},
		missing: map[string]time.Time{},
		freed:   map[orgsm.OrgRelease]map[string]bool{},
	}
}

// newTargetClient returns a client that follows no redirects and uses no proxy.
func newTargetClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// round makes one try at each pending release of the groups that this member leads.
func (r *releaser) round(ctx context.Context) {
	if r.s.Machines.Config.Revision() == 0 {
		return // no addresses are known yet
	}
	idle := true
	for group, sm := range r.s.Machines.Orgs {
		if !r.s.Node.IsLeader(group) {
			continue
		}
		if pending := sm.Releases(maxReleases); len(pending) > 0 {
			idle = false
			r.confirm(ctx, group, r.try(ctx, pending))
		}
	}
	if idle {
		r.forget()
	}
}

// forget drops what was noted about releases that another leader has completed.
func (r *releaser) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.freed)
	clear(r.missing)
}

// job is the work of one engine: programs to free, and the releases they belong to.
type job struct {
	target   structs.Target
	releases []orgsm.OrgRelease
}

// try calls the engines and returns the releases that are complete.
func (r *releaser) try(ctx context.Context, pending []orgsm.OrgRelease) []orgsm.OrgRelease {
	jobs := map[string]*job{}
	var done []orgsm.OrgRelease
	for _, p := range pending {
		targets := r.targetsOf(p)
		if len(targets) == 0 && r.isGone(p.Target) {
			done = append(done, p)
		}
		for _, t := range targets {
			if jobs[t.Name] == nil {
				jobs[t.Name] = &job{target: t}
			}
			jobs[t.Name].releases = append(jobs[t.Name].releases, p)
		}
	}
	r.run(ctx, jobs)
	for _, p := range pending {
		if r.complete(p) {
			done = append(done, p)
		}
	}
	return done
}

// targetsOf returns the declared targets that a release concerns.
func (r *releaser) targetsOf(p orgsm.OrgRelease) []structs.Target {
	if service, ok := orgsm.ServiceOfRelease(p.Target); ok {
		return r.s.Machines.Config.EnginesOf(service)
	}
	if t, ok := r.s.Machines.Config.Target(p.Target); ok {
		return []structs.Target{t}
	}
	return nil
}

// isGone reports whether a target has been missing from the configuration for long.
func (r *releaser) isGone(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.missing[target]
	if !ok {
		r.missing[target] = time.Now()
		return false
	}
	return time.Since(since) > goneAfter
}

func (r *releaser) run(ctx context.Context, jobs map[string]*job) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, releaseWorkers)
	for name, j := range jobs {
		if !r.due(name) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.free(ctx, j)
		})
	}
	wg.Wait()
}

// free calls one engine until the first failure.
func (r *releaser) free(ctx context.Context, j *job) {
	for _, p := range j.releases {
		if r.isFreed(p, j.target.Name) {
			continue
		}
		if err := r.delete(ctx, j.target.Address, p.Program); err != nil {
			r.s.Log.V(1).Info("release failed, it is repeated", "target", j.target.Name, "error", err.Error())
			r.failed(j.target.Name)
			return
		}
		r.succeeded(p, j.target.Name)
	}
}

// delete frees a program's memory; an engine that holds none answers 404.
func (r *releaser) delete(ctx context.Context, address, program string) error {
	u := "http://" + address + "/v1/sessions/" + url.PathEscape(program)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return errors.Errorf("engine answers %s", resp.Status)
	}
	return nil
}

func (r *releaser) due(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.missing, target)
	h := r.engines[target]
	return h == nil || !time.Now().Before(h.retry)
}

func (r *releaser) failed(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.engines[target]
	if h == nil {
		h = &engineHealth{delay: firstReleaseDelay / 2}
		r.engines[target] = h
	}
	h.delay = min(2*h.delay, maxReleaseDelay)
	h.retry = time.Now().Add(h.delay)
}

func (r *releaser) succeeded(p orgsm.OrgRelease, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, target)
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

// complete reports whether each target of a release has confirmed it.
func (r *releaser) complete(p orgsm.OrgRelease) bool {
	targets := r.targetsOf(p)
	for _, t := range targets {
		if !r.isFreed(p, t.Name) {
			return false
		}
	}
	return len(targets) > 0
}

// confirm records complete releases, one command for each organisation.
func (r *releaser) confirm(ctx context.Context, group uint32, done []orgsm.OrgRelease) {
	byOrg := map[string][]structs.Release{}
	for _, p := range done {
		byOrg[p.Org] = append(byOrg[p.Org], p.Release)
	}
	for org, releases := range byOrg {
		c := &structs.OrgCommand{
			RequestID: stateclient.NewRequestID(), Org: org, Released: &structs.Released{Releases: releases},
		}
		if _, err := r.s.proposeJob(ctx, group, c); err != nil {
			r.s.logJob("releaser", group, err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range done {
		delete(r.freed, p)
		delete(r.missing, p.Target)
	}
}
