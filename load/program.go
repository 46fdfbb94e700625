package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/standin/engine"
)

const (
	bytesPerToken = 4
	// maxDepth bounds sub-agents of sub-agents.
	maxDepth = 1
	// maxBackoff bounds the wait between resends when no reply says when to retry.
	maxBackoff = 2 * time.Second
)

// program is one run of an agent program.
type program struct {
	d       *driver
	org     Org
	kind    Kind
	rng     *rand.Rand
	parent  string
	depth   int
	id      string
	engine  string // with Direct: the engine that serves the program
	history []engine.Message
}

// run executes the program and records its latency.
func (p *program) run(ctx context.Context) bool {
	start := time.Now()
	ok := p.open(ctx) && p.turns(ctx)
	if p.id != "" {
		p.end(ctx)
	}
	if p.depth == 0 {
		p.d.rec.program(p.org.Name, p.kind.Class, time.Since(start), ok)
	}
	return ok
}

func (p *program) turns(ctx context.Context) bool {
	n := p.kind.MinTurns + p.rng.IntN(p.kind.MaxTurns-p.kind.MinTurns+1)
	message := p.message("user", p.kind.FirstTokens)
	for turn := 1; turn <= n; turn++ {
		if !p.turn(ctx, turn, message) {
			return false
		}
		if !p.sideCalls(ctx) {
			return false
		}
		if turn < n {
			sleep(ctx, time.Duration(p.rng.ExpFloat64()*float64(p.kind.Pause)))
			message = p.message("tool", p.kind.TurnTokens)
		}
	}
	return true
}

// sideCalls makes the calls that may follow a turn.
func (p *program) sideCalls(ctx context.Context) bool {
	child, order, lookup := p.rng.Float64(), p.rng.Float64(), p.rng.Float64()
	if child < p.kind.SubAgent && p.depth < maxDepth && !p.child().run(ctx) {
		return false
	}
	if order < p.kind.Order && !p.order(ctx) {
		return false
	}
	return lookup >= p.kind.Lookup || p.lookup(ctx)
}

// child returns a sub-agent of the program.
func (p *program) child() *program {
	return &program{
		d:      p.d,
		org:    p.org,
		kind:   p.kind,
		rng:    rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())),
		parent: p.id,
		depth:  p.depth + 1,
	}
}

// message returns a message of about the given mean size that asks for an answer of a
// length. It is unique, so that a mixed answer shows.
func (p *program) message(role string, mean int) engine.Message {
	size := p.around(mean) * bytesPerToken
	head := fmt.Sprintf("%s %016x %s%d ", p.kind.Name, p.rng.Uint64(), engine.LengthDirective, p.around(p.kind.AnswerTokens))
	return engine.Text(role, head+strings.Repeat("x", max(0, size-len(head))))
}

// around returns a number between half and one and a half of mean.
func (p *program) around(mean int) int {
	return mean/2 + p.rng.IntN(mean+1)
}

// open creates the program.
func (p *program) open(ctx context.Context) bool {
	if p.d.cfg.Direct {
		p.id = fmt.Sprintf("direct-%016x", p.rng.Uint64())
		p.engine = p.d.balancer.pick()
		return true
	}
	body := map[string]any{"service": p.kind.Service}
	if p.kind.BudgetTokens > 0 {
		body["budget_tokens"] = p.kind.BudgetTokens
	}
	if p.parent != "" {
		body["parent"] = p.parent
	}
	r := p.resend(ctx, call{method: "POST", path: "/v1/programs", body: body})
	if r.fail != nil {
		return false
	}
	var opened struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(r.body, &opened) != nil || opened.ID == "" {
		p.d.rec.violation(lostAnswer, "reply to POST /v1/programs has no id: "+string(r.body))
		return false
	}
	p.id = opened.ID
	return true
}

// end ends the program; the engine's memory is freed with it.
func (p *program) end(ctx context.Context) {
	if p.d.cfg.Direct {
		send(ctx, "DELETE", p.engine+"/v1/sessions/"+p.id, nil, nil)
		return
	}
	p.resend(ctx, call{method: "POST", path: "/v1/programs/" + p.id + "/end"})
}

