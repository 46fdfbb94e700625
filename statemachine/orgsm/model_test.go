package orgsm_test

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// The property test is a plain Go test rather than a Ginkgo spec, because rapid needs a
// *testing.T.

const (
	maxPrograms = 4
	// stepsPerRun is the average number of actions in one run of the property test.
	stepsPerRun = "120"
)

// model is a group together with the state expected of it, against which Check verifies the
// invariants. The other exported methods are the actions that rapid chooses from.
type model struct {
	*group
	programs     []string
	running      map[string]structs.Turn // turns in progress by program
	answered     map[string]int
	begunCalls   map[string]int // number of times each call was begun, by key
	notRunCalls  map[string]int // number of times each call was recorded as not run, by key
	debitTimes   []time.Duration
	limitChanges []limitChange
}

type limitChange struct {
	at    time.Duration
	rate  float64
	burst int
}

func (m *model) setLimits(rate float64, burst int) {
	m.limits.Revision++
	m.limits.Rate, m.limits.Burst = rate, burst
	m.limitChanges = append(m.limitChanges, limitChange{m.now, rate, burst})
}

// send applies a command, sometimes twice with the same request id; both replies must then
// carry the same error. It records the time of each request admitted by the bucket.
func (m *model) send(t *rapid.T, c structs.OrgCommand) structs.OrgReply {
	requestCount++
	c.RequestID = fmt.Sprint("m", requestCount)
	r := m.execute(c)
	if rapid.Bool().Draw(t, "resend") {
		if again := m.execute(c); fmt.Sprint(again.Err) != fmt.Sprint(r.Err) {
			t.Fatalf("the resent command returned error %v, the first one %v", again.Err, r.Err)
		}
	}
	admitted := r.BeginTurn != nil && !r.BeginTurn.Recorded || r.BeginCall != nil && r.BeginCall.Begun || c.Debit != nil && r.Err == nil
	if admitted {
		m.debitTimes = append(m.debitTimes, m.now)
	}
	return r
}

func (m *model) anyProgram(t *rapid.T) string {
	return rapid.SampledFrom(m.programs).Draw(t, "program")
}

func (m *model) Open(t *rapid.T) {
	id := fmt.Sprint("p", len(m.programs))
	parent := ""
	if len(m.programs) >= maxPrograms {
		t.Skip("the maximum number of programs has been opened")
	}
	if len(m.programs) > 0 && rapid.Bool().Draw(t, "sub") {
		parent = m.anyProgram(t)
	}
	c := m.openProgram(id, parent)
	c.OpenProgram.BudgetTokens = rapid.Int64Range(100, 2000).Draw(t, "budget")
	if r := m.send(t, c); r.Err == nil {
		m.programs = append(m.programs, id)
	}
}

func (m *model) Begin(t *rapid.T) {
	if len(m.programs) == 0 {
		t.Skip("no program has been opened")
	}
	id := m.anyProgram(t)
	n := rapid.SampledFrom([]int{0, m.answered[id], m.answered[id] + 1, m.answered[id] + 1, m.answered[id] + 2}).Draw(t, "turn")
	digest := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "digest")
	live := [][]string{nil, {"e1"}, {"e2"}, {"e1", "e2"}}
	entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
	r := m.send(t, withEntry(m.beginTurn(id, n, digest), entry, rapid.SampledFrom(live).Draw(t, "live")...))
	if r.Err != nil {
		if r.Err.Run != errs.NotRun {
			t.Fatalf("a rejected begin has run state %q", r.Err.Run)
		}
		return
	}
	b := r.BeginTurn
	if b.Recorded {
		if b.Turn.Number > m.answered[id] || string(b.Turn.Answer) != fmt.Sprint("answer", b.Turn.Number) {
			t.Fatalf("turn %d of %s has the answer %q", b.Turn.Number, id, b.Turn.Answer)
		}
		return
	}
	if b.Turn.Number != m.answered[id]+1 {
		t.Fatalf("turn %d was begun after %d answered turns", b.Turn.Number, m.answered[id])
	}
	if old, ok := m.running[id]; ok && old.Digest != digest {
		t.Fatal("a different request took over a running turn")
	}
	m.running[id] = b.Turn
}

func (m *model) Finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no turn is in progress")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "running")
	turn := m.running[id]
	attempt := turn.Attempt - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind")
	c := finishTurn(id, turn.Number, attempt)
	c.FinishTurn.UsageKnown = rapid.Bool().Draw(t, "known")
	c.FinishTurn.Usage.CompletionTokens = rapid.Int64Range(0, 300).Draw(t, "tokens")
	failed := rapid.IntRange(0, 3).Draw(t, "failed") == 0
	if failed {
		c.FinishTurn.Failure = targetFailure()
	}
	r := m.send(t, c)
	if current := attempt == turn.Attempt; current != (r.Err == nil) {
		t.Fatalf("finish of attempt %d while attempt %d is current returned error %v", attempt, turn.Attempt, r.Err)
	}
	if r.Err != nil {
		return
	}
	delete(m.running, id)
	if !failed {
		m.answered[id]++
	}
}

