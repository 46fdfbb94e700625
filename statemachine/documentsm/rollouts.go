package documentsm

import (
	"maps"
	"time"

	"github.com/figlb/figlb/rollout"
)

// RolloutStart orders a roll-out: the traffic of a service moves to targets of another software version.
type RolloutStart struct {
	Service  string        `msgpack:"s"`
	To       string        `msgpack:"t"`
	Duration time.Duration `msgpack:"d"`
	// Order is the number of the order among the executed orders for its service. The order is not
	// executed if another one has been executed under this number.
	Order uint64 `msgpack:"n"`
}

// RolloutStep advances a roll-out from one phase to another. It has no effect if the roll-out is in
// another phase or has another order.
type RolloutStep struct {
	Service string        `msgpack:"s"`
	Order   uint64        `msgpack:"n"`
	From    rollout.Phase `msgpack:"f"`
	To      rollout.Phase `msgpack:"t"`
	Reason  string        `msgpack:"r,omitempty"`
	// Gateways holds the names of the gateways that were in contact when the phase Moving was entered.
	Gateways []string `msgpack:"g,omitempty"`
}

// Rollout is the latest roll-out of a service. Times are log times.
type Rollout struct {
	To        string        `msgpack:"t"`
	Duration  time.Duration `msgpack:"d"`
	Order     uint64        `msgpack:"n"`
	Phase     rollout.Phase `msgpack:"p"`
	StartedAt time.Duration `msgpack:"s"`
	PhaseAt   time.Duration `msgpack:"a"` // when the phase was recorded
	Reason    string        `msgpack:"r,omitempty"`
	Gateways  []string      `msgpack:"g,omitempty"`
}

// repetitionMargin is the time after the limit of a roll-out in which the same order counts as a
// repetition: its sender may still wait for the acknowledgement.
const repetitionMargin = 5 * time.Second

// isRepetition reports whether an order asks for what has been ordered already. After a rollback the same
// order is a new attempt once the sender of the first one has given up.
func (r *Rollout) isRepetition(s *RolloutStart, now time.Duration) bool {
	if r.To != s.To {
		return false
	}
	if r.Phase == rollout.RolledBack {
		return r.Duration == s.Duration && (r.Order == s.Order || now-r.StartedAt < r.Duration+repetitionMargin)
	}
	return r.Duration == s.Duration || r.Phase == rollout.Completed
}

// startRollout executes an order. conflict is set if another roll-out of the service is in progress, and
// overtaken if the order's number has been used by another one.
func (m *Machine) startRollout(now time.Duration, s *RolloutStart) (changed, conflict, overtaken bool) {
	current, known := m.state.Rollouts[s.Service]
	switch {
	case known && current.isRepetition(s, now):
		return false, false, false
	case s.Order != m.state.NextRolloutOrder(s.Service):
		return false, false, true
	case known && !current.Phase.Ended():
		return false, true, false
	}
	m.setRollout(s.Service, Rollout{To: s.To, Duration: s.Duration, Order: s.Order, Phase: rollout.Open, StartedAt: now, PhaseAt: now})
	return true, false, false
}

// stepRollout advances a roll-out.
func (m *Machine) stepRollout(now time.Duration, s *RolloutStep) (changed bool) {
	r, known := m.state.Rollouts[s.Service]
	if !known || r.Order != s.Order || r.Phase != s.From || s.To <= s.From {
		return false
	}
	r.Phase, r.PhaseAt = s.To, now
	if s.Reason != "" {
		r.Reason = s.Reason
	}
	if s.Gateways != nil {
		r.Gateways = s.Gateways
	}
	if r.Phase.Ended() {
		r.Gateways = nil
	}
	m.setRollout(s.Service, r)
	return true
}

// setRollout replaces the map instead of modifying it, because callers of Get share it.
func (m *Machine) setRollout(service string, r Rollout) {
	all := maps.Clone(m.state.Rollouts)
	if all == nil {
		all = map[string]Rollout{}
	}
	all[service] = r
	m.state.Rollouts = all
}

// NextRolloutOrder returns the number of the next order for a service.
func (s *State) NextRolloutOrder(service string) uint64 { return s.Rollouts[service].Order + 1 }
