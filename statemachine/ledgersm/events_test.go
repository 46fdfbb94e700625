package ledgersm

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

const logKeep = 20 * time.Second

// reserveLogged reserves a turn of program p that begins a stream, or resumes that of origin after an event.
func reserveLogged(m *Machine, now time.Duration, attempt, origin, after string) Reply {
	return apply(m, now, Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: attempt, Tokens: 1, Retention: time.Minute, WillKeep: true,
		Log: &LogRequest{Resumes: after != "", Origin: origin, After: after, Keep: logKeep}}})
}

// settleLogged settles an attempt that has brought a number of events.
func settleLogged(m *Machine, now time.Duration, origin, attempt string, events int) {
	apply(m, now, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: attempt, Log: origin, LogEvents: events, Retention: time.Minute}})
}

// event returns an event whose text differs by attempt and number.
func event(attempt string, id int) Event {
	return Event{ID: strconv.Itoa(id), Text: fmt.Appendf(nil, "%s says %d\n", attempt, id)}
}

// appendLogged appends the events first to last of an attempt that began after event before, and returns the
// number of its events that the log holds.
func appendLogged(m *Machine, now time.Duration, origin, attempt string, before, first, last int) int {
	b := EventBatch{Org: "acme", Origin: origin, Attempt: attempt, First: first - before - 1}
	for i := first; i <= last; i++ {
		b.Events = append(b.Events, event(attempt, i))
	}
	return apply(m, now, Command{Events: &AppendEvents{Batches: []EventBatch{b}}}).Held[0]
}

// textOf returns the text of the events first to last of an attempt.
func textOf(attempt string, first, last int) string {
	var out strings.Builder
	for i := first; i <= last; i++ {
		out.Write(event(attempt, i).Text)
	}
	return out.String()
}

