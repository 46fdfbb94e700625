package wal

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

// Log is the open log of a member. It is safe for concurrent use.
type Log struct {
	dir string
	fs  FS
	opt Options

	mu            sync.Mutex // guards queue, closed, failErr and stats
	queue         []appendRequest
	wake          chan struct{} // signals the writer that the queue is not empty
	quit          chan struct{} // closed to make the writer flush once more and exit
	closed        bool
	failErr       error              // first failure of the writer; permanent
	done          chan struct{}      // closed when the writer has exited
	groupRecords  map[uint32]*Record // latest hard state and snapshot position of each group
	stats         Stats
	snapshotLocks sync.Map // group to *sync.Mutex

	segMu    sync.Mutex // guards segments and groupRecords, which only the writer changes
	segments []*segment

	// Owned by the writer goroutine once it runs.
	file File
	size int64
}

// Stats holds counters of the log since it was opened.
type Stats struct {
	Records uint64 // records appended
	Syncs   uint64 // syncs for batches of appends
}

type appendRequest struct {
	rec  *Record // nil: writes nothing, only waits for the requests before it
	sync bool
	done func(error)
}

// slowSync is the time from which a sync is reported. Callers of the ledger give up after 1.5 s.
const slowSync = 500 * time.Millisecond

var errClosed = errors.New("the log is closed")

func newLog(dir string, opt Options) *Log {
	return &Log{
		dir:          dir,
		fs:           opt.FS,
		opt:          opt,
		wake:         make(chan struct{}, 1),
		quit:         make(chan struct{}),
		done:         make(chan struct{}),
		groupRecords: map[uint32]*Record{},
	}
}

func (l *Log) currentSegment() *segment { return l.segments[len(l.segments)-1] }

// start opens the last segment for writing, or creates the first one, and starts the writer
// goroutine.
func (l *Log) start(groups map[uint32]*GroupState) error {
	for id, g := range groups {
		l.groupRecords[id] = &Record{Group: id, Hard: &g.Hard, Snapshot: &g.snapshotPosition}
	}
	if err := l.openCurrentSegment(); err != nil {
		return err
	}
	go l.runWriter()
	return nil
}

// openCurrentSegment opens the last segment for appending. It creates the segment if there is
// none or if the last one has no header.
func (l *Log) openCurrentSegment() error {
	if len(l.segments) == 0 {
		return l.createSegment(1)
	}
	if l.size == 0 {
		// The process ended before the header of this segment was complete.
		seq := l.currentSegment().seq
		l.segments = l.segments[:len(l.segments)-1]
		return l.createSegment(seq)
	}
	path := l.segmentPath(l.currentSegment().seq)
	f, err := l.fs.Append(path)
	if err != nil {
		return errors.WithStack(err)
	}
	l.file = f
	// If only the process ended and not the host, the data that was read may be in the page
	// cache and not yet on disk, and so may the name of the file.
	if err := f.Sync(); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(l.fs.SyncDir(filepath.Dir(path)))
}

// createSegment creates a segment whose header holds the state of all groups, and makes it
// durable before anything else is appended to it.
func (l *Log) createSegment(seq uint64) error {
	h := segmentHeader{Version: formatVersion, Seq: seq}
	for _, r := range l.groupRecords {
		h.Groups = append(h.Groups, *r)
	}
	buf, err := appendRecord(nil, h)
	if err != nil {
		return err
	}
	path := l.segmentPath(seq)
	f, err := l.fs.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if _, err := f.Write(buf); err != nil {
		return errors.WithStack(err)
	}
	if err := f.Sync(); err != nil {
		return errors.WithStack(err)
	}
	if err := l.fs.SyncDir(filepath.Dir(path)); err != nil {
		return errors.WithStack(err)
	}
	l.file, l.size = f, int64(len(buf))
	l.segMu.Lock()
	l.segments = append(l.segments, &segment{seq: seq, lastIndex: map[uint32]uint64{}})
	l.segMu.Unlock()
	return nil
}

// Append queues a record. done is called, in the order of the appends, once the record and
// all records before it are written and, if sync is set, synced. It must not block. If the log
// is closed or has failed, done is called with the error before Append returns. A nil record
// writes nothing and waits for the records before it.
func (l *Log) Append(rec *Record, sync bool, done func(error)) {
	l.mu.Lock()
	err := l.failErr
	if l.closed {
		err = errClosed
	}
	if err == nil {
		l.queue = append(l.queue, appendRequest{rec: rec, sync: sync, done: done})
	}
	l.mu.Unlock()
	if err != nil {
		done(err)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close writes the queued records, with a sync if one of them asks for it, and closes the
// log.
func (l *Log) Close() error {
	return l.stop(false)
}

// Abandon closes the log without writing the queued records, as if the process had crashed.
func (l *Log) Abandon() {
	_ = l.stop(true)
}

func (l *Log) stop(discardQueue bool) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		<-l.done
		return nil
	}
	l.closed = true
	var discarded []appendRequest
	if discardQueue {
		discarded, l.queue = l.queue, nil
	}
	close(l.quit)
	l.mu.Unlock()
	for _, r := range discarded {
		r.done(errClosed)
	}
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failErr != nil {
		return l.failErr
	}
	return errors.WithStack(l.file.Close())
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// runWriter is the writer goroutine. It flushes the queue until the log is closed.
func (l *Log) runWriter() {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
			l.flush()
		case <-l.quit:
			l.flush()
			return
		}
	}
}

