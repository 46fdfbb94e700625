package stateserver_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

// op is an operation on a call (by key) or on the turns of a program; the fields that an
// operation does not use are zero.
type op struct {
	kind    string // "begin", "finish" or "get"
	turn    int
	worker  string
	value   string // answer or digest
	state   string // call state of a finish
	attempt int    // attempt of a finish
}

// outcome is the result that the caller got. pending marks an operation whose outcome is
// unknown, so that it may still take effect later.
type outcome struct {
	pending bool
	code    errs.Code
	begun   bool
	state   string
	value   string
	turn    int
	attempt int
}

// recorder collects the operations of concurrent workers.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// do runs an operation and records it. A pending operation counts as never returned.
func (r *recorder) do(worker int, in op, f func() outcome) outcome {
	start := time.Now().UnixNano()
	out := f()
	end := time.Now().UnixNano()
	if out.pending {
		end = 1 << 62
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: worker, Input: in, Call: start, Output: out, Return: end})
	return out
}

// check fails the test unless the recorded operations are linearizable.
func (r *recorder) check(step func(state, in, out any) (bool, any), init any) {
	GinkgoHelper()
	model := porcupine.Model{Init: func() any { return init }, Step: step}
	Expect(porcupine.CheckOperationsTimeout(model, r.ops, 30*time.Second)).To(Equal(porcupine.Ok))
}

// outcomeOfError returns the outcome of a failed operation. It is pending if the command may
// have run, except after a Superseded error.
func outcomeOfError(err error) outcome {
	e := errs.From(err)
	return outcome{code: e.Code, pending: e.Run == errs.RunUnknown && e.Code != errs.Superseded}
}

// callState is the specification of one call.
type callState struct{ state, owner, value string }

// stepCall checks one operation on a call against the specification.
func stepCall(s, in, out any) (bool, any) {
	st, i, o := s.(callState), in.(op), out.(outcome)
	if o.code == errs.Unavailable {
		return true, st // "not run" means that nothing has changed
	}
	switch i.kind {
	case "begin":
		mayBegin := st.state == "" || st.state == string(structs.CallNotRun)
		next := st
		if mayBegin {
			next = callState{state: string(structs.CallRunning), owner: i.worker}
		}
		return o.pending || o.begun == mayBegin && o.state == next.state && o.value == next.value, next
	case "finish":
		ok := (st.state == string(structs.CallRunning) || st.state == string(structs.CallUnknown)) && st.owner == i.worker
		if !ok {
			return o.pending || o.code == errs.Superseded, st
		}
		return o.pending || o.code == "", callState{state: i.state, owner: i.worker, value: i.value}
	}
	return o.state == st.state && o.value == st.value, st
}

// turnState is the specification of a program's turns.
type turnState struct {
	answered, attempt int
	running           bool
	last              string // last answer
}

// stepTurn checks one operation on a turn against the specification.
func stepTurn(s, in, out any) (bool, any) {
	st, i, o := s.(turnState), in.(op), out.(outcome)
	if o.code == errs.Unavailable {
		return true, st
	}
	if i.kind == "begin" {
		switch {
		case i.turn <= st.answered:
			return o.pending || o.state == "recorded" && (i.turn != st.answered || o.value == st.last), st
		case i.turn > st.answered+1:
			return o.pending || o.code == errs.TurnOutOfOrder, st
		case st.running:
			return o.pending || o.code == errs.TurnInProgress, st
		}
		st.running = true
		st.attempt++
		return o.pending || o.begun && o.attempt == st.attempt && o.turn == i.turn, st
	}
	if !st.running || i.turn != st.answered+1 || i.attempt != st.attempt {
		return o.pending || o.code == errs.Superseded, st
	}
	if i.value == "" { // a failure: the turn may be begun again
		st.running = false
		return o.pending || o.code == "", st
	}
	return o.pending || o.code == "", turnState{answered: i.turn, last: i.value}
}

