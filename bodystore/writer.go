package bodystore

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/wal"
)

const (
	// segmentBytes is the size at which a segment is sealed. Space is given back by segments, so it is
	// small compared with a disk of 260 MB.
	segmentBytes = 4 << 20
	// maxBatchBytes bounds the bodies that share a sync. With syncs of 14 ms it allows 70 MB/s.
	maxBatchBytes = 1 << 20
	// writeBufferBytes collects small records into one write; larger parts are written directly.
	writeBufferBytes = 64 << 10
	// probeBytes is the size of the padding that is written to find out whether writes succeed again. It
	// is more than a body of a usual size.
	probeBytes    = 64 << 10
	segmentSuffix = ".bodies"
)

// activeSegment is the segment that the writer appends to.
type activeSegment struct {
	seg  *segment
	file wal.File
	new  bool // the folder has not been synced since the file was created
}

// runWriter writes queued bodies until Close.
func (s *Store) runWriter() {
	var active *activeSegment
	for {
		select {
		case <-s.quit:
			s.refuseAll(s.takeQueue())
			if active != nil {
				_ = active.file.Close()
			}
			return
		case <-s.wake:
		}
		for batch := s.takeBatch(); len(batch) > 0; batch = s.takeBatch() {
			active = s.commit(active, batch)
		}
	}
}

// takeBatch returns the writes to be synced together.
func (s *Store) takeBatch() []*write {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, int64(0)
	for n < len(s.queue) && (n == 0 || size+s.queue[n].rec.bytes() <= maxBatchBytes) {
		size += s.queue[n].rec.bytes()
		n++
	}
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n) // clears the rest of the array, which would keep the bodies in memory
	return batch
}

func (s *Store) takeQueue() []*write {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue = nil
	return queue
}

// commit makes a batch durable, adds it to the index and answers its writes. It returns the segment for
// the next batch. After a failure this is a new one, because the content of the file is unknown.
func (s *Store) commit(active *activeSegment, batch []*write) *activeSegment {
	s.mu.Lock()
	paused := s.opt.Now() < s.failedUntil
	s.mu.Unlock()
	if paused {
		s.refuseAll(batch)
		return active
	}
	active, offsets, err := s.writeBatch(active, batch)
	if err != nil {
		if active != nil {
			s.seal(active)
		}
		s.recordFailure(err)
		s.refuseAll(batch)
		return nil
	}
	s.publish(active.seg, batch, offsets)
	if active.seg.size >= segmentBytes {
		s.seal(active)
		return nil
	}
	return active
}

// writeBatch writes and syncs a batch and returns the offsets of its records. On an error it returns the
// segment, if there is one, whose content is then unknown beyond the records that are in the index.
func (s *Store) writeBatch(active *activeSegment, batch []*write) (*activeSegment, []int64, error) {
	if active == nil {
		var err error
		if active, err = s.createSegment(); err != nil {
			return nil, nil, err
		}
	}
	out := bufio.NewWriterSize(active.file, writeBufferBytes)
	offsets := make([]int64, len(batch))
	offset := active.seg.size // only the writer changes the size of this segment
	for i, w := range batch {
		offsets[i] = offset
		offset += w.rec.bytes()
	}
	s.grow(active.seg, offset) // counted before the write, which may fail half-way
	for _, w := range batch {
		if err := w.rec.writeTo(out); err != nil {
			return active, nil, err
		}
	}
	if err := out.Flush(); err != nil {
		return active, nil, errors.WithStack(err)
	}
	if err := active.file.Sync(); err != nil {
		return active, nil, errors.WithStack(err)
	}
	if active.new {
		if err := s.opt.FS.SyncDir(s.segmentDir()); err != nil {
			return active, nil, errors.WithStack(err)
		}
		active.new = false
	}
	return active, offsets, nil
}

func (s *Store) segmentDir() string { return filepath.Join(s.opt.Dir, "bodies") }

