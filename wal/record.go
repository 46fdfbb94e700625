package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

const (
	// recordHeaderBytes is the size of a record header: the length of the payload (4 bytes)
	// and its CRC-32C (4 bytes), both big-endian.
	recordHeaderBytes = 8
	maxRecordBytes    = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one record of the log. It holds changes to the state of one group; a nil field
// leaves its part of the state unchanged. An entry replaces an earlier one with the same index and everything after
// it.
type Record struct {
	Group uint32
	Hard  *raft.HardState
	// Snapshot is the position of a snapshot that has been stored. Entries up to its index
	// are no longer needed. If the log does not hold an entry with its index and term, the
	// later entries are invalid too.
	Snapshot *SnapshotPosition
	Entries  []raft.Entry
}

// SnapshotPosition is the position of a stored snapshot in a group's log: the index and the term of
// the last entry that the snapshot covers.
type SnapshotPosition struct {
	Index uint64
	Term  uint64
}

// segmentHeader is the first record of a segment. It repeats the hard state and the snapshot
// position of all groups, so that earlier segments can be removed.
type segmentHeader struct {
	Version uint32
	Seq     uint64
	Groups  []Record
}

const formatVersion = 1

// appendRecord encodes v as a record and appends it to buf.
func appendRecord(buf []byte, v any) ([]byte, error) {
	payload, err := raft.Encode(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(payload), maxRecordBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return append(buf, payload...), nil
}

// errBadRecord is the cause of errors about a record or a file that is incomplete or whose size
// or checksum is wrong.
var errBadRecord = errors.New("bad record")

// nextRecord verifies the first record in data and returns its payload and the bytes after it.
func nextRecord(data []byte) (payload, rest []byte, err error) {
	if len(data) < recordHeaderBytes {
		return nil, nil, errors.Wrap(errBadRecord, "incomplete record header")
	}
	n := binary.BigEndian.Uint32(data)
	sum := binary.BigEndian.Uint32(data[4:])
	if n == 0 {
		// Eight zero bytes, as an unsynced write may leave them, have a valid checksum. No record is empty.
		return nil, nil, errors.Wrap(errBadRecord, "empty record")
	}
	data = data[recordHeaderBytes:]
	if uint64(n) > uint64(len(data)) {
		return nil, nil, errors.Wrap(errBadRecord, "incomplete record payload")
	}
	if crc32.Checksum(data[:n], castagnoli) != sum {
		return nil, nil, errors.Wrap(errBadRecord, "checksum mismatch")
	}
	return data[:n], data[n:], nil
}
