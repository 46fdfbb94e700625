package main

import (
	"context"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/platform/standin"
)

// linkCut is a period in which one gateway was cut off from all targets.
type linkCut struct {
	gateway  *host
	from, to time.Time
}

const (
	minLinkCut = 2 * time.Second
	maxLinkCut = 8 * time.Second
	// gatewayKillPercent is the share of disturbances that kill all gateways at once.
	gatewayKillPercent = 25
	// allowedCutFailures and allowedCutShare are the failures that callers of cut off gateways may see.
	allowedCutFailures = 10
	allowedCutShare    = 50 // one in so many
)

// disturbGateways kills all gateways at once, or cuts some of them off from all targets, until ctx ends. It
// returns the cuts.
func (s *site) disturbGateways(ctx context.Context, rng *rand.Rand) (cuts []linkCut) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.Intn(2500)) * time.Millisecond)
		if rng.Intn(100) < gatewayKillPercent {
			start := s.killAll("gateway")
			time.Sleep(time.Duration(100+rng.Intn(900)) * time.Millisecond)
			start()
			continue
		}
		state := []testsite.LinkState{testsite.LinksSilent, testsite.LinksReset, testsite.LinksRefused}[rng.Intn(3)]
		gateways := s.hostsOfKind("gateway")
		rng.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
		gateways = gateways[:1+rng.Intn(len(gateways)-1)] // one stays connected
		from := time.Now()
		for _, h := range gateways {
			h.links.Set(state)
		}
		sleepUntilDone(ctx, minLinkCut+time.Duration(rng.Int63n(int64(maxLinkCut-minLinkCut))))
		for _, h := range gateways {
			h.links.Set(testsite.LinksUp)
			cuts = append(cuts, linkCut{h, from, time.Now()})
		}
	}
	return cuts
}

func sleepUntilDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkCuts checks that callers of gateways that were cut off from the targets were served, from
// contactTime after the beginning of a cut on, at least two thirds as often as those of the others. Requests
// that other faults may have kept from being served are left out. It returns the number of requests at cut off gateways.
func (w *workload) checkCuts(cuts []linkCut, attempts []attempt) (judged int) {
	var cutOff, others streamCount
	for _, a := range attempts {
		if !a.mustBeServed || a.result.Status == 429 || a.result.Status == 402 || a.call.LastEvent > 0 || a.call.LeaveAfter > 0 || refusedAsOverloaded(&a.result) {
			continue
		}
		served := a.result.Status == 200
		switch at := a.result.Sent; {
		case a.gateway.cutAt(cuts, at):
			cutOff.add(served)
		case anyCutAt(cuts, at) && !a.gateway.partlyCutAt(cuts, at):
			others.add(served)
		}
	}
	failed := cutOff.asked - cutOff.served
	if cutOff.share() < others.share()*2/3 && failed > allowedCutFailures+cutOff.asked/allowedCutShare {
		w.recordViolation("CALLERS OF CUT OFF GATEWAYS NOT SERVED (RECOVER): %d of %d, at the others %d of %d",
			cutOff.served, cutOff.asked, others.served, others.asked)
	}
	return cutOff.asked
}

// refusedAsOverloaded reports whether a gateway has refused a request because of the targets' request limits
// or pace, or because the ledger is full, all of which happen regardless of cuts. Requests that no target took
// are refused with the same code, so the text decides.
func refusedAsOverloaded(r *standin.Result) bool {
	return r.Status == http.StatusServiceUnavailable &&
		(strings.Contains(r.Body, "all targets are at the request limit that they name") || strings.Contains(r.Body, "of its slots are occupied and events take") ||
			strings.Contains(r.Body, "the ledger holds"))
}

// cutAt reports whether the gateway had been cut off for contactTime at a moment.
func (h *host) cutAt(cuts []linkCut, at time.Time) bool {
	for _, c := range cuts {
		if c.gateway == h && at.After(c.from.Add(contactTime)) && at.Before(c.to) {
			return true
		}
	}
	return false
}

// partlyCutAt reports whether the gateway was cut off at a moment.
func (h *host) partlyCutAt(cuts []linkCut, at time.Time) bool {
	for _, c := range cuts {
		if c.gateway == h && at.After(c.from) && at.Before(c.to) {
			return true
		}
	}
	return false
}

// anyCutAt reports whether some gateway had been cut off for contactTime at a moment.
func anyCutAt(cuts []linkCut, at time.Time) bool {
	for _, c := range cuts {
		if at.After(c.from.Add(contactTime)) && at.Before(c.to) {
			return true
		}
	}
	return false
}
