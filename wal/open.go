package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

const (
	segmentDir    = "log"
	snapshotDir   = "snapshots"
	segmentSuffix = ".seg"
)

// Options configures a log.
type Options struct {
	// SegmentBytes is the size at which the current segment is closed and a new one is
	// created. The default is 64 MiB.
	SegmentBytes int64
	// FS defaults to OS.
	FS FS
	// OnSlowSync, if set, is called after a sync of appended records that took half a second or longer. It must not
	// block.
	OnSlowSync func(took time.Duration)
}

const defaultSegmentBytes = 64 << 20

// GroupState is the state of one group as restored by Open.
type GroupState struct {
	Hard     raft.HardState
	Snapshot raft.SnapshotMeta
	// SnapshotData is the content of the latest snapshot; nil if there is none.
	SnapshotData []byte
	// SnapshotHeadBytes is the length in bytes of the snapshot's head, the part of SnapshotData
	// before the chunks.
	SnapshotHeadBytes int
	Entries           []raft.Entry // those after Snapshot.Index
	snapshotPosition  SnapshotPosition
}

// segment holds what is needed to decide whether a segment of the log can be removed.
type segment struct {
	seq       uint64
	lastIndex map[uint32]uint64 // highest index of an entry, by group
}

// Open opens the log in a data directory, which it creates if needed, and returns the restored
// state of all groups.
func Open(dir string, opt Options) (*Log, map[uint32]*GroupState, error) {
	if opt.FS == nil {
		opt.FS = OS{}
	}
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = defaultSegmentBytes
	}
	l := newLog(dir, opt)
	for _, d := range []string{dir, filepath.Join(dir, segmentDir), filepath.Join(dir, snapshotDir)} {
		if err := MakeDir(l.fs, d); err != nil {
			return nil, nil, err
		}
	}
	if err := l.removeTemporaryFiles(); err != nil {
		return nil, nil, err
	}
	found, err := l.findSegments()
	if err != nil {
		return nil, nil, err
	}
	groups, err := l.replay(found)
	if err != nil {
		return nil, nil, err
	}
	if err := l.loadSnapshots(groups); err != nil {
		return nil, nil, err
	}
	if err := l.removeSegments(found.obsolete); err != nil {
		return nil, nil, err
	}
	if err := l.start(groups); err != nil {
		return nil, nil, err
	}
	return l, groups, nil
}