func (m *model) End(t *rapid.T) {
	if len(m.programs) > 0 {
		m.send(t, endProgram(m.anyProgram(t)))
	}
}

func (m *model) Call(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	c := m.beginCall(key, "d")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		c = finishCall(key, "e1", rapid.SampledFrom([]structs.CallState{structs.CallFinished, structs.CallUnknown}).Draw(t, "state"))
	case 1:
		c = finishCall(key, "e1", structs.CallNotRun)
	case 2:
		c = resolveCall(key, structs.CallNotRun)
	case 3:
		c = withEntry(c, "e2", "e2")
	}
	r := m.send(t, c)
	if r.BeginCall != nil && r.BeginCall.Begun {
		m.begunCalls[key]++
	}
	if r.Call != nil && r.Call.State == structs.CallNotRun {
		m.notRunCalls[key]++
	}
}

// Drain sends debits until the bucket is empty.
func (m *model) Drain(t *rapid.T) {
	for m.send(t, structs.OrgCommand{Debit: &structs.Debit{Limits: m.limits}}).Err == nil {
		m.Check(t)
	}
}

func (m *model) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
}

func (m *model) Limits(t *rapid.T) {
	m.setLimits(rapid.Float64Range(0.3, 20).Draw(t, "rate"), rapid.IntRange(1, 5).Draw(t, "burst"))
	m.send(t, structs.OrgCommand{Debit: &structs.Debit{Limits: m.limits}}) // lets the group adopt the new limits
}

func (m *model) Restore(t *rapid.T) {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := newGroup()
	if err := fresh.Machine.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, _ := fresh.Snapshot()
	if !slices.Equal(again, data) {
		t.Fatal("the snapshot of a restored machine differs from the original")
	}
	m.Machine = fresh.Machine
}

// Check verifies the invariants; rapid calls it after each action.
func (m *model) Check(t *rapid.T) {
	for _, id := range m.programs {
		p, err := m.Program("acme", id)
		if err != nil {
			t.Fatal(err)
		}
		if p.Spent < 0 || p.Reserved < 0 || p.Spent+p.Reserved > p.Budget {
			t.Fatalf("program %s: %d tokens spent and %d reserved of a budget of %d", id, p.Spent, p.Reserved, p.Budget)
		}
	}
	for key, n := range m.begunCalls {
		if n > m.notRunCalls[key]+1 {
			t.Fatalf("call %s was begun %d times but recorded as not run only %d times", key, n, m.notRunCalls[key])
		}
	}
	m.checkRate(t)
}

// checkRate verifies for each interval from an admitted request until now that at most
// rate x time + burst requests were admitted. If the limits changed within the interval,
// the bound is the integral of the rate plus the largest burst.
func (m *model) checkRate(t *rapid.T) {
	for i, from := range m.debitTimes {
		allowed, burst := 0.0, 0
		for j, c := range m.limitChanges {
			until := m.now
			if j+1 < len(m.limitChanges) {
				until = m.limitChanges[j+1].at
			}
			if until >= from {
				allowed += c.rate * max(0, (until-max(c.at, from)).Seconds())
				burst = max(burst, c.burst)
			}
		}
		if got := len(m.debitTimes) - i; float64(got) > math.Floor(allowed+float64(burst)+1e-6) {
			t.Fatalf("%d requests were admitted in %v, at most %.3f are allowed", got, m.now-from, allowed+float64(burst))
		}
	}
}

// TestGroupInvariants checks four invariants under random sequences of commands, resends,
// takeovers and restores: turns are answered in order, budgets are not exceeded, rate limits
// are not exceeded, and a call is begun again only after it was recorded as not run.
func TestGroupInvariants(t *testing.T) {
	if err := flag.Set("rapid.steps", stepsPerRun); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{group: newGroup(), running: map[string]structs.Turn{}, answered: map[string]int{},
			begunCalls: map[string]int{}, notRunCalls: map[string]int{}}
		m.limits.Revision = 0
		m.setLimits(5, 3)
		t.Repeat(map[string]func(*rapid.T){
			"open": m.Open, "begin": m.Begin, "begin again": m.Begin, "finish": m.Finish, "call again": m.Call, "end": m.End, "call": m.Call, "drain": m.Drain,
			"wait": m.Wait, "limits": m.Limits, "restore": m.Restore, "": m.Check,
		})
	})
}
