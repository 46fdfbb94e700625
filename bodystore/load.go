package bodystore

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/wal"
)

const incarnationFile = "incarnation"

// load creates the directory if needed and reads its segments.
func (s *Store) load() error {
	if err := s.makeDirs(); err != nil {
		return err
	}
	if err := s.loadIncarnation(); err != nil {
		return err
	}
	entries, err := os.ReadDir(s.segmentDir()) // sorted by name, so older segments come first
	if err != nil {
		return errors.WithStack(err)
	}
	for _, f := range entries {
		var seq uint64
		if _, err := fmt.Sscanf(f.Name(), "%016x"+segmentSuffix, &seq); err != nil || filepath.Ext(f.Name()) != segmentSuffix {
			continue
		}
		if err := s.loadSegment(seq, filepath.Join(s.segmentDir(), f.Name())); err != nil {
			return err
		}
	}
	// If only the process ended, a new file may not have been synced with its folder yet.
	if err := s.opt.FS.SyncDir(s.segmentDir()); err != nil {
		return errors.WithStack(err)
	}
	s.opt.Log.Info("bodies loaded", "incarnation", s.incarnation, "bodies", len(s.index), "segments", len(s.segments), "used", s.used)
	return nil
}

// makeDirs creates the directories and makes their entries durable.
func (s *Store) makeDirs() error {
	for _, dir := range []string{s.opt.Dir, s.segmentDir()} {
		if err := wal.MakeDir(s.opt.FS, dir); err != nil {
			return err
		}
	}
	return nil
}

// loadIncarnation reads the incarnation, or creates one. A file that does not hold a valid id was not
// synced, so its id has not been reported to anyone.
func (s *Store) loadIncarnation() error {
	text, err := os.ReadFile(filepath.Join(s.opt.Dir, incarnationFile))
	if err != nil && !os.IsNotExist(err) {
		return errors.WithStack(err)
	}
	if id, err := uuid.Parse(string(text)); err == nil {
		s.incarnation = id.String()
		return nil
	}
	id := uuid.NewString()
	if err := s.storeIncarnation(id); err != nil {
		return err
	}
	s.incarnation = id
	return nil
}

// storeIncarnation makes an incarnation durable.
func (s *Store) storeIncarnation(id string) error {
	path := filepath.Join(s.opt.Dir, incarnationFile)
	f, err := s.opt.FS.Create(path + ".tmp")
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = f.Write([]byte(id))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.opt.FS.Rename(path+".tmp", path)
	}
	if err == nil {
		err = s.opt.FS.SyncDir(s.opt.Dir)
	}
	return errors.WithStack(err)
}

// loadSegment adds the records of a segment to the index, cuts off a torn tail and syncs the file: after
// the end of the process alone, records may be read that have not been synced yet.
func (s *Store) loadSegment(seq uint64, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	seg := &segment{seq: seq, path: path, file: file, sealed: true}
	s.segments[seq] = seg
	s.lastSeq = max(s.lastSeq, seq)
	now, wall := s.opt.Now(), time.Now()
	end, err := scanRecords(file, func(offset int64, rec *record) {
		s.insert(rec, seg, offset, storedUntil(rec, wall, now))
	})
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	info, err := file.Stat()
	if err != nil {
		return errors.WithStack(err)
	}
	seg.size = info.Size()
	f, err := s.opt.FS.Append(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	if end < seg.size {
		s.opt.Log.Info("torn tail of a segment removed", "segment", path, "from", end, "to", seg.size)
		// A failure only wastes space, because a segment is not appended to after it has been loaded.
		if err := f.Truncate(end); err == nil {
			seg.size = end
		}
	}
	s.used += seg.size
	return errors.WithStack(f.Sync())
}

// renewIncarnation makes the other stores offer their bodies again, because a body of this store is lost.
// The caller holds mu.
func (s *Store) renewIncarnation() {
	id := uuid.NewString()
	s.incarnation = id
	s.wg.Go(func() {
		// If this fails, the earlier id returns with the next start. No view has it any more, so the
		// other stores offer their bodies then as well.
		_ = s.storeIncarnation(id)
	})
}

// sortedSegments returns the sealed segments, those with the smallest live part first. The caller holds mu.
func (s *Store) sortedSegments() []*segment {
	var out []*segment
	for _, seg := range s.segments {
		if seg.sealed {
			out = append(out, seg)
		}
	}
	slices.SortFunc(out, func(a, b *segment) int {
		switch left, right := a.live*b.size, b.live*a.size; {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return int(int64(a.seq) - int64(b.seq))
	})
	return out
}
