package schedclient

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/structs"
)

var (
	// errLeaderLost ends calls to a leader that has been given up.
	errLeaderLost = errors.New("the scheduler's leader does not answer")
	errNoLeader   = errors.New("the scheduler's leader is not known")
)

// pool is the client's state for one pool.
type pool struct {
	client *Client
	name   string
	group  uint32

	mu       sync.Mutex
	slots    map[string]*heldSlot
	waiting  int
	lastUsed time.Time
	term     uint64    // highest term seen
	provenAt time.Time // sending time of the last report that term answered
	// leaderCtx ends when the leader in use is given up.
	leaderCtx    context.Context
	cancelLeader context.CancelCauseFunc
}

// heldSlot is a slot in use.
type heldSlot struct {
	info structs.SlotInfo
	term uint64 // of the scheduler that knows the slot; others need its description
}

func newPool(c *Client, name string) *pool {
	p := &pool{
		client: c,
		name:   name,
		group:  dispatch.PoolGroup(name, c.opts.Groups),
		slots:  map[string]*heldSlot{},
	}
	p.leaderCtx, p.cancelLeader = context.WithCancelCause(context.Background())
	return p
}

func (p *pool) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting++
	p.lastUsed = time.Now()
}

func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.lastUsed = time.Now()
}

func (p *pool) forget(slot string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.slots, slot)
	p.lastUsed = time.Now()
}

// call sends a request to the leader. A leader that fails is given up.
func (p *pool) call(ctx context.Context, method string, req, reply any) error {
	resolver := p.client.opts.Resolver
	addr, err := resolver.LeaderAddress(ctx, p.group)
	if err != nil {
		return errors.Wrap(errNoLeader, err.Error())
	}
	callCtx, cancel := p.withLeader(ctx)
	defer cancel()
	err = p.client.opts.Dial(addr).Call(callCtx, method, req, reply)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && errors.Is(context.Cause(callCtx), errLeaderLost) {
		return errLeaderLost
	}
	if resendable(err) {
		resolver.LeaderFailed(p.group, addr, leaderHint(err))
	}
	return err
}

func leaderHint(err error) string {
	if errs.Is(err, errs.NotLeader) {
		return errs.From(err).Leader
	}
	return ""
}

// withLeader returns a context that also ends when the leader in use is given up.
func (p *pool) withLeader(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	leaderCtx := p.leaderCtx
	p.mu.Unlock()
	out, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(leaderCtx, func() { cancel(errLeaderLost) })
	return out, func() {
		stop()
		cancel(nil)
	}
}

// giveUpLeader makes the calls in flight fail, so that they are sent again.
func (p *pool) giveUpLeader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelLeader(errLeaderLost)
	p.leaderCtx, p.cancelLeader = context.WithCancelCause(context.Background())
}

// assignOnce sends the request to the leader and accepts the assignment only if the
// leader is proved to have been alive recently.
func (p *pool) assignOnce(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	a := new(structs.Assignment)
	if err := p.call(ctx, dispatch.MethodAssign, req, a); err != nil {
		return nil, err
	}
	if p.accept(a, req) {
		return a, nil
	}
	if err := p.report(ctx); err != nil {
		p.forget(a.Slot)
		return nil, err
	}
	if p.accept(a, req) {
		return a, nil
	}
	p.forget(a.Slot)
	return nil, errLeaderLost
}

// accept notes the slot as in use. It returns false if the assignment's term is over or
// has not been proved within leaderProof; in the latter case the slot is noted all the
// same, so that the report that proves the term names it.
func (p *pool) accept(a *structs.Assignment, req *structs.AssignRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Term < p.term {
		return false
	}
	p.slots[a.Slot] = &heldSlot{term: a.Term, info: structs.SlotInfo{
		Slot:         a.Slot,
		Target:       a.Target,
		Org:          req.Org,
		Program:      req.Program,
		PromptTokens: req.PromptTokens,
	}}
	return a.Term == p.term && time.Since(p.provenAt) < leaderProof
}

// reportLoop reports the slots in use while the pool is used.
func (p *pool) reportLoop(ctx context.Context) {
	periodic.RunLater(ctx, reportInterval, func(ctx context.Context) bool {
		if !p.idle() {
			p.tryReport(ctx)
		}
		return true
	})
}

func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && len(p.slots) == 0 && time.Since(p.lastUsed) > poolIdle
}

// tryReport reports until a leader answers or the next report is due.
func (p *pool) tryReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*reportTimeout)
	defer cancel()
	for try := 0; ; try++ {
		err := p.report(ctx)
		if err == nil || !pause(ctx, try) {
			return
		}
	}
}

// report sends the slots in use. If the leader does not answer in time it is given up.
func (p *pool) report(ctx context.Context) error {
	sentAt := time.Now()
	rep := p.snapshot()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply structs.ReportReply
	addr, _ := p.client.opts.Resolver.LeaderAddress(callCtx, p.group)
	err := p.call(callCtx, dispatch.MethodReport, rep, &reply)
	if err != nil {
		if ctx.Err() == nil && callCtx.Err() != nil {
			p.client.opts.Resolver.LeaderFailed(p.group, addr, "")
			p.giveUpLeader()
		}
		return err
	}
	p.proved(reply.Term, sentAt)
	if p.learn(rep, &reply) {
		return p.report(ctx)
	}
	return nil
}

func (p *pool) snapshot() *structs.ReportSlots {
	p.mu.Lock()
	defer p.mu.Unlock()
	rep := &structs.ReportSlots{Pool: p.name, Entry: p.client.opts.Entry}
	for id, s := range p.slots {
		if s.term == p.term {
			rep.Slots = append(rep.Slots, structs.SlotInfo{Slot: id})
			continue
		}
		rep.Slots = append(rep.Slots, s.info)
	}
	return rep
}

// learn takes over what the reply tells of the slots in a report. It returns whether slots
// have to be described in another report.
func (p *pool) learn(rep *structs.ReportSlots, reply *structs.ReportReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, info := range rep.Slots {
		if s := p.slots[info.Slot]; s != nil && info.Target != "" {
			s.term = reply.Term
		}
	}
	again := false
	for _, id := range reply.Unknown {
		if s := p.slots[id]; s != nil {
			s.term = 0
			again = true
		}
	}
	return again
}

// proved notes that the leader of a term was alive after sentAt. Calls that wait at the
// leader of an earlier term are sent again.
func (p *pool) proved(term uint64, sentAt time.Time) {
	p.mu.Lock()
	superseded := p.term != 0 && term > p.term
	if term > p.term {
		p.term = term
		p.provenAt = sentAt
	} else if term == p.term && sentAt.After(p.provenAt) {
		p.provenAt = sentAt
	}
	p.mu.Unlock()
	if superseded {
		p.giveUpLeader()
	}
}
