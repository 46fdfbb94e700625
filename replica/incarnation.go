package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/wal"
)

var errStopped = errors.New("the member is stopping")

// incarnation is the life of one data directory.
type incarnation struct {
	r       *Replica
	self    raft.Peer
	cluster atomic.Uint64
	joining atomic.Bool
	wal     *wal.Log
	groups  map[uint32]*group
	fresh   bool // the directory was empty: there is nothing to verify

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// spawnMu keeps goroutines from starting while stop waits for them.
	spawnMu sync.Mutex
	stopped bool
}

// openIncarnation opens the data directory, or begins a new one if it holds no member yet.
func (r *Replica) openIncarnation() (*incarnation, error) {
	id, known, err := wal.ReadIdentity(r.cfg.DataDir)
	if err != nil {
		return nil, err
	}
	if known && id.Member != r.cfg.ID {
		return nil, errors.Errorf("data directory %s belongs to member %q, not %q; use another directory",
			r.cfg.DataDir, id.Member, r.cfg.ID)
	}
	if known && id.Cluster == 0 {
		// The process ended before it had joined or created a cluster.
		if err := r.wipe(); err != nil {
			return nil, err
		}
		known = false
	}
	log, states, err := wal.Open(r.cfg.DataDir, wal.Options{SegmentBytes: r.cfg.SegmentBytes, FS: r.cfg.FS})
	if err != nil {
		return nil, err
	}
	if !known {
		id = wal.Identity{Member: r.cfg.ID, Incarnation: randomID()}
		if err := log.SetIdentity(id); err != nil {
			log.Abandon()
			return nil, err
		}
	}
	inc := &incarnation{r: r, self: raft.Peer{ID: id.Member, Incarnation: id.Incarnation}, wal: log, fresh: !known}
	inc.cluster.Store(id.Cluster)
	inc.ctx, inc.cancel = context.WithCancel(context.Background())
	if err := inc.buildGroups(states); err != nil {
		log.Abandon()
		return nil, err
	}
	return inc, nil
}

// randomID returns a random number other than zero.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // documented never to happen
		}
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// buildGroups restores the state machines and creates the groups.
func (inc *incarnation) buildGroups(states map[uint32]*wal.GroupState) error {
	inc.groups = make(map[uint32]*group, len(inc.r.cfg.Groups))
	for id, sm := range inc.r.cfg.Groups {
		st := states[id]
		if st == nil {
			st = &wal.GroupState{}
		}
		data := st.SnapshotData
		if st.Snapshot.Index == 0 {
			data = inc.r.empty[id]
		}
		if err := sm.Restore(data); err != nil {
			return errors.Wrapf(err, "restore the state of group %d", id)
		}
		inc.groups[id] = newGroup(inc, id, sm, st, inc.fresh)
	}
	return nil
}

func (inc *incarnation) start() {
	for _, g := range inc.groups {
		g.carryOut(g.core.Take())
		inc.spawn(g.run)
		inc.spawn(g.applier.run)
	}
	if !inc.fresh {
		inc.spawn(inc.verify)
	}
	inc.spawn(inc.manageMembers)
	inc.spawn(inc.freeSegments)
}

// spawn runs f until the incarnation stops.
func (inc *incarnation) spawn(f func(ctx context.Context)) {
	inc.spawnMu.Lock()
	defer inc.spawnMu.Unlock()
	if inc.stopped {
		return
	}
	inc.wg.Add(1)
	go func() {
		defer inc.wg.Done()
		f(inc.ctx)
	}()
}

// stop ends all goroutines and closes the log. With drop, what is queued for the log is
// lost, as at the end of the process.
func (inc *incarnation) stop(drop bool) error {
	inc.cancel()
	inc.spawnMu.Lock()
	inc.stopped = true
	inc.spawnMu.Unlock()
	var err error
	if drop {
		inc.wal.Abandon()
	} else {
		err = inc.wal.Close()
	}
	inc.wg.Wait()
	return err
}

func (inc *incarnation) walFailed(err error) {
	if inc.ctx.Err() == nil {
		inc.r.fail(err)
	}
}

// receive hands a batch of messages to the groups. A member without a cluster joins the one
// whose leader addresses this incarnation.
func (inc *incarnation) receive(b *batch) {
	if inc.cluster.Load() == 0 {
		inc.join(b)
		return
	}
	if b.Cluster != inc.cluster.Load() {
		return
	}
	for i := range b.Messages {
		gm := &b.Messages[i]
		if g := inc.groups[gm.Group]; g != nil && gm.Message.To == inc.self {
			g.add(func(in *inbox) { in.messages = append(in.messages, gm.Message) })
		}
	}
}

// addresses reports whether any message of the batch is for p. While an old incarnation is
// still a voter, a batch holds messages for it as well.
func (b *batch) addresses(p raft.Peer) bool {
	return slices.ContainsFunc(b.Messages, func(gm groupMessage) bool { return gm.Message.To == p })
}

func (inc *incarnation) join(b *batch) {
	if b.Cluster == 0 || !b.addresses(inc.self) {
		return
	}
	if !inc.joining.CompareAndSwap(false, true) {
		return
	}
	inc.spawn(func(context.Context) {
		inc.r.joinMu.Lock()
		defer inc.r.joinMu.Unlock()
		if inc.ctx.Err() != nil {
			return
		}
		id := wal.Identity{Member: inc.self.ID, Incarnation: inc.self.Incarnation, Cluster: b.Cluster}
		if err := inc.wal.SetIdentity(id); err != nil {
			inc.r.fail(err)
			return
		}
		inc.cluster.Store(b.Cluster)
	})
}

// discard ends this incarnation, whose directory has lost acknowledged entries, and begins
// a new one.
func (inc *incarnation) discard(group uint32) {
	inc.cancel()
	inc.r.log.Info("data directory is stale: discarding it", "group", group, "incarnation", inc.self.Incarnation)
	go inc.r.renew(inc)
}

// wipe removes the content of the data directory. The identity goes first, so that what is
// left after a crash counts as an empty directory.
func (r *Replica) wipe() error {
	fs := r.cfg.FS
	if fs == nil {
		fs = wal.OS{}
	}
	err := os.Remove(filepath.Join(r.cfg.DataDir, "identity"))
	if err != nil && !os.IsNotExist(err) {
		return errors.WithStack(err)
	}
	if err := fs.SyncDir(r.cfg.DataDir); err != nil {
		return errors.WithStack(err)
	}
	entries, err := os.ReadDir(r.cfg.DataDir)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(r.cfg.DataDir, e.Name())); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(fs.SyncDir(r.cfg.DataDir))
}
