package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/rollout"
)

func newTestRollouts(state fleet.Rollout) *rollouts {
	g := &Gateway{log: logr.Discard(), metrics: newMetrics(metrics.NewRegistry()), targets: balance.NewSet("a")}
	g.rollouts.g = g
	state.Service, state.To, state.Lifetime = "s", "v2", time.Second
	g.rollouts.apply(0, []fleet.Rollout{state})
	return &g.rollouts
}

// Guards against keys that move more than once while the share grows, and against a share that is not kept.
func TestGrowingShareMovesEachKeyOnce(t *testing.T) {
	g := NewWithT(t)
	const keys = 10000
	small := versionChoice{Rollout: fleet.Rollout{Service: "s", Order: 3, Phase: rollout.Open, Share: 0.08}, asks: true}
	large := small
	large.Share = 0.2
	offered := 0
	for i := range keys {
		key := fmt.Sprint("p", i)
		if small.offersNew(key) {
			offered++
			g.Expect(large.offersNew(key)).To(BeTrue())
		}
	}
	g.Expect(float64(offered)).To(BeNumerically("~", 0.08*keys, 100))
}

// Guards against requests to a version that is not admitted: without a grant, after the expiry of a share,
// after a rollback; and to the old version once it is being emptied.
func TestPhasesAdmitVersions(t *testing.T) {
	const before, after = 500 * time.Millisecond, 1500 * time.Millisecond // of the expiry
	for _, c := range []struct {
		phase                       rollout.Phase
		offered, offeredAfter       bool
		sendsOld, sendsNew, granted bool
	}{
		{rollout.Open, true, false, true, false, true},
		{rollout.Moving, true, false, true, true, true},
		{rollout.Final, true, true, false, true, true},
		{rollout.Completed, true, true, false, true, true},
		{rollout.RolledBack, false, false, true, false, false},
	} {
		t.Run(c.phase.String(), func(t *testing.T) {
			g := NewWithT(t)
			r := newTestRollouts(fleet.Rollout{Order: 1, Phase: c.phase, Share: 1})
			choice, known := r.choiceOf(before, "s")
			g.Expect(known).To(BeTrue())
			g.Expect(choice.offersNew("k")).To(Equal(c.offered))
			choice, _ = r.choiceOf(after, "s")
			g.Expect(choice.offersNew("k")).To(Equal(c.offeredAfter))
			target := func(version string) *balance.Target {
				return &balance.Target{Target: fleet.Target{ID: version, Service: "s", Version: version}}
			}
			g.Expect(r.beginSend(target("v1"), false)).To(Equal(c.sendsOld))
			g.Expect(r.beginSend(target("v2"), false)).To(Equal(c.sendsNew))
			g.Expect(r.beginSend(target("v2"), true)).To(Equal(c.granted))
		})
	}
}

// Guards against a phase that goes back when an earlier leader's reply arrives late, and against evidence
// of one order that counts for the next.
func TestPhasesNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	r := newTestRollouts(fleet.Rollout{Order: 2, Phase: rollout.Final})
	r.recordBad("route", &balance.Target{Target: fleet.Target{ID: "t", Service: "s", Version: "v2"}})
	for _, late := range []fleet.Rollout{{Order: 2, Phase: rollout.Open, Share: 1}, {Order: 1, Phase: rollout.Moving, Share: 1}} {
		late.Service, late.To = "s", "v2"
		r.apply(time.Hour, []fleet.Rollout{late})
		choice, _ := r.choiceOf(time.Hour, "s")
		g.Expect(choice.Phase).To(Equal(rollout.Final))
		g.Expect(choice.expired).To(BeTrue())
	}
	g.Expect(r.reports()[0].Outcomes).To(HaveLen(1))
	r.apply(0, []fleet.Rollout{{Service: "s", To: "v3", Order: 3, Phase: rollout.Open}})
	g.Expect(r.reports()[0].Outcomes).To(BeEmpty())
}
