package ledgersm

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledgersm")
}

// History joins the parts of a chain without references.
func (m *Machine) History(org, lastTurn string) ([]byte, bool) {
	parts, ok := m.Parts(org, lastTurn)
	var out []byte
	for _, p := range parts {
		out = append(out, p.Inline...)
	}
	return out, ok
}

func apply(m *Machine, now time.Duration, c Command) Reply {
	cmd, err := msgpack.Marshal(&c)
	Expect(err).NotTo(HaveOccurred())
	var reply Reply
	Expect(msgpack.Unmarshal(m.Apply(1, now, cmd), &reply)).To(Succeed())
	return reply
}

func reserve(m *Machine, now time.Duration, attempt string, budget, tokens int64) Verdict {
	return apply(m, now, Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: attempt, Budget: budget, Tokens: tokens, Retention: time.Minute}}).Verdict
}

func settle(m *Machine, now time.Duration, attempt string, tokens int64) {
	apply(m, now, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: attempt, Tokens: tokens, Retention: time.Minute}})
}

func keepTurn(m *Machine, now time.Duration, org, id, previous, in, out string) {
	apply(m, now, Command{Settle: &Settle{Org: org, Program: "p", Attempt: id, Keep: true, Previous: previous,
		Input: []byte(in), Output: []byte(out), Retention: time.Minute}})
}

// continueTurn reserves tokens for a turn of a program without a budget, which may run for the given
// time.
func continueTurn(m *Machine, now time.Duration, attempt, previous string, hold time.Duration) Verdict {
	return apply(m, now, Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: attempt, Tokens: 1, Previous: previous,
		Retention: time.Minute, Hold: hold, WillKeep: true}}).Verdict
}

var _ = Describe("budgets", func() {
	// Guards against concurrent turns that together exceed the budget of their program.
	It("counts reservations in full and settled turns by the tokens they used", func() {
		m := New()
		Expect(reserve(m, 0, "a", 100, 60)).To(Equal(OK))
		Expect(reserve(m, 0, "b", 100, 60)).To(Equal(BudgetExhausted))
		settle(m, 0, "a", 20)
		Expect(reserve(m, 0, "b", 100, 60)).To(Equal(OK))
		Expect(reserve(m, 0, "c", 100, 21)).To(Equal(BudgetExhausted))
		Expect(reserve(m, 0, "c", 100, 20)).To(Equal(OK))
	})

	// Guards against counting a resent reservation or settlement twice.
	It("applies resent commands once", func() {
		m := New()
		Expect(reserve(m, 0, "a", 100, 60)).To(Equal(OK))
		Expect(reserve(m, 0, "a", 100, 60)).To(Equal(OK))
		settle(m, 0, "a", 50)
		settle(m, 0, "a", 50)
		Expect(reserve(m, 0, "b", 100, 50)).To(Equal(OK))
	})

	// Guards against a program that exceeds its budget after all members have restarted.
	It("keeps budgets across a snapshot", func() {
		m := New()
		Expect(reserve(m, 0, "a", 100, 60)).To(Equal(OK))
		data, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := New()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(reserve(restored, 0, "b", 100, 60)).To(Equal(BudgetExhausted))
	})

	// Guards against a program that gets a new budget because it was removed before the end of its
	// retention, and against programs that are kept for ever.
	It("removes a program after its retention and not before", func() {
		m := New()
		Expect(reserve(m, 0, "a", 100, 100)).To(Equal(OK))
		Expect(reserve(m, 59*time.Second, "b", 100, 100)).To(Equal(BudgetExhausted))
		Expect(reserve(m, 130*time.Second, "c", 100, 100)).To(Equal(OK))
		programs, _ := m.Counts()
		Expect(programs).To(Equal(1))
	})

	// Guards against a program that gets a new budget because it was removed while a turn ran that
	// takes longer than the retention.
	It("keeps a program while a turn may run", func() {
		m := New()
		command := func(attempt string) Command {
			return Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: attempt, Budget: 100, Tokens: 100, Retention: time.Second, Hold: time.Minute}}
		}
		Expect(apply(m, 0, command("a")).Verdict).To(Equal(OK))
		Expect(apply(m, 50*time.Second, command("b")).Verdict).To(Equal(BudgetExhausted))
	})

	// Guards against any sequence of commands after which the reserved and spent tokens of a
	// program exceed its budget.
	It("never exceeds the budget", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := New()
			budget := rapid.Int64Range(1, 500).Draw(t, "budget")
			for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "attempt"))
				p := m.programs[key("acme", "p")]
				if rapid.Bool().Draw(t, "reserve") {
					reserve(m, time.Duration(i), id, budget, rapid.Int64Range(0, 200).Draw(t, "tokens"))
				} else if p != nil {
					settle(m, time.Duration(i), id, rapid.Int64Range(0, p.Reservations[id]).Draw(t, "used"))
				}
				if p = m.programs[key("acme", "p")]; p != nil && p.Spent+p.reserved() > budget {
					t.Fatalf("spent %d and reserved %d of %d", p.Spent, p.reserved(), budget)
				}
			}
		})
	})
})

