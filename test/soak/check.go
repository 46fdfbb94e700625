package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// check compares what callers saw with what targets ran.
func (w *world) check(rep *Report) {
	w.mu.Lock()
	attempts := w.attempts
	w.mu.Unlock()
	byID := map[string]attempt{}
	for _, a := range attempts {
		byID[a.call.ID] = a
		rep.Attempts++
		if a.result.Status == 200 {
			rep.Served++
		}
		w.checkAttempt(a)
	}
	rep.Turns = w.checkTurns(attempts)
	w.checkBudgets(attempts)
	w.checkRates(byID)
	w.checkLeaving(attempts)
	rep.Broken = w.faults
}

func (w *world) checkAttempt(a attempt) {
	id, r := a.call.ID, a.result
	runs := w.s.log.Of(id)
	if a.kind != "look" && len(runs) > 1 {
		w.broken("TWICE: %s ran %d times", id, len(runs))
	}
	promise := r.Status == 429 || r.Status == 503 || r.Status == 402 || r.Status == 408 || r.Status == 421
	if promise && len(runs) > 0 && a.kind != "look" {
		w.broken("REFUSED: %s was answered %d and ran", id, r.Status)
	}
	if (r.Status == 401 || r.Status == 403 || r.Status == 400) || (r.Status == 404 && a.kind != "chat") {
		w.broken("DENIED: %s was answered %d", id, r.Status)
	}
	for _, run := range runs {
		if run.Org != a.org {
			w.broken("UNASKED: %s of %s ran for %q", id, a.org, run.Org)
		}
		if want := a.history + a.call.Body; run.Body != want {
			w.broken("UNASKED: %s ran with %q instead of %q", id, run.Body, want)
		}
	}
	if r.Status == 200 && r.Whole {
		w.checkAnswer(a)
	}
}

// checkAnswer checks a success that looks whole.
func (w *world) checkAnswer(a attempt) {
	id, r := a.call.ID, a.result
	if r.Signature != "sig-"+id {
		w.broken("MIXED: %s got the signature %q", id, r.Signature)
	}
	if a.kind != "chat" {
		if r.Body != "answer "+id {
			w.broken("MIXED: %s got %q", id, r.Body)
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
		w.broken("ORDER: %s got the events %q", id, data.String())
	}
}

// checkTurns checks that turns that were answered whole could be continued.
func (w *world) checkTurns(attempts []attempt) int {
	whole := map[string]bool{}
	n := 0
	for _, a := range attempts {
		if a.kind == "chat" && a.result.Status == 200 && a.result.Whole {
			whole[a.call.ID] = true
			n++
		}
	}
	for _, a := range attempts {
		gone := a.result.Status == 404 || a.result.Status == 410
		if gone && whole[a.call.Previous] {
			w.broken("LOST: %s was answered %d though turn %s was answered whole", a.call.ID, a.result.Status, a.call.Previous)
		}
	}
	return n
}

// checkBudgets checks the tokens that callers got in each program.
func (w *world) checkBudgets(attempts []attempt) {
	tokens, budget := map[string]int{}, map[string]int{}
	for _, a := range attempts {
		if a.kind == "chat" {
			tokens[a.call.Program] += a.result.Events * standin.EventTokens
			budget[a.call.Program] = a.call.Budget
		}
	}
	for p, n := range tokens {
		if n > budget[p]+turnTokens {
			w.broken("BUDGET: program %s got %d tokens of %d", p, n, budget[p])
		}
	}
}

const (
	rateWindow   = 5 * time.Second
	rateOverage  = 1.1
	rateHeadroom = 20
)

// checkRates checks the runs of each organisation in each window.
func (w *world) checkRates(byID map[string]attempt) {
	runs := map[string][]time.Time{}
	for _, r := range w.s.log.All() {
		if _, known := byID[r.ID]; known {
			runs[r.Org] = append(runs[r.Org], r.At)
		}
	}
	limit := int((requestRate*rateWindow.Seconds()+requestRate)*rateOverage) + rateHeadroom
	for org, at := range runs {
		from := 0
		for to := range at {
			for at[to].Sub(at[from]) > rateWindow {
				from++
			}
			if to-from+1 > limit {
				w.broken("QUOTA: %s", fmt.Sprintf("%s ran %d requests in %s, over %d", org, to-from+1, rateWindow, limit))
				break
			}
		}
	}
}
