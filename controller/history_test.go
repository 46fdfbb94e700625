package controller

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// applyChange applies a change to a list of targets as a gateway does.
func applyChange(g *WithT, list []fleet.Target, change *fleet.TargetChange) []fleet.Target {
	if change == nil {
		return list
	}
	changed, err := change.Changed.Decode()
	g.Expect(err).NotTo(HaveOccurred())
	if change.Full {
		return changed
	}
	list = slices.DeleteFunc(slices.Clone(list), func(t fleet.Target) bool {
		return slices.Contains(change.Removed, t.ID) || slices.ContainsFunc(changed, func(c fleet.Target) bool { return c.ID == t.ID })
	})
	return sortUnique(append(list, changed...))
}

// Guards against a gateway whose list differs from the leader's after it has missed some of a
// series of changes, and against changes that are not sent to hosts.
func TestTargetListChanges(t *testing.T) {
	const second = time.Second
	warm := func(ids ...string) (out []fleet.Target) {
		for _, id := range ids {
			out = append(out, fleet.Target{ID: id, Service: "s"})
		}
		return out
	}
	with := func(list []fleet.Target, change func(*fleet.Target)) []fleet.Target {
		list = slices.Clone(list)
		change(&list[0])
		return list
	}
	cold := func(d time.Duration) func(*fleet.Target) { return func(t *fleet.Target) { t.ColdFor = d } }
	for _, c := range []struct {
		name       string
		lists      [][]fleet.Target // read one second after another
		wantWhole  bool             // the gateway, which holds the first list, is sent the whole last one
		wantChange bool
	}{
		{"unchanged", [][]fleet.Target{warm("a", "b"), warm("b", "a")}, false, false},
		{"target added", [][]fleet.Target{warm("a"), warm("a", "b")}, false, true},
		{"target removed", [][]fleet.Target{warm("a", "b"), warm("b")}, false, true},
		{"target removed and added again", [][]fleet.Target{warm("a", "b"), warm("b"), warm("a", "b")}, false, false},
		{"drains", [][]fleet.Target{warm("a", "b"), with(warm("a", "b"), func(t *fleet.Target) { t.Draining = true })}, false, true},
		{"address changed", [][]fleet.Target{warm("a"), with(warm("a"), func(t *fleet.Target) { t.Address = "x" })}, false, true},
		{"becomes cold", [][]fleet.Target{warm("a"), with(warm("a"), cold(3*second))}, false, true},
		{"stays cold", [][]fleet.Target{with(warm("a"), cold(3*second)), with(warm("a"), cold(2*second))}, false, false},
		{"cold period extended", [][]fleet.Target{with(warm("a"), cold(3*second)), with(warm("a"), cold(3*second))}, false, true},
		{"becomes warm", [][]fleet.Target{with(warm("a"), cold(second)), warm("a")}, false, true},
		{"duplicate entry", [][]fleet.Target{warm("a", "a"), warm("a")}, false, false},
	} {
		g := NewWithT(t)
		l := &targetList{}
		l.replace(second, 1, sortUnique(c.lists[0]))
		first, err := l.changeSince(1, 0)
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		held := applyChange(g, nil, first)
		for i, next := range c.lists[1:] {
			l.replace(time.Duration(i+2)*second, 1, sortUnique(next))
		}
		change, err := l.changeSince(1, first.Digest)
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		g.Expect(change != nil).To(Equal(c.wantChange), c.name)
		if c.wantChange {
			g.Expect(change.Full).To(Equal(c.wantWhole), c.name)
			g.Expect(applyChange(g, held, change)).To(Equal(l.targets), c.name)
		}
	}
}

// Guards against a new leader that sends the list again to all gateways although they hold it, and
// against an incomplete change for a gateway that has missed more versions than are kept.
func TestTargetListOfNewLeader(t *testing.T) {
	g := NewWithT(t)
	one, other := &targetList{}, &targetList{}
	list := func(n int) (out []fleet.Target) {
		for i := range n {
			out = append(out, fleet.Target{ID: string(rune('a' + i)), Service: "s"})
		}
		return out
	}
	one.replace(1, 1, list(3))
	other.replace(9, 2, list(3))
	g.Expect(other.changeSince(2, one.history.newest())).To(BeNil())
	start := one.history.newest()
	for n := range maxListVersions + 1 {
		one.replace(2, 1, list(4+n))
	}
	change, err := one.changeSince(1, start)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Full).To(BeTrue())
}
