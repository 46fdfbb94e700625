package gateway

import (
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// eventRecorder parses the server-sent events of a stream. It counts the events that carry data
// and, if keepData is set, keeps their data for the program's history.
type eventRecorder struct {
	keepData bool
	log      *eventLog     // gets the events; nil: they are not logged
	count    int           // without the events that the caller had before
	firstAt  time.Duration // clock time at which the first event ended
	lastAt   time.Duration
	output   []byte // the data of each event, followed by a line feed; also of those that the caller had before

	line    []byte           // incomplete last line
	data    []byte           // data of the incomplete last event
	id      string           // its ID
	ended   []ledgersm.Event // events that are not in the log yet
	hasData bool             // the incomplete event has a data field
	inEvent bool             // a field has begun an event that no blank line has ended
}

const (
	// maxEventBytes bounds a line of the stream together with the event data kept so far.
	maxEventBytes = 256 << 10
	// maxOutputBytes bounds the data that is kept of a stream. It is twice the bound of a
	// program's history.
	maxOutputBytes = 1 << 20
)

// add parses the next bytes of the stream and logs the events that they complete. It fails if an event or the
// kept data grows too long.
func (e *eventRecorder) add(b []byte) error {
	defer e.flushLog()
	for {
		i := bytes.IndexByte(b, '\n')
		if len(e.line)+len(e.data) > maxEventBytes {
			return errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		if len(e.output) > maxOutputBytes {
			return errors.Errorf("the stream has more than %d bytes", maxOutputBytes)
		}
		if i < 0 {
			e.line = append(e.line, b...)
			return nil
		}
		e.line = append(e.line, b[:i]...)
		e.endLine()
		b = b[i+1:]
	}
}

// meanPause returns the mean time between the events, or 0 if there were too few.
func (e *eventRecorder) meanPause() time.Duration {
	const minEvents = 3
	if e.count < minEvents {
		return 0
	}
	return (e.lastAt - e.firstAt) / time.Duration(e.count-1)
}

// checkComplete fails if the bytes so far end inside an event or a line, where no whole stream ends.
func (e *eventRecorder) checkComplete() error {
	if len(e.line) > 0 || e.inEvent {
		return errors.Wrapf(io.ErrUnexpectedEOF, "the stream ends inside an event, after %d whole ones", e.count)
	}
	return nil
}

// flushLog appends the events that have ended to the log.
func (e *eventRecorder) flushLog() {
	e.log.add(e.ended)
	e.ended = nil
}

var (
	dataField     = []byte("data:")
	idField       = []byte("id:")
	commentPrefix = []byte(":")
)

func (e *eventRecorder) endLine() {
	line := bytes.TrimSuffix(e.line, []byte("\r"))
	switch {
	case len(line) == 0:
		e.endEvent()
	case bytes.HasPrefix(line, commentPrefix):
	case bytes.HasPrefix(line, dataField):
		e.inEvent = true
		e.addData(bytes.TrimPrefix(line[len(dataField):], []byte(" ")))
	case bytes.HasPrefix(line, idField):
		e.inEvent = true
		e.id = string(bytes.TrimPrefix(line[len(idField):], []byte(" ")))
	default:
		e.inEvent = true
	}
	e.line = e.line[:0]
}

func (e *eventRecorder) addData(value []byte) {
	if e.keepData {
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	e.hasData = true
}

func (e *eventRecorder) endEvent() {
	e.inEvent = false
	defer func() { e.id = "" }()
	if !e.hasData {
		if e.id != "" {
			e.logEvent(nil)
		}
		return
	}
	e.lastAt = clock.Now()
	if e.count == 0 {
		e.firstAt = e.lastAt
	}
	e.count++
	if e.keepData {
		start := len(e.output)
		e.output = append(e.output, e.data...)
		e.output = append(e.output, '\n')
		e.logEvent(e.output[start:])
	}
	e.data, e.hasData = e.data[:0], false
}

// logEvent adds an event, whose text is not modified any more, to those that go to the log. One without data
// has no text, but a caller may resume the stream after it.
func (e *eventRecorder) logEvent(text []byte) {
	if e.log != nil {
		e.ended = append(e.ended, ledgersm.Event{ID: e.id, Text: slices.Clip(text)})
	}
}
