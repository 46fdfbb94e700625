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

// bootstrapInterval is the time between two rounds of questions before the cluster exists.
const bootstrapInterval = 100 * time.Millisecond

// bootstrap creates the cluster once it is certain that none exists. Every cluster has a
// member in each majority of the configured members, so a majority without a cluster is
// asked for: a member that lost its disk and is cut off must not create a second cluster.
func (r *Replica) bootstrap(ctx context.Context) {
	periodic.Run(ctx, bootstrapInterval, func(ctx context.Context) bool {
		without, exists := r.askClusters(ctx)
		if exists || r.clusterID() != 0 {
			r.log.Info("a cluster exists: joining it instead of creating one")
			return false
		}
		if without > len(r.cfg.Members)/2 {
			r.createCluster()
			return false
		}
		return true
	})
}

// askClusters counts the members, this one included, that belong to no cluster.
func (r *Replica) askClusters(ctx context.Context) (without int, exists bool) {
	without = 1
	for _, m := range r.cfg.Members {
		p := r.peers.get(m.ID)
		if p == nil {
			continue
		}
		if _, ok := p.known(helloTimeout); !ok {
			r.callHello(ctx, p, false)
		}
		info, ok := p.known(helloTimeout)
		if !ok {
			continue
		}
		if info.Cluster != 0 {
			return 0, true
		}
		without++
	}
	return without, false
}

// createCluster stores the initial state of all groups and continues with it. The
// directory counts as a member once the cluster id is stored, which comes last.
func (r *Replica) createCluster() {
	r.joinMu.Lock()
	defer r.joinMu.Unlock()
	inc := r.incarnation()
	if inc == nil || inc.cluster.Load() != 0 || !r.detach(inc) {
		return
	}
	if err := inc.writeInitialState(); err != nil {
		r.fail(err)
		return
	}
	if err := inc.stop(false); err != nil {
		r.fail(err)
		return
	}
	r.log.Info("cluster created")
	r.attachNew()
}

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
			Snapshot: &wal.Mark{Index: meta.Index, Term: meta.Term},
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

// saveEmptySnapshots stores the initial snapshots of all groups at once, so that their syncs
// overlap.
func (inc *incarnation) saveEmptySnapshots(meta raft.SnapshotMeta) error {
	var all errgroup.Group
	for id := range inc.groups {
		all.Go(func() error { return inc.wal.SaveSnapshot(id, meta, snapshot.Snapshot{Head: inc.r.empty[id]}) })
	}
	return all.Wait()
}
