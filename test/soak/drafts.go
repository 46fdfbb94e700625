package main

import (
	"context"
	"fmt"
	"math/rand"
	"regexp"
	"slices"
	"strconv"
	"strings"
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
	// talkTurns is the number of turns of a program whose turns are kept and can be resumed.
	talkTurns = 3
	// One in so many callers leaves before the end of its stream, and one in so many turns that are kept does
	// not name the attempt that it resumes.
	leaveOneIn, unnamedOneIn = 4, 5
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
var draftEvent = regexp.MustCompile(`id: (\d+)\ndata: ((\S+) \S+)\n\n`)

// draft is a stream that a caller receives, in several parts if it breaks off.
type draft struct {
	origin  string // the attempt that brought the first event
	last    int    // ID of the last event
	version string // of the first event
	text    string // data of the events, as a history holds it
	ended   string // the attempt whose response ended whole
	// unknown is set if the stream was resumed by programs of the previous build, which keep only the part from
	// there on.
	unknown bool
}

// runDrafts receives drafts until ctx ends. Every third one belongs to a program, and every third one is the
// first turn of a program whose turns are kept.
func (w *workload) runDrafts(ctx context.Context, rng *rand.Rand, client int) {
	caller := standin.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("draft%d-%d", client, n)
		a := w.newAttempt(id, "draft", client)
		switch n % 3 {
		case 0:
			w.runTalk(ctx, caller, rng, id, client)
			continue
		case 1:
			a.setProgram(id)
		}
		w.receiveDraft(ctx, caller, rng, a)
	}
}

// setProgram makes the attempt a turn of a program.
func (a *attempt) setProgram(id string) {
	a.call.Program, a.call.Budget, a.call.MaxTokens = "p-"+id, longProgramBudget, standin.DraftEvents*standin.EventTokens
}

// runTalk runs a program whose turns are kept and can be resumed. Each turn continues from the attempt that
// ended the one before, and its target must receive what the caller has of all of them, byte for byte, which
// checkAttempt checks.
func (w *workload) runTalk(ctx context.Context, c *standin.Caller, rng *rand.Rand, id string, client int) {
	previous, history := "", ""
	for turn := range talkTurns {
		a := w.newAttempt(fmt.Sprintf("%s-t%d", id, turn), "talk", client)
		a.setProgram(id)
		a.call.Body = fmt.Sprintf("[%s turn %d]", id, turn)
		a.call.Previous, a.history = previous, history
		d := w.receiveDraft(ctx, c, rng, a)
		if d.ended == "" || d.unknown {
			return
		}
		previous, history = d.ended, history+a.call.Body+d.text
	}
}

// receiveDraft sends a request until its whole stream has been received, each try at a random gateway, and
// resumes the stream where it has broken off.
func (w *workload) receiveDraft(ctx context.Context, c *standin.Caller, rng *rand.Rand, request attempt) draft {
	var d draft
	gateways := w.site.hostsOfKind("gateway")
	pause := time.Duration(rng.Int63n(int64(draftEventPause)))
	for try := 0; try < draftTries && ctx.Err() == nil && d.ended == ""; try++ {
		a := request
		a.call.ID = fmt.Sprintf("%s-%d", request.call.ID, try)
		a.call.EventPause, a.call.LastEvent, a.call.Resumes = pause, d.last, d.origin
		if a.kind == "talk" && rng.Intn(unnamedOneIn) == 0 { // others are found by their attempt only
			a.call.Resumes = ""
		}
		if rng.Intn(leaveOneIn) == 0 {
			a.call.LeaveAfter = time.Duration(rng.Int63n(int64(standin.DraftEvents*pause + time.Millisecond)))
		}
		h := gateways[rng.Intn(len(gateways))]
		d.unknown = d.unknown || d.last > 0 && w.site.runsPreviousBuild(h)
		r := w.send(c, h, a)
		w.addEvents(&d, &a, h, r)
		if r.Status == 503 && a.kind == "talk" && strings.Contains(r.Body, "stream_not_resumable") {
			d = draft{} // the refusal asks for the request from its start
		}
		time.Sleep(time.Duration(rng.Int63n(int64(draftPause))))
	}
	return d
}

// addEvents adds the events of a response to a draft, and records a violation if they don't continue it.
func (w *workload) addEvents(d *draft, a *attempt, h *host, r standin.Result) {
	events := draftEvent.FindAllStringSubmatch(r.Body, -1)
	w.countDraft(d, a, h, len(events) > 0, r)
	for _, e := range events {
		id, _ := strconv.Atoi(e[1]) // the expression matches digits only
		if d.last == 0 {
			d.origin, d.version = a.call.ID, e[3]
		}
		if id != d.last+1 {
			w.recordViolation("EVENTS MISSING OR REPEATED (ORDER): %s brought event %d after event %d", a.call.ID, id, d.last)
		}
		if e[3] != d.version {
			w.recordViolation("JOINED FROM TWO VERSIONS (ORDER): %s, which resumes %s, brought an event of %s after those of %s", a.call.ID, d.origin, e[3], d.version)
		}
		d.last, d.text = id, d.text+e[2]+"\n"
	}
	if r.Status == 200 && r.Complete {
		d.ended = a.call.ID
	}
	if d.ended != "" && d.last != standin.DraftEvents {
		w.recordViolation("ENDED BEFORE ITS LAST EVENT (ORDER): %s, which resumes %s, ended as complete after event %d", a.call.ID, d.origin, d.last)
	}
}

// countDraft counts a stream that was begun or resumed, unless the caller has left or the gateway need not
// serve it, the organisation is at its rate, the targets at their limits, or too few targets of the stream's
// version serve. A resumed stream has fewer targets than a new one, so limits affect it more.
func (w *workload) countDraft(d *draft, a *attempt, h *host, served bool, r standin.Result) {
	if a.call.LeaveAfter > 0 || !w.site.mustServe(h, r.Sent) || r.Status == 429 || refusedAsOverloaded(&r) || d.last > 0 && w.site.serving(d.version) < 2 {
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

// runsPreviousBuild reports whether a gateway and a controller run the build that is being replaced. The
// controller may be the leader.
func (s *site) runsPreviousBuild(gateway *host) bool {
	return gateway.previousBuild.Load() && slices.ContainsFunc(s.hostsOfKind("controller"), func(h *host) bool { return h.previousBuild.Load() })
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
