package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
)

const (
	snapshotSuffix = ".snap"
	tmpSuffix      = ".tmp"
	// retainedSnapshots is the number of snapshot files kept per group. The snapshot before
	// the latest one is kept because a transfer of it to another member may be in progress.
	retainedSnapshots = 2
)

// snapshotHeader is the record at the beginning of a snapshot file. The head of the snapshot
// follows it; the chunks are in files of their own.
type snapshotHeader struct {
	Version uint32
	Group   uint32
	Meta    raft.SnapshotMeta
	Size    uint64     // of the head, in bytes
	CRC     uint32     // of the head
	Chunks  []chunkRef // in the order in which their content follows the head
}

func snapshotFileName(group uint32, index uint64) string {
	return fmt.Sprintf("%08x-%016x%s", group, index, snapshotSuffix)
}

func (l *Log) snapshotPath(group uint32, index uint64) string {
	return filepath.Join(l.dir, snapshotDir, snapshotFileName(group, index))
}

// SaveSnapshot stores a snapshot durably: first the chunks that no earlier snapshot has
// stored, then the file that refers to them. The snapshot takes effect when a record with its
// position is appended to the log.
func (l *Log) SaveSnapshot(group uint32, meta raft.SnapshotMeta, s snapshot.Snapshot) error {
	defer l.lockSnapshots(group)()
	h := snapshotHeader{
		Version: formatVersion, Group: group, Meta: meta,
		Size: uint64(len(s.Head)), CRC: crc32.Checksum(s.Head, castagnoli),
	}
	for _, c := range s.Chunks {
		if err := l.saveChunk(group, c); err != nil {
			return errors.Wrapf(err, "store a chunk of snapshot %d of group %d", meta.Index, group)
		}
		h.Chunks = append(h.Chunks, chunkRef{Key: c.Key, Size: uint64(c.Size)})
	}
	header, err := appendRecord(nil, h)
	if err != nil {
		return err
	}
	err = writeFileAtomically(l.fs, l.snapshotPath(group, meta.Index), header, s.Head)
	return errors.Wrapf(err, "store snapshot %d of group %d", meta.Index, group)
}

// lockSnapshots locks the snapshot files of a group, so that a new chunk is not removed before
// the snapshot that refers to it has been written. It returns the function that unlocks.
func (l *Log) lockSnapshots(group uint32) func() {
	mu, _ := l.snapshotLocks.LoadOrStore(group, &sync.Mutex{})
	mu.(*sync.Mutex).Lock()
	return mu.(*sync.Mutex).Unlock
}

// SnapshotWriteBytes returns the number of bytes that SaveSnapshot would write, without file
// headers: the size of the head and of the chunks that are not stored yet.
func (l *Log) SnapshotWriteBytes(group uint32, s snapshot.Snapshot) int64 {
	n := int64(len(s.Head))
	for _, c := range s.Chunks {
		if !l.hasChunk(group, c.Key) {
			n += c.Size
		}
	}
	return n
}

// RemoveOldSnapshots deletes all but the latest snapshot files of a group and the one in force, and the chunks that
// none of the remaining snapshots refers to. Later snapshots than the one in force are left by processes that ended
// before they put them in force.
func (l *Log) RemoveOldSnapshots(group uint32) error {
	defer l.lockSnapshots(group)()
	indexes, err := l.snapshotIndexes(group)
	if err != nil {
		return err
	}
	inForce := l.snapshotInForce(group)
	var retained []uint64
	for i, index := range indexes {
		if index == inForce || i >= len(indexes)-retainedSnapshots {
			retained = append(retained, index)
			continue
		}
		if err := l.fs.Remove(l.snapshotPath(group, index)); err != nil {
			return errors.WithStack(err)
		}
	}
	return l.removeOldChunks(group, retained)
}

// snapshotInForce returns the index of the snapshot from which a group is restored, or 0 if there is none.
func (l *Log) snapshotInForce(group uint32) uint64 {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	if r := l.groupRecords[group]; r != nil {
		return r.Snapshot.Index
	}
	return 0
}

// snapshotIndexes returns the indexes of the stored snapshots of a group in ascending order.
func (l *Log) snapshotIndexes(group uint32) ([]uint64, error) {
	names, err := listFiles(filepath.Join(l.dir, snapshotDir), snapshotSuffix)
	if err != nil {
		return nil, err
	}
	var out []uint64
	for _, n := range names {
		var g uint32
		var index uint64
		if _, err := fmt.Sscanf(n, "%08x-%016x"+snapshotSuffix, &g, &index); err == nil && g == group {
			out = append(out, index)
		}
	}
	return out, nil
}