var _ = Describe("turns", func() {
	// Guards against a history that misses a turn, contains a turn of another branch, or is in the
	// wrong order.
	It("returns the chain of a turn, oldest first", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		keepTurn(m, 0, "acme", "2", "1", "b", "B")
		keepTurn(m, 0, "acme", "2x", "1", "x", "X")
		keepTurn(m, 0, "acme", "3", "2", "c", "C")
		h, ok := m.History("acme", "3")
		Expect(ok).To(BeTrue())
		Expect(string(h)).To(Equal("aAbBcC"))
		h, ok = m.History("acme", "2x")
		Expect(ok).To(BeTrue())
		Expect(string(h)).To(Equal("aAxX"))
	})

	// Guards against an organisation that continues a turn of another organisation.
	It("keeps the turns of organisations apart", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		_, ok := m.History("other", "1")
		Expect(ok).To(BeFalse())
		reply := apply(m, 0, Command{Reserve: &Reserve{Org: "other", Program: "q", Attempt: "2", Previous: "1"}})
		Expect(reply.Verdict).To(Equal(UnknownTurn))
	})

	// Guards against removing an early turn of a chain that is still being continued.
	It("keeps all turns of a chain as long as its last turn", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		keepTurn(m, 50*time.Second, "acme", "2", "1", "b", "B")
		keepTurn(m, 100*time.Second, "acme", "3", "2", "c", "C")
		keepTurn(m, 158*time.Second, "acme", "other", "", "z", "Z")
		h, ok := m.History("acme", "3")
		Expect(ok).To(BeTrue())
		Expect(string(h)).To(Equal("aAbBcC"))
		keepTurn(m, 400*time.Second, "acme", "other2", "", "z", "Z")
		_, ok = m.History("acme", "3")
		Expect(ok).To(BeFalse(), "turns are removed after their retention")
	})

	// Guards against a turn whose history is lost because the turn before it expires while it runs:
	// nothing could continue from it, although it was answered whole.
	It("keeps the chain that a running turn continues", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		keepTurn(m, 0, "acme", "2", "1", "b", "B")
		begin := 59 * time.Second
		Expect(continueTurn(m, begin, "3", "2", 10*time.Second)).To(Equal(OK))
		keepTurn(m, begin+9*time.Second, "acme", "3", "2", "c", "C")
		keepTurn(m, begin+65*time.Second, "acme", "other", "", "z", "Z")
		h, ok := m.History("acme", "3")
		Expect(ok).To(BeTrue())
		Expect(string(h)).To(Equal("aAbBcC"))
	})

	// Guards against turns that are kept for ever because a turn that continues from them never ends:
	// its host is lost.
	It("removes a chain after the longest time of a turn that never ends", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		Expect(continueTurn(m, 59*time.Second, "2", "1", 10*time.Second)).To(Equal(OK))
		keepTurn(m, 90*time.Second, "acme", "other", "", "z", "Z")
		_, ok := m.History("acme", "1")
		Expect(ok).To(BeFalse())
	})

	// Guards against a turn that extends a chain although it may not run.
	It("does not keep a chain for a turn that is refused", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		Expect(reserve(m, 50*time.Second, "x", 10, 10)).To(Equal(OK))
		Expect(continueTurn(m, 59*time.Second, "2", "1", time.Minute)).To(Equal(BudgetExhausted))
		keepTurn(m, 70*time.Second, "acme", "other", "", "z", "Z")
		_, ok := m.History("acme", "1")
		Expect(ok).To(BeFalse())
	})

	// Guards against acknowledging a turn that nothing can continue from, after an outage that was
	// longer than the time for which its chain was kept.
	It("does not acknowledge a turn whose chain is gone", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		Expect(continueTurn(m, 50*time.Second, "2", "1", time.Second)).To(Equal(OK))
		reply := apply(m, 200*time.Second, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "2", Tokens: 7, Keep: true, Previous: "1", Retention: time.Minute}})
		Expect(reply.Verdict).To(Equal(UnknownTurn))
		_, turns := m.Counts()
		Expect(turns).To(BeZero())
	})

	// Guards against any sequence of turns, long ones included, after which a turn that was
	// acknowledged cannot be continued within its retention.
	It("returns the history of every acknowledged turn until the end of its retention", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := New()
			now := time.Duration(0)
			acknowledged := map[string]time.Duration{}
			want := map[string]string{}
			running := map[string]string{} // the turn before, by turn
			ids := []string{""}
			for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Second
				id := fmt.Sprint(i)
				previous := rapid.SampledFrom(ids).Draw(t, "previous")
				if continueTurn(m, now, id, previous, 2*time.Minute) == OK {
					running[id] = previous
				}
				for _, id := range slices.Sorted(maps.Keys(running)) {
					if !rapid.Bool().Draw(t, "ends") {
						continue
					}
					previous := running[id]
					delete(running, id)
					reply := apply(m, now, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: id, Keep: true,
						Previous: previous, Input: []byte(id + ","), Retention: time.Minute}})
					if reply.Verdict == OK {
						acknowledged[id], want[id] = now, want[previous]+id+","
						ids = append(ids, id)
					}
				}
				for id, at := range acknowledged {
					if now-at > time.Minute {
						continue
					}
					if h, ok := m.History("acme", id); !ok || string(h) != want[id] {
						t.Fatalf("turn %s, acknowledged %v ago: history %q, known: %t, want %q", id, now-at, h, ok, want[id])
					}
				}
			}
		})
	})

	// Guards against a resent settlement that replaces the recorded turn.
	It("keeps the first settlement of a turn", func() {
		m := New()
		keepTurn(m, 0, "acme", "1", "", "a", "A")
		keepTurn(m, 0, "acme", "1", "", "b", "B")
		h, _ := m.History("acme", "1")
		Expect(string(h)).To(Equal("aA"))
	})
})