var _ = Describe("logs of streams", func() {
	var m *Machine
	BeforeEach(func() { m = New() })

	// Guards against an attempt that gets the events of an earlier one beyond those that its caller has.
	It("return the events up to the one that the caller names, over several attempts", func() {
		Expect(reserveLogged(m, 0, "a", "", "").Log).To(Equal(&LogReply{Origin: "a"}))
		Expect(appendLogged(m, 0, "a", "a", 0, 1, 8)).To(Equal(8))
		r := reserveLogged(m, 0, "b", "a", "5")
		Expect(r.Verdict).To(Equal(OK))
		Expect(string(r.Log.Before)).To(Equal(textOf("a", 1, 5)))
		Expect(appendLogged(m, 0, "a", "a", 0, 9, 9)).To(Equal(LogClosed), "its caller has left")
		Expect(appendLogged(m, 0, "a", "b", 5, 6, 7)).To(Equal(2))
		r = reserveLogged(m, 0, "c", "a", "7")
		Expect(r.Verdict).To(Equal(OK))
		Expect(string(r.Log.Before)).To(Equal(textOf("a", 1, 5) + textOf("b", 6, 7)))
		Expect(reserveLogged(m, 0, "d", "a", "5").Verdict).To(Equal(EventsUnknown), "given up before c")
	})

	// Guards against an attempt that is refused because the one before it brought no event.
	It("can be resumed at the same event again", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		for _, attempt := range []string{"b", "c", "d", "c"} {
			r := reserveLogged(m, 0, attempt, "a", "3")
			Expect(r.Verdict).To(Equal(OK))
			Expect(string(r.Log.Before)).To(Equal(textOf("a", 1, 3)))
		}
		Expect(appendLogged(m, 0, "a", "d", 3, 4, 4)).To(Equal(1))
		Expect(reserveLogged(m, 0, "e", "a", "4").Verdict).To(Equal(EventsMissing), "b and c may have brought it too")
		settleLogged(m, 0, "a", "b", 0)
		settleLogged(m, 0, "a", "c", 0)
		Expect(string(reserveLogged(m, 0, "e", "a", "4").Log.Before)).To(Equal(textOf("a", 1, 3) + textOf("d", 4, 4)))
	})

	// Guards against events of an attempt that the caller has given up, which arrives late.
	It("don't choose between attempts that have brought different events", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		reserveLogged(m, 0, "b", "a", "3")
		reserveLogged(m, 0, "late", "a", "3")
		appendLogged(m, 0, "a", "b", 3, 4, 6)
		appendLogged(m, 0, "a", "late", 3, 4, 5)
		Expect(reserveLogged(m, 0, "c", "a", "5").Verdict).To(Equal(EventsUnknown))
		Expect(reserveLogged(m, 0, "c", "a", "6").Verdict).To(Equal(EventsMissing), "late may have brought it too")
		settleLogged(m, 0, "a", "late", 2)
		Expect(reserveLogged(m, 0, "c", "a", "6").Verdict).To(Equal(OK))
	})

	// Guards against a refusal for good while the last events are on their way, and against an answer without them.
	It("tell whether events may still follow", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		Expect(reserveLogged(m, 0, "b", "a", "4").Verdict).To(Equal(EventsMissing))
		Expect(m.programs[key("acme", "p")].Reservations).NotTo(HaveKey("b"))
		appendLogged(m, 0, "a", "a", 0, 4, 4)
		Expect(reserveLogged(m, 0, "b", "a", "4").Verdict).To(Equal(OK))
		Expect(reserveLogged(m, 0, "c", "no-such-attempt", "4").Verdict).To(Equal(EventsUnknown))
	})

	// Guards against a log that continues another conversation.
	It("belong to one organisation, program and previous turn", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		keepTurn(m, 0, "acme", "earlier", "", "in", "out")
		for _, r := range []Reserve{
			{Org: "other", Program: "p"},
			{Org: "acme", Program: "q"},
			{Org: "acme", Program: "p", Previous: "earlier"},
		} {
			for _, origin := range []string{"a", ""} {
				r.Attempt, r.Log = "b", &LogRequest{Resumes: true, Origin: origin, After: "3", Keep: logKeep}
				Expect(apply(m, 0, Command{Reserve: &r}).Verdict).To(Equal(EventsUnknown))
			}
		}
	})

	// Guards against callers that don't name the attempt and are refused, or get the events of another stream.
	It("are found without the name of the attempt if only one fits", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		reserveLogged(m, 0, "other", "", "")
		r := reserveLogged(m, 0, "b", "", "3")
		Expect(r.Verdict).To(Equal(OK))
		Expect(*r.Log).To(Equal(LogReply{Origin: "a", Before: []byte(textOf("a", 1, 3))}))
		Expect(reserveLogged(m, 0, "b", "", "3").Log).To(Equal(r.Log), "sent again")
		appendLogged(m, 0, "other", "other", 0, 1, 3)
		Expect(reserveLogged(m, 0, "c", "", "3").Verdict).To(Equal(EventsUnknown))
	})

	// Guards against a reservation that is sent again and puts the first events after the later ones.
	It("don't take events of the first attempt after those of a later one", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		reserveLogged(m, 0, "b", "a", "3")
		reserveLogged(m, 0, "a", "", "")
		Expect(appendLogged(m, 0, "a", "a", 0, 1, 3)).To(Equal(LogClosed))
	})

	// Guards against events that are held twice or with a gap after a call whose reply was lost.
	It("take repeated and overlapping batches once, and none after a gap", func() {
		reserveLogged(m, 0, "a", "", "")
		Expect(appendLogged(m, 0, "a", "a", 0, 1, 3)).To(Equal(3))
		Expect(appendLogged(m, 0, "a", "a", 0, 1, 3)).To(Equal(3))
		Expect(appendLogged(m, 0, "a", "a", 0, 2, 5)).To(Equal(5))
		Expect(appendLogged(m, 0, "a", "a", 0, 7, 8)).To(Equal(5))
		Expect(string(reserveLogged(m, 0, "b", "a", "5").Log.Before)).To(Equal(textOf("a", 1, 5)))
	})

	// Guards against logs that stay, and against one that is gone when the caller has lost the end of a stream.
	It("are kept as long as a caller may come back", func() {
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		apply(m, time.Second, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "a", StreamEnded: true, Log: "a", LogEvents: 3, Retention: time.Minute}})
		Expect(reserveLogged(m, time.Second+endedStreamRetention-time.Millisecond, "b", "a", "2").Verdict).To(Equal(OK))
		settle(m, time.Minute, "x", 0)
		Expect(m.logs).To(BeEmpty())
		Expect(m.logBytes).To(BeZero())
	})

	// Guards against logs of turns that were refused after their reservation.
	It("are removed with a turn that has not run", func() {
		reserveLogged(m, 0, "a", "", "")
		apply(m, 0, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "a", Log: "a", Retention: time.Minute}})
		Expect(m.logs).To(BeEmpty())
		reserveLogged(m, 0, "b", "", "")
		appendLogged(m, 0, "b", "b", 0, 1, 3)
		reserveLogged(m, 0, "c", "b", "2")
		apply(m, 0, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "c", Log: "b", Retention: time.Minute}})
		Expect(reserveLogged(m, 0, "d", "b", "2").Verdict).To(Equal(OK))
	})

	// Guards against logs that outgrow the memory of their hosts.
	It("are bounded together", func() {
		text := []byte(strings.Repeat("x", 1<<20))
		held := 0
		for i := range 2 * maxLogBytes >> 20 {
			attempt := strconv.Itoa(i)
			reserveLogged(m, 0, attempt, "", "")
			b := EventBatch{Org: "acme", Origin: attempt, Attempt: attempt, Events: []Event{{ID: "1", Text: text}}}
			if apply(m, 0, Command{Events: &AppendEvents{Batches: []EventBatch{b}}}).Held[0] == 1 {
				held++
			}
		}
		Expect(held).To(Equal(maxLogBytes>>20 - 1))
		Expect(m.logBytes).To(BeNumerically("<=", maxLogBytes))
	})

	// Guards against a controller that is started from a snapshot of the build before, or by that build from one of this.
	It("are unknown to the build before and harm neither", func() {
		type indexBefore struct {
			Streams   map[string]*stream `msgpack:"e,omitempty"`
			LastBlock uint64             `msgpack:"l"`
		}
		reserveLogged(m, 0, "a", "", "")
		appendLogged(m, 0, "a", "a", 0, 1, 3)
		encoded, err := msgpack.Marshal(&index{Streams: map[string]*stream{"s": {Revision: 3}}, Logs: m.logs, LastBlock: 7})
		Expect(err).NotTo(HaveOccurred())
		var old indexBefore
		Expect(msgpack.Unmarshal(encoded, &old)).To(Succeed())
		Expect(old.LastBlock).To(Equal(uint64(7)))
		Expect(old.Streams["s"].Revision).To(Equal(uint32(3)))
		encoded, err = msgpack.Marshal(&old)
		Expect(err).NotTo(HaveOccurred())
		var idx index
		Expect(msgpack.Unmarshal(encoded, &idx)).To(Succeed())
		Expect(idx.Logs).To(BeEmpty())
	})
})

