package entry

import (
	"context"
	"sync"

	"github.com/figlb/figlb/errs"
)

// eventKind is the kind of an event of an answer.
type eventKind int

const (
	eventChunk eventKind = iota
	// eventUsage is the chunk with the token usage. It is sent only to callers that
	// requested it.
	eventUsage
)

// answerEvent is one chunk of an answer, encoded as JSON for callers.
type answerEvent struct {
	kind eventKind
	data []byte
}

// eventLog holds the events of a running turn. A single goroutine appends events; any number
// of readers follow the log, each from its start.
type eventLog struct {
	mu      sync.Mutex
	events  []answerEvent
	done    bool
	apiErr  *errs.Error
	changed chan struct{} // closed and replaced on each change
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (l *eventLog) append(kind eventKind, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, answerEvent{kind: kind, data: data})
	l.notify()
}

// close ends the log. apiErr is nil if the answer is complete and recorded. Only the first
// call has an effect.
func (l *eventLog) close(apiErr *errs.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.apiErr = apiErr
	l.notify()
}

func (l *eventLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// next waits until the log has more than n events or has ended. It returns the events after
// the first n, whether the log has ended, and the error it ended with. err is the error of
// ctx.
func (l *eventLog) next(ctx context.Context, n int) (events []answerEvent, done bool, apiErr *errs.Error, err error) {
	for {
		l.mu.Lock()
		events, done, apiErr = l.events[n:], l.done, l.apiErr
		changed := l.changed
		l.mu.Unlock()
		if len(events) > 0 || done {
			return events, done, apiErr, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, nil, ctx.Err()
		}
	}
}
