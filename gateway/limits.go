package gateway

import (
	"github.com/figlb/figlb/gateway/balance"
)

// countLimitedSend counts a request that is about to be sent to a target which has named a
// request limit.
func (x *exchange) countLimitedSend(t *balance.Target) {
	switch {
	case !x.g.targets.Limited(t):
	case len(x.targets) > 1:
		x.g.metrics.limitedRepeated.Inc(1)
	default:
		x.g.metrics.limitedFirst.Inc(1)
	}
}

// logLimit logs that a target names a new request limit, or none any more.
func (x *exchange) logLimit(t *balance.Target, a *TargetResponse) {
	if a.Limit.Malformed != "" {
		x.g.log.Info("target names a request limit that is not a number; ignoring it", "target", t.ID, "request", x.req.ID, "value", a.Limit.Malformed)
		return
	}
	if a.Misdirected || !x.g.targets.SetLimit(t, a.Limit.Named, a.Limit.PerSecond) {
		return
	}
	x.g.log.Info("request limit of target changed", "target", t.ID, "service", t.Service, "request", x.req.ID,
		"limited", a.Limit.Named, "per_second", a.Limit.PerSecond)
}
