package replica

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/structs"
)

// Replica is a Node whose groups are replicated to the other members.
type Replica struct {
	cfg              Config
	log              logr.Logger
	startedAt        time.Duration
	peers            peerSet
	initialSnapshots map[uint32][]byte // snapshots of the empty state machines, by group

	mu          sync.RWMutex // guards inc and closed
	inc         *incarnation
	closed      bool
	lifecycleMu sync.Mutex // serialises joining or creating a cluster and replacing the incarnation

	failed chan error
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ Node = (*Replica)(nil)

// Start opens the data directory and starts all groups. The caller then calls Serve of
// Config.Server.
func Start(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:              cfg,
		log:              cfg.Log,
		startedAt:        clock.Now(),
		initialSnapshots: map[uint32][]byte{},
		failed:           make(chan error, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.takeInitialSnapshots(); err != nil {
		return nil, err
	}
	inc, err := r.openIncarnation()
	if err != nil {
		return nil, err
	}
	r.inc = inc
	r.startPeers()
	r.addStoredMembers(inc)
	inc.start()
	cfg.Server.HandleOneWay(methodRaft, r.handleRaft)
	cfg.Server.Handle(methodHello, r.handleHello)
	cfg.Server.Handle(methodRemove, r.handleRemove)
	if cfg.Bootstrap && inc.cluster.Load() == 0 {
		r.spawn(r.bootstrap)
	}
	return r, nil
}

// takeInitialSnapshots stores snapshots of the empty state machines in memory. Each new
// incarnation starts from them.
func (r *Replica) takeInitialSnapshots() error {
	for id, sm := range r.cfg.Groups {
		data, err := sm.Snapshot()
		if err != nil {
			return errors.Wrapf(err, "snapshot of the empty state of group %d", id)
		}
		r.initialSnapshots[id] = data
	}
	return nil
}

func (r *Replica) startPeers() {
	for _, m := range r.cfg.Members {
		r.addPeer(m)
	}
}

func (r *Replica) spawn(f func(ctx context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(r.ctx)
	}()
}

// now returns the time since Start, including the time for which the host was suspended.
func (r *Replica) now() raft.Time { return clock.Now() - r.startedAt }

// incarnation returns the running incarnation. It returns nil while the incarnation is being
// replaced and after Close.
func (r *Replica) incarnation() *incarnation {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.inc
}

// clusterID returns the id of the cluster; 0 if the member belongs to none or is not running.
func (r *Replica) clusterID() uint64 {
	if inc := r.incarnation(); inc != nil {
		return inc.cluster.Load()
	}
	return 0
}

// handleRaft passes a batch of messages to the running incarnation.
func (r *Replica) handleRaft(body []byte) {
	var inner []byte
	var b batch
	if err := msgpack.Unmarshal(body, &inner); err != nil {
		return
	}
	if err := raft.Decode(inner, &b); err != nil {
		r.log.Error(err, "decoding messages failed")
		return
	}
	if inc := r.incarnation(); inc != nil {
		inc.receive(&b)
	}
}

// Failed delivers the error after which the process must exit: a failed write or sync leaves
// the state of the disk unknown.
func (r *Replica) Failed() <-chan error { return r.failed }

// reportFailure logs an error that ends the member, passes it to Failed and stops the
// incarnation. An error is dropped while an earlier one waits in Failed.
func (r *Replica) reportFailure(err error) {
	select {
	case r.failed <- err:
		r.log.Error(err, "fatal error; stopping the member")
	default:
	}
	if inc := r.incarnation(); inc != nil {
		inc.cancel()
	}
}

// Close writes the queued log records and stops the member.
func (r *Replica) Close() error { return r.shutdown(false) }

// shutdown stops the member. With drop, queued log records are not written.
func (r *Replica) shutdown(drop bool) error {
	r.mu.Lock()
	inc := r.inc
	r.inc = nil
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	for _, p := range r.peers.all() {
		p.close()
	}
	var err error
	if inc != nil {
		err = inc.stop(drop)
	}
	r.wg.Wait()
	return err
}

// replaceIncarnation wipes the data directory of an incarnation and starts a new one.
func (r *Replica) replaceIncarnation(old *incarnation) {
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	if !r.detachIncarnation(old) {
		return
	}
	_ = old.stop(true)
	if err := r.wipeDataDir(); err != nil {
		r.reportFailure(err)
		return
	}
	r.startIncarnation()
}

// detachIncarnation clears the running incarnation if it is old. It returns false if another
// incarnation runs or the member is closed.
func (r *Replica) detachIncarnation(old *incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inc != old || r.closed {
		return false
	}
	r.inc = nil
	return true
}

// startIncarnation opens the data directory and starts the incarnation in it, unless the member
// is closed.
func (r *Replica) startIncarnation() {
	inc, err := r.openIncarnation()
	if err != nil {
		r.reportFailure(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = inc.stop(true)
		return
	}
	r.inc = inc
	inc.start()
}

func (r *Replica) group(id uint32) (*group, error) {
	inc := r.incarnation()
	if inc == nil {
		return nil, errs.New(errs.NotLeader, "send the request to another member", "member %s is not running", r.cfg.ID)
	}
	g := inc.groups[id]
	if g == nil {
		return nil, errs.New(errs.NotFound, "use a group of the site", "group %d does not exist", id)
	}
	return g, nil
}

// Propose implements Node.
func (r *Replica) Propose(ctx context.Context, group uint32, cmd []byte) ([]byte, error) {
	g, err := r.group(group)
	if err != nil {
		return nil, err
	}
	v := g.view.Load()
	expired := v.leaseUntil != 0 && r.now() >= v.leaseUntil
	if v.role != raft.Leader || expired {
		return nil, g.notLeaderError()
	}
	caller := newWaiter()
	if !g.addInput(func(in *inbox) { in.proposals = append(in.proposals, proposal{cmd: cmd, caller: caller}) }) {
		return nil, g.notLeaderError()
	}
	select {
	case res := <-caller.done:
		return res.reply, res.err
	case <-ctx.Done():
		return nil, uncertainError(group, ctx.Err().Error())
	}
}

// ReadIndex implements Node.
func (r *Replica) ReadIndex(ctx context.Context, group uint32) error {
	g, err := r.group(group)
	if err != nil {
		return err
	}
	if g.view.Load().role != raft.Leader {
		return g.notLeaderError()
	}
	caller := newWaiter()
	if !g.addInput(func(in *inbox) { in.reads = append(in.reads, caller) }) {
		return g.notLeaderError()
	}
	select {
	case res := <-caller.done:
		return res.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leader implements Node.
func (r *Replica) Leader(group uint32) (string, uint64) {
	g, err := r.group(group)
	if err != nil {
		return "", 0
	}
	v := g.view.Load()
	return v.leader.ID, v.term
}

// IsLeader implements Node. It is true only once this member has applied all entries of
// earlier terms.
func (r *Replica) IsLeader(group uint32) bool {
	g, err := r.group(group)
	if err != nil {
		return false
	}
	v := g.view.Load()
	return v.role == raft.Leader && r.now() < v.leaseUntil && g.applier.appliedIndex() >= v.termStart
}

// LogTime implements Node.
func (r *Replica) LogTime(group uint32) time.Duration {
	g, err := r.group(group)
	if err != nil {
		return 0
	}
	return r.now() + g.view.Load().logOffset
}

// Incarnation returns the number of the running incarnation in hexadecimal. It is empty while
// the incarnation is being replaced and after Close.
func (r *Replica) Incarnation() string {
	inc := r.incarnation()
	if inc == nil {
		return ""
	}
	return formatIncarnation(inc.self.Incarnation)
}

func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 16) }

// Status returns the state of each group as this member sees it, ordered by group.
func (r *Replica) Status() []structs.GroupStatus {
	inc := r.incarnation()
	if inc == nil {
		return nil
	}
	var out []structs.GroupStatus
	for id, g := range inc.groups {
		out = append(out, g.groupStatus(id))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

func (g *group) groupStatus(id uint32) structs.GroupStatus {
	st := g.status.Load()
	s := structs.GroupStatus{Group: id, Term: st.Term, Leader: st.Leader.ID, Applied: g.applier.appliedIndex()}
	s.Incarnations = map[string]string{}
	for _, m := range st.Config.Members {
		s.Incarnations[m.Peer.ID] = formatIncarnation(m.Peer.Incarnation)
		if m.Voter {
			s.Voters = append(s.Voters, m.Peer.ID)
			continue
		}
		s.Learners = append(s.Learners, m.Peer.ID)
	}
	return s
}