// streamCaller models a caller of one stream, its attempts and the gateways that handle them.
type streamCaller struct {
	m        *Machine
	attempts []*callerAttempt
	held     []Event // what the caller has
}

// callerAttempt is one attempt of a streamCaller.
type callerAttempt struct {
	name  string
	base  int    // number of events that the caller had
	text  string // of these
	runs  bool   // the gateway has its reservation
	ended bool   // the gateway has settled it
	made  []Event
	sent  int // events that the ledger has confirmed
	after string
}

func (c *streamCaller) origin() string { return c.attempts[0].name }

// reserve has the gateway of an attempt reserve the turn, perhaps again or late.
func (c *streamCaller) reserve(t *rapid.T, a *callerAttempt) {
	r := reserveLogged(c.m, 0, a.name, c.origin(), a.after)
	if r.Verdict != OK {
		return
	}
	if got := string(r.Log.Before); a == c.attempts[len(c.attempts)-1] && got != a.text {
		t.Fatalf("attempt %s gets %q, its caller has %q", a.name, got, a.text)
	}
	a.runs = !a.ended // a reservation may arrive again after its attempt has ended
}

// Guards against a history that differs from what the caller has read, whatever arrives late, twice or never,
// and whichever member answers.
func TestLogsHoldWhatTheCallerHasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		c := &streamCaller{m: New(), attempts: []*callerAttempt{{name: "a0"}}}
		pick := func(t *rapid.T) *callerAttempt {
			return c.attempts[rapid.IntRange(0, len(c.attempts)-1).Draw(t, "attempt")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) { c.reserve(t, pick(t)) },
			"make": func(t *rapid.T) {
				if a := pick(t); a.runs {
					a.made = append(a.made, event(a.name, a.base+len(a.made)+1))
				}
			},
			"append": func(t *rapid.T) {
				a := pick(t)
				first, last := rapid.IntRange(0, a.sent).Draw(t, "first"), rapid.IntRange(0, len(a.made)).Draw(t, "last")
				if first >= last {
					return
				}
				b := EventBatch{Org: "acme", Origin: c.origin(), Attempt: a.name, First: first, Events: a.made[first:last]}
				if held := apply(c.m, 0, Command{Events: &AppendEvents{Batches: []EventBatch{b}}}).Held[0]; held > a.sent {
					a.sent = held
				}
			},
			"read": func(t *rapid.T) {
				a := c.attempts[len(c.attempts)-1]
				n := rapid.IntRange(0, len(a.made)).Draw(t, "read")
				if a.base+n > len(c.held) {
					c.held = append(c.held[:a.base:a.base], a.made[:n]...)
				}
			},
			"resume": func(t *rapid.T) {
				a := &callerAttempt{name: fmt.Sprint("a", len(c.attempts)), base: len(c.held)}
				if a.base == 0 || len(c.attempts) > 8 {
					return
				}
				a.after = c.held[a.base-1].ID
				for _, e := range c.held {
					a.text += string(e.Text)
				}
				c.attempts = append(c.attempts, a)
			},
			"settle": func(t *rapid.T) {
				if a := pick(t); a.runs {
					settleLogged(c.m, 0, c.origin(), a.name, len(a.made))
					a.runs, a.ended = false, true
				}
			},
			"restore": func(t *rapid.T) {
				encoded, err := c.m.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				restored := New()
				Expect(restored.Restore(encoded)).To(Succeed())
				Expect(restored.logBytes).To(Equal(c.m.logBytes))
				c.m = restored
			},
		})
	})
}

// BenchmarkAppendEvents measures the cost of the events of running streams to a member: one command with one
// event of 180 bytes of each of 64 streams, encoded, decoded and applied.
func BenchmarkAppendEvents(b *testing.B) {
	RegisterTestingT(b)
	const streams, textBytes = 64, 180
	text := []byte(strings.Repeat("x", textBytes-1) + "\n")
	m, now := New(), time.Duration(0)
	for i := range b.N {
		if i%100 == 0 { // streams of 100 events
			m = New()
			for s := range streams {
				reserveLogged(m, now, fmt.Sprint("a", s), "", "")
			}
		}
		c := &AppendEvents{}
		for s := range streams {
			name := fmt.Sprint("a", s)
			c.Batches = append(c.Batches, EventBatch{Org: "acme", Origin: name, Attempt: name, First: i % 100, Events: []Event{{ID: strconv.Itoa(i % 100), Text: text}}})
		}
		if held := apply(m, now, Command{Events: c}).Held; held[streams-1] != i%100+1 {
			b.Fatal("events were not appended: ", held)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/streams, "ns/event")
}
