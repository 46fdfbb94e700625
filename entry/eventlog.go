package entry

import (
	"context"
	"sync"

	"github.com/figlb/figlb/errs"
)

// eventKind tells what an event of an answer is.
type eventKind int

const (
	eventChunk eventKind = iota
	// eventUsage is the chunk that only callers get who asked for it.
	eventUsage
)

// answerEvent is one chunk for callers, as JSON.
type answerEvent struct {
	kind eventKind
	data []byte
}

// eventLog holds the events of one running turn. One goroutine appends; any number
// of readers follow, each from the start.
type eventLog struct {
	mu      sync.Mutex
	events  []answerEvent
	done    bool
	fail    *errs.Error
	changed chan struct{} // closed and replaced at each change
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (l *eventLog) append(kind eventKind, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, answerEvent{kind: kind, data: data})
	l.notify()
}

// close ends the log; fail is nil for a complete and recorded answer. Only the first
// call has an effect.
func (l *eventLog) close(fail *errs.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.fail = fail
	l.notify()
}

func (l *eventLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// next waits for events after the first n. It returns them, whether the log has ended
// with them, and the failure it ended with. An error is ctx's.
func (l *eventLog) next(ctx context.Context, n int) (events []answerEvent, done bool, fail *errs.Error, err error) {
	for {
		l.mu.Lock()
		events, done, fail = l.events[n:], l.done, l.fail
		changed := l.changed
		l.mu.Unlock()
		if len(events) > 0 || done {
			return events, done, fail, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, nil, ctx.Err()
		}
	}
}
