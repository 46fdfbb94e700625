package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/statemachine/ledgersm"
)

// idleEventLogs returns logs of events that start no call, so that a test takes and ends the calls itself.
func idleEventLogs() *eventLogs {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return &eventLogs{g: &Gateway{ctx: ctx}}
}

func textEvents(texts ...string) []ledgersm.Event {
	var out []ledgersm.Event
	for _, t := range texts {
		out = append(out, ledgersm.Event{ID: t, Text: []byte(t)})
	}
	return out
}

// Guards against events that wait in the process for the reply to those before, and against events that are lost or
// counted twice because replies arrive in another order than their calls.
func TestEventBatchesInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	l := idleEventLogs()
	e := l.open("acme", "a", "a", time.Hour)
	e.add(textEvents("1", "2"))
	first := l.takeBatches()
	e.add(textEvents("3"))
	second := l.takeBatches()
	g.Expect(first.req.Batches[0].Events).To(Equal(textEvents("1", "2")))
	g.Expect(second.req.Batches[0].First).To(BeZero())
	g.Expect(second.req.Batches[0].Events).To(Equal(textEvents("1", "2", "3")))
	e.confirm(&second.req.Batches[0], 3)
	e.confirm(&first.req.Batches[0], 2) // the earlier call is answered later
	g.Expect(e.dropped).To(BeFalse())
	g.Expect(e.unconfirmed).To(BeEmpty())
	e.add(textEvents("4"))
	third := l.takeBatches()
	g.Expect(third.req.Batches[0].First).To(Equal(3))
	g.Expect(third.req.Batches[0].Events).To(Equal(textEvents("4")))
	g.Expect(e.total()).To(Equal(4))
}

// Guards against a log that goes on after the ledger has closed it or lost events of it.
func TestClosedEventLogTakesNoMore(t *testing.T) {
	for _, held := range []int{ledgersm.LogClosed, 1, 9} {
		g := NewWithT(t)
		l := idleEventLogs()
		e := l.open("acme", "a", "a", time.Hour)
		e.add(textEvents("1", "2"))
		e.confirm(&l.takeBatches().req.Batches[0], 2)
		e.add(textEvents("3"))
		e.confirm(&l.takeBatches().req.Batches[0], held)
		g.Expect(e.dropped).To(BeTrue(), "held %d", held)
		e.add(textEvents("4"))
		g.Expect(l.waiting).To(BeEmpty(), "held %d", held)
	}
}

// Guards against a long stream that is held once for each of many calls while the ledger does not respond.
func TestCallsOfOneStreamAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := idleEventLogs()
	e := l.open("acme", "a", "a", time.Hour)
	for range maxStreamCalls {
		e.add(textEvents("x"))
		g.Expect(l.takeBatches().streams).To(HaveLen(1))
	}
	e.add(textEvents("x"))
	g.Expect(l.takeBatches().streams).To(BeEmpty())
	e.calls--
	l.enqueue(e)
	g.Expect(l.takeBatches().req.Batches[0].Events).To(HaveLen(maxStreamCalls + 1))
}
