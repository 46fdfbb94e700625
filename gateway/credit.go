package gateway

import (
	"time"
)

const (
	// creditPeriod is the age of the last confirmed poll up to which requests are admitted on
	// credit. A new leader is in place within 2 s of a power failure.
	creditPeriod = 2 * time.Second
	// creditTenths is the part of an organisation's average admissions, in tenths, that is
	// admitted on credit. The next leader starts with nearly empty token buckets, so the
	// requests admitted here are fewer than those that the rate would have allowed in the
	// meantime.
	creditTenths = 7
)

// admitOnCredit admits a request of a program that has begun without a token while the leader
// that grants tokens is lost for all gateways. It keeps programs alive while all controllers
// restart: most of their calls have less time than a restart takes, and a program fails with
// its first failed call. The caller holds mu.
func (a *admission) admitOnCredit(org string, al *allowance) bool {
	age := a.g.config.age()
	if age > creditPeriod || !a.g.leaderContact.leaderLost() {
		return false
	}
	intervals := float64(age) / float64(pollInterval)
	// One request is always admitted: at a site of many gateways, each gateway sees only
	// occasional requests of most organisations, so that their average is close to 0.
	limit := 1 + al.meanAdmitted*intervals*creditTenths/10
	if al.onCredit+1 > limit {
		return false
	}
	if al.onCredit == 0 {
		a.g.log.Info("admitting requests on credit", "org", org, "confirmed_ms", age.Milliseconds(), "pace", al.meanAdmitted, "limit", limit)
	}
	al.onCredit++
	a.g.metrics.onCredit.Inc(1)
	return true
}
