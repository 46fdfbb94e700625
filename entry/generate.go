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
	// quarantineTime is how long a request that crashed targets is refused.
	quarantineTime = time.Hour
	// maxCrashes is the number of targets that a request may crash before it is quarantined.
	maxCrashes = 2
	// finishLength is the finish reason of an answer that has reached its token limit.
	finishLength = "length"
)

// enginePriority maps service classes to the priority sent to engines. Lower values are
// scheduled first.
var enginePriority = map[structs.Class]int{
	structs.ClassInteractive: 0,
	structs.ClassBatch:       1,
	structs.ClassLookup:      2,
}

// generation runs one begun turn on one or more targets.
type generation struct {
	turn         *turn
	beginReply   *structs.BeginTurnReply
	priorHistory *history
	prompt       [][]byte // the new messages of this turn
	prefixes     promptPrefixes
	digest       string // digest of the whole prompt
	started      time.Time
	// pending holds the chunks of a non-streaming request until the answer is complete, so
	// that a retry can discard them and start over.
	pending [][]byte

	answer *answerBuilder
	// software is the version of the target that began the answer. No other continues it.
	software string
	// roleSent reports whether a chunk with the role has been forwarded.
	roleSent        bool
	triedTargets    []string
	excludedTargets []string
	crashCount      int
	lastFailure     *engine.Failure
	// written reports whether a target may have received the request. usageUnknown reports
	// whether a target may have generated tokens that no usage report accounts for.
	written      bool
	usageUnknown bool
}

func newGeneration(t *turn, b *structs.BeginTurnReply) *generation {
	g := &generation{turn: t, beginReply: b, answer: newAnswerBuilder(), started: time.Now()}
	g.priorHistory = g.fullHistory()
	g.prompt = b.Turn.Messages
	if len(g.prompt) == 0 {
		g.prompt = t.request.messages
	}
	g.prefixes = g.priorHistory.chain.addAll(g.prompt).prefixes(t.service.Model, g.priorHistory.chain.bytes, b.Program.ContextTokens)
	g.digest = t.request.digestAfter(g.priorHistory)
	return g
}

// fullHistory returns the history before this turn: the part that the begin command named as
// known, extended by the rest from its reply.
func (g *generation) fullHistory() *history {
	n := g.beginReply.Turn.Number - 1
	if g.turn.baseHistory.turnCount == n {
		return g.turn.baseHistory
	}
	return g.turn.baseHistory.extend(n, g.beginReply.History)
}

// run dispatches the turn until the answer is complete or no retry is left, and records the
// outcome.
func (g *generation) run(ctx context.Context) {
	for {
		apiErr, again := g.attempt(ctx)
		if apiErr != nil {
			g.fail(ctx, apiErr)
			return
		}
		if !again {
			return
		}
	}
}

// attempt dispatches the turn once. It returns an error if the turn has failed, or whether
// to try again. If it returns neither, the turn has been completed.
func (g *generation) attempt(ctx context.Context) (_ *errs.Error, again bool) {
	if apiErr := g.checkQuarantine(); apiErr != nil {
		return apiErr, false
	}
	remaining := g.remaining()
	if remaining == 0 {
		g.succeed(ctx, engine.ChatResult{FinishReason: finishLength})
		return nil, false
	}
	assignment, apiErr := g.assign(ctx)
	if apiErr != nil {
		return apiErr, false
	}
	// Repeat the checks after the wait in the queue, immediately before the dispatch.
	if apiErr := g.turn.entry.admit(g.turn.id); apiErr != nil {
		g.release(assignment, structs.OutcomeCancelled, engine.ChatResult{})
		return apiErr, false
	}
	if apiErr := g.checkQuarantine(); apiErr != nil {
		g.release(assignment, structs.OutcomeCancelled, engine.ChatResult{})
		return apiErr, false
	}
	res, f := g.dispatch(ctx, assignment, remaining)
	if f == nil {
		// Release the slot first, so that the target is available while the answer is
		// recorded.
		g.release(assignment, structs.OutcomeOK, res)
		g.succeed(ctx, res)
		return nil, false
	}
	g.release(assignment, f.Outcome, res)
	return g.afterFailure(ctx, assignment, f)
}

func (g *generation) checkQuarantine() *errs.Error {
	if f, ok := g.turn.entry.config.snapshot().quarantined(g.digest, time.Now()); ok {
		return quarantinedError(f)
	}
	return nil
}

// remaining returns the number of tokens that the engine may still generate.
func (g *generation) remaining() int64 {
	return max(0, g.beginReply.MaxTokens-g.answer.tokenChunks)
}

