package documentsm

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/rollout"
)

// orderStep is one order in the sequence in which orders are executed, at a log time.
type orderStep struct {
	at      time.Duration
	service string
	to      string
	order   uint64
	ends    rollout.Phase // the phase that is recorded after the order; 0: none
	want    string        // "started", "no effect", "conflict" or "overtaken"
}

func applyAt(g *WithT, m *Machine, at time.Duration, c Command) Reply {
	cmd, err := msgpack.Marshal(&c)
	g.Expect(err).NotTo(HaveOccurred())
	var reply Reply
	g.Expect(msgpack.Unmarshal(m.Apply(1, at, cmd), &reply)).To(Succeed())
	return reply
}

func outcome(r Reply) string {
	switch {
	case r.Conflict:
		return "conflict"
	case r.Overtaken:
		return "overtaken"
	case r.Changed:
		return "started"
	}
	return "no effect"
}

// Guards against orders that are executed twice, or long after their sender has given them up, and
// against repeated orders that are refused. The snapshot is restored after each step.
func TestRolloutOrders(t *testing.T) {
	const duration = 10 * time.Second
	for _, c := range []struct {
		desc  string
		steps []orderStep
	}{
		{"repeated", []orderStep{{0, "s", "v2", 1, 0, "started"}, {1, "s", "v2", 1, 0, "no effect"}, {2, "s", "v2", 2, 0, "no effect"}}},
		{"another one in progress", []orderStep{{0, "s", "v2", 1, 0, "started"}, {1, "s", "v3", 2, 0, "conflict"}, {2, "s", "v2", 2, 0, "no effect"}}},
		{"two services", []orderStep{{0, "s", "v2", 1, 0, "started"}, {1, "t", "v2", 1, 0, "started"}}},
		{"the next one", []orderStep{{0, "s", "v2", 1, rollout.Completed, "started"}, {time.Second, "s", "v3", 2, 0, "started"}}},
		{"late, after another one", []orderStep{{0, "s", "v2", 1, rollout.Completed, "started"},
			{time.Minute, "s", "v3", 2, rollout.Completed, "started"}, {2 * time.Minute, "s", "v2", 1, 0, "overtaken"}}},
		{"late, never executed", []orderStep{{0, "s", "v2", 1, rollout.Completed, "started"}, {1, "s", "v9", 1, 0, "overtaken"}}},
		{"repeated after its completion", []orderStep{{0, "s", "v2", 1, rollout.Completed, "started"}, {1, "s", "v2", 2, 0, "no effect"}}},
		{"repeated after a quick rollback", []orderStep{{0, "s", "v2", 1, rollout.RolledBack, "started"}, {3 * time.Second, "s", "v2", 2, 0, "no effect"}}},
		{"late after a rollback", []orderStep{{0, "s", "v2", 1, rollout.RolledBack, "started"}, {time.Hour, "s", "v2", 1, 0, "no effect"}}},
		{"a new attempt after a rollback", []orderStep{{0, "s", "v2", 1, rollout.RolledBack, "started"}, {time.Hour, "s", "v2", 2, 0, "started"}}},
		{"a number that was not given out", []orderStep{{0, "s", "v2", 7, 0, "overtaken"}}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := New()
			for i, s := range c.steps {
				reply := applyAt(g, m, s.at, Command{RolloutStart: &RolloutStart{Service: s.service, To: s.to, Duration: duration, Order: s.order}})
				g.Expect(outcome(reply)).To(Equal(s.want), "step %d", i)
				if s.ends != 0 {
					applyAt(g, m, s.at, Command{RolloutStep: &RolloutStep{Service: s.service, Order: s.order, From: rollout.Open, To: s.ends}})
				}
				data, err := m.Snapshot()
				g.Expect(err).NotTo(HaveOccurred())
				before := m.Get()
				g.Expect(m.Restore(data)).To(Succeed())
				g.Expect(m.Get().Rollouts).To(Equal(before.Rollouts))
			}
		})
	}
}

// Guards against phases that go back, or that are recorded for another order, by a leader that was replaced.
func TestRolloutSteps(t *testing.T) {
	g := NewWithT(t)
	m := New()
	applyAt(g, m, 5, Command{RolloutStart: &RolloutStart{Service: "s", To: "v2", Duration: time.Second, Order: 1}})
	step := func(order uint64, from, to rollout.Phase) bool {
		return applyAt(g, m, 9, Command{RolloutStep: &RolloutStep{Service: "s", Order: order, From: from, To: to, Gateways: []string{"g"}}}).Changed
	}
	g.Expect(step(2, rollout.Open, rollout.Moving)).To(BeFalse(), "another order")
	g.Expect(step(1, rollout.Moving, rollout.Final)).To(BeFalse(), "another phase")
	g.Expect(step(1, rollout.Open, rollout.Moving)).To(BeTrue())
	g.Expect(step(1, rollout.Open, rollout.RolledBack)).To(BeFalse(), "a verdict of an earlier leader")
	g.Expect(step(1, rollout.Moving, rollout.Open)).To(BeFalse(), "backwards")
	state := m.Get()
	g.Expect(state.Rollouts["s"]).To(Equal(Rollout{To: "v2", Duration: time.Second, Order: 1, Phase: rollout.Moving, StartedAt: 5, PhaseAt: 9, Gateways: []string{"g"}}))
}

// Guards against a snapshot of an older build that cannot be restored, and against one of this build that
// differs from an older build's while there has been no roll-out.
func TestOldSnapshot(t *testing.T) {
	g := NewWithT(t)
	old := struct {
		Version      uint64            `msgpack:"v"`
		Body         []byte            `msgpack:"b"`
		Out          map[string]bool   `msgpack:"o"`
		ZoneRevision uint64            `msgpack:"m"`
		ZoneOrders   map[string]uint64 `msgpack:"n"`
	}{4, []byte("x"), map[string]bool{"a": true}, 1, map[string]uint64{"a": 1}}
	data, err := msgpack.Marshal(&old)
	g.Expect(err).NotTo(HaveOccurred())
	m := New()
	g.Expect(m.Restore(data)).To(Succeed())
	state := m.Get()
	g.Expect(state.NextRolloutOrder("s")).To(BeEquivalentTo(1))
	g.Expect(m.Snapshot()).To(Equal(data))
}
