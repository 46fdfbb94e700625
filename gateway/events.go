package gateway

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/clock"
)

// eventRecorder follows the events of a stream: it counts those that carry data and keeps
// their data for the history of a program.
type eventRecorder struct {
	keep   bool
	events int
	first  time.Duration // when the first event ended
	last   time.Duration
	output []byte // the data of each event and a line feed

	line []byte // the line that is not complete yet
	data []byte // the data of the event that is not complete yet
	has  bool   // the event has data
}

const (
	// maxEventBytes bounds a line of a stream, and the data of an event that is kept.
	maxEventBytes = 256 << 10
	// maxOutputBytes bounds what is kept of a stream: a program's whole history has half of it.
	maxOutputBytes = 1 << 20
)

// add takes the next bytes of the stream. It fails if an event or what is kept grows too long.
func (e *eventRecorder) add(b []byte) error {
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

var dataField = []byte("data:")

func (e *eventRecorder) endLine() {
	line := bytes.TrimSuffix(e.line, []byte("\r"))
	switch {
	case len(line) == 0:
		e.endEvent()
	case bytes.HasPrefix(line, dataField):
		e.addData(bytes.TrimPrefix(line[len(dataField):], []byte(" ")))
	}
	e.line = e.line[:0]
}

func (e *eventRecorder) addData(value []byte) {
	if e.keep {
		if e.has {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	e.has = true
}

func (e *eventRecorder) endEvent() {
	if !e.has {
		return
	}
	e.last = clock.Now()
	if e.events == 0 {
		e.first = e.last
	}
	e.events++
	if e.keep {
		e.output = append(e.output, e.data...)
		e.output = append(e.output, '\n')
	}
	e.data, e.has = e.data[:0], false
}