// removeTemporaryFiles deletes files whose writing was interrupted before their rename.
func (l *Log) removeTemporaryFiles() error {
	for _, d := range []string{l.dir, filepath.Join(l.dir, segmentDir), filepath.Join(l.dir, snapshotDir)} {
		names, err := listFiles(d, tmpSuffix)
		if err != nil {
			return err
		}
		for _, n := range names {
			if err := l.fs.Remove(filepath.Join(d, n)); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	return nil
}

func (l *Log) segmentPath(seq uint64) string {
	return filepath.Join(l.dir, segmentDir, fmt.Sprintf("%016x%s", seq, segmentSuffix))
}

// foundSegments holds the sequence numbers of the segments in the directory.
//
// Segments are removed oldest first, and a loss of power may undo any of the removals since the last sync of the
// directory. Segments before a gap are therefore ones whose removal was undone: all up to the gap had been removed, as
// snapshots covered them. If the gap is damage instead, the entries in it are missing after the replay.
type foundSegments struct {
	obsolete []uint64 // before a gap
	log      []uint64 // without a gap
}

// lastMissing returns the number of the last segment that is missing before the log, or 0 if none is.
func (f *foundSegments) lastMissing() uint64 {
	if len(f.log) == 0 {
		return 0
	}
	return f.log[0] - 1
}

// findSegments lists the segments.
func (l *Log) findSegments() (*foundSegments, error) {
	names, err := listFiles(filepath.Join(l.dir, segmentDir), segmentSuffix)
	if err != nil {
		return nil, err
	}
	found := &foundSegments{}
	for _, name := range names {
		var seq uint64
		if _, err := fmt.Sscanf(name, "%016x"+segmentSuffix, &seq); err != nil {
			return nil, errors.Errorf("unexpected file %s in the log directory", name)
		}
		if n := len(found.log); n > 0 && seq != found.log[n-1]+1 {
			found.obsolete = append(found.obsolete, found.log...)
			found.log = nil
		}
		found.log = append(found.log, seq)
	}
	return found, nil
}

// replay reads the segments of the log in order.
func (l *Log) replay(found *foundSegments) (map[uint32]*GroupState, error) {
	groups := map[uint32]*GroupState{}
	for i, seq := range found.log {
		l.segments = append(l.segments, &segment{seq: seq, lastIndex: map[uint32]uint64{}})
		if err := l.replaySegment(groups, i == len(found.log)-1); err != nil {
			return nil, err
		}
	}
	if missing := found.lastMissing(); missing > 0 {
		if err := checkNothingMissing(groups); err != nil {
			return nil, damagedError(l.segmentPath(missing), errors.Wrap(err, "the segment is missing"))
		}
	}
	return groups, nil
}

// checkNothingMissing returns an error if entries that no snapshot covers were in segments that are gone.
func checkNothingMissing(groups map[uint32]*GroupState) error {
	for id, g := range groups {
		if err := g.checkContinuity(); err != nil {
			return errors.Wrapf(err, "group %d", id)
		}
		last := g.snapshotPosition.Index + uint64(len(g.Entries))
		if g.Hard.Commit > last {
			return errors.Errorf("group %d: entry %d was committed and the log ends with entry %d", id, g.Hard.Commit, last)
		}
	}
	return nil
}

// removeSegments deletes segments durably.
func (l *Log) removeSegments(seqs []uint64) error {
	for _, seq := range seqs {
		if err := l.fs.Remove(l.segmentPath(seq)); err != nil {
			return errors.WithStack(err)
		}
	}
	if len(seqs) == 0 {
		return nil
	}
	return errors.WithStack(l.fs.SyncDir(filepath.Join(l.dir, segmentDir)))
}

// replaySegment reads the current segment. If it is the last one, a torn write at its end is
// truncated.
func (l *Log) replaySegment(groups map[uint32]*GroupState, isLast bool) error {
	path := l.segmentPath(l.currentSegment().seq)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	rest := data
	for isFirst := true; len(rest) > 0; isFirst = false {
		payload, next, err := nextRecord(rest)
		if err == nil {
			err = l.replayRecord(groups, payload, isFirst)
		}
		if errors.Is(err, errBadRecord) && isLast && !(isFirst && l.headerWasDurable()) {
			return l.truncateSegment(path, int64(len(data)-len(rest)))
		}
		if err != nil {
			return damagedError(path, errors.Wrapf(err, "record at byte %d", len(data)-len(rest)))
		}
		rest = next
	}
	l.size = int64(len(data))
	return nil
}

// headerWasDurable reports whether the header of the log's only segment is known to have been
// synced. The identity of a directory is stored after the first segment has been created, so
// if there is an identity file, a bad header is damage and not a torn write.
func (l *Log) headerWasDurable() bool {
	_, known, err := ReadIdentity(l.dir)
	return len(l.segments) == 1 && (known || err != nil)
}

// truncateSegment truncates the last segment to size and syncs it.
func (l *Log) truncateSegment(path string, size int64) error {
	f, err := l.fs.Append(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return errors.WithStack(err)
	}
	l.size = size
	return errors.WithStack(f.Sync())
}

func (l *Log) replayRecord(groups map[uint32]*GroupState, payload []byte, isFirst bool) error {
	if isFirst {
		return l.replaySegmentHeader(groups, payload)
	}
	var rec Record
	if err := raft.Decode(payload, &rec); err != nil {
		return err
	}
	l.trackRecord(&rec)
	return applyRecord(groups, &rec)
}

func (l *Log) replaySegmentHeader(groups map[uint32]*GroupState, payload []byte) error {
	var h segmentHeader
	if err := raft.Decode(payload, &h); err != nil {
		return err
	}
	if h.Version != formatVersion || h.Seq != l.currentSegment().seq {
		return errors.Errorf("segment header has unexpected version %d or sequence number %d", h.Version, h.Seq)
	}
	for i := range h.Groups {
		if err := applyRecord(groups, &h.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}

func applyRecord(groups map[uint32]*GroupState, rec *Record) error {
	g := groups[rec.Group]
	if g == nil {
		g = &GroupState{}
		groups[rec.Group] = g
	}
	if rec.Hard != nil {
		g.Hard = *rec.Hard
	}
	if rec.Snapshot != nil {
		g.applySnapshotPosition(*rec.Snapshot)
	}
	return g.applyEntries(rec.Entries)
}

// applySnapshotPosition records the position of a stored snapshot and drops the entries that
// the snapshot covers. If the log does not hold the snapshot's last entry with its term, all
// entries are dropped.
func (g *GroupState) applySnapshotPosition(position SnapshotPosition) {
	if position.Index <= g.snapshotPosition.Index {
		return
	}
	g.snapshotPosition = position
	if len(g.Entries) > 0 && g.Entries[0].Index > position.Index {
		// The entries in between were in removed segments. The position of a later snapshot
		// covers them, or checkContinuity reports the gap.
		return
	}
	for i, e := range g.Entries {
		if e.Index == position.Index && e.Term == position.Term {
			g.Entries = g.Entries[i+1:]
			return
		}
	}
	g.Entries = nil
}

// applyEntries adds entries. An entry replaces an earlier one with the same index and
// everything after it. There may be a gap between the snapshot position and the first entry:
// the entries in between were in removed segments, and the position of the snapshot that
// covers them follows later in the log.
func (g *GroupState) applyEntries(entries []raft.Entry) error {
	for _, e := range entries {
		if e.Index <= g.snapshotPosition.Index {
			continue
		}
		if len(g.Entries) == 0 || e.Index < g.Entries[0].Index {
			g.Entries = append(g.Entries[:0], e)
			continue
		}
		pos := e.Index - g.Entries[0].Index
		if pos > uint64(len(g.Entries)) {
			return errors.Errorf("entry %d follows entry %d", e.Index, g.Entries[len(g.Entries)-1].Index)
		}
		g.Entries = append(g.Entries[:pos], e)
	}
	return nil
}

// checkContinuity returns an error if entries are missing between the snapshot and the first
// entry of the log.
func (g *GroupState) checkContinuity() error {
	if len(g.Entries) > 0 && g.Entries[0].Index != g.snapshotPosition.Index+1 {
		return errors.Errorf("entry %d follows entry %d", g.Entries[0].Index, g.snapshotPosition.Index)
	}
	return nil
}

// loadSnapshots checks the replayed groups for missing entries and loads their latest
// snapshots.
func (l *Log) loadSnapshots(groups map[uint32]*GroupState) error {
	for id, g := range groups {
		if err := g.checkContinuity(); err != nil {
			return damagedError(filepath.Join(l.dir, segmentDir), errors.Wrapf(err, "group %d", id))
		}
		if g.snapshotPosition.Index == 0 {
			continue
		}
		var err error
		g.Snapshot, g.SnapshotData, g.SnapshotHeadBytes, err = l.LoadSnapshot(id, g.snapshotPosition.Index)
		if err != nil {
			return err
		}
	}
	return nil
}
