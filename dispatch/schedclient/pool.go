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
	// errLeaderUnresponsive ends the calls that wait for a leader that has been abandoned.
	errLeaderUnresponsive = errors.New("the leader that schedules the pool does not respond")
	errLeaderUnknown      = errors.New("the leader that schedules the pool is not known")
)

// pool is the client's state for one pool.
type pool struct {
	client *Client
	name   string
	group  uint32

	mu          sync.Mutex
	slots       map[string]*slotInUse // by slot id
	waiting     int                   // calls of Assign in progress
	lastUsed    time.Time
	term        uint64    // highest term seen
	confirmedAt time.Time // sending time of the last report that the leader of term answered
	// leaderCtx ends when the current leader is abandoned.
	leaderCtx    context.Context
	cancelLeader context.CancelCauseFunc
}

// slotInUse is a slot that this entry is using.
type slotInUse struct {
	info structs.SlotInfo
	// term is the term of the scheduler that knows the slot, or 0. Reports to the scheduler of
	// another term must describe the slot in full.
	term uint64
}

func newPool(c *Client, name string) *pool {
	p := &pool{
		client: c,
		name:   name,
		group:  dispatch.PoolGroup(name, c.opts.Groups),
		slots:  map[string]*slotInUse{},
	}
	p.leaderCtx, p.cancelLeader = context.WithCancelCause(context.Background())
	return p
}

// beginAssign and endAssign count the calls of Assign in progress.
func (p *pool) beginAssign() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting++
	p.lastUsed = time.Now()
}

func (p *pool) endAssign() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.lastUsed = time.Now()
}

// forgetSlot removes a slot, so that the next reports do not contain it.
func (p *pool) forgetSlot(slot string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.slots, slot)
	p.lastUsed = time.Now()
}

// call sends a request to the leader. It tells the resolver if the leader fails. It ends with
// errLeaderUnresponsive if the leader is abandoned during the call.
func (p *pool) call(ctx context.Context, method string, req, reply any) error {
	resolver := p.client.opts.Resolver
	addr, err := resolver.LeaderAddress(ctx, p.group)
	if err != nil {
		return errors.Wrap(errLeaderUnknown, err.Error())
	}
	callCtx, cancel := p.withLeaderContext(ctx)
	defer cancel()
	err = p.client.opts.Dial(addr).Call(callCtx, method, req, reply)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && errors.Is(context.Cause(callCtx), errLeaderUnresponsive) {
		return errLeaderUnresponsive
	}
	if resendable(err) {
		resolver.ReportLeaderFailure(p.group, addr, leaderHint(err))
	}
	return err
}

// leaderHint returns the address of the leader that is named in an error, or an empty string.
func leaderHint(err error) string {
	if errs.Is(err, errs.NotLeader) {
		return errs.From(err).Leader
	}
	return ""
}

// withLeaderContext returns a context that ends with ctx or when the current leader is abandoned.
func (p *pool) withLeaderContext(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	leaderCtx := p.leaderCtx
	p.mu.Unlock()
	out, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(leaderCtx, func() { cancel(errLeaderUnresponsive) })
	return out, func() {
		stop()
		cancel(nil)
	}
}

// abandonLeader makes the in-flight calls fail, so that they are sent again.
func (p *pool) abandonLeader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelLeader(errLeaderUnresponsive)
	p.leaderCtx, p.cancelLeader = context.WithCancelCause(context.Background())
}

// assignOnce sends the request to the leader once. It accepts the assignment only if the leader
// is known to have been alive recently, for which it sends a report if necessary.
func (p *pool) assignOnce(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	a := new(structs.Assignment)
	if err := p.call(ctx, dispatch.MethodAssign, req, a); err != nil {
		return nil, err
	}
	if p.acceptAssignment(a, req) {
		return a, nil
	}
	if err := p.report(ctx); err != nil {
		p.forgetSlot(a.Slot)
		return nil, err
	}
	if p.acceptAssignment(a, req) {
		return a, nil
	}
	p.forgetSlot(a.Slot)
	return nil, errLeaderUnresponsive
}

// acceptAssignment records the slot as in use. It returns false if the assignment's term is over,
// or if the leader of that term has not answered a report within leaderConfirmTTL. In the latter
// case the slot is recorded nevertheless, so that the report that is sent next contains it.
func (p *pool) acceptAssignment(a *structs.Assignment, req *structs.AssignRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Term < p.term {
		return false
	}
	p.slots[a.Slot] = &slotInUse{term: a.Term, info: structs.SlotInfo{
		Slot:         a.Slot,
		Target:       a.Target,
		Org:          req.Org,
		Program:      req.Program,
		PromptTokens: req.PromptTokens,
	}}
	return a.Term == p.term && time.Since(p.confirmedAt) < leaderConfirmTTL
}

// reportLoop reports the slots in use at each reportInterval, unless the pool is idle.
func (p *pool) reportLoop(ctx context.Context) {
	periodic.RunLater(ctx, reportInterval, func(ctx context.Context) bool {
		if !p.idle() {
			p.reportWithRetry(ctx)
		}
		return true
	})
}

// idle reports whether the pool has had no requests and no slots for poolIdleTimeout.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && len(p.slots) == 0 && time.Since(p.lastUsed) > poolIdleTimeout
}

// reportWithRetry sends reports until a leader answers, for at most twice reportTimeout.
func (p *pool) reportWithRetry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*reportTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := p.report(ctx)
		if err == nil || !sleepBackoff(ctx, attempt) {
			return
		}
	}
}

// report sends the slots in use. It abandons a leader that does not answer in time.
func (p *pool) report(ctx context.Context) error {
	sentAt := time.Now()
	rep := p.buildReport()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply structs.ReportReply
	addr, _ := p.client.opts.Resolver.LeaderAddress(callCtx, p.group)
	err := p.call(callCtx, dispatch.MethodReport, rep, &reply)
	if err != nil {
		if ctx.Err() == nil && callCtx.Err() != nil {
			p.client.opts.Resolver.ReportLeaderFailure(p.group, addr, "")
			p.abandonLeader()
		}
		return err
	}
	p.leaderConfirmed(reply.Term, sentAt)
	if p.applyReply(rep, &reply) {
		return p.report(ctx)
	}
	return nil
}

// buildReport returns a report of the slots in use. Slots that the scheduler of the current term
// knows are only named; the others are described in full.
func (p *pool) buildReport() *structs.ReportSlots {
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

// applyReply records which slots the scheduler knows after a report. It returns true if another
// report must be sent, because the scheduler does not know slots that were only named.
func (p *pool) applyReply(rep *structs.ReportSlots, reply *structs.ReportReply) bool {
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

// leaderConfirmed records that the leader of a term was alive after sentAt. If the term is newer
// than the known one, the calls that wait for the leader of the earlier term are sent again.
func (p *pool) leaderConfirmed(term uint64, sentAt time.Time) {
	p.mu.Lock()
	superseded := p.term != 0 && term > p.term
	if term > p.term {
		p.term = term
		p.confirmedAt = sentAt
	} else if term == p.term && sentAt.After(p.confirmedAt) {
		p.confirmedAt = sentAt
	}
	p.mu.Unlock()
	if superseded {
		p.abandonLeader()
	}
}
