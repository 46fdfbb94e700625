package replica

import (
	"context"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
	"github.com/figlb/figlb/wal"
)

// requestSnapshot requests a snapshot regardless of how much has been applied since the last
// one.
func (a *applier) requestSnapshot() {
	a.mu.Lock()
	a.snapshotRequested = true
	a.mu.Unlock()
	a.signal()
}

const (
	// entryOverhead is the approximate size of an entry in the log without its command, in
	// bytes.
	entryOverhead = 64
	// snapshotGrowthDivisor bounds the write amplification by snapshots: the next snapshot is
	// due only after at least 1/snapshotGrowthDivisor of the bytes that the latest one had to
	// rewrite (its head) has been applied.
	snapshotGrowthDivisor = 2
)

// snapshotDue reports whether enough has been applied since the latest snapshot.
func (a *applier) snapshotDue() bool {
	cfg := &a.g.inc.r.cfg
	if a.bytesSinceSnapshot < a.lastHeadBytes/snapshotGrowthDivisor {
		return false
	}
	return a.entriesSinceSnapshot >= cfg.SnapshotEntries || a.bytesSinceSnapshot >= cfg.SnapshotBytes
}

// maybeSnapshot takes a snapshot if one is due or requested, and stores it on another
// goroutine. Only one is stored at a time.
func (a *applier) maybeSnapshot() {
	a.mu.Lock()
	due := a.snapshotRequested || a.snapshotDue()
	if !due || a.snapshotting {
		a.mu.Unlock()
		return
	}
	a.snapshotRequested = false
	index := a.applied
	a.mu.Unlock()
	if a.snapshotRetryAt > a.g.inc.r.now() {
		return
	}
	s, err := takeSnapshot(a.sm)
	if err != nil {
		a.g.inc.r.reportFailure(err)
		return
	}
	if !a.hasDiskRoom(s) {
		return
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.lastHeadBytes = 0, 0, uint64(len(s.Head))
	a.setSnapshotting(true)
	a.g.inc.spawn(func(ctx context.Context) {
		a.g.saveSnapshot(ctx, index, s)
		a.setSnapshotting(false)
	})
}

func (a *applier) setSnapshotting(on bool) {
	a.mu.Lock()
	a.snapshotting = on
	a.mu.Unlock()
}

const (
	// maxDiskPercent is the percentage of the disk that may be in use after a snapshot. The
	// rest is for the log while the snapshot is written, which takes about a second at the
	// disk's speed.
	maxDiskPercent = 90
	// diskCheckInterval is the time after which a snapshot that did not fit is retried.
	diskCheckInterval = time.Second
)

// hasDiskRoom reports whether the disk has room for a snapshot beside the log and the previous
// snapshots. If not, it postpones the snapshot by diskCheckInterval.
func (a *applier) hasDiskRoom(s snapshot.Snapshot) bool {
	cfg := &a.g.inc.r.cfg
	if cfg.DiskBytes == 0 {
		return true
	}
	used, err := directoryBytes(cfg.DataDir)
	need := a.g.inc.wal.SnapshotWriteBytes(a.g.id, s)
	if err == nil && used+need <= cfg.DiskBytes*maxDiskPercent/100 {
		a.diskFull = false
		return true
	}
	a.snapshotRetryAt = a.g.inc.r.now() + diskCheckInterval
	if !a.diskFull {
		a.diskFull = true
		a.g.inc.r.log.Info("snapshot postponed: not enough space on the disk", "group", a.g.id, "used", used, "need", need, "disk", cfg.DiskBytes, "error", errorText(err))
	}
	return false
}

// directoryBytes returns the size of all files below a directory.
func directoryBytes(dir string) (int64, error) {
	total := int64(0)
	err := filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return ignoreNotExist(err)
		}
		info, err := d.Info()
		if err == nil {
			total += info.Size()
		}
		return ignoreNotExist(err)
	})
	return total, errors.Wrap(err, "size of the data directory")
}

// ignoreNotExist drops the error of a file that was removed during the walk.
func ignoreNotExist(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// saveSnapshot stores a snapshot and compacts the log. The mark in the write-ahead log is
// durable before older snapshot files are removed.
func (g *group) saveSnapshot(ctx context.Context, index uint64, s snapshot.Snapshot) {
	meta, err := withCore(ctx, g, func(_ raft.Time, core *raft.Core) *raft.SnapshotMeta {
		if meta, ok := core.SnapshotAt(index); ok {
			return &meta
		}
		return nil
	})
	if err != nil || meta == nil {
		return
	}
	if err := g.inc.wal.SaveSnapshot(g.id, *meta, s); err != nil {
		g.inc.r.reportFailure(err)
		return
	}
	stored := make(chan error, 1)
	mark := &wal.SnapshotPosition{Index: meta.Index, Term: meta.Term}
	g.inc.wal.Append(&wal.Record{Group: g.id, Snapshot: mark}, true, func(err error) { stored <- err })
	if err := <-stored; err != nil {
		g.inc.handleWALError(err)
		return
	}
	retain := g.inc.r.cfg.RetainEntries
	_, err = withCore(ctx, g, func(_ raft.Time, core *raft.Core) struct{} {
		core.Compact(*meta, retain)
		return struct{}{}
	})
	if err != nil {
		return
	}
	if err := g.inc.wal.RemoveOldSnapshots(g.id); err != nil {
		g.inc.r.reportFailure(err)
	}
}
