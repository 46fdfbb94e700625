package ledgersm

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// chunkKeys returns the keys of the chunks of a machine's snapshot.
func chunkKeys(m *Machine) []string {
	s, err := m.ChunkedSnapshot()
	Expect(err).NotTo(HaveOccurred())
	out := []string{}
	for _, c := range s.Chunks {
		out = append(out, c.Key)
	}
	return out
}

// restoreFromSnapshot returns a new machine that is restored from a snapshot of m.
func restoreFromSnapshot(m *Machine) *Machine {
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	out := New()
	Expect(out.Restore(data)).To(Succeed())
	return out
}

var _ = Describe("blocks of turns", func() {
	large := strings.Repeat("x", blockBytes/4)

	// Guards against snapshots that store unchanged blocks again.
	It("are chunks that later snapshots share", func() {
		m := New()
		for i := range 9 {
			keepTurn(m, 0, "acme", fmt.Sprint(i), "", large, "")
		}
		first := chunkKeys(m)
		Expect(first).To(HaveLen(2))
		for i := range 9 {
			keepTurn(m, time.Second, "acme", fmt.Sprint("later", i), "", large, "")
		}
		Expect(chunkKeys(m)[:2]).To(Equal(first))
	})

	// Guards against a member that received its state from another one and splits it into
	// different chunks, so that it stores the data twice.
	It("are the same after a state transfer", func() {
		m := New()
		for i := range 9 {
			keepTurn(m, 0, "acme", fmt.Sprint(i), "", large, "")
		}
		taken, err := m.ChunkedSnapshot()
		Expect(err).NotTo(HaveOccurred())
		split, err := m.SplitSnapshot(taken.Bytes())
		Expect(err).NotTo(HaveOccurred())
		Expect(split.Head).To(Equal(taken.Head))
		other := restoreFromSnapshot(m)
		for _, x := range []*Machine{m, other} {
			for i := range 9 {
				keepTurn(x, time.Second, "acme", fmt.Sprint("later", i), "", large, "")
			}
		}
		Expect(chunkKeys(other)).To(Equal(chunkKeys(m)))
		for i, c := range split.Chunks {
			Expect(c.Key).To(Equal(taken.Chunks[i].Key))
		}
	})

	// Guards against blocks that are kept after all of their turns have expired, and against a
	// wrong byte count, on which the admission of programs depends.
	It("are removed with the last of their turns", func() {
		m := New()
		for i := range 9 {
			keepTurn(m, 0, "acme", fmt.Sprint(i), "", large, "")
		}
		Expect(m.Bytes()).To(BeNumerically(">", 9*blockBytes/4))
		keepTurn(m, 100*time.Second, "acme", "new", "", "a", "A")
		Expect(m.blocks).To(HaveLen(1))
		Expect(m.Bytes()).To(BeNumerically("<", 200))
		Expect(restoreFromSnapshot(m).Bytes()).To(Equal(m.Bytes()))
	})

	// Guards against accepting a state that was truncated in transfer.
	It("are not restored from a truncated snapshot", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		data, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		for n := range data {
			Expect(New().Restore(data[:n])).NotTo(Succeed(), "first %d of %d bytes", n, len(data))
		}
	})

	// Guards against members whose state diverges after some of them have restarted from a snapshot.
	It("do not depend on restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := New(), New()
			now := time.Duration(0)
			for i := range rapid.IntRange(1, 40).Draw(t, "turns") {
				now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second
				previous := ""
				if i > 0 && rapid.Bool().Draw(t, "continues") {
					previous = fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "previous"))
				}
				text := strings.Repeat(fmt.Sprint(i%10), rapid.IntRange(1, blockBytes/2).Draw(t, "size"))
				keepTurn(a, now, "acme", fmt.Sprint(i), previous, text, "")
				keepTurn(b, now, "acme", fmt.Sprint(i), previous, text, "")
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					b = restoreFromSnapshot(b)
				}
				for n := range i + 1 {
					ha, oka := a.History("acme", fmt.Sprint(n))
					hb, okb := b.History("acme", fmt.Sprint(n))
					if oka != okb || string(ha) != string(hb) {
						t.Fatalf("the history of turn %d differs", n)
					}
				}
			}
			if fmt.Sprint(chunkKeys(a)) != fmt.Sprint(chunkKeys(b)) || a.Bytes() != b.Bytes() {
				t.Fatalf("the blocks differ")
			}
		})
	})
})
