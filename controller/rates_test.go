package controller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/routing"
)

// tableWith returns a routing table with one organisation, acme.
func tableWith(rate, burst float64) *routing.Table {
	t := &routing.Table{Version: 1, Organisations: []routing.Organisation{{Name: "acme", Rate: rate, Burst: burst}}}
	if err := t.Build(); err != nil {
		panic(err) // a fixed table
	}
	return t
}

// Guards against grants above the rate and the burst, and against a leader change that grants a
// second full burst within one window.
func TestRatesAcrossLeaderChange(t *testing.T) {
	g := NewWithT(t)
	const rate, burst = 200, 200
	table := tableWith(rate, burst)
	var rates rateTable
	granted := 0.0
	began := time.Now()
	for time.Since(began) < 400*time.Millisecond {
		granted += rates.grantTokens(1, table, "acme", 1000, 0).Tokens
	}
	var next rateTable // the new leader does not know the earlier grants
	for time.Since(began) < 800*time.Millisecond {
		granted += next.grantTokens(2, table, "acme", 1000, 0).Tokens
	}
	limit := burst*initialBurstShare + rate*time.Since(began).Seconds() + burst*initialBurstShare
	g.Expect(granted).To(BeNumerically("<=", limit+2))
	g.Expect(granted).To(BeNumerically(">=", rate*0.7), "an organisation gets its rate")
}

// Guards against limiting organisations that have no rate, and against unknown organisations
// whose requests are admitted or that gateways ask about in a tight loop.
func TestUnlimitedAndUnknownOrganisations(t *testing.T) {
	g := NewWithT(t)
	var rates rateTable
	g.Expect(rates.grantTokens(1, tableWith(0, 0), "acme", 50, 0).Tokens).To(BeEquivalentTo(50))
	for _, grant := range []fleet.Grant{rates.grantTokens(1, tableWith(9, 9), "nobody", 5, 0), rates.grantTokens(1, nil, "acme", 5, 0)} {
		g.Expect(grant.Tokens).To(BeZero())
		g.Expect(grant.Wait).To(BeNumerically(">", 0))
	}
}

// Guards against refusing new programs while the bucket has enough tokens, and against admitting
// them while it is low.
func TestNewProgramsRefusedWhileBucketIsLow(t *testing.T) {
	g := NewWithT(t)
	b := &bucket{tokens: 60, reachedHigh: true}
	g.Expect(b.recoveryTime(0, 100, 10)).To(BeZero())
	b.tokens = 30
	g.Expect(b.recoveryTime(0, 100, 10)).To(Equal(2500*time.Millisecond), "from 30 to 55 tokens at 10 per second")
	b.tokens = 50
	g.Expect(b.recoveryTime(0, 100, 10)).To(BeNumerically(">", 0), "still refused below the high watermark")
	b.tokens = 56
	g.Expect(b.recoveryTime(0, 100, 10)).To(BeZero())
	newBucket := &bucket{tokens: 5}
	g.Expect(newBucket.recoveryTime(time.Second, 100, 10)).To(BeZero(), "low only because the leader is new")
	g.Expect(newBucket.recoveryTime(initialRefillPeriod+time.Second, 100, 10)).To(BeNumerically(">", 0))
}
