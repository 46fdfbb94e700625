package controller

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
)

// follow applies a change to a list as a gateway does.
func follow(g *WithT, held []fleet.Target, change *fleet.TargetChange) []fleet.Target {
	if change == nil {
		return held
	}
	changed, err := change.Changed.Decode()
	g.Expect(err).NotTo(HaveOccurred())
	if change.Whole {
		return changed
	}
	held = slices.DeleteFunc(slices.Clone(held), func(t fleet.Target) bool {
		return slices.Contains(change.Gone, t.ID) || slices.ContainsFunc(changed, func(c fleet.Target) bool { return c.ID == t.ID })
	})
	return inOrder(append(held, changed...))
}

// Guards against a gateway whose list differs from the leader's after a series of changes, of
// which it hears only some, and against changes that hosts are not told.
func TestChangesOfTheList(t *testing.T) {
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
		name  string
		lists [][]fleet.Target // read one second after another
		whole bool             // the gateway, which has heard the first, needs the whole last one
		told  bool
	}{
		{"unchanged", [][]fleet.Target{warm("a", "b"), warm("b", "a")}, false, false},
		{"one more", [][]fleet.Target{warm("a"), warm("a", "b")}, false, true},
		{"one gone", [][]fleet.Target{warm("a", "b"), warm("b")}, false, true},
		{"one gone and back", [][]fleet.Target{warm("a", "b"), warm("b"), warm("a", "b")}, false, false},
		{"drains", [][]fleet.Target{warm("a", "b"), with(warm("a", "b"), func(t *fleet.Target) { t.Draining = true })}, false, true},
		{"another address", [][]fleet.Target{warm("a"), with(warm("a"), func(t *fleet.Target) { t.Address = "x" })}, false, true},
		{"turns cold", [][]fleet.Target{warm("a"), with(warm("a"), cold(3*second))}, false, true},
		{"stays cold", [][]fleet.Target{with(warm("a"), cold(3*second)), with(warm("a"), cold(2*second))}, false, false},
		{"cold for longer", [][]fleet.Target{with(warm("a"), cold(3*second)), with(warm("a"), cold(3*second))}, false, true},
		{"warm again", [][]fleet.Target{with(warm("a"), cold(second)), warm("a")}, false, true},
		{"an entry twice", [][]fleet.Target{warm("a", "a"), warm("a")}, false, false},
	} {
		g := NewWithT(t)
		l := &targetList{}
		l.replace(second, 1, inOrder(c.lists[0]))
		first, err := l.since(1, 0)
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		held := follow(g, nil, first)
		for i, next := range c.lists[1:] {
			l.replace(time.Duration(i+2)*second, 1, inOrder(next))
		}
		change, err := l.since(1, first.Digest)
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		g.Expect(change != nil).To(Equal(c.told), c.name)
		if c.told {
			g.Expect(change.Whole).To(Equal(c.whole), c.name)
			g.Expect(follow(g, held, change)).To(Equal(l.targets), c.name)
		}
	}
}

// Guards against a list that a new leader sends again to all gateways although they hold it,
// and against a gateway that missed more changes than are kept.
func TestListOfAnotherLeader(t *testing.T) {
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
	g.Expect(other.since(2, one.history.newest())).To(BeNil())
	start := one.history.newest()
	for n := range historyLength + 1 {
		one.replace(2, 1, list(4+n))
	}
	change, err := one.since(1, start)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Whole).To(BeTrue())
}
