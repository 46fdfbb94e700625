package main

import (
	"context"
	"fmt"
	"math/rand"
	"regexp"
	"strconv"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// draftTries is the number of tries to receive a whole draft, draftPause the longest pause before each.
	draftTries = 5
	draftPause = 400 * time.Millisecond
	// draftEventPause is the longest pause before each event, so that a draft may last for some seconds.
	draftEventPause = 120 * time.Millisecond
	// contactTime is the time without disturbance from which a gateway must keep all guarantees.
	contactTime = 3 * time.Second
	// minResumes is the number of resumed streams from which checkResumes judges.
	minResumes = 12
)

// streamCount counts the streams that callers have asked for and those that were served.
type streamCount struct{ asked, served int }

func (c *streamCount) add(served bool) {
	c.asked++
	if served {
		c.served++
	}
}

func (c *streamCount) share() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// draftEvent matches one event of a draft.
var draftEvent = regexp.MustCompile(`id: (\d+)\ndata: (\S+)\n\n`)

// draft is a stream that a caller receives, in several parts if it breaks off.
type draft struct {
	origin  string // the attempt that brought the first event
	last    int    // ID of the last event
	version string // of the first event
}

// runDrafts receives drafts until ctx ends, and resumes those that break off, each try at a random gateway.
// Every other draft belongs to a program.
func (w *workload) runDrafts(ctx context.Context, rng *rand.Rand, client int) {
	caller := standin.NewCaller()
	defer caller.Close()
	gateways := w.site.hostsOfKind("gateway")
	for n := 0; ctx.Err() == nil; n++ {
		var d draft
		pause := time.Duration(rng.Int63n(int64(draftEventPause)))
		for try := 0; try < draftTries && ctx.Err() == nil && d.last < standin.DraftEvents; try++ {
			a := w.newAttempt(fmt.Sprintf("draft%d-%d-%d", client, n, try), "draft", client)
			a.call.EventPause, a.call.LastEvent, a.call.Resumes = pause, d.last, d.origin
			if n%2 == 0 {
				a.call.Program, a.call.Budget, a.call.MaxTokens = fmt.Sprintf("p-draft%d-%d", client, n), longProgramBudget, standin.DraftEvents*standin.EventTokens
			}
			h := gateways[rng.Intn(len(gateways))]
			w.receiveDraft(&d, &a, h, w.send(caller, h, a))
			time.Sleep(time.Duration(rng.Int63n(int64(draftPause))))
		}
	}
}

// receiveDraft adds the events of a response to a draft, and records a violation if they don't continue it.
func (w *workload) receiveDraft(d *draft, a *attempt, h *host, r standin.Result) {
	events := draftEvent.FindAllStringSubmatch(r.Body, -1)
	w.countDraft(d, h, len(events) > 0, r)
	for _, e := range events {
		id, _ := strconv.Atoi(e[1]) // the expression matches digits only
		if d.last == 0 {
			d.origin, d.version = a.call.ID, e[2]
		}
		if id != d.last+1 {
			w.recordViolation("EVENTS MISSING OR REPEATED (ORDER): %s brought event %d after event %d", a.call.ID, id, d.last)
		}
		if e[2] != d.version {
			w.recordViolation("JOINED FROM TWO VERSIONS (ORDER): %s, which resumes %s, brought an event of %s after those of %s", a.call.ID, d.origin, e[2], d.version)
		}
		d.last = id
	}
}

// countDraft counts a stream that was begun or resumed, unless the gateway need not serve it, the
// organisation is at its rate, or too few targets of the stream's version serve.
func (w *workload) countDraft(d *draft, h *host, served bool, r standin.Result) {
	if !w.site.mustServe(h, r.Sent) || r.Status == 429 || d.last > 0 && w.site.serving(d.version) < 2 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.last == 0 {
		w.begins.add(served)
	} else {
		w.resumes.add(served)
	}
}

// serving returns the number of targets of a software version that are neither stopping nor stopped.
func (s *site) serving(version string) int {
	n := 0
	for _, t := range s.allTargets() {
		if t.Version == version && t.Stream && !t.Drained() && !t.AnnouncesStop() {
			n++
		}
	}
	return n
}

// checkResumes checks that streams can be resumed at least half as often as new ones begin.
func (w *workload) checkResumes() {
	if w.resumes.asked >= minResumes && w.resumes.share() < w.begins.share()/2 {
		w.recordViolation("STREAMS NOT RESUMED (LOST): %d of %d, while %d of %d new ones began",
			w.resumes.served, w.resumes.asked, w.begins.served, w.begins.asked)
	}
}
