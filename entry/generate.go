package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const (
	// quarantineTime is how long requests that crash targets are refused.
	quarantineTime = time.Hour
	// maxCrashes is the number of targets that one request may crash.
	maxCrashes = 2
	// finishLength is the finish reason of an answer at its token limit.
	finishLength = "length"
)

// Priorities for engines: lower is sooner.
var classPriority = map[structs.Class]int{
	structs.ClassInteractive: 0,
	structs.ClassBatch:       1,
	structs.ClassLookup:      2,
}

// generation runs one begun turn on targets.
type generation struct {
	t       *turn
	begin   *structs.BeginTurnReply
	hist    *history
	prompt  [][]byte // the turn's own messages
	prefix  promptPrefixes
	digest  string // of the whole prompt
	started time.Time
	// pending holds the chunks of a request without streaming until the answer is
	// complete, so that an attempt can start from scratch.
	pending [][]byte

	answer *answer
	// roleSent tells that a chunk with the role has been published.
	roleSent bool
	targets  []string
	exclude  []string
	crashes  int
	last     *engine.Failure
	// written tells that a target may have seen the request, spent that it may have
	// generated tokens that no usage accounts for.
	written bool
	spent   bool
}

func newGeneration(t *turn, b *structs.BeginTurnReply) *generation {
	g := &generation{t: t, begin: b, answer: newAnswer(), started: time.Now()}
	g.hist = g.history()
	g.prompt = b.Turn.Messages
	if len(g.prompt) == 0 {
		g.prompt = t.req.messages
	}
	g.prefix = g.hist.chain.addAll(g.prompt).prefixes(t.svc.Model, g.hist.chain.bytes, b.Program.ContextTokens)
	g.digest = t.req.digestAfter(g.hist)
	return g
}

// history joins the history that the begin command named as known with the rest from
// its reply.
func (g *generation) history() *history {
	n := g.begin.Turn.N - 1
	if g.t.known.turns == n {
		return g.t.known
	}
	return g.t.known.extend(n, g.begin.History)
}

// run dispatches until the answer is complete or given up, and records the outcome.
func (g *generation) run(ctx context.Context) {
	for {
		e, again := g.attempt(ctx)
		if e != nil {
			g.fail(ctx, e)
			return
		}
		if !again {
			return
		}
	}
}

// attempt dispatches once. It returns an error to give up, or whether to try again; with
// neither the turn is recorded and its end published.
func (g *generation) attempt(ctx context.Context) (_ *errs.Error, again bool) {
	if e := g.checkQuarantine(); e != nil {
		return e, false
	}
	remaining := g.remaining()
	if remaining == 0 {
		g.succeed(ctx, engine.ChatResult{FinishReason: finishLength})
		return nil, false
	}
	asg, e := g.assign(ctx)
	if e != nil {
		return e, false
	}
	// The checks come after the wait in the queue, right before the dispatch.
	if e := g.t.e.admit(g.t.id); e != nil {
		g.release(asg, structs.OutcomeCancelled, engine.ChatResult{})
		return e, false
	}
	if e := g.checkQuarantine(); e != nil {
		g.release(asg, structs.OutcomeCancelled, engine.ChatResult{})
		return e, false
	}
	res, f := g.dispatch(ctx, asg, remaining)
	if f == nil {
		// The target is free while the answer is being recorded.
		g.release(asg, structs.OutcomeOK, res)
		g.succeed(ctx, res)
		return nil, false
	}
	g.release(asg, f.Outcome, res)
	return g.afterFailure(ctx, asg, f)
}

func (g *generation) checkQuarantine() *errs.Error {
	if f, ok := g.t.e.config.snapshot().quarantined(g.digest, time.Now()); ok {
		return quarantined(f)
	}
	return nil
}

// remaining returns how many tokens the engine may still generate.
func (g *generation) remaining() int64 {
	return max(0, g.begin.MaxTokens-g.answer.chunks)
}