func (g *generation) assign(ctx context.Context) (*structs.Assignment, *errs.Error) {
	t, p := g.turn, g.beginReply.Program
	// LastActive is the log time of the begin command of this turn.
	age := p.LastActive - p.OpenedAt
	req := &structs.AssignRequest{
		ID:             uuid.NewString(),
		Entry:          t.entry.incarnation,
		Zone:           t.entry.opts.Settings.Zone,
		Pool:           t.service.Pool(),
		Org:            t.id.Org,
		Weight:         t.org.Weight,
		Program:        t.program,
		Service:        t.service.Name,
		Class:          t.service.Class,
		AttainedTokens: p.AttainedTokens,
		Turn:           g.beginReply.Turn.Number,
		ProgramAge:     age + time.Since(g.started),
		PromptTokens:   g.prefixes.total,
		MaxTokens:      g.remaining(),
		Prefix:         g.prefixes.prefixHashes,
		PrefixTokens:   g.prefixes.tokens,
		Exclude:        g.excludedTargets,
		Digest:         g.digest,
	}
	if !g.answer.empty() {
		req.Software = g.software
	}
	if t.service.Deadline > 0 {
		req.Deadline = max(t.service.Deadline-req.ProgramAge, time.Millisecond)
	}
	start := time.Now()
	assignment, err := t.entry.scheduler.Assign(ctx, req)
	t.entry.timeSince(metricAssign, start)
	if err != nil {
		if ctx.Err() != nil {
			return nil, g.correctRunState(contextError(ctx).WithRun(errs.NotRun))
		}
		apiErr := assignError(err)
		if apiErr.Code == errs.TargetFailed && g.lastFailure != nil {
			apiErr = retryRefusedError(g.lastFailure, apiErr.RetryAfter)
		}
		if apiErr.Code == errs.RequestQuarantined {
			t.entry.addFingerprint(ctx, g.digest)
		}
		return nil, g.correctRunState(apiErr)
	}
	return assignment, nil
}

// assignError returns the error for the caller of a request that was not assigned a target.
func assignError(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err)
	}
	apiErr := errs.New(errs.NoTarget, "send the request again after the given time", "the scheduler did not assign a target")
	return apiErr.WithRetryAfter(targetRetryAfter)
}

// correctRunState changes the run state from not run to unknown if a target may have
// received the request.
func (g *generation) correctRunState(apiErr *errs.Error) *errs.Error {
	if g.written && apiErr.Run == errs.NotRun {
		return apiErr.WithRun(errs.RunUnknown)
	}
	return apiErr
}

func (g *generation) dispatch(ctx context.Context, assignment *structs.Assignment, remaining int64) (engine.ChatResult, *engine.Failure) {
	g.triedTargets = append(g.triedTargets, assignment.Target)
	if g.answer.empty() {
		g.software = assignment.Software
	}
	req := engine.ChatRequest{
		Address:   assignment.Address,
		RequestID: uuid.NewString(),
		Body:      g.body(remaining),
		MaxTokens: remaining,
	}
	return g.turn.entry.client.Chat(ctx, req, g.forward)
}

// body returns the body of the request to the engine.
func (g *generation) body(remaining int64) []byte {
	t := g.turn
	out := map[string]any{}
	for name, raw := range t.request.fields {
		out[name] = raw
	}
	maps.Copy(out, map[string]any{
		"model":          t.service.Model,
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
		"priority":       enginePriority[t.service.Class],
		"max_tokens":     remaining,
	})
	if !t.implicit {
		out["session_id"] = t.program
	}
	messages := append(g.priorHistory.messages[:len(g.priorHistory.messages):len(g.priorHistory.messages)], g.prompt...)
	if !g.answer.empty() {
		messages = append(messages, g.answer.partialMessage())
		out["continue_final_message"] = true
	}
	return withMessages(mustJSON(out), messages)
}

// withMessages adds messages to a non-empty JSON object. The messages are valid JSON and may
// be long, so they are copied instead of being encoded again.
func withMessages(object []byte, messages [][]byte) []byte {
	var buf bytes.Buffer
	buf.Write(object[:len(object)-1])
	buf.WriteString(`,"messages":[`)
	buf.Write(bytes.Join(messages, []byte{','}))
	buf.WriteString("]}")
	return buf.Bytes()
}

