package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	usage bool
	buf   bytes.Buffer
}

// newEventWriter sets the response headers. They are sent with the first write.
func newEventWriter(w http.ResponseWriter, r *http.Request, usage bool) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set("X-Accel-Buffering", "no") // disables response buffering in reverse proxies
	return &eventWriter{w: w, r: r, rc: http.NewResponseController(w), usage: usage}
}

// write sends the events and flushes the response. It omits usage events if the caller did
// not request them.
func (s *eventWriter) write(events []answerEvent) error {
	for _, ev := range events {
		if ev.kind == eventUsage && !s.usage {
			continue
		}
		s.add(ev.data)
	}
	return s.flush()
}

func (s *eventWriter) add(data []byte) {
	s.buf.WriteString("data: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
}

func (s *eventWriter) flush() error {
	if s.buf.Len() == 0 {
		return nil
	}
	if err := s.rc.SetWriteDeadline(time.Now().Add(reply.WriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	s.buf.Reset()
	return s.rc.Flush()
}

// end sends [DONE], or the failure as an error event. Write errors are ignored: they mean
// that the caller has disconnected.
func (s *eventWriter) end(apiErr *errs.Error) {
	if apiErr == nil {
		s.add([]byte("[DONE]"))
	} else {
		s.buf.WriteString("event: error\n")
		s.add(reply.ErrorJSON(s.r.Context(), apiErr))
	}
	_ = s.flush()
	_ = s.rc.SetWriteDeadline(time.Time{})
}

func (s *eventWriter) endContext(ctx context.Context) { s.end(contextError(ctx)) }
