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
	// maxDepth is the deepest nesting of sub-agents: a sub-agent starts none itself.
	maxDepth = 1
	// maxBackoff bounds the wait between retries when replies do not say when to retry.
	maxBackoff = 2 * time.Second
)

// program is one execution of an agent program.
type program struct {
	d       *driver
	org     Org
	kind    Kind
	rng     *rand.Rand
	parent  string
	depth   int
	id      string
	engine  string // base URL of the program's engine; set only if Config.Direct is set
	history []engine.Message
}

// run executes the program and, unless it is a sub-agent, records its latency. It reports
// whether the program succeeded.
func (p *program) run(ctx context.Context) bool {
	start := time.Now()
	ok := p.create(ctx) && p.runTurns(ctx)
	if p.id != "" {
		p.end(ctx)
	}
	if p.depth == 0 {
		p.d.rec.recordProgram(p.org.Name, p.kind.Class, time.Since(start), ok)
	}
	return ok
}

// runTurns runs a random number of turns and the side calls that follow them.
func (p *program) runTurns(ctx context.Context) bool {
	n := p.kind.MinTurns + p.rng.IntN(p.kind.MaxTurns-p.kind.MinTurns+1)
	message := p.newMessage("user", p.kind.FirstTokens)
	for turn := 1; turn <= n; turn++ {
		if !p.runTurn(ctx, turn, message) {
			return false
		}
		if !p.runSideCalls(ctx) {
			return false
		}
		if turn < n {
			sleep(ctx, time.Duration(p.rng.ExpFloat64()*float64(p.kind.Pause)))
			message = p.newMessage("tool", p.kind.TurnTokens)
		}
	}
	return true
}

// runSideCalls makes the calls that may follow a turn: a sub-agent, an order and a lookup.
func (p *program) runSideCalls(ctx context.Context) bool {
	child, order, lookup := p.rng.Float64(), p.rng.Float64(), p.rng.Float64()
	if child < p.kind.SubAgent && p.depth < maxDepth && !p.newSubAgent().run(ctx) {
		return false
	}
	if order < p.kind.Order && !p.sendOrder(ctx) {
		return false
	}
	return lookup >= p.kind.Lookup || p.lookUpItem(ctx)
}

// newSubAgent returns a sub-agent of the program.
func (p *program) newSubAgent() *program {
	return &program{
		d:      p.d,
		org:    p.org,
		kind:   p.kind,
		rng:    rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())),
		parent: p.id,
		depth:  p.depth + 1,
	}
}

// newMessage returns a message whose size varies around mean tokens and which asks for an
// answer of a random length. Each message is unique, so that an answer that belongs to
// another program is detected.
func (p *program) newMessage(role string, mean int) engine.Message {
	size := p.randomAround(mean) * bytesPerToken
	head := fmt.Sprintf("%s %016x %s%d ", p.kind.Name, p.rng.Uint64(), engine.LengthDirective, p.randomAround(p.kind.AnswerTokens))
	return engine.TextMessage(role, head+strings.Repeat("x", max(0, size-len(head))))
}

// randomAround returns a uniformly distributed number between 0.5 and 1.5 times mean.
func (p *program) randomAround(mean int) int {
	return mean/2 + p.rng.IntN(mean+1)
}

// create creates the program at an entry, or picks its engine if Config.Direct is set.
func (p *program) create(ctx context.Context) bool {
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
	r := p.sendWithRetries(ctx, call{method: "POST", path: "/v1/programs", body: body})
	if r.fail != nil {
		return false
	}
	var opened struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(r.body, &opened) != nil || opened.ID == "" {
		p.d.rec.recordViolation(lostAnswer, "reply to POST /v1/programs has no id: "+string(r.body))
		return false
	}
	p.id = opened.ID
	return true
}

// end ends the program, which also frees its session's KV cache in the engine.
func (p *program) end(ctx context.Context) {
	if p.d.cfg.Direct {
		send(ctx, "DELETE", p.engine+"/v1/sessions/"+p.id, nil, nil)
		return
	}
	p.sendWithRetries(ctx, call{method: "POST", path: "/v1/programs/" + p.id + "/end"})
}

// runTurn sends the chat request of turn n, checks the answer and adds it to the history.
func (p *program) runTurn(ctx context.Context, n int, message engine.Message) bool {
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
	r := p.sendWithRetries(ctx, c)
	if r.fail != nil {
		return false
	}
	p.history = append(p.history, engine.TextMessage("assistant", r.text))
	p.d.rec.recordAnswer(p.org.Name, p.kind, r)
	return true
}

// call is a request together with the expected answer.
type call struct {
	method, path string
	header       map[string]string
	body         any
	// counted requests are part of the offered load and count against the organisation's
	// rate limit.
	counted bool
	// expected is the complete text of a chat answer; empty disables the check.
	expected string
	// onFailure, if set, is called after each failed attempt.
	onFailure func(*failure)
}

// sendWithRetries sends a request until it is answered, an error forbids a retry, or
// Config.RetryFor would be exceeded. The time to the first token is measured from the first
// attempt.
func (p *program) sendWithRetries(ctx context.Context, c call) *reply {
	start := time.Now()
	backoff := defaultRetryAfter
	if c.counted {
		p.d.rec.recordOffered(p.org.Name)
	}
	for {
		var cost bucketCharge
		if c.counted {
			cost = p.d.rec.chargeBucket(p.org.Name)
		}
		sent := time.Since(start)
		r := p.sendOnce(ctx, c)
		if r.fail == nil {
			if c.counted {
				p.d.rec.recordAdmitted(p.org.Name, cost)
			}
			r.firstToken += sent
			return r
		}
		p.d.rec.recordFailure(p.org.Name, r.fail, cost)
		if c.onFailure != nil {
			c.onFailure(r.fail)
		}
		wait := r.fail.RetryAfter
		if wait <= 0 {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		if !r.fail.retryable() || ctx.Err() != nil || time.Since(start)+wait > p.d.cfg.RetryFor {
			p.d.rec.recordGaveUp(p.org.Name, r.fail)
			return r
		}
		sleep(ctx, wait)
	}
}

// sendOnce makes one attempt and, for a chat request, checks the text of the answer.
func (p *program) sendOnce(ctx context.Context, c call) *reply {
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
		r.parseBody()
	}
	p.checkText(c, r)
	return r
}

// parseBody extracts the answer from the body of a reply that is not an event stream.
func (r *reply) parseBody() {
	var text strings.Builder
	r.addChunk(r.body, &text)
	r.text = text.String()
}

// checkText compares the answer with the expected text. The text of an incomplete answer
// must be a prefix of it.
func (p *program) checkText(c call, r *reply) {
	at := fmt.Sprintf("program %s of %s, %v: ", p.id, p.org.Name, c.header)
	switch {
	case !strings.HasPrefix(c.expected, r.text):
		p.d.rec.recordViolation(mismatchedAnswer, at+fmt.Sprintf("got %q, want %q", r.text, c.expected))
	case r.fail != nil && r.fail.Code == codeTruncated:
		p.d.rec.recordViolation(truncatedAnswer, at+r.fail.Message)
	case r.fail != nil && r.fail.Code == string(errs.UnknownProgram):
		p.d.rec.recordViolation(lostHistory, at+r.fail.Message)
	case r.fail == nil && r.text != c.expected && r.finish != "length":
		p.d.rec.recordViolation(lostAnswer, at+fmt.Sprintf("got %q, want %q", r.text, c.expected))
	}
}