var _ = Describe("concurrent commands with lost replies and resends", func() {
	const workers, rounds = 5, 12
	run := func(f func(ctx context.Context, c *stateclient.Client, worker int)) {
		m, _ := startFaultyMember(true)
		ctx := testContext()
		var wg sync.WaitGroup
		for w := range workers {
			c := newClient(m.addr)
			wg.Go(func() { f(ctx, c, w) })
		}
		wg.Wait()
	}
	// withRandomTimeout gives one call in six too little time, so that its outcome stays
	// unknown to the caller.
	withRandomTimeout := func(ctx context.Context) (context.Context, context.CancelFunc) {
		if rand.IntN(6) == 0 {
			return context.WithTimeout(ctx, 5*time.Millisecond)
		}
		return context.WithTimeout(ctx, 20*time.Second)
	}

	// Guards against a call that is dispatched by two entries, and one whose recorded
	// outcome changes.
	It("begin a call at most once and keep its outcome", func() {
		var rec recorder
		run(func(ctx context.Context, c *stateclient.Client, w int) {
			entry := fmt.Sprint("e", w)
			for n := range rounds {
				ctx, cancel := withRandomTimeout(ctx)
				rec.do(w, op{kind: "begin", worker: entry}, func() outcome {
					r, err := c.BeginCall(ctx, "acme", structs.BeginCall{Key: "k", Entry: entry, Limits: limits})
					if err != nil {
						return outcomeOfError(err)
					}
					return outcome{begun: r.Begun, state: string(r.Call.State), value: string(r.Call.Body)}
				})
				state := structs.CallNotRun
				if n == rounds-1 {
					state = structs.CallFinished
				}
				value := fmt.Sprint(entry, "-", n)
				rec.do(w, op{kind: "finish", worker: entry, state: string(state), value: value}, func() outcome {
					_, err := c.FinishCall(ctx, "acme", structs.FinishCall{Key: "k", Entry: entry, State: state, Body: []byte(value)})
					if err != nil {
						return outcomeOfError(err)
					}
					return outcome{}
				})
				cancel()
			}
		})
		rec.check(stepCall, callState{})
	})

	// Guards against turns out of order, two answers to a turn, and lost answers.
	It("run each turn in order with one answer", func() {
		var rec recorder
		first := sync.Once{}
		run(func(ctx context.Context, c *stateclient.Client, w int) {
			first.Do(func() { Expect(openProgram(ctx, c, "p")).To(Succeed()) })
			entry, turn := fmt.Sprint("e", w), 1
			for n := range rounds {
				ctx, cancel := withRandomTimeout(ctx)
				b := rec.do(w, op{kind: "begin", turn: turn}, func() outcome {
					r, err := c.BeginTurn(ctx, "acme", structs.BeginTurn{
						Program: "p", Turn: turn, Digest: fmt.Sprint("d", turn), Entry: entry, MaxTokens: 5, Limits: limits,
					})
					if err != nil {
						return outcomeOfError(err)
					}
					if r.Recorded {
						return outcome{state: "recorded", turn: r.Turn.Number, value: string(r.Turn.Answer)}
					}
					return outcome{begun: true, turn: r.Turn.Number, attempt: r.Turn.Attempt}
				})
				if b.state == "recorded" {
					turn++
				}
				if b.begun {
					f := structs.FinishTurn{Program: "p", Turn: turn, Attempt: b.attempt, Answer: []byte(fmt.Sprint(entry, "-", n))}
					if n%3 == 0 {
						f.Answer, f.Failure = nil, errs.New(errs.TargetFailed, "retry", "injected")
					}
					for range 2 { // the second finish is superseded unless the first was not run
						rec.do(w, op{kind: "finish", turn: turn, attempt: b.attempt, value: string(f.Answer)}, func() outcome {
							if _, err := c.FinishTurn(ctx, "acme", f); err != nil {
								return outcomeOfError(err)
							}
							return outcome{}
						})
						f.Answer, f.Failure = append(f.Answer, "-again"...), nil
					}
				}
				cancel()
			}
		})
		rec.check(stepTurn, turnState{})
	})
})