// LoadSnapshot reads a stored snapshot and verifies its checksums. The result head is the length
// in bytes of the snapshot's head, with which data begins; the content of the chunks follows.
func (l *Log) LoadSnapshot(group uint32, index uint64) (meta raft.SnapshotMeta, data []byte, head int, err error) {
	path := l.snapshotPath(group, index)
	file, err := os.ReadFile(path)
	if err != nil {
		return raft.SnapshotMeta{}, nil, 0, errors.Wrap(err, "read snapshot; discard the data directory")
	}
	var h snapshotHeader
	data, err = decodeFile(file, &h, func() (uint64, uint32) { return h.Size, h.CRC })
	if err != nil {
		return raft.SnapshotMeta{}, nil, 0, damagedError(path, err)
	}
	head = len(data)
	for _, c := range h.Chunks {
		if data, err = l.appendChunkData(data, group, c); err != nil {
			return raft.SnapshotMeta{}, nil, 0, err
		}
	}
	return h.Meta, data, head, nil
}

// decodeFile decodes the header record of a snapshot or chunk file and returns the bytes after
// it. It verifies them against the size and the checksum that expected reads from the decoded
// header.
func decodeFile(file []byte, header any, expected func() (size uint64, crc uint32)) ([]byte, error) {
	payload, rest, err := nextRecord(file)
	if err != nil {
		return nil, err
	}
	if err := raft.Decode(payload, header); err != nil {
		return nil, err
	}
	if size, crc := expected(); size != uint64(len(rest)) || crc != crc32.Checksum(rest, castagnoli) {
		return nil, errBadRecord
	}
	return rest, nil
}

// damagedError adds the path of the damaged file and the remedy to an error.
func damagedError(path string, err error) error {
	return errors.Wrapf(err, "%s is damaged; discard the data directory so that the member joins again", path)
}

// ReadSnapshot returns up to max bytes of a stored snapshot's data from an offset. last reports
// whether they reach the end of the data. The checksums of the data are not verified.
func (l *Log) ReadSnapshot(group uint32, index, offset uint64, max int) (data []byte, last bool, err error) {
	path := l.snapshotPath(group, index)
	h, err := readSnapshotHeader(path)
	if err != nil {
		return nil, false, err
	}
	sections := []fileSection{{path: path, size: h.Size}}
	for _, c := range h.Chunks {
		sections = append(sections, fileSection{path: l.chunkPath(group, c.Key), size: c.Size})
	}
	data = make([]byte, 0, max)
	for i, s := range sections {
		if offset >= s.size {
			offset -= s.size
			continue
		}
		n := min(s.size-offset, uint64(max-len(data)))
		if data, err = s.read(data, offset, n); err != nil {
			return nil, false, err
		}
		if len(data) == max {
			return data, i == len(sections)-1 && offset+n == s.size, nil
		}
		offset = 0
	}
	return data, true, nil
}

// fileSection is the part of a snapshot's data that one file holds after its header record.
type fileSection struct {
	path string
	size uint64 // bytes
}

// read appends n bytes of the section to data, beginning at an offset in the section.
func (s fileSection) read(data []byte, offset, n uint64) ([]byte, error) {
	f, err := os.Open(s.path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	start, err := headerEnd(f)
	if err != nil {
		return nil, err
	}
	oldLen := len(data)
	data = append(data, make([]byte, n)...)
	_, err = f.ReadAt(data[oldLen:], start+int64(offset))
	return data, errors.WithStack(err)
}

// headerEnd returns the position at which the header record of a file ends.
func headerEnd(f *os.File) (int64, error) {
	var recordHeader [recordHeaderBytes]byte
	if _, err := f.ReadAt(recordHeader[:], 0); err != nil {
		return 0, errors.WithStack(err)
	}
	return recordHeaderBytes + int64(binary.BigEndian.Uint32(recordHeader[:])), nil
}

// readSnapshotHeader reads the header record of a snapshot file without reading the data.
func readSnapshotHeader(path string) (h snapshotHeader, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, errors.WithStack(err)
	}
	defer f.Close()
	end, err := headerEnd(f)
	if err != nil {
		return h, err
	}
	record := make([]byte, end)
	if _, err := f.ReadAt(record, 0); err != nil {
		return h, errors.WithStack(err)
	}
	payload, _, err := nextRecord(record)
	if err == nil {
		err = raft.Decode(payload, &h)
	}
	if err != nil {
		return h, damagedError(path, err)
	}
	return h, nil
}
