package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// objectID identifies a configuration object.
type objectID struct {
	kind structs.Kind
	name string
}

// fakeState is an in-memory State that follows the rules of the replicated state.
type fakeState struct {
	mu           sync.Mutex
	programs     map[string]*structs.Program
	turns        map[string][]*structs.Turn
	calls        map[string]*structs.Call
	fingerprints []structs.Fingerprint
	debits       int
	revision     uint64
	objects      map[objectID]structs.Object
	liveEntries  []string
	// unreachable makes configuration polls fail.
	unreachable bool
	// dropBeginReply loses the reply to the next begin command after it has been applied.
	dropBeginReply bool
	// failFinish makes finish commands fail with an uncertain outcome.
	failFinish bool
	finishes   []structs.FinishTurn
	begins     []structs.BeginTurn
}

func newFakeState() *fakeState {
	return &fakeState{
		programs: map[string]*structs.Program{},
		turns:    map[string][]*structs.Turn{},
		calls:    map[string]*structs.Call{},
		objects:  map[objectID]structs.Object{},
	}
}

// set stores a configuration object; a nil value deletes it.
func (f *fakeState) set(kind structs.Kind, name string, v any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	data, _ := msgpack.Marshal(v)
	f.objects[objectID{kind, name}] = structs.Object{Kind: kind, Name: name, ModRev: f.revision, Data: data, Deleted: v == nil}
}

// withLock calls fn while holding the lock.
func (f *fakeState) withLock(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// entryIsDead reports whether entry is missing from a non-empty list of live entries.
func entryIsDead(entry, self string, live []string) bool {
	return len(live) > 0 && entry != self && !slices.Contains(live, entry)
}

func lostReplyError() error { return errs.New(errs.Uncertain, "ask again", "no reply") }

func (f *fakeState) Confirm(_ context.Context, req structs.ConfirmConfig) (*structs.ConfirmReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, lostReplyError()
	}
	r := &structs.ConfirmReply{Revision: f.revision, Full: req.Revision == 0, Live: append(slices.Clone(f.liveEntries), req.Incarnation)}
	for _, o := range f.objects {
		if o.ModRev > req.Revision {
			r.Objects = append(r.Objects, o)
		}
	}
	return r, nil
}

func (f *fakeState) AddFingerprint(_ context.Context, _ string, fp structs.Fingerprint) (*structs.ConfigReply, error) {
	f.set(structs.KindFingerprint, fp.Digest, fp)
	f.withLock(func() { f.fingerprints = append(f.fingerprints, fp) })
	return &structs.ConfigReply{}, nil
}

func (f *fakeState) OpenProgram(_ context.Context, org string, q structs.OpenProgram) (*structs.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &structs.Program{ID: q.ID, Org: org, Parent: q.Parent, Root: q.ID, Service: q.Service, State: structs.ProgramOpen, Budget: q.BudgetTokens, MaxTurns: q.MaxTurns}
	f.programs[org+q.ID] = p
	return p, nil
}

func (f *fakeState) program(org, id string) (*structs.Program, error) {
	p := f.programs[org+id]
	if p == nil {
		return nil, errs.New(errs.UnknownProgram, "open it", "program %q is unknown", id)
	}
	return p, nil
}

func (f *fakeState) EndProgram(_ context.Context, org string, q structs.EndProgram) (*structs.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := f.program(org, q.ID)
	if err == nil {
		p.State = structs.ProgramEnded
	}
	return p, err
}

func (f *fakeState) GetProgram(_ context.Context, q structs.ProgramQuery) (*structs.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.program(q.Org, q.Program)
}

func (f *fakeState) BeginTurn(_ context.Context, org string, q structs.BeginTurn) (*structs.BeginTurnReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begins = append(f.begins, q)
	if q.Implicit && f.programs[org+q.Program] == nil {
		f.programs[org+q.Program] = &structs.Program{ID: q.Program, Org: org, State: structs.ProgramOpen}
	}
	p, err := f.program(org, q.Program)
	if err != nil {
		return nil, err
	}
	r, err := f.beginTurn(org, p, q)
	if err == nil && f.dropBeginReply {
		f.dropBeginReply = false
		return nil, lostReplyError()
	}
	return r, err
}

