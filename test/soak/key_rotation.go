package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// rotatingOrg is an organisation whose key changes every versionsPerKey configuration
	// versions.
	rotatingOrg    = "org-rotating"
	versionsPerKey = 8
	// revocationTimeout is the time after the acknowledgement of a configuration during which a
	// key that it revokes may still be accepted. It also holds for hosts that are cut off from the
	// others.
	revocationTimeout = 5 * time.Second
	probeInterval     = 40 * time.Millisecond
	probeDeadline     = time.Second
)

// generation returns the generation of the rotating key in a configuration version.
func generation(version int) int { return version / versionsPerKey }

func rotatingKey(generation int) string { return fmt.Sprint("key-rotating-", generation) }

// keysAt returns the keys of all organisations in a configuration version.
func (w *workload) keysAt(version int) map[string]string {
	keys := maps.Clone(w.keys)
	keys[rotatingOrg] = rotatingKey(generation(version))
	return keys
}

// recordRevocations records the current time as the revocation time of each key generation older
// than that of an acknowledged version, unless one is known. The caller holds mu.
func (w *workload) recordRevocations(version int) {
	for g := range generation(version) {
		if _, known := w.revokedAt[g]; !known {
			w.revokedAt[g] = time.Now()
		}
	}
}

// newestRevoked returns the newest key generation that gateways must no longer accept.
func (w *workload) newestRevoked() (generation int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for g, at := range w.revokedAt {
		if time.Since(at) > revocationTimeout && (!ok || g > generation) {
			generation, ok = g, true
		}
	}
	return generation, ok
}

// probeKeys sends requests with revoked keys to random gateways until ctx ends, and with the
// current key to confirm that such requests are served at all. A gateway that keeps an older
// configuration or returns to one accepts a revoked key.
func (w *workload) probeKeys(ctx context.Context) {
	rng := rand.New(rand.NewSource(2))
	gateways := w.site.hostsOfKind("gateway")
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probeInterval)
		h := gateways[rng.Intn(len(gateways))]
		if g, ok := w.newestRevoked(); ok && w.isServed(h, n, g) {
			w.recordViolation("REVOKED KEY ACCEPTED: %s served key %d, which was revoked more than %s before", h.name, g, revocationTimeout)
		}
		w.mu.Lock()
		current := generation(w.ackedVersion)
		w.mu.Unlock()
		if w.isServed(h, n, current) {
			w.probesServed++
		}
	}
}

// isServed reports whether a gateway serves a request with a generation of the rotating key.
func (w *workload) isServed(h *host, n, generation int) bool {
	caller := standin.NewCaller()
	defer caller.Close()
	call := standin.Call{ID: fmt.Sprintf("probe-%d-%d", n, generation), Method: "GET", Host: "site.example", Path: "/look/x",
		Key: rotatingKey(generation), Deadline: probeDeadline}
	return caller.Do(context.Background(), h.address(standin.FrontPort), &call).Status == 200
}
