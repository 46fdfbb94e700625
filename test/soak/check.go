package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// check compares the results that callers received with the requests that targets ran, and
// fills in the report.
func (w *workload) check(report *Report, limits []limitPeriod, evacuations []evacuation, cuts []linkCut, drains []drain) {
	w.mu.Lock()
	attempts := w.attempts
	w.mu.Unlock()
	byID := map[string]attempt{}
	for _, a := range attempts {
		byID[a.call.ID] = a
		report.Attempts++
		if a.result.Status == 200 {
			report.Served++
		}
		w.checkAttempt(a)
	}
	report.Turns = w.checkTurns(attempts)
	w.checkBudgets(attempts)
	w.checkRates(byID)
	w.checkLeaving(attempts)
	w.checkDrains(drains, attempts)
	w.checkLimits(limits, byID)
	w.checkEvacuations(evacuations, byID)
	w.checkResumes()
	report.Resumed = w.resumes.asked
	report.Joined = w.countJoined(byID)
	report.CutOff = w.checkCuts(cuts, attempts)
	report.Violations = w.violations
}

// isDraft reports whether the attempt's stream can be resumed.
func (a *attempt) isDraft() bool { return a.kind == "draft" || a.kind == "talk" }

// isKept reports whether the attempt is a turn that can be continued.
func (a *attempt) isKept() bool { return a.kind == "chat" || a.kind == "talk" }

// checkAttempt checks one attempt: a call other than a read runs at most once, and not at all
// if it was refused; its organisation and body reach the target unchanged.
func (w *workload) checkAttempt(a attempt) {
	id, r := a.call.ID, a.result
	runs := w.site.log.RunsOf(id)
	repeatable := a.kind == "look" || a.isDraft()
	if !repeatable && len(runs) > 1 {
		w.recordViolation("RAN MORE THAN ONCE (TWICE): %s ran %d times", id, len(runs))
	}
	refused := r.Status == 429 || r.Status == 503 || r.Status == 402 || r.Status == 408 || r.Status == 421
	if refused && len(runs) > 0 && !repeatable {
		w.recordViolation("RAN ALTHOUGH REFUSED (REFUSED): %s was answered with status %d but ran", id, r.Status)
	}
	if (r.Status == 401 || r.Status == 403 || r.Status == 400) || (r.Status == 404 && !a.isKept()) {
		w.recordViolation("VALID REQUEST REJECTED: %s was answered with status %d", id, r.Status)
	}
	for _, run := range runs {
		if run.Org != a.org {
			w.recordViolation("WRONG ORGANISATION: %s of %s ran for %q", id, a.org, run.Org)
		}
		if want := a.history + a.call.Body; run.Body != want {
			w.recordViolation("WRONG REQUEST BODY: %s ran with %d bytes, %.200q..., instead of %d, %.200q...", id, len(run.Body), run.Body, len(want), want)
		}
	}
	if r.Status == 200 && r.Complete && !a.isDraft() {
		w.checkAnswer(a)
	}
}

// checkAnswer checks that a complete successful response is the one that the target sent for
// this request.
func (w *workload) checkAnswer(a attempt) {
	id, r := a.call.ID, a.result
	if r.Signature != "sig-"+id {
		w.recordViolation("WRONG RESPONSE: %s got the signature %q", id, r.Signature)
	}
	if a.kind != "chat" {
		if r.Body != "answer "+id {
			w.recordViolation("WRONG RESPONSE: %s got the body %q", id, r.Body)
		}
		return
	}
	var data strings.Builder
	for _, line := range strings.Split(r.Body, "\n") {
		if rest, ok := strings.CutPrefix(line, "data: "); ok {
			data.WriteString(rest + "\n")
		}
	}
	if data.String() != standin.StreamOutput(id) {
		w.recordViolation("WRONG EVENTS (ORDER): %s got the events %q", id, data.String())
	}
}

// checkTurns checks that each turn whose response was complete can be continued, and returns
// the number of such turns.
func (w *workload) checkTurns(attempts []attempt) int {
	completed := map[string]bool{}
	n := 0
	for _, a := range attempts {
		if a.isKept() && a.result.Status == 200 && a.result.Complete {
			completed[a.call.ID] = true
			n++
		}
	}
	for _, a := range attempts {
		notFound := a.result.Status == 404 || a.result.Status == 410
		if notFound && completed[a.call.Previous] {
			w.recordViolation("TURN LOST (LOST): %s was answered with status %d although the response of its previous turn %s was complete", a.call.ID, a.result.Status, a.call.Previous)
		}
	}
	return n
}

// countJoined returns the number of attempts that a target has run and that continue from a turn whose stream
// was resumed. checkAttempt has compared their histories.
func (w *workload) countJoined(byID map[string]attempt) (n int) {
	for id, a := range byID {
		if byID[a.call.Previous].call.LastEvent > 0 && len(w.site.log.RunsOf(id)) > 0 {
			n++
		}
	}
	return n
}

// checkBudgets checks that each program received at most its token budget plus one turn.
func (w *workload) checkBudgets(attempts []attempt) {
	tokens, budget := map[string]int{}, map[string]int{}
	for _, a := range attempts {
		if a.kind == "chat" {
			tokens[a.call.Program] += a.result.Events * standin.EventTokens
			budget[a.call.Program] = a.call.Budget
		}
	}
	for p, n := range tokens {
		if n > budget[p]+turnTokens {
			w.recordViolation("BUDGET EXCEEDED: program %s got %d tokens with a budget of %d", p, n, budget[p])
		}
	}
}

const (
	rateWindow    = 5 * time.Second
	rateTolerance = 1.1
	rateHeadroom  = 20
)

// checkRates checks that no organisation exceeds its request rate, with burst and tolerance, in
// any window of rateWindow.
func (w *workload) checkRates(byID map[string]attempt) {
	runs := map[string][]time.Time{}
	for _, r := range w.site.log.All() {
		if _, known := byID[r.ID]; known {
			runs[r.Org] = append(runs[r.Org], r.At)
		}
	}
	// The second term is the burst: the requests of one second.
	limit := int((requestRate*rateWindow.Seconds()+requestRate)*rateTolerance) + rateHeadroom
	for org, at := range runs {
		from := 0
		for to := range at {
			for at[to].Sub(at[from]) > rateWindow {
				from++
			}
			if to-from+1 > limit {
				w.recordViolation("RATE EXCEEDED: %s", fmt.Sprintf("%s ran %d requests in %s, more than %d", org, to-from+1, rateWindow, limit))
				break
			}
		}
	}
}