func (g *generation) assign(ctx context.Context) (*structs.Assignment, *errs.Error) {
	t, p := g.t, g.begin.Program
	// LastActive is the log time of this turn's begin command.
	age := p.LastActive - p.OpenedAt
	req := &structs.AssignRequest{
		ID:           uuid.NewString(),
		Entry:        t.e.incarn,
		Zone:         t.e.opts.Settings.Zone,
		Pool:         t.svc.Pool(),
		Org:          t.id.Org,
		Weight:       t.org.Weight,
		Program:      t.program,
		Service:      t.svc.Name,
		Class:        t.svc.Class,
		Attained:     p.Attained,
		Turn:         g.begin.Turn.N,
		ProgramAge:   age + time.Since(g.started),
		PromptTokens: g.prefix.total,
		MaxTokens:    g.remaining(),
		Prefix:       g.prefix.hashes,
		PrefixTokens: g.prefix.tokens,
		Exclude:      g.exclude,
		Digest:       g.digest,
	}
	if t.svc.Deadline > 0 {
		req.Deadline = max(t.svc.Deadline-req.ProgramAge, time.Millisecond)
	}
	start := time.Now()
	asg, err := t.e.sched.Assign(ctx, req)
	t.e.timeSince(metricAssign, start)
	if err != nil {
		if ctx.Err() != nil {
			return nil, g.runState(contextError(ctx).WithRun(errs.NotRun))
		}
		e := assignError(err)
		if e.Code == errs.TargetFailed && g.last != nil {
			e = retryRefused(g.last, e.RetryAfter)
		}
		if e.Code == errs.RequestQuarantined {
			t.e.addFingerprint(ctx, g.digest)
		}
		return nil, g.runState(e)
	}
	return asg, nil
}

// assignError returns the caller's error for a request that got no target.
func assignError(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err)
	}
	e := errs.New(errs.NoTarget, "send the request again after the given time", "the scheduler did not assign a target")
	return e.WithRetryAfter(targetRetryAfter)
}

// runState corrects e's claim that the request was not run if a target may have seen it.
func (g *generation) runState(e *errs.Error) *errs.Error {
	if g.written && e.Run == errs.NotRun {
		return e.WithRun(errs.RunUnknown)
	}
	return e
}

func (g *generation) dispatch(ctx context.Context, asg *structs.Assignment, remaining int64) (engine.ChatResult, *engine.Failure) {
	g.targets = append(g.targets, asg.Target)
	req := engine.ChatRequest{
		Address:   asg.Address,
		RequestID: uuid.NewString(),
		Body:      g.body(remaining),
		MaxTokens: remaining,
	}
	return g.t.e.client.Chat(ctx, req, g.forward)
}

// body returns the request to the engine.
func (g *generation) body(remaining int64) []byte {
	t := g.t
	out := map[string]any{}
	for name, raw := range t.req.fields {
		out[name] = raw
	}
	maps.Copy(out, map[string]any{
		"model":          t.svc.Model,
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
		"priority":       classPriority[t.svc.Class],
		"max_tokens":     remaining,
	})
	if !t.implicit {
		out["session_id"] = t.program
	}
	messages := append(g.hist.messages[:len(g.hist.messages):len(g.hist.messages)], g.prompt...)
	if !g.answer.empty() {
		messages = append(messages, g.answer.partialMessage())
		out["continue_final_message"] = true
	}
	return withMessages(mustJSON(out), messages)
}

// withMessages adds the messages to a JSON object that is not empty. They are valid
// JSON already and may be long, so they are copied and not encoded again.
func withMessages(object []byte, messages [][]byte) []byte {
	var buf bytes.Buffer
	buf.Write(object[:len(object)-1])
	buf.WriteString(`,"messages":[`)
	buf.Write(bytes.Join(messages, []byte{','}))
	buf.WriteString("]}")
	return buf.Bytes()
}

