package main

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// longTurnPause is the pause before each event of a long turn, which takes longer than the turn
	// before it is kept.
	longTurnPause    = 2300 * time.Millisecond
	longTurnDeadline = 15 * time.Second
	// continuationTries is the number of tries to continue from a turn, each together with the first
	// turn of another program. A turn that is within its retention is lost if all of them fail while
	// the first turns are served.
	continuationTries = 5
	continuationPause = 300 * time.Millisecond
	longProgramBudget = 1000 * turnTokens
)

// runLongPrograms runs programs until ctx ends whose second turn ends later than the first one would
// expire, and continues from the second turn, every other time in a program of its own.
func (w *workload) runLongPrograms(ctx context.Context, rng *rand.Rand, client int) {
	caller := standin.NewCaller()
	defer caller.Close()
	gateways := w.site.hostsOfKind("gateway")
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("long%d-%d", client, n)
		pick := func() *host { return gateways[rng.Intn(len(gateways))] }
		first := w.longTurn(id, id, client, nil, 0)
		if !w.sendTurn(caller, pick(), &first) {
			time.Sleep(continuationPause)
			continue
		}
		time.Sleep(time.Duration(rng.Intn(int(standin.LongRetention/2/time.Millisecond))) * time.Millisecond)
		second := w.longTurn(id+"-2", id, client, &first, longTurnPause)
		if !w.sendTurn(caller, pick(), &second) {
			continue
		}
		program := id
		if n%2 == 1 {
			program = id + "-sub"
		}
		w.continueTurn(caller, rng, client, program, &second)
	}
}

// longTurn returns a turn on the route with a short retention.
func (w *workload) longTurn(id, program string, client int, previous *attempt, pause time.Duration) attempt {
	a := w.newAttempt(id, "chat", client)
	a.call.Path, a.call.Deadline, a.call.EventPause = "/long/x", longTurnDeadline, pause
	a.call.Program, a.call.Budget, a.call.MaxTokens = "p-"+program, longProgramBudget, turnTokens
	a.call.Body = fmt.Sprintf("[%s]", id)
	if previous != nil {
		a.call.Previous = previous.call.ID
		a.history = previous.history + previous.call.Body + standin.StreamOutput(previous.call.ID)
	}
	return a
}

// sendTurn sends a turn and reports whether its whole response was received.
func (w *workload) sendTurn(c *standin.Caller, h *host, a *attempt) bool {
	a.result = w.send(c, h, *a)
	return a.result.Status == 200 && a.result.Complete
}

// continueTurn tries to continue from a turn whose whole response was received, and records a violation
// if that is not possible within its retention although first turns are served.
func (w *workload) continueTurn(c *standin.Caller, rng *rand.Rand, client int, program string, previous *attempt) {
	ended := time.Now()
	gateways := w.site.hostsOfKind("gateway")
	failed, statuses := 0, []int{}
	for n := 0; time.Since(ended) < standin.LongRetention-continuationPause; n++ {
		h := gateways[rng.Intn(len(gateways))]
		id := fmt.Sprintf("%s-3-%d", previous.call.ID, n)
		next, other := w.longTurn(id, program, client, previous, 0), w.longTurn(id+"-first", id+"-first", client, nil, 0)
		if w.sendTurn(c, h, &next) {
			return
		}
		reached := len(w.site.log.RunsOf(id)) > 0
		if w.sendTurn(c, h, &other) && !reached && next.result.Status != 429 {
			failed++
			statuses = append(statuses, next.result.Status)
		}
		if failed >= continuationTries {
			w.recordViolation("TURN LOST (LOST): no try to continue from %s reached a target within %s of its end, answers %v, while first turns were served",
				previous.call.ID, time.Since(ended), statuses)
			return
		}
		time.Sleep(continuationPause)
	}
}