func (f *fakeState) beginTurn(org string, p *structs.Program, q structs.BeginTurn) (*structs.BeginTurnReply, error) {
	key := org + q.Program
	turns := f.turns[key]
	n := q.Turn
	if n == 0 {
		n = p.LastAnsweredTurn + 1
	}
	if n <= len(turns) {
		t := turns[n-1]
		switch {
		case t.State != structs.TurnFailed && t.Digest != q.Digest:
			return nil, errs.New(errs.TurnConflict, "send the same request", "turn %d has another request", n)
		case t.State == structs.TurnAnswered:
			return &structs.BeginTurnReply{Program: *p, Turn: *t, Recorded: true}, nil
		case t.State == structs.TurnRunning && !entryIsDead(t.Entry, q.Entry, q.LiveEntries):
			return nil, errs.New(errs.TurnInProgress, "wait", "turn %d runs", n)
		}
	}
	if p.State != structs.ProgramOpen {
		return nil, errs.New(errs.ProgramEnded, "open another", "the program has ended")
	}
	if n != p.LastAnsweredTurn+1 {
		return nil, errs.New(errs.TurnOutOfOrder, "send turn %d", "turn %d is not next", n)
	}
	attempt := 1
	if n <= len(turns) {
		attempt = turns[n-1].Attempt + 1
		turns = turns[:n-1]
	}
	t := &structs.Turn{Number: n, State: structs.TurnRunning, Attempt: attempt, Digest: q.Digest, Messages: q.Messages, Entry: q.Entry}
	f.turns[key] = append(turns, t)
	p.LastTurn = n
	r := &structs.BeginTurnReply{Program: *p, Turn: *t, MaxTokens: q.MaxTokens}
	for _, old := range f.turns[key][q.KnownTurns : n-1] {
		r.History = append(append(r.History, old.Messages...), old.Answer)
	}
	return r, nil
}

func (f *fakeState) FinishTurn(_ context.Context, org string, q structs.FinishTurn) (*structs.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failFinish {
		return nil, lostReplyError()
	}
	t := f.turns[org+q.Program][q.Turn-1]
	if t.Attempt != q.Attempt || t.State != structs.TurnRunning {
		return nil, errs.New(errs.Superseded, "read the turn", "attempt %d is over", q.Attempt)
	}
	f.finishes = append(f.finishes, q)
	t.State = structs.TurnFailed
	t.Failure = q.Failure
	if q.Failure == nil {
		t.State, t.Answer, t.FinishReason, t.Usage = structs.TurnAnswered, q.Answer, q.FinishReason, q.Usage
		f.programs[org+q.Program].LastAnsweredTurn = q.Turn
	}
	return f.programs[org+q.Program], nil
}

// poll calls get repeatedly until it returns true or the wait has elapsed.
func (f *fakeState) poll(wait time.Duration, get func() bool) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		ok := get()
		f.mu.Unlock()
		if ok || time.Now().After(deadline) {
			return
		}
	}
}

