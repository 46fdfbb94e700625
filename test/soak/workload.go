package main

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// workload runs the simulated callers and operators, and records what they observe.
type workload struct {
	site *site
	keys map[string]string // by organisation
	orgs []string

	mu           sync.Mutex
	attempts     []attempt
	violations   []string // guarantees that were found broken
	ackedVersion int      // newest acknowledged configuration version
	sentVersion  int
	revokedAt    map[int]time.Time // when each generation of the rotating key was revoked

	// resumes and begins count, at gateways that were not disturbed, the streams that callers have resumed
	// and begun.
	resumes, begins streamCount

	// zoneMayBeOut is set while the last order for evacuatedZone has taken it out of service, acknowledged or
	// not. It is not locked: orderZones uses it, and checkRecovery after that has ended.
	zoneMayBeOut bool

	probesServed int // not locked: only probeKeys uses it while it runs
}

// attempt is one request sent by a caller, with its result.
type attempt struct {
	call    standin.Call
	org     string
	kind    string
	result  standin.Result
	gateway *host // receives the request
	// mustBeServed is set if the faults are no reason for the gateway not to serve the request.
	mustBeServed bool
	// inTouch is set if the gateway must know which targets are draining.
	inTouch bool
	// history is the conversation so far, which the target must receive before the body. It is
	// set for turns only.
	history string
}

const (
	callDeadline = 3 * time.Second
	// turnTokens is the maximum number of tokens that a turn produces.
	turnTokens = 4 * standin.EventTokens
	// programTurns is the number of turns that a program's budget covers. Programs attempt
	// more, so that the budget is exceeded.
	programTurns = 5
	// turnFiller is the length of what a turn's body has besides its name, so that turns fill the ledger.
	turnFiller = 16 << 10
)

// filler is the content of long bodies.
var filler = strings.Repeat("0123456789abcdef", uploadBytes/16)

func newWorkload(s *site) *workload {
	w := &workload{site: s, keys: map[string]string{}, revokedAt: map[int]time.Time{}, orgs: []string{"org-a", "org-b", "org-c"}}
	for _, o := range w.orgs {
		w.keys[o] = "key-" + o
	}
	return w
}

func (w *workload) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *workload) newAttempt(id, kind string, org int) attempt {
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

// send sends an attempt to a gateway and records it with its result.
func (w *workload) send(c *standin.Caller, h *host, a attempt) standin.Result {
	a.gateway = h
	a.result = c.Do(context.Background(), h.address(standin.FrontPort), &a.call)
	a.mustBeServed = w.site.mustServe(h, a.result.Sent)
	a.inTouch = w.site.inTouch(h, a.result.Sent)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, a)
	return a.result
}

// runClient sends programs and single calls until ctx ends. It stays with one gateway until a
// request fails, as a load balancer keeps a connection to one gateway.
func (w *workload) runClient(ctx context.Context, rng *rand.Rand, n int) {
	caller := standin.NewCaller()
	defer caller.Close()
	gateways := w.site.hostsOfKind("gateway")
	current := rng.Intn(len(gateways))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		ok := true
		switch rng.Intn(3) {
		case 0:
			ok = w.runProgram(ctx, caller, rng, gateways, current, id, n)
		case 1:
			ok = w.send(caller, gateways[current], w.newAttempt(id, "pay", n)).Status == 200
		default:
			ok = w.send(caller, gateways[current], w.newAttempt(id, "look", n)).Status == 200
		}
		if !ok {
			current = rng.Intn(len(gateways))
		}
		time.Sleep(time.Duration(rng.Intn(30)) * time.Millisecond)
	}
}

// runProgram runs consecutive turns of one program until the budget is spent, the last turn is
// done or a turn fails twice. It reports whether the last attempt succeeded. A turn may go to
// a different gateway than the previous one.
func (w *workload) runProgram(ctx context.Context, c *standin.Caller, rng *rand.Rand, gateways []*host, current int, id string, n int) bool {
	org := w.orgs[n%len(w.orgs)]
	previous, history := "", ""
	tries := 0
	for turn := 0; ctx.Err() == nil && tries < 2 && turn < programTurns+2; {
		a := attempt{org: org, kind: "chat", history: history, call: standin.Call{
			ID: fmt.Sprintf("%s-t%d-%d", id, turn, tries), Method: "POST", Host: "site.example", Path: "/chat/x",
			Body: fmt.Sprintf("[%s turn %d]%s", id, turn, filler[:turnFiller]), Key: w.keys[org], Deadline: callDeadline, Program: "p-" + id,
			Budget: programTurns * turnTokens, MaxTokens: turnTokens, Previous: previous}}
		if rng.Intn(4) == 0 {
			current = rng.Intn(len(gateways))
		}
		r := w.send(c, gateways[current], a)
		if r.Status == 402 {
			return true
		}
		if r.Status != 200 || !r.Complete {
			tries++
			time.Sleep(min(max(r.RetryAfter, 50*time.Millisecond), time.Second))
			current = rng.Intn(len(gateways))
			continue
		}
		history += a.call.Body + standin.StreamOutput(a.call.ID)
		previous = a.call.ID
		turn++
		tries = 0
	}
	return tries == 0
}

// runOperator applies configurations with increasing versions and reads the current one back from
// a random controller, which must not return a version older than one acknowledged before.
func (w *workload) runOperator(ctx context.Context) {
	rng := rand.New(rand.NewSource(1))
	var op standin.Operator
	for version := 2; ctx.Err() == nil; {
		if w.putConfig(version) {
			version++
		}
		w.mu.Lock()
		acked := w.ackedVersion
		w.mu.Unlock()
		controllers := w.site.hostsOfKind("controller")
		got := op.Get(controllers[rng.Intn(len(controllers))].address(standin.ControlPort))
		if got != 0 && got < acked {
			w.recordViolation("OLD CONFIGURATION: version %d was read back after %d was acknowledged", got, acked)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// putConfig sends a configuration version to a random controller and reports whether it was
// acknowledged.
func (w *workload) putConfig(version int) bool {
	var op standin.Operator
	controllers := w.site.hostsOfKind("controller")
	body := standin.Document(version, w.keysAt(version), requestRate)
	ok := op.Put(controllers[rand.Intn(len(controllers))].address(standin.ControlPort), body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentVersion = max(w.sentVersion, version)
	if ok {
		w.ackedVersion = max(w.ackedVersion, version)
		w.recordRevocations(version)
	}
	return ok
}
