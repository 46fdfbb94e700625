package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// streams notes n streams of one pace and returns the ratio after them.
func streams(t *paceTable, n int, ms, share float64) float64 {
	now := time.Duration(0)
	for range n {
		now += 10 * time.Millisecond
		t.note(now, "svc", ms, share)
	}
	return t.ratio(now, "svc")
}

// Guards against refusals that end although the overload lasts, because the pace of idle
// engines is taken for higher and higher. Load: engines leave one by one, and the rest is
// overloaded for minutes.
func TestPaceUnderALastingOverload(t *testing.T) {
	g := NewWithT(t)
	table := &paceTable{}
	streams(table, 100, 2, 0.05)
	g.Expect(streams(table, 200, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
	g.Expect(streams(table, 5000, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
}

// Guards against new programs that are refused for ever after engines have been replaced by
// slower ones: with the refusals the load falls, and the pace is that of idle engines.
func TestPaceOfSlowerEngines(t *testing.T) {
	g := NewWithT(t)
	table := &paceTable{}
	streams(table, 100, 2, 0.05)
	g.Expect(streams(table, 50, 6, 0.5)).To(BeNumerically(">", lessPace))
	g.Expect(streams(table, 400, 6, 0.02)).To(BeNumerically("<", 1.1))
}

// Guards against gateways that start while engines are busy, as in a rolling restart, and
// admit new programs because they take the pace of busy engines for that of idle ones.
func TestPaceAfterARestart(t *testing.T) {
	g := NewWithT(t)
	before := &paceTable{}
	g.Expect(before.idle()).To(BeEmpty())
	streams(before, 100, 2, 0.05)
	g.Expect(before.idle()).To(HaveKeyWithValue("svc", BeNumerically("~", 2, 0.1)))
	restarted := &paceTable{}
	restarted.adopt(before.idle())
	restarted.adopt(nil)
	g.Expect(streams(restarted, 100, 6, 0.5)).To(BeNumerically("~", 3, 0.1))
}

// Guards against new programs that are refused while the engines serve all in time. Load: a burst
// on engines with six slots, of which five are taken and which run at their idle pace; in the model
// of gateway/balance more than nine in ten programs end in time with all of them taken. Engines of
// 16 slots have lost a third of their pace by then.
func TestOverloadOfKindsOfEngines(t *testing.T) {
	for _, c := range []struct {
		name        string
		share, pace float64
		priority    int
		refused     bool
	}{
		{"few slots, at the idle pace", 0.83, 1.02, 1, false},
		{"few slots, at the idle pace, urgent", 1.0, 1.02, 0, false},
		{"few slots, all taken", 1.0, 1.02, 1, true},
		{"few slots, some more wait", 1.2, 1.02, 0, true},
		{"many slots, slowed down", 0.83, 1.45, 1, true},
		{"many slots, slowed down, urgent", 0.83, 1.45, 0, false},
		{"many slots, slowed down, nearly full, urgent", 0.92, 1.5, 0, true},
		{"few taken, at a third of the pace", 0.3, 3, 0, true},
	} {
		if refused := overloaded(c.share, c.pace, c.priority) > 0; refused != c.refused {
			t.Errorf("%s: refused %t, want %t", c.name, refused, c.refused)
		}
	}
}