func (f *fakeState) GetTurn(_ context.Context, q structs.TurnQuery) (*structs.Turn, error) {
	f.poll(q.Wait, func() bool {
		ts := f.turns[q.Org+q.Program]
		return len(ts) < q.Turn || ts[q.Turn-1].State != structs.TurnRunning
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	ts := f.turns[q.Org+q.Program]
	if len(ts) < q.Turn {
		return nil, errs.New(errs.NotFound, "check the number", "no turn %d", q.Turn)
	}
	t := *ts[q.Turn-1]
	return &t, nil
}

func (f *fakeState) BeginCall(_ context.Context, org string, q structs.BeginCall) (*structs.BeginCallReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[org+q.Key]
	if c != nil && c.State == structs.CallRunning && entryIsDead(c.Entry, q.Entry, q.LiveEntries) {
		c.State = structs.CallUnknown
	}
	if c != nil && c.State != structs.CallNotRun {
		return &structs.BeginCallReply{Call: *c}, nil
	}
	attempt := 1
	if c != nil {
		attempt = c.Attempt + 1
	}
	c = &structs.Call{Key: q.Key, Service: q.Service, Digest: q.Digest, State: structs.CallRunning, Entry: q.Entry, Attempt: attempt}
	f.calls[org+q.Key] = c
	if f.dropBeginReply {
		f.dropBeginReply = false
		return nil, lostReplyError()
	}
	return &structs.BeginCallReply{Call: *c, Begun: true}, nil
}

func (f *fakeState) FinishCall(_ context.Context, org string, q structs.FinishCall) (*structs.Call, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failFinish {
		return nil, lostReplyError()
	}
	c := f.calls[org+q.Key]
	// The late outcome of an earlier attempt must not settle the current one.
	if q.Attempt != c.Attempt {
		return nil, errs.New(errs.Superseded, "read the outcome", "attempt %d is over", q.Attempt)
	}
	c.State, c.Target, c.Status, c.Header, c.Body = q.State, q.Target, q.Status, q.Header, q.Body
	return c, nil
}

func (f *fakeState) ResolveCall(_ context.Context, org string, q structs.ResolveCall) (*structs.Call, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[org+q.Key]
	c.State, c.Status, c.Body = q.State, q.Status, q.Body
	return c, nil
}

func (f *fakeState) GetCall(_ context.Context, q structs.CallQuery) (*structs.Call, error) {
	f.poll(q.Wait, func() bool { c := f.calls[q.Org+q.Key]; return c == nil || c.State != structs.CallRunning })
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[q.Org+q.Key]
	if c == nil {
		return nil, errs.New(errs.NotFound, "check the key", "no call %q", q.Key)
	}
	out := *c
	return &out, nil
}

func (f *fakeState) Debit(context.Context, string, structs.Debit) error {
	f.withLock(func() { f.debits++ })
	return nil
}

// fakeScheduler assigns the declared targets of a pool in the order of their names.
type fakeScheduler struct {
	state *fakeState

	mu       sync.Mutex
	assigned int
	assigns  []structs.AssignRequest
	releases []structs.ReleaseSlot
	// hold, if set, blocks Assign until it is closed.
	hold      chan struct{}
	assignErr error
	// retryBudgetExhausted makes the scheduler refuse retries.
	retryBudgetExhausted bool
}

func (s *fakeScheduler) Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	s.mu.Lock()
	s.assigns = append(s.assigns, *req)
	hold, assignErr, retryBudgetExhausted := s.hold, s.assignErr, s.retryBudgetExhausted
	s.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if assignErr != nil {
		return nil, assignErr
	}
	if retryBudgetExhausted && len(req.Exclude) > 0 {
		return nil, errs.New(errs.TargetFailed, "retry", "no retry budget").WithRun(errs.RunUnknown).WithRetryAfter(time.Second)
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var best *structs.Target
	for _, o := range s.state.objects {
		var t structs.Target
		if o.Kind != structs.KindTarget || msgpack.Unmarshal(o.Data, &t) != nil {
			continue
		}
		if t.Pool() == req.Pool && (req.Software == "" || t.Software == req.Software) && !slices.Contains(req.Exclude, t.Name) && (best == nil || t.Name < best.Name) {
			best = &t
		}
	}
	if best == nil {
		return nil, errs.New(errs.NoTarget, "retry", "no target").WithRetryAfter(time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigned++
	return &structs.Assignment{Slot: fmt.Sprint(s.assigned), Target: best.Name, Address: best.Address, Software: best.Software}, nil
}

func (s *fakeScheduler) Release(_ context.Context, r *structs.ReleaseSlot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases = append(s.releases, *r)
	return nil
}

// released returns a copy of the releases received so far.
func (s *fakeScheduler) released() []structs.ReleaseSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.releases)
}
