package documentsm

import (
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
