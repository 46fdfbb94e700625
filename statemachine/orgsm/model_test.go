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

// The properties run as a plain test, because rapid drives its own *testing.T.

const (
	maxPrograms = 4
	// steps is the average number of commands in one run of the properties.
	steps = "120"
)

// model is what a group must keep true under any commands.
type model struct {
	*group
	programs []string
	running  map[string]structs.Turn // turns in progress by program
	answered map[string]int
	winners  map[string]int // begun calls by key
	notRun   map[string]int // calls proved not run, by key
	debits   []time.Duration
	changes  []limitChange
}

type limitChange struct {
	at    time.Duration
	rate  float64
	burst int
}

func (m *model) setLimits(rate float64, burst int) {
	m.lim.Revision++
	m.lim.Rate, m.lim.Burst = rate, burst
	m.changes = append(m.changes, limitChange{m.now, rate, burst})
}

// send applies a command, sometimes twice with the same request id: both replies must be
// equal. It counts what has passed the bucket.
func (m *model) send(t *rapid.T, c structs.OrgCommand) structs.OrgReply {
	requests++
	c.RequestID = fmt.Sprint("m", requests)
	r := m.do(c)
	if rapid.Bool().Draw(t, "resend") {
		if again := m.do(c); fmt.Sprint(again.Err) != fmt.Sprint(r.Err) {
			t.Fatalf("a resend got %v after %v", again.Err, r.Err)
		}
	}
	begun := r.BeginTurn != nil && !r.BeginTurn.Recorded || r.BeginCall != nil && r.BeginCall.Begun || c.Debit != nil && r.Err == nil
	if begun {
		m.debits = append(m.debits, m.now)
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
		t.Skip("enough programs")
	}
	if len(m.programs) > 0 && rapid.Bool().Draw(t, "sub") {
		parent = m.anyProgram(t)
	}
	c := m.open(id, parent)
	c.OpenProgram.BudgetTokens = rapid.Int64Range(100, 2000).Draw(t, "budget")
	if r := m.send(t, c); r.Err == nil {
		m.programs = append(m.programs, id)
	}
}

func (m *model) Begin(t *rapid.T) {
	if len(m.programs) == 0 {
		t.Skip("no program")
	}
	id := m.anyProgram(t)
	n := rapid.SampledFrom([]int{0, m.answered[id], m.answered[id] + 1, m.answered[id] + 1, m.answered[id] + 2}).Draw(t, "turn")
	digest := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "digest")
	live := [][]string{nil, {"e1"}, {"e2"}, {"e1", "e2"}}
	entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
	r := m.send(t, by(m.begin(id, n, digest), entry, rapid.SampledFrom(live).Draw(t, "live")...))
	if r.Err != nil {
		if r.Err.Run != errs.NotRun {
			t.Fatalf("a refused begin says %q", r.Err.Run)
		}
		return
	}
	b := r.BeginTurn
	if b.Recorded {
		if b.Turn.N > m.answered[id] || string(b.Turn.Answer) != fmt.Sprint("answer", b.Turn.N) {
			t.Fatalf("turn %d of %s has the answer %q", b.Turn.N, id, b.Turn.Answer)
		}
		return
	}
	if b.Turn.N != m.answered[id]+1 {
		t.Fatalf("turn %d begun after %d answers", b.Turn.N, m.answered[id])
	}
	if old, ok := m.running[id]; ok && old.Digest != digest {
		t.Fatal("another request took over a running turn")
	}
	m.running[id] = b.Turn
}

func (m *model) Finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no turn in progress")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "running")
	turn := m.running[id]
	attempt := turn.Attempt - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind")
	c := finish(id, turn.N, attempt)
	c.FinishTurn.UsageKnown = rapid.Bool().Draw(t, "known")
	c.FinishTurn.Usage.CompletionTokens = rapid.Int64Range(0, 300).Draw(t, "tokens")
	failed := rapid.IntRange(0, 3).Draw(t, "failed") == 0
	if failed {
		c.FinishTurn.Failure = rateFailure()
	}
	r := m.send(t, c)
	if current := attempt == turn.Attempt; current != (r.Err == nil) {
		t.Fatalf("attempt %d of %d: %v", attempt, turn.Attempt, r.Err)
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
		m.send(t, end(m.anyProgram(t)))
	}
}

