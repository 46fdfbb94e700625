package gateway

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/gateway/balance"
)

// reportMoves makes the gateway count and log the requests that do not go to the target which served
// their affinity key before. There is a counter for each reason, and one for those of them that return.
func (g *Gateway) reportMoves() {
	counters := map[balance.MoveReason]metrics.Counter{}
	for _, reason := range balance.MoveReasons() {
		counters[reason] = metrics.GetOrRegisterCounter("gateway.moves."+string(reason), g.opts.Metrics)
	}
	detours := metrics.GetOrRegisterCounter("gateway.moves.detours", g.opts.Metrics)
	var lines lineLimiter
	g.targets.OnMove(func(m *balance.Move) {
		counters[m.Reason].Inc(1)
		if m.Detour {
			detours.Inc(1)
		}
		if lines.allow() {
			g.log.Info("request moved to another target", "service", m.Service, "affinity", m.Affinity, "from", m.From, "to", m.To,
				"reason", string(m.Reason), "detour", m.Detour, "from_finish", m.FromFinish, "to_finish", m.ToFinish,
				"from_load", m.FromLoad, "to_load", m.ToLoad, "load_age_ms", m.LoadAge.Milliseconds(),
				"from_pace", m.FromPace, "pace_age_ms", m.PaceAge.Milliseconds())
		}
	})
}
