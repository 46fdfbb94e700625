package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
	"github.com/figlb/figlb/wal"
)

// bootstrapInterval is the time between two rounds of hello calls to the configured members
// before the cluster exists.
const bootstrapInterval = 100 * time.Millisecond

// bootstrap creates the cluster once a majority of the configured members, this one included,
// reports that it belongs to no cluster. Any existing cluster has a member in each such
// majority. This keeps a member that lost its disk and is partitioned from the others from
// creating a second cluster.
func (r *Replica) bootstrap(ctx context.Context) {
	periodic.Run(ctx, bootstrapInterval, func(ctx context.Context) bool {
		unjoined, exists := r.probeClusters(ctx)
		if exists || r.clusterID() != 0 {
			r.log.Info("cluster already exists; joining it instead of creating one")
			return false
		}
		if unjoined > len(r.cfg.Members)/2 {
			r.createCluster()
			return false
		}
		return true
	})
}

// probeClusters counts the members, this one included, that report that they belong to no
// cluster. exists is true if any member reports a cluster.
func (r *Replica) probeClusters(ctx context.Context) (unjoined int, exists bool) {
	unjoined = 1
	for _, m := range r.cfg.Members {
		p := r.peers.get(m.ID)
		if p == nil {
			continue
		}
		if _, ok := p.recentHello(helloTimeout); !ok {
			r.callHello(ctx, p, false)
		}
		info, ok := p.recentHello(helloTimeout)
		if !ok {
			continue
		}
		if info.Cluster != 0 {
			return 0, true
		}
		unjoined++
	}
	return unjoined, false
}

// createCluster stores the initial state of all groups and restarts the member from it. The
// cluster id is stored last: a directory without one counts as empty after a crash.
func (r *Replica) createCluster() {
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	inc := r.incarnation()
	if inc == nil || inc.cluster.Load() != 0 || !r.detachIncarnation(inc) {
		return
	}
	if err := inc.writeInitialState(); err != nil {
		r.reportFailure(err)
		return
	}
	if err := inc.stop(false); err != nil {
		r.reportFailure(err)
		return
	}
	r.log.Info("cluster created")
	r.startIncarnation()
}

// writeInitialState stores an empty snapshot and the hard state of each group, and then the
// identity with a new cluster id.
func (inc *incarnation) writeInitialState() error {
	meta := raft.Bootstrap(inc.self)
	if err := inc.saveEmptySnapshots(meta); err != nil {
		return err
	}
	stored := make(chan error, len(inc.groups))
	for id := range inc.groups {
		rec := &wal.Record{
			Group:    id,
			Hard:     &raft.HardState{Term: meta.Term, Commit: meta.Index},
			Snapshot: &wal.SnapshotPosition{Index: meta.Index, Term: meta.Term},
		}
		inc.wal.Append(rec, true, func(err error) { stored <- err })
	}
	for range inc.groups {
		if err := <-stored; err != nil {
			return errors.Wrap(err, "store the initial state")
		}
	}
	id := wal.Identity{Member: inc.self.ID, Incarnation: inc.self.Incarnation, Cluster: randomID()}
	return inc.wal.SetIdentity(id)
}

// saveEmptySnapshots stores the initial snapshots of all groups concurrently, so that their
// syncs overlap.
func (inc *incarnation) saveEmptySnapshots(meta raft.SnapshotMeta) error {
	var all errgroup.Group
	for id := range inc.groups {
		all.Go(func() error {
			return inc.wal.SaveSnapshot(id, meta, snapshot.Snapshot{Head: inc.r.initialSnapshots[id]})
		})
	}
	return all.Wait()
}