// Guards against a command that cannot be decoded and stops the group.
func TestMalformedCommand(t *testing.T) {
	g := NewWithT(t)
	for _, cmd := range []string{"", "x", strings.Repeat("\xff", 100)} {
		var reply Reply
		g.Expect(msgpack.Unmarshal(New().Apply(1, 0, []byte(cmd)), &reply)).To(Succeed())
		g.Expect(reply.Verdict).To(Equal(Malformed))
	}
}

// beginStream and resumeStream reserve a turn whose stream can be resumed.
func beginStream(m *Machine, now time.Duration, attempt, version string, revision uint32) Reply {
	return reserveStream(m, now, attempt, StreamRecord{Source: StreamSource{Service: "lm", Version: version}, Revision: revision, Keep: 10 * time.Second})
}

func resumeStream(m *Machine, now time.Duration, attempt, origin string) Reply {
	return reserveStream(m, now, attempt, StreamRecord{Resumes: true, Origin: origin, Revision: 1, Keep: 10 * time.Second})
}

func reserveStream(m *Machine, now time.Duration, attempt string, r StreamRecord) Reply {
	return apply(m, now, Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: attempt, Budget: 100, Tokens: 10, Retention: time.Minute, Stream: &r}})
}

var _ = Describe("sources of streams", func() {
	record := func(m *Machine, now time.Duration, org, attempt, version string, revision uint32) {
		apply(m, now, Command{Stream: &RecordStream{Org: org, Attempt: attempt,
			Stream: StreamRecord{Source: StreamSource{Service: "lm", Version: version}, Revision: revision, Keep: 10 * time.Second}}})
	}

	// Guards against a record that is delivered late and replaces the source of the events that the
	// caller has got.
	It("keep the record with the highest revision", func() {
		m := New()
		beginStream(m, 0, "a", "v1", 1)
		record(m, 0, "acme", "a", "v2", 2)
		record(m, 0, "acme", "a", "v1", 1)
		beginStream(m, 0, "a", "v1", 1)
		Expect(resumeStream(m, 0, "b", "a").Source).To(Equal(StreamSource{Service: "lm", Version: "v2"}))
		Expect(resumeStream(m, 0, "c", "b").Source.Version).To(Equal("v2"), "an attempt that resumed the stream")
	})

	// Guards against streams of other organisations, and against reservations of turns that are refused.
	It("are known to their organisation only, and nothing is reserved for an unknown one", func() {
		m := New()
		record(m, 0, "other", "a", "v1", 1)
		Expect(resumeStream(m, 0, "b", "a").Verdict).To(Equal(UnknownStream))
		Expect(reserve(m, 0, "c", 100, 100)).To(Equal(OK))
	})

	// Guards against a caller that does not name the attempt and gets the rest from another version, and
	// against one that is refused although its program has known one version only.
	It("are known by the program if all its streams had the same", func() {
		m := New()
		beginStream(m, 0, "a", "v1", 1)
		beginStream(m, 0, "b", "v1", 1)
		Expect(resumeStream(m, 0, "c", "").Source.Version).To(Equal("v1"))
		record(m, 0, "acme", "other", "v2", 1)
		Expect(resumeStream(m, 0, "d", "").Source.Version).To(Equal("v1"), "a stream of no program")
		apply(m, 0, Command{Stream: &RecordStream{Org: "acme", Program: "p", Attempt: "b",
			Stream: StreamRecord{Source: StreamSource{Service: "lm", Version: "v2"}, Revision: 2, Keep: time.Second}}})
		Expect(resumeStream(m, 0, "e", "").Verdict).To(Equal(UnknownStream), "a turn that went to another version")
		Expect(resumeStream(m, 0, "f", "b").Source.Version).To(Equal("v2"))
		other := New()
		beginStream(other, 0, "a", "", 1)
		beginStream(other, 0, "b", "v1", 1)
		Expect(resumeStream(other, 0, "c", "").Verdict).To(Equal(UnknownStream), "a turn whose source was not known")
		Expect(resumeStream(New(), 0, "c", "").Verdict).To(Equal(UnknownStream), "a program that is not known")
	})

	// Guards against records that accumulate, and against one that expires while its stream is resumed.
	It("are kept as long as the caller waits, and shortly after the end of the stream", func() {
		m := New()
		beginStream(m, 0, "a", "v1", 1)
		beginStream(m, 0, "ended", "v1", 1)
		apply(m, time.Second, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "ended", StreamEnded: true}})
		Expect(resumeStream(m, 9*time.Second, "b", "a").Verdict).To(Equal(OK))
		Expect(resumeStream(m, 9*time.Second, "c", "ended").Verdict).To(Equal(UnknownStream))
		Expect(resumeStream(m, 18*time.Second, "d", "a").Verdict).To(Equal(OK))
		reserve(m, time.Minute, "e", 100, 1)
		Expect(m.streams).To(BeEmpty())
	})

	// Guards against a member that restarts or is caught up with a snapshot and no longer knows the sources.
	It("are part of snapshots", func() {
		m, restored := New(), New()
		beginStream(m, 0, "a", "v1", 1)
		body, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(body)).To(Succeed())
		Expect(resumeStream(restored, 0, "b", "a").Source.Version).To(Equal("v1"))
		empty, err := New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(empty)).To(Succeed())
		Expect(resumeStream(restored, 0, "b", "a").Verdict).To(Equal(UnknownStream))
	})
})
