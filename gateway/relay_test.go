package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/admission/memory"
)

// stuckWriter is a caller that reads nothing until it is released or its connection gets a deadline.
type stuckWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
	expired chan struct{}
}

func newStuckWriter() *stuckWriter {
	return &stuckWriter{ResponseRecorder: httptest.NewRecorder(), release: make(chan struct{}), expired: make(chan struct{})}
}

func (s *stuckWriter) Write(b []byte) (int, error) {
	select {
	case <-s.release:
		return s.ResponseRecorder.Write(b)
	case <-s.expired:
		return 0, http.ErrHandlerTimeout
	}
}

func (s *stuckWriter) SetWriteDeadline(time.Time) error {
	select {
	case <-s.expired:
	default:
		close(s.expired)
	}
	return nil
}

func relayTo(w http.ResponseWriter, limit int64, a *memory.Account) *relay {
	return (&exchange{w: w, g: &Gateway{opts: Options{RelayBytes: limit, Memory: a}}}).newRelay(true)
}

// Guards against targets whose responses stay unread because the caller reads slowly, and against
// responses that change on the way.
func TestRelayTakesWhatASlowCallerHasNotRead(t *testing.T) {
	g := NewWithT(t)
	w, a := newStuckWriter(), memory.New(1<<20)
	r := relayTo(w, 1<<20, a)
	var sent bytes.Buffer
	for i := range 200 {
		event := bytes.Repeat([]byte{byte('a' + i%26)}, 1000)
		sent.Write(event)
		g.Expect(r.add(event)).To(Succeed())
	}
	g.Expect(a.Stats().Used).To(BeNumerically(">", 100_000))
	close(w.release)
	g.Expect(r.close(true)).To(Succeed())
	g.Expect(w.Body.Bytes()).To(Equal(sent.Bytes()))
	g.Expect(a.Stats().Used).To(BeZero(), "all memory is released")
}

// Guards against memory without a bound for callers that do not read, in one response and in all together.
func TestRelayEndsAtItsBounds(t *testing.T) {
	for name, bounds := range map[string][2]int64{"of one response": {64 << 10, 1 << 20}, "of the account": {1 << 20, 64 << 10}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w, a := newStuckWriter(), memory.New(bounds[1])
			r := relayTo(w, bounds[0], a)
			var err error
			added := 0
			for ; err == nil && added < 1<<20; added += 4 << 10 {
				err = r.add(make([]byte, 4<<10))
			}
			g.Expect(isCallerError(err)).To(BeTrue(), "%v", err)
			g.Expect(added).To(BeNumerically("<=", 64<<10+freeRelayBytes+8<<10))
			g.Expect(isCallerError(r.close(false))).To(BeTrue())
			g.Expect(a.Stats().Used).To(BeZero())
		})
	}
}
