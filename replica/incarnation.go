package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/wal"
)

var errStopped = errors.New("this incarnation of the member is stopping")

// incarnation runs the groups of a member from one data directory. A directory that is
// discarded or lost is followed by a new incarnation with another number.
type incarnation struct {
	r            *Replica
	self         raft.Peer
	cluster      atomic.Uint64 // 0: belongs to no cluster
	joining      atomic.Bool   // join has started to store the cluster id
	wal          *wal.Log
	groups       map[uint32]*group
	newDirectory bool // the directory was empty, so there is nothing to verify

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// spawnMu guards stopped and keeps spawn from starting goroutines while stop waits for
	// them.
	spawnMu sync.Mutex
	stopped bool
}

// openIncarnation opens the data directory. A directory without the identity of a member of a
// cluster starts as a new incarnation.
func (r *Replica) openIncarnation() (*incarnation, error) {
	id, known, err := wal.ReadIdentity(r.cfg.DataDir)
	if err != nil {
		return nil, err
	}
	if known && id.Member != r.cfg.ID {
		return nil, errors.Errorf("data directory %s belongs to member %q, not %q; use another directory",
			r.cfg.DataDir, id.Member, r.cfg.ID)
	}
	if !known || id.Cluster == 0 {
		// The process ended before the member joined or created a cluster, or while it discarded the directory.
		if err := r.wipeDataDir(); err != nil {
			return nil, err
		}
		known = false
	}
	log, states, err := wal.Open(r.cfg.DataDir, wal.Options{
		SegmentBytes: r.cfg.SegmentBytes, FS: r.cfg.FS,
		OnSlowSync: func(took time.Duration) { r.log.Info("slow sync of the log", "took_ms", took.Milliseconds()) },
	})
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
	inc := &incarnation{r: r, self: raft.Peer{ID: id.Member, Incarnation: id.Incarnation}, wal: log, newDirectory: !known}
	inc.cluster.Store(id.Cluster)
	inc.ctx, inc.cancel = context.WithCancel(context.Background())
	if err := inc.buildGroups(states); err != nil {
		log.Abandon()
		return nil, err
	}
	return inc, nil
}

// randomID returns a random nonzero number.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // crypto/rand documents that Read never returns an error
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
			data = inc.r.initialSnapshots[id]
		}
		if err := sm.Restore(data); err != nil {
			return errors.Wrapf(err, "restore the state of group %d", id)
		}
		inc.groups[id] = newGroup(inc, id, sm, st, inc.newDirectory)
	}
	return nil
}

// start handles the output that the cores produced at creation, and starts the goroutines.
func (inc *incarnation) start() {
	for _, g := range inc.groups {
		g.handleOutput(g.core.TakeOutput())
		inc.spawn(g.run)
		inc.spawn(g.applier.run)
	}
	if !inc.newDirectory {
		inc.spawn(inc.verify)
	}
	inc.spawn(inc.manageMembers)
	inc.spawn(inc.snapshotBlockingGroups)
}

// spawn runs f on a goroutine with a context that ends when the incarnation stops. It does
// nothing after stop.
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

// stop ends all goroutines and closes the write-ahead log. With drop, records that are queued
// for the log are not written, as after a crash of the process.
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

// handleWALError reports a failed append. Errors during stop are ignored.
func (inc *incarnation) handleWALError(err error) {
	if inc.ctx.Err() == nil {
		inc.r.reportFailure(err)
	}
}

// receive passes a batch of messages to the groups. A member without a cluster joins the
// cluster that sends messages to this incarnation.
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
			g.addInput(func(in *inbox) { in.messages = append(in.messages, gm.Message) })
		}
	}
}

// isAddressedTo reports whether any message of the batch is for p. A batch also contains
// messages for an old incarnation of the member while that is still a voter.
func (b *batch) isAddressedTo(p raft.Peer) bool {
	return slices.ContainsFunc(b.Messages, func(gm groupMessage) bool { return gm.Message.To == p })
}

// join stores the id of the cluster that sent the batch, if the batch is for this incarnation.
// It stores the id on another goroutine. Batches received before that is done are dropped; the
// sender retries.
func (inc *incarnation) join(b *batch) {
	if b.Cluster == 0 || !b.isAddressedTo(inc.self) {
		return
	}
	if !inc.joining.CompareAndSwap(false, true) {
		return
	}
	inc.spawn(func(context.Context) {
		inc.r.lifecycleMu.Lock()
		defer inc.r.lifecycleMu.Unlock()
		if inc.ctx.Err() != nil {
			return
		}
		id := wal.Identity{Member: inc.self.ID, Incarnation: inc.self.Incarnation, Cluster: b.Cluster}
		if err := inc.wal.SetIdentity(id); err != nil {
			inc.r.reportFailure(err)
			return
		}
		inc.cluster.Store(b.Cluster)
	})
}

// discard stops this incarnation because its directory has lost acknowledged entries, and
// replaces it with a new one.
func (inc *incarnation) discard(group uint32) {
	inc.cancel()
	inc.r.log.Info("data directory has lost acknowledged entries; discarding it", "group", group, "incarnation", inc.self.Incarnation)
	go inc.r.replaceIncarnation(inc)
}

// wipeDataDir removes what a member keeps in its data directory.
func (r *Replica) wipeDataDir() error {
	fs := r.cfg.FS
	if fs == nil {
		fs = wal.OS{}
	}
	return wal.Reset(r.cfg.DataDir, fs)
}
