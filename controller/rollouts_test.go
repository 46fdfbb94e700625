package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/rollout"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// exposureModel is a number of gateways that report to a leader and ask it for grants.
type exposureModel struct {
	table   *rolloutTable
	term    uint64
	reports []fleet.RolloutReport
	rng     *rand.Rand
}

func newExposureModel(gateways int) *exposureModel {
	m := &exposureModel{table: &rolloutTable{log: logr.Discard(), bounds: rollout.DefaultBounds}, term: 1, rng: rand.New(rand.NewPCG(uint64(gateways), 1))}
	for range gateways {
		m.reports = append(m.reports, fleet.RolloutReport{Service: "s", Order: 1, Phase: rollout.Open})
	}
	return m
}

// step lets one gateway send a request, which is offered to the new version with the given probability.
func (m *exposureModel) step(now time.Duration, offered float64, leader bool) {
	r := &m.reports[m.rng.IntN(len(m.reports))]
	r.Sent++
	if leader && m.rng.Float64() < offered && m.table.grant(now, m.term, "s", 1) {
		r.Exposed++
	}
}

// poll lets all gateways report.
func (m *exposureModel) poll(now time.Duration) {
	for i := range m.reports {
		m.table.record(now, m.term, &fleet.PollRequest{Host: fmt.Sprint("g", i), VersionOutcomes: m.reports[i : i+1]})
	}
}

func (m *exposureModel) sums() (sent, exposed uint64) {
	for i := range m.reports {
		sent, exposed = sent+m.reports[i].Sent, exposed+m.reports[i].Exposed
	}
	return sent, exposed
}

// Guards against more requests at a bad version than the bounds permit, whatever share gateways offer, and
// against budgets that are lost in a change of the leader or in a restart of gateways.
func TestExposureStaysWithinItsBudget(t *testing.T) {
	for _, gateways := range []int{6, 64, 370} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			g := NewWithT(t)
			m := newExposureModel(gateways)
			const perStep = 5 * time.Millisecond // 200 requests/s
			var lost uint64
			for i := range 2400 { // 12 s
				now := time.Second + time.Duration(i)*perStep
				absent := i > 1000 && i < 1200 // the leader is lost for 1 s
				if i == 1200 {
					m.term++
				}
				if i == 1800 { // a tenth of the gateways restarts
					for k := range gateways / 10 {
						lost += m.reports[k].Exposed
						m.reports[k] = fleet.RolloutReport{Service: "s", Order: 1, Phase: rollout.Open}
					}
				}
				if i%40 == 0 && !absent {
					m.poll(now)
				}
				m.step(now, 0.5, !absent)
				sent, exposed := m.sums()
				g.Expect(float64(exposed+lost)).To(BeNumerically("<=", 0.1*float64(i+1)+50), "after %d requests", sent)
			}
			_, exposed := m.sums()
			g.Expect(float64(exposed+lost)).To(BeNumerically(">", 0.08*2400), "the budget is of use")
		})
	}
}

// Guards against a completion while a gateway may still send to the old version, or has a request there.
func TestOldVersionIsEmptyOnlyOnceAllGatewaysSaySo(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		desc     string
		reports  map[string]fleet.RolloutReport
		age      time.Duration // of the reports
		recorded []string
		term     time.Duration // age of the leader's term
		empty    bool
	}{
		{"all", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Final}}, 0, nil, now, true},
		{"one in flight", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Final, OldInFlight: 1}}, 0, nil, now, false},
		{"one has not applied it", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Moving}}, 0, nil, now, false},
		{"one has not reported", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}}, 0, nil, now, false},
		{"one leaves and has one in flight", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Final}, "c": {Phase: rollout.Final, OldInFlight: 1}}, 0, nil, now, false},
		{"a new leader misses one", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Final}}, 0, []string{"a", "b", "c"}, time.Second, false},
		{"one has been silent until its expiry", map[string]fleet.RolloutReport{"a": {Phase: rollout.Final}, "b": {Phase: rollout.Final}}, 0, []string{"a", "b", "c"}, now, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			k := &rolloutTrack{reports: map[string]*hostReport{}}
			for host, r := range c.reports {
				k.reports[host] = &hostReport{RolloutReport: r, at: now - c.age}
			}
			_, empty := k.applied(now, now-c.term, &documentsm.Rollout{Phase: rollout.Final, Gateways: c.recorded}, []string{"a", "b"})
			NewWithT(t).Expect(empty).To(Equal(c.empty))
		})
	}
}

// memberFeatures answers for the members of a group.
type memberFeatures func(address string) (uint64, error)

func (f memberFeatures) MemberFeatures(_ context.Context, address string) (uint64, error) {
	return f(address)
}

// Guards against orders that are acknowledged while a host of an older build could send a version any
// number of requests, or lose the state as the next leader; and against orders that wait for hosts that
// are gone.
func TestOrdersNeedHostsThatKnowRollouts(t *testing.T) {
	for _, c := range []struct {
		desc    string
		gateway uint64 // its features
		member  func(address string) (uint64, error)
		code    errs.Code // "": accepted
	}{
		{"all know them", fleet.FeatureRollouts, func(string) (uint64, error) { return fleet.KnownFeatures(), nil }, ""},
		{"an older gateway", fleet.FeatureBodies, func(string) (uint64, error) { return fleet.KnownFeatures(), nil }, errs.Unavailable},
		{"older members", fleet.FeatureRollouts, func(string) (uint64, error) { return 0, nil }, errs.Unavailable},
		{"members that know other features", fleet.FeatureRollouts, func(string) (uint64, error) { return fleet.FeatureBodies, nil }, errs.Unavailable},
		{"lost members", fleet.FeatureRollouts, func(string) (uint64, error) { return 0, context.DeadlineExceeded }, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			table := &routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}}}
			g.Expect(table.Build()).To(Succeed())
			s := New(Options{Node: leadingNode{}, Document: documentsm.New(), Lister: fixedLister(2), Log: logr.Discard(),
				Decode: func([]byte) (*routing.Table, error) { return table, nil },
				Peers:  memberFeatures(c.member)})
			s.hosts.recordPoll(1, &fleet.PollRequest{Host: "g", Kind: fleet.KindGateway, Features: c.gateway})
			s.hosts.termStart -= time.Minute
			err := s.checkRollout(context.Background(), &documentsm.State{Version: 1}, &fleet.RolloutRequest{Service: "s", To: "v2"})
			if c.code == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(errs.Is(err, c.code)).To(BeTrue(), "%v", err)
		})
	}
}
