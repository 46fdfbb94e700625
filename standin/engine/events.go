package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxEvents bounds the number of events kept. Beyond it, the older half is discarded.
const maxEvents = 10_000

// Event is a change of the prefix cache.
type Event struct {
	Seq     uint64 `json:"seq"`
	Op      string `json:"op"` // "stored" or "evicted"
	Session string `json:"session_id"`
	Tokens  int    `json:"tokens"`
	at      time.Time
}

// eventLog publishes cache events with a delay and loses a share of them.
type eventLog struct {
	lag  time.Duration
	loss float64
	mu   sync.Mutex
	seq  uint64
	list []Event
	rng  *rand.Rand
}

func newEventLog(lag time.Duration, loss float64) *eventLog {
	const seed = 1 // the same events are lost in every run
	return &eventLog{lag: lag, loss: loss, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (l *eventLog) add(op, session string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.rng.Float64() < l.loss {
		return
	}
	l.list = append(l.list, Event{Seq: l.seq, Op: op, Session: session, Tokens: tokens, at: time.Now()})
	if len(l.list) > maxEvents {
		l.list = append([]Event(nil), l.list[maxEvents/2:]...)
	}
}

// after returns the published events with a sequence number above n, and the number to pass
// in the next call. If n is above the last sequence number, the engine has restarted since;
// then all published events are returned.
func (l *eventLog) after(n uint64) ([]Event, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > l.seq {
		n = 0
	}
	out := []Event{}
	next := n
	visible := time.Now().Add(-l.lag)
	for _, ev := range l.list {
		if ev.Seq <= n {
			continue
		}
		if ev.at.After(visible) {
			break
		}
		out = append(out, ev)
		next = ev.Seq
	}
	return out, next
}

// restart discards all events and restarts the sequence numbers at 1.
func (l *eventLog) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq, l.list = 0, nil
}
