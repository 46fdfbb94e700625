package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// world drives callers and operators, and records what they see.
type world struct {
	s    *site
	keys map[string]string // by organisation
	orgs []string

	mu       sync.Mutex
	attempts []attempt
	faults   []string // promises broken
	acked    int      // newest acknowledged version
	sent     int
	revoked  map[int]time.Time // by generation of the rotating key

	probesServed int // used by the probe alone until it has ended
}

// attempt is one request of a caller with its result.
type attempt struct {
	call   standin.Call
	org    string
	kind   string
	result standin.Result
	host   *host // the gateway
	// history is what the target has to receive before the body; turns only.
	history string
}

const (
	callDeadline = 3 * time.Second
	// turnTokens is the most that a turn produces.
	turnTokens = 4 * standin.EventTokens
	// programTurns is the number of turns that a budget holds; programs try more.
	programTurns = 5
)

func newWorld(s *site) *world {
	w := &world{s: s, keys: map[string]string{}, revoked: map[int]time.Time{}, orgs: []string{"org-a", "org-b", "org-c"}}
	for _, o := range w.orgs {
		w.keys[o] = "key-" + o
	}
	return w
}

func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) plain(id, kind string, org int) attempt {
	o := w.orgs[org%len(w.orgs)]
	method := "POST"
	if kind == "look" {
		method = "GET"
	}
	body := ""
	if kind == "pay" {
		body = "order " + id
	}
	return attempt{org: o, kind: kind, call: standin.Call{ID: id, Method: method, Host: "site.example", Path: "/" + kind + "/x",
		Body: body, Key: w.keys[o], Deadline: callDeadline}}
}

// do sends an attempt to a gateway and records it.
func (w *world) do(c *standin.Caller, h *host, a attempt) standin.Result {
	a.host = h
	a.result = c.Do(context.Background(), h.address(standin.FrontPort), &a.call)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, a)
	return a.result
}

// client runs programs and calls until ctx ends. It keeps to one gateway as long as its
// connection lasts, as the balancer does.
func (w *world) client(ctx context.Context, rng *rand.Rand, n int) {
	caller := standin.NewCaller()
	defer caller.Close()
	gs := w.s.of("gateway")
	at := rng.Intn(len(gs))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		ok := true
		switch rng.Intn(3) {
		case 0:
			ok = w.program(ctx, caller, rng, gs, at, id, n)
		case 1:
			ok = w.do(caller, gs[at], w.plain(id, "pay", n)).Status == 200
		default:
			ok = w.do(caller, gs[at], w.plain(id, "look", n)).Status == 200
		}
		if !ok {
			at = rng.Intn(len(gs))
		}
		time.Sleep(time.Duration(rng.Intn(30)) * time.Millisecond)
	}
}

// program runs turns that continue each other until the budget is spent or a turn fails
// twice. A turn may go to another gateway than the one before.
func (w *world) program(ctx context.Context, c *standin.Caller, rng *rand.Rand, gs []*host, at int, id string, n int) bool {
	org := w.orgs[n%len(w.orgs)]
	previous, history := "", ""
	tries := 0
	for turn := 0; ctx.Err() == nil && tries < 2 && turn < programTurns+2; {
		a := attempt{org: org, kind: "chat", history: history, call: standin.Call{
			ID: fmt.Sprintf("%s-t%d-%d", id, turn, tries), Method: "POST", Host: "site.example", Path: "/chat/x",
			Body: fmt.Sprintf("[%s turn %d]", id, turn), Key: w.keys[org], Deadline: callDeadline, Program: "p-" + id,
			Budget: programTurns * turnTokens, MaxTokens: turnTokens, Previous: previous}}
		if rng.Intn(4) == 0 {
			at = rng.Intn(len(gs))
		}
		r := w.do(c, gs[at], a)
		if r.Status == 402 {
			return true
		}
		if r.Status != 200 || !r.Whole {
			tries++
			time.Sleep(min(max(r.RetryAfter, 50*time.Millisecond), time.Second))
			at = rng.Intn(len(gs))
			continue
		}
		history += a.call.Body + standin.StreamOutput(a.call.ID)
		previous = a.call.ID
		turn++
		tries = 0
	}
	return tries == 0
}

// operate sends rising configurations and reads them back at any controller.
func (w *world) operate(ctx context.Context) {
	rng := rand.New(rand.NewSource(1))
	var op standin.Operator
	for version := 2; ctx.Err() == nil; {
		if w.put(version) {
			version++
		}
		w.mu.Lock()
		acked := w.acked
		w.mu.Unlock()
		cs := w.s.of("controller")
		got := op.Get(cs[rng.Intn(len(cs))].address(standin.ControlPort))
		if got != 0 && got < acked {
			w.broken("CONFIG: version %d read back after %d was acknowledged", got, acked)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// put sends a version to a controller and notes whether it was acknowledged.
func (w *world) put(version int) bool {
	var op standin.Operator
	cs := w.s.of("controller")
	body := standin.Document(version, w.keysAt(version), requestRate)
	ok := op.Put(cs[rand.Intn(len(cs))].address(standin.ControlPort), body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = max(w.sent, version)
	if ok {
		w.acked = max(w.acked, version)
		w.noteRevoked(version)
	}
	return ok
}
