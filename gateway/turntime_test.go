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

// Guards against turns that are started although they run into their deadline, and against
// turns that are refused although they have their full time. Load: turns that have waited 2 s of
// their 3 s for the controllers, and their retries.
func TestTurnsThatCannotEndInTime(t *testing.T) {
	const timeout = 3 * time.Second
	for _, c := range []struct {
		desc    string
		usual   time.Duration // of turns that have ended
		turns   int
		left    time.Duration
		program string
		resumes bool
		refused bool
	}{
		{"full time", 400 * time.Millisecond, 100, timeout, "p", false, false},
		{"enough time", 400 * time.Millisecond, 100, 600 * time.Millisecond, "p", false, false},
		{"too little time", 400 * time.Millisecond, 100, 300 * time.Millisecond, "p", false, true},
		{"the rest of a stream", 400 * time.Millisecond, 100, 300 * time.Millisecond, "p", true, false},
		{"nothing is known", 400 * time.Millisecond, 1, 300 * time.Millisecond, "p", false, false},
		{"not a turn", 400 * time.Millisecond, 100, 300 * time.Millisecond, "", false, false},
		{"engines take the whole time", timeout, 100, 2 * time.Second, "p", false, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			x := &exchange{
				g: &Gateway{}, r: httptest.NewRequest("POST", "/", nil),
				req:   &Request{Program: c.program, Budget: 100, Resumes: c.resumes},
				route: &routing.Route{Name: "r", Kind: routing.Streaming, Timeout: timeout},
			}
			for range c.turns {
				x.g.turns.note("r", c.usual)
			}
			x.deadline = clock.Now() + c.left + timeoutMargin
			err := errs.From(x.inTime())
			g.Expect(err != nil).To(Equal(c.refused))
			if err != nil {
				g.Expect(err.Code).To(Equal(errs.Unavailable))
				g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against a median that follows the few longest turns, or none.
func TestMedianOfTurns(t *testing.T) {
	r := &turnTimes{}
	for i := range 400 {
		r.note("r", time.Duration(100+i%4*100)*time.Millisecond)
	}
	NewWithT(t).Expect(r.usual("r")).To(BeNumerically("~", 250*time.Millisecond, 60*time.Millisecond))
	NewWithT(t).Expect(r.usual("other")).To(BeZero())
}
