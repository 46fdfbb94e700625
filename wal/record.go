package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

const (
	// recordHeaderBytes is the length (4 bytes) and the CRC-32C (4 bytes) of the payload.
	recordHeaderBytes = 8
	maxRecordBytes    = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one append for one group. Parts that are nil are unchanged. An entry replaces
// an earlier one with the same index and everything after that.
type Record struct {
	Group uint32
	Hard  *raft.HardState
	// Snapshot marks that a snapshot is stored: entries up to it are not needed. If the
	// log does not hold the entry at its index with its term, later ones are void too.
	Snapshot *Mark
	Entries  []raft.Entry
}

// Mark is the position of a stored snapshot.
type Mark struct {
	Index uint64
	Term  uint64
}

// segmentHeader is the first record of a segment. It repeats the state of all groups, so
// that earlier segments can be removed.
type segmentHeader struct {
	Version uint32
	Seq     uint64
	Groups  []Record
}

const formatVersion = 1

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

var errBadRecord = errors.New("bad record")

// nextRecord returns the payload of the first record and the bytes after it.
func nextRecord(data []byte) (payload, rest []byte, err error) {
	if len(data) < recordHeaderBytes {
		return nil, nil, errors.Wrap(errBadRecord, "incomplete header")
	}
	n := binary.BigEndian.Uint32(data)
	sum := binary.BigEndian.Uint32(data[4:])
	data = data[recordHeaderBytes:]
	if uint64(n) > uint64(len(data)) {
		return nil, nil, errors.Wrap(errBadRecord, "incomplete payload")
	}
	if crc32.Checksum(data[:n], castagnoli) != sum {
		return nil, nil, errors.Wrap(errBadRecord, "checksum differs")
	}
	return data[:n], data[n:], nil
}
