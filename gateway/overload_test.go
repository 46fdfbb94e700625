package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// recordStreams records n streams with the same event interval and returns the ratio after
// them.
func recordStreams(t *eventIntervals, n int, ms, slotShare float64) float64 {
	now := time.Duration(0)
	for range n {
		now += 10 * time.Millisecond
		t.record(now, "svc", ms, slotShare)
	}
	return t.ratio(now, "svc")
}

// Guards against new programs that are admitted again while an overload continues, because the
// event interval of idle engines is estimated higher and higher. This happens when engines
// leave one by one and the rest are overloaded for minutes.
func TestEventIntervalRatioUnderSustainedOverload(t *testing.T) {
	g := NewWithT(t)
	table := &eventIntervals{}
	recordStreams(table, 100, 2, 0.05)
	g.Expect(recordStreams(table, 200, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
	g.Expect(recordStreams(table, 5000, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
}

// Guards against new programs that are refused forever after engines have been replaced by
// slower ones. The refusals lower the load, so that the event interval becomes that of idle
// engines.
func TestEventIntervalRatioOfSlowerEngines(t *testing.T) {
	g := NewWithT(t)
	table := &eventIntervals{}
	recordStreams(table, 100, 2, 0.05)
	g.Expect(recordStreams(table, 50, 6, 0.5)).To(BeNumerically(">", intervalLimit))
	g.Expect(recordStreams(table, 400, 6, 0.02)).To(BeNumerically("<", 1.1))
}

// Guards against gateways that start while engines are busy, as in a rolling restart, and admit
// new programs because they take the event interval of busy engines for that of idle ones.
func TestIdleIntervalAdoptedAfterRestart(t *testing.T) {
	g := NewWithT(t)
	before := &eventIntervals{}
	g.Expect(before.idleIntervals()).To(BeEmpty())
	recordStreams(before, 100, 2, 0.05)
	g.Expect(before.idleIntervals()).To(HaveKeyWithValue("svc", BeNumerically("~", 2, 0.1)))
	restarted := &eventIntervals{}
	restarted.adopt(before.idleIntervals())
	restarted.adopt(nil)
	g.Expect(recordStreams(restarted, 100, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
}

// Guards against new programs that are refused although the engines would serve all of them in
// time: engines with six slots, of which a burst occupies five, still run at the event interval
// of idle engines. In the model of gateway/balance more than nine in ten programs finish in
// time with all six occupied. Engines with 16 slots have lost a third of their speed by then.
func TestOverloadExcess(t *testing.T) {
	for _, c := range []struct {
		name                     string
		slotShare, intervalRatio float64
		priority                 int
		refused                  bool
	}{
		{"few slots, idle interval", 0.83, 1.02, 1, false},
		{"few slots, idle interval, urgent", 1.0, 1.02, 0, false},
		{"few slots, all occupied", 1.0, 1.02, 1, true},
		{"few slots, requests queue", 1.2, 1.02, 0, true},
		{"many slots, slowed down", 0.83, 1.45, 1, true},
		{"many slots, slowed down, urgent", 0.83, 1.45, 0, false},
		{"many slots, slowed down, nearly full, urgent", 0.92, 1.5, 0, true},
		{"few occupied, three times the idle interval, urgent", 0.3, 3, 0, true},
	} {
		if refused := overloadExcess(c.slotShare, c.intervalRatio, c.priority) > 0; refused != c.refused {
			t.Errorf("%s: refused %t, want %t", c.name, refused, c.refused)
		}
	}
}