// forward adds a chunk to the answer and publishes it.
func (g *generation) forward(c *engine.Chunk) error {
	if g.roleSent {
		delete(c.Delta, "role") // an earlier chunk had it
	} else {
		c.Delta["role"] = json.RawMessage(`"assistant"`) // callers expect it first
	}
	if len(c.Delta) == 0 {
		return nil
	}
	if err := g.answer.add(c); err != nil {
		return err
	}
	if g.answer.chunks == 1 && c.HasTokens() {
		g.t.e.timeSince(metricTTFT, g.started)
	}
	g.roleSent = true
	data := g.t.chunks.content(c)
	if g.t.req.stream {
		g.t.log.append(eventChunk, data)
		return nil
	}
	g.pending = append(g.pending, data)
	return nil
}

func (g *generation) release(asg *structs.Assignment, o structs.Outcome, res engine.ChatResult) {
	g.t.e.countOutcome(o)
	g.t.e.release(structs.ReleaseSlot{
		Pool:     g.t.svc.Pool(),
		Entry:    g.t.e.incarn,
		Slot:     asg.Slot,
		Target:   asg.Target,
		Outcome:  o,
		Digest:   crashDigest(o, g.digest),
		TTFT:     res.TTFT,
		Duration: res.Duration,
		Usage:    res.Usage,
	})
}

// afterFailure decides whether a failed attempt is repeated.
func (g *generation) afterFailure(ctx context.Context, asg *structs.Assignment, f *engine.Failure) (*errs.Error, bool) {
	g.note(asg, f)
	if f.Outcome == structs.OutcomeCancelled && ctx.Err() != nil {
		return contextError(ctx).WithRun(runState(f)), false
	}
	if callerFault(f) {
		return refusedByEngine(f), false
	}
	g.t.e.log.Info("target failed", "target", asg.Target, "outcome", f.Outcome, "error", cause(f), "program", g.t.program, "turn", g.begin.Turn.N)
	if g.crashes >= maxCrashes {
		return g.quarantine(ctx), false
	}
	if !g.resume() {
		return targetFailed(f).WithRun(errs.RunUnknown), false
	}
	if !g.t.e.mayRetry(g.t.svc.Pool(), len(g.targets), g.exclude) {
		return g.runState(targetFailed(f)), false
	}
	return nil, true
}

func (g *generation) note(asg *structs.Assignment, f *engine.Failure) {
	g.last = f
	g.exclude = append(g.exclude, asg.Target)
	g.written = g.written || f.Written
	if f.Written && f.Status == 0 || f.Status == 200 {
		g.spent = true
	}
	if f.Outcome == structs.OutcomeCrash {
		g.crashes++
	}
}

// resume prepares the answer for another attempt. Text is continued; an answer with
// tool calls can only start from scratch, if nothing of it was published.
func (g *generation) resume() bool {
	if g.answer.continuable() {
		return true
	}
	if g.t.req.stream {
		return false
	}
	g.answer = newAnswer()
	g.pending = nil
	g.roleSent = false
	return true
}

// quarantine records that the request crashes targets.
func (g *generation) quarantine(ctx context.Context) *errs.Error {
	g.t.e.addFingerprint(ctx, g.digest)
	return quarantined(newFingerprint(g.digest)).WithRun(errs.Ran)
}

// newFingerprint returns the fingerprint of a request that crashes targets.
func newFingerprint(digest string) *structs.Fingerprint {
	return &structs.Fingerprint{Digest: digest, ExpiresAt: time.Now().Add(quarantineTime).Unix()}
}

// addFingerprint records in the background that requests with a digest crash targets.
func (e *Entry) addFingerprint(ctx context.Context, digest string) {
	if _, known := e.config.snapshot().quarantined(digest, time.Now()); known {
		return
	}
	f := *newFingerprint(digest)
	e.count(metricQuarantine)
	e.background(func() {
		cctx, cancel := e.commitContext(ctx)
		defer cancel()
		if _, err := e.state.AddFingerprint(cctx, e.incarn, f); err != nil {
			e.log.Error(err, "fingerprint not recorded", "digest", f.Digest)
		}
	})
}
