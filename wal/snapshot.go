package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

const (
	snapSuffix = ".snap"
	tmpSuffix  = ".tmp"
	// keepSnapshots is the number of snapshot files kept per group. The one before the
	// latest may still be under way to another member.
	keepSnapshots = 2
)

// snapshotHeader precedes the data in a snapshot file.
type snapshotHeader struct {
	Version uint32
	Group   uint32
	Meta    raft.SnapshotMeta
	Size    uint64
	CRC     uint32
}

func snapName(group uint32, index uint64) string {
	return fmt.Sprintf("%08x-%016x%s", group, index, snapSuffix)
}

func (l *Log) snapPath(group uint32, index uint64) string {
	return filepath.Join(l.dir, snapDir, snapName(group, index))
}

// SaveSnapshot stores a snapshot file durably. The log does not refer to it before a record
// with its mark is appended.
func (l *Log) SaveSnapshot(group uint32, meta raft.SnapshotMeta, data []byte) error {
	head, err := appendRecord(nil, snapshotHeader{
		Version: formatVersion, Group: group, Meta: meta,
		Size: uint64(len(data)), CRC: crc32.Checksum(data, castagnoli),
	})
	if err != nil {
		return err
	}
	err = writeDurably(l.fs, l.snapPath(group, meta.Index), head, data)
	return errors.Wrapf(err, "store snapshot %d of group %d", meta.Index, group)
}

// RemoveOldSnapshots deletes the snapshot files of a group but for the latest ones.
func (l *Log) RemoveOldSnapshots(group uint32) error {
	indexes, err := l.snapshotIndexes(group)
	if err != nil {
		return err
	}
	for len(indexes) > keepSnapshots {
		if err := l.fs.Remove(l.snapPath(group, indexes[0])); err != nil {
			return errors.WithStack(err)
		}
		indexes = indexes[1:]
	}
	return nil
}

func (l *Log) snapshotIndexes(group uint32) ([]uint64, error) {
	names, err := list(filepath.Join(l.dir, snapDir), snapSuffix)
	if err != nil {
		return nil, err
	}
	var out []uint64
	for _, n := range names {
		var g uint32
		var index uint64
		if _, err := fmt.Sscanf(n, "%08x-%016x"+snapSuffix, &g, &index); err == nil && g == group {
			out = append(out, index)
		}
	}
	return out, nil
}

// LoadSnapshot reads and checks a stored snapshot.
func (l *Log) LoadSnapshot(group uint32, index uint64) (raft.SnapshotMeta, []byte, error) {
	path := l.snapPath(group, index)
	data, err := os.ReadFile(path)
	if err != nil {
		return raft.SnapshotMeta{}, nil, errors.Wrap(err, "read snapshot; discard the data directory")
	}
	payload, rest, err := nextRecord(data)
	if err != nil {
		return raft.SnapshotMeta{}, nil, damaged(path, err)
	}
	var h snapshotHeader
	if err := raft.Decode(payload, &h); err != nil {
		return raft.SnapshotMeta{}, nil, damaged(path, err)
	}
	if h.Size != uint64(len(rest)) || h.CRC != crc32.Checksum(rest, castagnoli) {
		return raft.SnapshotMeta{}, nil, damaged(path, errBadRecord)
	}
	return h.Meta, rest, nil
}

func damaged(path string, err error) error {
	return errors.Wrapf(err, "%s is damaged; discard the data directory so that the member joins again", path)
}

// ReadSnapshot returns up to max bytes of a stored snapshot's data from an offset, and
// whether they end it.
func (l *Log) ReadSnapshot(group uint32, index, offset uint64, max int) (data []byte, last bool, err error) {
	f, err := os.Open(l.snapPath(group, index))
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	defer f.Close()
	var head [recordHeaderBytes]byte
	if _, err := io.ReadFull(f, head[:]); err != nil {
		return nil, false, errors.WithStack(err)
	}
	start := recordHeaderBytes + int64(binary.BigEndian.Uint32(head[:]))
	buf := make([]byte, max)
	n, err := f.ReadAt(buf, start+int64(offset))
	if err != nil && err != io.EOF {
		return nil, false, errors.WithStack(err)
	}
	info, err := f.Stat()
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	return buf[:n], start+int64(offset)+int64(n) >= info.Size(), nil
}
