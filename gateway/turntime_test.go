package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

// Guards against turns that are started although they will miss their deadline, and against
// turns that are refused although they have their full time. Turns miss their deadline after
// they have waited 2 s of their 3 s for the controllers, and so do their retries.
func TestCheckTimeLeft(t *testing.T) {
	const timeout = 3 * time.Second
	for _, c := range []struct {
		desc     string
		duration time.Duration // of the completed turns
		turns    int
		left     time.Duration
		program  string
		resumes  bool
		refused  bool
	}{
		{"full time", 400 * time.Millisecond, 100, timeout, "p", false, false},
		{"enough time", 400 * time.Millisecond, 100, 600 * time.Millisecond, "p", false, false},
		{"too little time", 400 * time.Millisecond, 100, 300 * time.Millisecond, "p", false, true},
		{"a resumed stream", 400 * time.Millisecond, 100, 300 * time.Millisecond, "p", true, false},
		{"no median yet", 400 * time.Millisecond, 1, 300 * time.Millisecond, "p", false, false},
		{"not a turn", 400 * time.Millisecond, 100, 300 * time.Millisecond, "", false, false},
		{"engines need the whole timeout", timeout, 100, 2 * time.Second, "p", false, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			lastEvent := ""
			if c.resumes {
				lastEvent = "3"
			}
			x := &exchange{
				g: &Gateway{}, r: httptest.NewRequest("POST", "/", nil),
				req:   &Request{Program: c.program, Budget: 100, LastEvent: lastEvent},
				route: &routing.Route{Name: "r", Kind: routing.Streaming, Timeout: timeout},
			}
			for range c.turns {
				x.g.turns.record("r", c.duration)
			}
			x.deadline = clock.Now() + c.left + timeoutMargin
			err := errs.From(x.checkTimeLeft())
			g.Expect(err != nil).To(Equal(c.refused))
			if err != nil {
				g.Expect(err.Code).To(Equal(errs.Unavailable))
				g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against a median that follows only the few longest turns, or that never adapts.
func TestTurnTimesMedian(t *testing.T) {
	r := &turnTimes{}
	for i := range 400 {
		r.record("r", time.Duration(100+i%4*100)*time.Millisecond)
	}
	NewWithT(t).Expect(r.medianFor("r")).To(BeNumerically("~", 250*time.Millisecond, 60*time.Millisecond))
	NewWithT(t).Expect(r.medianFor("other")).To(BeZero())
}
