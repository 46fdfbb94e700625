package documentsm

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func apply(g *WithT, m *Machine, c Command) Reply {
	cmd, err := msgpack.Marshal(&c)
	g.Expect(err).NotTo(HaveOccurred())
	var reply Reply
	g.Expect(msgpack.Unmarshal(m.Apply(1, 0, cmd), &reply)).To(Succeed())
	return reply
}

func put(version uint64, body string) Command {
	return Command{Put: &Put{Version: version, Body: []byte(body)}}
}

// Guards against a configuration that reverts to an older version, and against content that
// changes while the version stays the same.
func TestHighestVersionWins(t *testing.T) {
	for _, c := range []struct {
		desc    string
		puts    []Command
		version uint64
		body    string
	}{
		{"first", []Command{put(3, "a")}, 3, "a"},
		{"higher", []Command{put(3, "a"), put(7, "b")}, 7, "b"},
		{"older arrives late", []Command{put(7, "b"), put(3, "a")}, 7, "b"},
		{"same version, other content", []Command{put(7, "b"), put(7, "c")}, 7, "b"},
		{"same content again", []Command{put(7, "b"), put(7, "b")}, 7, "b"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := New()
			var last Reply
			for _, p := range c.puts {
				last = apply(g, m, p)
			}
			s := m.Get()
			g.Expect(s.Version).To(Equal(c.version))
			g.Expect(string(s.Body)).To(Equal(c.body))
			g.Expect(last.Version).To(Equal(c.version))
		})
	}
}

// Guards against an order for an availability zone that was given up, is executed after a later one was
// acknowledged, and undoes it. The steps are the orders in the sequence in which they are executed.
func TestOvertakenZoneOrders(t *testing.T) {
	type step struct {
		out       bool
		order     uint64
		overtaken bool
	}
	for _, c := range []struct {
		desc  string
		steps []step
		out   bool // whether the zone is out of service after the last step
	}{
		{"in sequence", []step{{true, 1, false}, {false, 2, false}, {true, 3, false}}, true},
		{"repeated", []step{{true, 1, false}, {true, 1, false}, {true, 1, false}}, true},
		{"stale return", []step{{true, 1, false}, {false, 2, false}, {true, 3, false}, {false, 2, true}}, true},
		{"stale evacuation", []step{{true, 1, false}, {false, 2, false}, {true, 1, true}}, false},
		{"stale return that was never executed", []step{{true, 1, false}, {true, 2, false}, {false, 2, true}}, true},
		{"two operators with the same number", []step{{true, 1, false}, {false, 1, true}}, true},
		{"a number that was not given out", []step{{true, 9, true}}, false},
		{"without a number", []step{{true, 0, false}, {false, 0, false}, {true, 0, false}}, true},
		{"stale return after an order without a number", []step{{true, 1, false}, {true, 0, false}, {false, 2, true}}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := New()
			for i, s := range c.steps {
				reply := apply(g, m, Command{Zone: &ZoneChange{Zone: "a", Out: s.out, Order: s.order}})
				g.Expect(reply.Overtaken).To(Equal(s.overtaken), "step %d", i)
				data, err := m.Snapshot()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(m.Restore(data)).To(Succeed())
			}
			apply(g, m, Command{Zone: &ZoneChange{Zone: "b", Out: true, Order: 1}})
			state := m.Get()
			g.Expect(state.Out["a"]).To(Equal(c.out))
			g.Expect(state.Out["b"]).To(BeTrue(), "zones are numbered apart")
		})
	}
}

// Guards against an availability zone that returns to service without a command, and against zones
// out of service that are lost in a snapshot.
func TestZonesOut(t *testing.T) {
	g := NewWithT(t)
	m := New()
	g.Expect(apply(g, m, Command{Zone: &ZoneChange{Zone: "a", Out: true}}).Changed).To(BeTrue())
	g.Expect(apply(g, m, Command{Zone: &ZoneChange{Zone: "a", Out: true}}).Changed).To(BeFalse())
	apply(g, m, put(4, "x"))
	data, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := New()
	g.Expect(restored.Restore(data)).To(Succeed())
	s := restored.Get()
	g.Expect(s.ZonesOut()).To(Equal([]string{"a"}))
	g.Expect(s.Version).To(BeEquivalentTo(4))
	apply(g, restored, Command{Zone: &ZoneChange{Zone: "a"}})
	s = restored.Get()
	g.Expect(s.ZonesOut()).To(BeEmpty())
	g.Expect(s.ZoneRevision).To(BeEquivalentTo(2))
}

func retire(host, incarnation string, completed bool) Command {
	return Command{Retire: &Retirement{Host: host, Incarnation: incarnation, Completed: completed}}
}

// Guards against an order that has a second effect when it is repeated, against a host that takes bodies
// again because it lost its disk while it was being retired, and against a host that is still retired after
// it has returned with an empty disk.
func TestRetirement(t *testing.T) {
	g := NewWithT(t)
	m := New()
	g.Expect(apply(g, m, retire("s1", "a", true)).Changed).To(BeFalse(), "not ordered")
	g.Expect(apply(g, m, retire("s1", "a", false)).Changed).To(BeTrue())
	before := m.Get()
	g.Expect(apply(g, m, retire("s1", "b", false)).Changed).To(BeFalse(), "disk lost meanwhile")
	g.Expect(apply(g, m, retire("s1", "b", true)).Changed).To(BeTrue())
	g.Expect(before.Retired["s1"].Completed).To(BeFalse(), "a state that was handed out does not change")
	g.Expect(apply(g, m, retire("s1", "b", false)).Changed).To(BeFalse(), "repeated")
	g.Expect(apply(g, m, retire("s1", "b", true)).Changed).To(BeFalse(), "repeated")

	snapshot, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := New()
	g.Expect(restored.Restore(snapshot)).To(Succeed())
	r := restored.Get().Retired["s1"]
	g.Expect(r.Completed).To(BeTrue())
	g.Expect(r.AppliesTo("b")).To(BeTrue())
	g.Expect(r.AppliesTo("c")).To(BeFalse(), "a new host")
	g.Expect(apply(g, restored, retire("s1", "c", false)).Changed).To(BeTrue())
}

// Guards against a feature that counts as missing again while the log refers to bodies.
func TestFeaturesStay(t *testing.T) {
	g := NewWithT(t)
	m := New()
	g.Expect(apply(g, m, Command{Bodies: &BodiesChange{State: BodiesState{Features: 1}}}).Changed).To(BeTrue())
	g.Expect(apply(g, m, Command{Bodies: &BodiesChange{State: BodiesState{NearlyFull: true}}}).Changed).To(BeTrue())
	g.Expect(m.Get().Bodies).To(Equal(BodiesState{Features: 1, NearlyFull: true}))
}

// Guards against a state that members of build eb04025 and of this one do not read from each other. The file
// is a snapshot of that build after the same commands.
func TestSnapshotOfEarlierBuild(t *testing.T) {
	g := NewWithT(t)
	want, err := os.ReadFile("testdata/eb04025.snapshot")
	g.Expect(err).NotTo(HaveOccurred())
	m := New()
	apply(g, m, put(3, "body"))
	apply(g, m, Command{Zone: &ZoneChange{Zone: "a", Out: true, Order: 1}})
	g.Expect(m.Snapshot()).To(Equal(want))
	restored := New()
	g.Expect(restored.Restore(want)).To(Succeed())
	g.Expect(apply(g, restored, retire("s1", "a", false)).Changed).To(BeTrue())
}