// forward adds a chunk to the answer and publishes it, or holds it back if the request is
// not streaming.
func (g *generation) forward(c *engine.Chunk) error {
	if g.roleSent {
		delete(c.Delta, "role") // already sent with an earlier chunk
	} else {
		c.Delta["role"] = json.RawMessage(`"assistant"`) // callers expect the role in the first chunk
	}
	if len(c.Delta) == 0 {
		return nil
	}
	if err := g.answer.add(c); err != nil {
		return err
	}
	if g.answer.tokenChunks == 1 && c.HasTokens() {
		g.turn.entry.timeSince(metricTTFT, g.started)
	}
	g.roleSent = true
	data := g.turn.encoder.contentChunk(c)
	if g.turn.request.stream {
		g.turn.log.append(eventChunk, data)
		return nil
	}
	g.pending = append(g.pending, data)
	return nil
}

func (g *generation) release(assignment *structs.Assignment, o structs.Outcome, res engine.ChatResult) {
	g.turn.entry.countOutcome(o)
	g.turn.entry.release(structs.ReleaseSlot{
		Pool:     g.turn.service.Pool(),
		Entry:    g.turn.entry.incarnation,
		Slot:     assignment.Slot,
		Target:   assignment.Target,
		Outcome:  o,
		Digest:   crashDigest(o, g.digest),
		TTFT:     res.TTFT,
		Duration: res.Duration,
		Usage:    res.Usage,
	})
}

// afterFailure decides whether to retry a failed attempt. It returns an error if not.
func (g *generation) afterFailure(ctx context.Context, assignment *structs.Assignment, f *engine.Failure) (*errs.Error, bool) {
	g.recordAttempt(assignment, f)
	if f.Outcome == structs.OutcomeCancelled && ctx.Err() != nil {
		return contextError(ctx).WithRun(failureRunState(f)), false
	}
	if isCallerError(f) {
		return engineRefusalError(f), false
	}
	g.turn.entry.log.Info("target failed", "target", assignment.Target, "outcome", f.Outcome, "error", failureCause(f), "program", g.turn.program, "turn", g.beginReply.Turn.Number)
	if g.crashCount >= maxCrashes {
		return g.quarantine(ctx), false
	}
	if !g.prepareRetry() {
		return targetFailedError(f).WithRun(errs.RunUnknown), false
	}
	if !g.turn.entry.mayRetry(g.turn.service.Pool(), len(g.triedTargets), g.excludedTargets) {
		return g.correctRunState(targetFailedError(f)), false
	}
	return nil, true
}

// recordAttempt updates the retry state of the turn after a failed attempt.
func (g *generation) recordAttempt(assignment *structs.Assignment, f *engine.Failure) {
	g.lastFailure = f
	g.excludedTargets = append(g.excludedTargets, assignment.Target)
	g.written = g.written || f.Written
	if f.Written && f.Status == 0 || f.Status == 200 {
		g.usageUnknown = true
	}
	if f.Outcome == structs.OutcomeCrash {
		g.crashCount++
	}
}

// prepareRetry prepares the answer for another attempt and reports whether one is possible.
// An answer of text alone is continued by a target with the same software. Any other must start over,
// which is only possible if no part of it has been published.
func (g *generation) prepareRetry() bool {
	if g.answer.empty() || g.answer.continuable() && g.turn.entry.hasTarget(g.turn.service.Pool(), g.software, g.excludedTargets) {
		return true
	}
	if g.turn.request.stream {
		return false
	}
	g.answer = newAnswerBuilder()
	g.pending = nil
	g.roleSent = false
	return true
}

// quarantine records that the request crashes targets, so that it is refused from now on.
func (g *generation) quarantine(ctx context.Context) *errs.Error {
	g.turn.entry.addFingerprint(ctx, g.digest)
	return quarantinedError(newFingerprint(g.digest)).WithRun(errs.Ran)
}

// newFingerprint returns the fingerprint that quarantines requests with the given digest.
func newFingerprint(digest string) *structs.Fingerprint {
	return &structs.Fingerprint{Digest: digest, ExpiresAt: time.Now().Add(quarantineTime).Unix()}
}

// addFingerprint records in the background that requests with the given digest crash
// targets.
func (e *Entry) addFingerprint(ctx context.Context, digest string) {
	if _, known := e.config.snapshot().quarantined(digest, time.Now()); known {
		return
	}
	f := *newFingerprint(digest)
	e.count(metricQuarantine)
	e.runInBackground(func() {
		cctx, cancel := e.commitContext(ctx)
		defer cancel()
		if _, err := e.state.AddFingerprint(cctx, e.incarnation, f); err != nil {
			e.log.Error(err, "failed to record request fingerprint", "digest", f.Digest)
		}
	})
}