// flush writes all queued records with one write and at most one sync. The first failure is
// permanent: it is reported for this batch and for everything queued later.
func (l *Log) flush() {
	l.mu.Lock()
	batch := l.queue
	l.queue = nil
	err := l.failErr
	l.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	if err == nil {
		err = l.writeBatch(batch)
	}
	if err != nil {
		l.mu.Lock()
		l.failErr = err
		l.mu.Unlock()
	}
	for _, r := range batch {
		r.done(err)
	}
}

// writeBatch appends the records of a batch to the current segment, and starts a new segment
// if the current one has reached its size limit.
func (l *Log) writeBatch(batch []appendRequest) error {
	var buf []byte
	var err error
	sync, records := false, 0
	for _, r := range batch {
		sync = sync || r.sync
		if r.rec == nil {
			continue
		}
		records++
		if buf, err = appendRecord(buf, r.rec); err != nil {
			return err
		}
		l.trackRecord(r.rec)
	}
	if len(buf) > 0 {
		if _, err := l.file.Write(buf); err != nil {
			return errors.Wrap(err, "write to the log")
		}
		l.size += int64(len(buf))
	}
	if sync {
		if err := l.syncFile(); err != nil {
			return errors.Wrap(err, "sync the log")
		}
	}
	l.updateStats(records, sync)
	if l.size >= l.opt.SegmentBytes {
		return errors.Wrap(l.rotateSegment(), "create a log segment")
	}
	return nil
}

// syncFile syncs the current segment and reports a slow sync.
func (l *Log) syncFile() error {
	began := time.Now()
	err := l.file.Sync()
	if took := time.Since(began); took >= slowSync && l.opt.OnSlowSync != nil {
		l.opt.OnSlowSync(took)
	}
	return err
}

func (l *Log) updateStats(records int, sync bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Records += uint64(records)
	if sync {
		l.stats.Syncs++
	}
}

// trackRecord updates the latest state of the record's group and the highest entry indexes of
// the current segment.
func (l *Log) trackRecord(rec *Record) {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	h := l.groupRecords[rec.Group]
	if h == nil {
		h = &Record{Group: rec.Group, Hard: &raft.HardState{}, Snapshot: &SnapshotPosition{}}
		l.groupRecords[rec.Group] = h
	}
	if rec.Hard != nil {
		h.Hard = rec.Hard
	}
	if rec.Snapshot != nil && rec.Snapshot.Index > h.Snapshot.Index {
		h.Snapshot = rec.Snapshot
	}
	cur := l.currentSegment()
	for _, e := range rec.Entries {
		cur.lastIndex[rec.Group] = max(cur.lastIndex[rec.Group], e.Index)
	}
}

// rotateSegment closes the current segment and creates the next one. The segment is synced
// first, because a bad record in any segment but the last is treated as damage.
func (l *Log) rotateSegment() error {
	if err := l.file.Sync(); err != nil {
		return errors.WithStack(err)
	}
	if err := l.file.Close(); err != nil {
		return errors.WithStack(err)
	}
	if err := l.createSegment(l.currentSegment().seq + 1); err != nil {
		return err
	}
	return l.removeCoveredSegments()
}

// removeCoveredSegments deletes the oldest segments as long as snapshots cover all their
// entries in all groups. The current segment is kept. The directory is not synced, so a loss of power may undo any of
// the removals; findSegments expects that.
func (l *Log) removeCoveredSegments() error {
	for {
		l.segMu.Lock()
		if len(l.segments) < 2 || len(l.uncoveredGroups()) > 0 {
			l.segMu.Unlock()
			return nil
		}
		seq := l.segments[0].seq
		l.segments = l.segments[1:]
		l.segMu.Unlock()
		if err := l.fs.Remove(l.segmentPath(seq)); err != nil {
			return errors.WithStack(err)
		}
	}
}

// uncoveredGroups returns the groups that have entries in the oldest segment which their
// latest snapshot does not cover. The caller holds segMu.
func (l *Log) uncoveredGroups() []uint32 {
	var out []uint32
	for g, lastIndex := range l.segments[0].lastIndex {
		if lastIndex > l.groupRecords[g].Snapshot.Index {
			out = append(out, g)
		}
	}
	return out
}

// GroupsBlockingCompaction returns the groups that prevent the removal of the oldest segment
// because no snapshot covers their entries in it. It returns none while the log has at most
// maxRetainedSegments segments.
func (l *Log) GroupsBlockingCompaction() []uint32 {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	if len(l.segments) <= maxRetainedSegments {
		return nil
	}
	return l.uncoveredGroups()
}

// maxRetainedSegments is the number of segments above which groups with little traffic have
// to take a snapshot so that the oldest segment can be removed.
const maxRetainedSegments = 3