// createSegment creates the file of the next segment.
func (s *Store) createSegment() (*activeSegment, error) {
	s.mu.Lock()
	s.lastSeq++
	seq := s.lastSeq
	s.mu.Unlock()
	path := filepath.Join(s.segmentDir(), fmt.Sprintf("%016x%s", seq, segmentSuffix))
	file, err := s.opt.FS.Create(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	reader, err := os.Open(path)
	if err != nil {
		_ = file.Close()
		_ = s.opt.FS.Remove(path)
		return nil, errors.WithStack(err)
	}
	seg := &segment{seq: seq, path: path, file: reader}
	s.mu.Lock()
	s.segments[seq] = seg
	s.mu.Unlock()
	return &activeSegment{seg: seg, file: file, new: true}, nil
}

// grow sets the size of a segment.
func (s *Store) grow(seg *segment, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += size - seg.size
	seg.size = size
}

// seal ends the writing of a segment.
func (s *Store) seal(active *activeSegment) {
	_ = active.file.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	active.seg.sealed = true
	if active.seg.live == 0 {
		s.removeSegment(active.seg)
	}
}

// recordFailure stops writes for failureDelay.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedUntil == 0 {
		s.opt.Log.Info("bodies cannot be written; retrying", "error", err.Error(), "used", s.used, "bodies", len(s.index))
	}
	s.stats.Failures++
	s.failedUntil = s.opt.Now() + failureDelay
}

// probe writes padding to a new segment if the last write failed at least failureDelay ago. Nobody else
// would try, because stores that are not writable get no bodies.
func (s *Store) probe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedUntil == 0 || s.opt.Now() < s.failedUntil || len(s.queue) > 0 {
		return
	}
	s.push(&write{rec: record{input: make([]byte, probeBytes)}, done: make(chan error, 1)})
}

// publish adds the bodies of a synced batch to the index and answers their writes.
func (s *Store) publish(seg *segment, batch []*write, offsets []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedUntil != 0 {
		s.opt.Log.Info("bodies can be written again")
		s.failedUntil = 0
	}
	now := s.opt.Now()
	for i, w := range batch {
		switch {
		case w.rec.key == "":
		case w.move != nil:
			s.relocate(w.move, seg, offsets[i])
		default:
			s.stats.Stored++
			s.insert(&w.rec, seg, offsets[i], now+max(w.rec.retention, minKeep))
		}
		s.finish(w, nil)
	}
}

// relocate points an entry to its rewritten record. The caller holds mu.
func (s *Store) relocate(e *entry, seg *segment, offset int64) {
	if e.removed {
		return
	}
	s.stats.Rewritten++
	e.seg.live -= e.bytes()
	e.seg, e.offset = seg, offset
	seg.live += e.bytes()
}

// refuseAll answers writes that have not been stored.
func (s *Store) refuseAll(batch []*write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.failedError()
	for _, w := range batch {
		s.stats.Refused++
		s.finish(w, err)
	}
}

// finish answers a write. The caller holds mu.
func (s *Store) finish(w *write, err error) {
	s.queued -= w.rec.bytes()
	if w.move == nil && w.rec.key != "" {
		s.puts--
	}
	w.done <- err
}

// removeSegment removes the file of a segment without live records. If the removal is lost with the power,
// the bodies return when the store is opened and are judged anew. The caller holds mu.
func (s *Store) removeSegment(seg *segment) {
	if err := s.opt.FS.Remove(seg.path); err != nil && !os.IsNotExist(errors.Cause(err)) {
		return // tried again by the next clean-up
	}
	_ = seg.file.Close()
	s.used -= seg.size
	delete(s.segments, seg.seq)
}

// storedUntil returns until when a body that was read at the start is kept. The wall clock may have been
// changed meanwhile, so the time is bounded on both sides.
func storedUntil(rec *record, wall time.Time, now time.Duration) time.Duration {
	rest := rec.storedAt.Add(rec.retention).Sub(wall)
	return now + max(min(rest, rec.retention), minKeep)
}
