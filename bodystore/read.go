package bodystore

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
)

// errRemoved is returned for a body that has been removed since it was looked up.
var errRemoved = errors.New("the body has been removed")

// Get returns the bodies with the given keys in the order of the keys. To bound its size it may return
// fewer bodies. release has to be called when they are no longer used.
func (s *Store) Get(ctx context.Context, keys []string) (bodies []fleet.Body, release func(), _ error) {
	entries, size := s.lookUp(keys)
	if err := s.acquireGet(ctx, size); err != nil {
		return nil, nil, err
	}
	release = sync.OnceFunc(func() { s.gets.Release(size) })
	bodies = make([]fleet.Body, len(entries))
	for i, e := range entries {
		bodies[i].Key = keys[i]
		if e == nil {
			continue
		}
		rec, err := s.read(e)
		if err != nil {
			continue // the caller asks another store
		}
		bodies[i].Found, bodies[i].Input, bodies[i].Output = true, rec.input, rec.output
	}
	return bodies, release, nil
}

// lookUp returns the entries of the first keys, nil for those that are not stored, and the bytes of
// their bodies. It ends before maxReplyBytes, but not before the first key.
func (s *Store) lookUp(keys []string) (entries []*entry, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys[:min(len(keys), maxReplyKeys)] {
		e := s.index[key]
		if e != nil {
			if size > 0 && size+e.bytes() > maxReplyBytes {
				break
			}
			size += e.bytes()
		}
		entries = append(entries, e)
	}
	return entries, min(size, getBudget)
}

// acquireGet waits until bodies of a size may be read into memory.
func (s *Store) acquireGet(ctx context.Context, size int64) error {
	if s.gets.TryAcquire(size) {
		return nil
	}
	if !s.addWaitingGet(1) {
		return errs.New(errs.Overloaded, "use another store", "store %s has too many reads to do", s.opt.Name)
	}
	defer s.addWaitingGet(-1)
	return s.gets.Acquire(ctx, size)
}

func (s *Store) addWaitingGet(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.waitingGets >= maxWaitingGets {
		return false
	}
	s.waitingGets += n
	return true
}

// read reads a body from the disk. A body that cannot be read back is removed from the index, so that
// the other stores replace it.
func (s *Store) read(e *entry) (*record, error) {
	for {
		s.mu.Lock()
		seg, offset, removed := e.seg, e.offset, e.removed
		s.mu.Unlock()
		if removed {
			return nil, errRemoved
		}
		data := make([]byte, e.bytes())
		_, err := seg.file.ReadAt(data, offset)
		var rec *record
		if err == nil {
			rec, err = parseRecord(data)
		}
		if err == nil && rec.key != e.key {
			err = errors.Wrap(errBadRecord, "another key")
		}
		if err == nil {
			return rec, nil
		}
		if s.confirmDamage(e, seg, err) {
			return nil, err
		}
	}
}

// confirmDamage handles a failed read. It returns false if the body has been moved meanwhile.
func (s *Store) confirmDamage(e *entry, seg *segment, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.removed {
		return true
	}
	if e.seg != seg {
		return false
	}
	if errors.Is(err, errBadRecord) || errors.Is(err, io.EOF) {
		s.stats.Damaged++
		s.opt.Log.Info("body cannot be read back", "segment", seg.path, "offset", e.offset, "error", err.Error())
		s.remove(e)
		s.renewIncarnation()
	}
	return true
}