// turn runs one turn and checks its answer.
func (p *program) turn(ctx context.Context, n int, message engine.Message) bool {
	p.history = append(p.history, message)
	c := call{method: "POST", path: "/v1/chat/completions", counted: true, expected: engine.Answer(p.history)}
	body := map[string]any{"model": p.kind.Service, "stream": p.kind.Stream, "messages": p.history}
	if p.d.cfg.Direct {
		body["session_id"] = p.id
	} else {
		c.header = map[string]string{"Figlb-Program": p.id, "Figlb-Turn": strconv.Itoa(n)}
		if p.rng.Float64() >= p.kind.FullHistory {
			body["messages"] = []engine.Message{message}
		}
	}
	c.body = body
	r := p.resend(ctx, c)
	if r.fail != nil {
		return false
	}
	p.history = append(p.history, engine.Text("assistant", r.text))
	p.d.rec.answer(p.org.Name, p.kind, r)
	return true
}

// call is a request with what its answer must be.
type call struct {
	method, path string
	header       map[string]string
	body         any
	// counted requests are offered load that an organisation's rate is spent on.
	counted bool
	// expected is the whole text of a chat answer; empty: no check.
	expected string
	// each is told of every failed attempt.
	each func(*failure)
}

// resend sends a request until it gets an answer, or an error that does not allow a
// resend, or the time to retry ends. The first token is counted from the first attempt.
func (p *program) resend(ctx context.Context, c call) *reply {
	start := time.Now()
	backoff := defaultRetryAfter
	if c.counted {
		p.d.rec.offered(p.org.Name)
	}
	for {
		var cost spend
		if c.counted {
			cost = p.d.rec.sending(p.org.Name)
		}
		sent := time.Since(start)
		r := p.attempt(ctx, c)
		if r.fail == nil {
			if c.counted {
				p.d.rec.admitted(p.org.Name, cost)
			}
			r.first += sent
			return r
		}
		p.d.rec.failed(p.org.Name, r.fail, cost)
		if c.each != nil {
			c.each(r.fail)
		}
		wait := r.fail.RetryAfter
		if wait <= 0 {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		if !r.fail.retryable() || ctx.Err() != nil || time.Since(start)+wait > p.d.cfg.RetryFor {
			p.d.rec.gaveUp(p.org.Name, r.fail)
			return r
		}
		sleep(ctx, wait)
	}
}

// attempt sends a request once and checks what came back.
func (p *program) attempt(ctx context.Context, c call) *reply {
	header := map[string]string{}
	for k, v := range c.header {
		header[k] = v
	}
	base := p.engine
	if base == "" {
		base = p.d.balancer.pick()
		header["Authorization"] = "Bearer " + p.org.Key
	}
	ctx, cancel := context.WithTimeout(ctx, p.d.cfg.Timeout)
	defer cancel()
	r := send(ctx, c.method, base+c.path, header, c.body)
	if c.expected == "" {
		return r
	}
	if r.fail == nil && r.body != nil {
		r.readWhole()
	}
	p.checkText(c, r)
	return r
}

// readWhole takes the answer from a body that is no stream.
func (r *reply) readWhole() {
	var text strings.Builder
	r.take(r.body, &text)
	r.text = text.String()
}

// checkText compares the text with the expected one. A partial text must be the
// beginning of it.
func (p *program) checkText(c call, r *reply) {
	at := fmt.Sprintf("program %s of %s, %v: ", p.id, p.org.Name, c.header)
	switch {
	case !strings.HasPrefix(c.expected, r.text):
		p.d.rec.violation(mixedAnswer, at+fmt.Sprintf("got %q, want %q", r.text, c.expected))
	case r.fail != nil && r.fail.Code == codeCut:
		p.d.rec.violation(cutAnswer, at+r.fail.Message)
	case r.fail != nil && r.fail.Code == string(errs.UnknownProgram):
		p.d.rec.violation(lostHistory, at+r.fail.Message)
	case r.fail == nil && r.text != c.expected && r.finish != "length":
		p.d.rec.violation(lostAnswer, at+fmt.Sprintf("got %q, want %q", r.text, c.expected))
	}
}
