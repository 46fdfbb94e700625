package balance

import (
	"math"
	"time"
)

// demandWeight is the weight of the newest poll interval in the moving average of the demand. With
// polls every 200 ms, the average follows a change within about two seconds.
const demandWeight = 0.1

// limitOversubscription is the rate of the requests that prefer a limited target, as a multiple of
// its limit. Requests arrive irregularly, so that with 1 a part of the limit would stay unused.
const limitOversubscription = 1.25

// demand is the moving average of the requests per second that this gateway sends to a service.
type demand struct {
	sent      int // since measuredAt
	perSecond float64
	// measuredAt is when perSecond was computed last; 0: never.
	measuredAt time.Duration
}

// update adds the time since the last update to the average.
func (d *demand) update(now time.Duration) {
	elapsed := (now - d.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	current := float64(d.sent) / elapsed
	if d.measuredAt == 0 {
		d.perSecond = current
	}
	d.perSecond += demandWeight * (current - d.perSecond)
	d.sent, d.measuredAt = 0, now
}

// UpdateLimitWeights adapts the weights of limited targets in rendezvous hashing to the demand, so
// that about as many requests prefer such a target as it takes. Programs that no longer prefer it
// stay with their next target. If all kept their preference, most requests of a program would be
// denied and sent elsewhere now and then, and their prompts would be processed again each time.
func (s *Set) UpdateLimitWeights(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polledAt = now
	for service, d := range s.demands {
		d.update(now)
		s.setLimitWeights(service, d.perSecond*float64(s.gateways))
	}
}

// setLimitWeights sets the weights of the limited targets of a service for which all gateways
// together have the given demand in requests per second. The caller holds mu.
func (s *Set) setLimitWeights(service string, perSecond float64) {
	others, limits, highest := 0, 0.0, 0.0
	for _, t := range s.byService[service] {
		switch {
		case !s.usable(t):
		case t.limit.active():
			limits += t.limit.rate()
			highest = max(highest, t.limit.rate())
		default:
			others++
		}
	}
	// fairShare is what a target without a limit gets: the demand beyond the limits, divided by
	// the number of these targets.
	fairShare := highest
	if others > 0 {
		fairShare = (perSecond - limits) / float64(others)
	}
	for _, t := range s.byService[service] {
		if !t.limit.active() {
			continue
		}
		t.limit.weight = 1
		if preferring := t.limit.rate() * limitOversubscription; preferring < fairShare {
			t.limit.weight = preferring / fairShare
		}
	}
}

// weighted scales a rank in rendezvous hashing so that the target is preferred in proportion to
// its weight.
func weighted(rank uint64, weight float64) uint64 {
	const ranks = 1 << 64
	return uint64(math.Pow(float64(rank)/ranks, 1/weight) * ranks)
}

// demandOf returns the demand of a service. The caller holds mu.
func (s *Set) demandOf(service string) *demand {
	d := s.demands[service]
	if d == nil {
		d = &demand{}
		s.demands[service] = d
	}
	return d
}
