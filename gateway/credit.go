package gateway

import (
	"time"
)

const (
	// creditPeriod is the age of the last answered poll up to which requests are admitted on
	// credit: a new leader is in place within 2 s of a loss of power.
	creditPeriod = 2 * time.Second
	// creditTenths is the part of an organisation's usual pace, in tenths, that is admitted
	// on credit. The next leader begins with nearly empty buckets, so what is admitted here
	// stays below what the rate brought during the absence.
	creditTenths = 7
)

// onCredit admits a request of a program under way without a grant while the leader that
// shares out the rates is absent for all gateways. Load that it answers: all controllers
// restart, and most calls of programs have less time than they need for that. A program is
// lost with the first call that fails. The caller holds mu.
func (a *admission) onCredit(org string, al *allowance) bool {
	age := a.g.config.age()
	if age > creditPeriod || !a.g.contact.leaderLost() {
		return false
	}
	polls := float64(age) / float64(pollInterval)
	// The first one is free: in a site of many gateways, each sees a request of most
	// organisations now and then.
	limit := 1 + al.pace*polls*creditTenths/10
	if al.credit+1 > limit {
		return false
	}
	if al.credit == 0 {
		a.g.log.Info("admitting on credit", "org", org, "confirmed_ms", age.Milliseconds(), "pace", al.pace, "limit", limit)
	}
	al.credit++
	a.g.metrics.credit.Inc(1)
	return true
}