func (m *model) Call(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	c := m.call(key, "d")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		c = finishCall(key, "e1", rapid.SampledFrom([]structs.CallState{structs.CallFinished, structs.CallUnknown}).Draw(t, "state"))
	case 1:
		c = finishCall(key, "e1", structs.CallNotRun)
	case 2:
		c = resolve(key, structs.CallNotRun)
	case 3:
		c = by(c, "e2", "e2")
	}
	r := m.send(t, c)
	if r.BeginCall != nil && r.BeginCall.Begun {
		m.winners[key]++
	}
	if r.Call != nil && r.Call.State == structs.CallNotRun {
		m.notRun[key]++
	}
}

// Drain debits until the bucket is empty.
func (m *model) Drain(t *rapid.T) {
	for m.send(t, structs.OrgCommand{Debit: &structs.Debit{Limits: m.lim}}).Err == nil {
		m.Check(t)
	}
}

func (m *model) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
}

func (m *model) Limits(t *rapid.T) {
	m.setLimits(rapid.Float64Range(0.3, 20).Draw(t, "rate"), rapid.IntRange(1, 5).Draw(t, "burst"))
	m.send(t, structs.OrgCommand{Debit: &structs.Debit{Limits: m.lim}}) // the group sees them
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
		t.Fatal("a restored machine has another snapshot")
	}
	m.Machine = fresh.Machine
}

// Check holds after each command.
func (m *model) Check(t *rapid.T) {
	for _, id := range m.programs {
		p, err := m.Program("acme", id)
		if err != nil {
			t.Fatal(err)
		}
		if p.Spent < 0 || p.Reserved < 0 || p.Spent+p.Reserved > p.Budget {
			t.Fatalf("program %s: %d spent and %d reserved of %d", id, p.Spent, p.Reserved, p.Budget)
		}
	}
	for key, n := range m.winners {
		if n > m.notRun[key]+1 {
			t.Fatalf("call %s begun %d times, proved not run %d times", key, n, m.notRun[key])
		}
	}
	m.checkRate(t)
}

// checkRate compares each interval that ends now with its rate x time + burst. Where the
// limits changed within the interval, the integral of the rate and the largest burst
// bound it.
func (m *model) checkRate(t *rapid.T) {
	for i, from := range m.debits {
		allowed, burst := 0.0, 0
		for j, c := range m.changes {
			until := m.now
			if j+1 < len(m.changes) {
				until = m.changes[j+1].at
			}
			if until >= from {
				allowed += c.rate * max(0, (until-max(c.at, from)).Seconds())
				burst = max(burst, c.burst)
			}
		}
		if got := len(m.debits) - i; float64(got) > math.Floor(allowed+float64(burst)+1e-6) {
			t.Fatalf("%d requests in %v, allowed %.3f", got, m.now-from, allowed+float64(burst))
		}
	}
}

// TestProperties guards the invariants of section 1.2 of the design (order, budget, rate,
// at most once) against any mix of commands, resends, takeovers and restores.
func TestProperties(t *testing.T) {
	if err := flag.Set("rapid.steps", steps); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{group: newGroup(), running: map[string]structs.Turn{}, answered: map[string]int{},
			winners: map[string]int{}, notRun: map[string]int{}}
		m.lim.Revision = 0
		m.setLimits(5, 3)
		t.Repeat(map[string]func(*rapid.T){
			"open": m.Open, "begin": m.Begin, "begin again": m.Begin, "finish": m.Finish, "call again": m.Call, "end": m.End, "call": m.Call, "drain": m.Drain,
			"wait": m.Wait, "limits": m.Limits, "restore": m.Restore, "": m.Check,
		})
	})
}
