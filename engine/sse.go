package engine

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxEventLineBytes is the maximum length of one line of an event stream.
	maxEventLineBytes = 1 << 20
	eventBufferSize   = 4 << 10
	fieldData         = "data"
	fieldEvent        = "event"
	fieldSeparator    = ":"
)

var errLineTooLong = errors.New("a line of the event stream is too long")

// event is a server-sent event.
type event struct {
	name string
	data string
}

// eventReader reads server-sent events from a stream.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize)}
}

// next returns the next event that has data. It returns io.EOF at the end of the
// stream. An event that is not terminated by a blank line is dropped.
func (e *eventReader) next() (event, error) {
	var ev event
	var data []string
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		if line == "" {
			if len(data) == 0 {
				ev = event{}
				continue
			}
			ev.data = strings.Join(data, "\n")
			return ev, nil
		}
		name, value, _ := strings.Cut(line, fieldSeparator)
		value = strings.TrimPrefix(value, " ")
		switch name {
		case fieldData:
			data = append(data, value)
		case fieldEvent:
			ev.name = value
		}
	}
}

// line returns the next line without its line ending. A last line without a line
// ending is dropped.
func (e *eventReader) line() (string, error) {
	var buf []byte
	for {
		part, err := e.r.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > maxEventLineBytes {
			return "", errLineTooLong
		}
		if err == nil {
			return string(bytes.TrimRight(buf, "\r\n")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
}
