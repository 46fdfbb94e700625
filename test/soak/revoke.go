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
	// rotatingOrg is an organisation whose key changes every keyVersions versions.
	rotatingOrg = "org-rotating"
	keyVersions = 8
	// revokeTime is the time after the acknowledgement of a configuration in which a key that
	// it withdraws may still work, also at hosts that are cut off.
	revokeTime  = 5 * time.Second
	probePause  = 40 * time.Millisecond
	probeLength = time.Second
)

// generation returns the number of the rotating key that a version holds.
func generation(version int) int { return version / keyVersions }

func rotatingKey(generation int) string { return fmt.Sprint("key-rotating-", generation) }

// keysAt returns the keys of all organisations in a version.
func (w *world) keysAt(version int) map[string]string {
	keys := maps.Clone(w.keys)
	keys[rotatingOrg] = rotatingKey(generation(version))
	return keys
}

// noteRevoked records when the key before that of an acknowledged version was withdrawn. The
// caller holds mu.
func (w *world) noteRevoked(version int) {
	for g := range generation(version) {
		if _, known := w.revoked[g]; !known {
			w.revoked[g] = time.Now()
		}
	}
}

// withdrawn returns the newest key that must not work any more.
func (w *world) withdrawn() (generation int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for g, at := range w.revoked {
		if time.Since(at) > revokeTime && (!ok || g > generation) {
			generation, ok = g, true
		}
	}
	return generation, ok
}

// probe asks gateways with withdrawn keys until ctx ends, and with the one in force to see that
// the question is served at all. A gateway that keeps or takes back an older configuration
// answers a withdrawn key.
func (w *world) probe(ctx context.Context) {
	rng := rand.New(rand.NewSource(2))
	gs := w.s.of("gateway")
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probePause)
		h := gs[rng.Intn(len(gs))]
		if g, ok := w.withdrawn(); ok && w.ask(h, n, g) {
			w.broken("CONFIG: %s served key %d, which was withdrawn more than %s before", h.name, g, revokeTime)
		}
		w.mu.Lock()
		current := generation(w.acked)
		w.mu.Unlock()
		if w.ask(h, n, current) {
			w.probesServed++
		}
	}
}

// ask reports whether a gateway serves a request with a generation of the rotating key.
func (w *world) ask(h *host, n, generation int) bool {
	caller := standin.NewCaller()
	defer caller.Close()
	call := standin.Call{ID: fmt.Sprintf("probe-%d-%d", n, generation), Method: "GET", Host: "site.example", Path: "/look/x",
		Key: rotatingKey(generation), Deadline: probeLength}
	return caller.Do(context.Background(), h.address(standin.FrontPort), &call).Status == 200
}
