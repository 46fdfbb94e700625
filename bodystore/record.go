package bodystore

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// recordHeaderBytes is the size of a record header: the CRC-32C of the rest of the record (4 bytes)
	// and the length of the payload (4 bytes), both big-endian.
	recordHeaderBytes = 8
	// fixedBytes is the size of the fields before the key in a payload: time of storage and retention
	// in ms (8 bytes each), length of the key (2), of the input (4) and of the output (4).
	fixedBytes      = 26
	maxKeyBytes     = 4096
	maxBodyBytes    = 8 << 20 // input and output; a request has at most 4 MB, a kept stream 1 MB
	maxPayloadBytes = fixedBytes + maxKeyBytes + maxBodyBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBadRecord is the cause of errors about a record that is incomplete or has a wrong checksum.
var errBadRecord = errors.New("bad record")

// record is the content of a record. A record without a key is padding.
type record struct {
	key           string
	storedAt      time.Time
	retention     time.Duration
	input, output []byte
}

func recordBytes(key string, inputBytes, outputBytes int) int64 {
	return int64(recordHeaderBytes + fixedBytes + len(key) + inputBytes + outputBytes)
}

func (r *record) bytes() int64 { return recordBytes(r.key, len(r.input), len(r.output)) }

// checksum identifies the content of the body.
func (r *record) checksum() uint64 {
	d := xxhash.New()
	_, _ = d.Write(r.input) // writes to a hash do not fail
	_, _ = d.Write(r.output)
	return d.Sum64()
}

// writeTo writes the record. The input and the output are not copied.
func (r *record) writeTo(w io.Writer) error {
	head := make([]byte, recordHeaderBytes, recordHeaderBytes+fixedBytes+len(r.key))
	binary.BigEndian.PutUint32(head[4:], uint32(r.bytes()-recordHeaderBytes))
	head = binary.BigEndian.AppendUint64(head, uint64(r.storedAt.UnixMilli()))
	head = binary.BigEndian.AppendUint64(head, uint64(r.retention.Milliseconds()))
	head = binary.BigEndian.AppendUint16(head, uint16(len(r.key)))
	head = binary.BigEndian.AppendUint32(head, uint32(len(r.input)))
	head = binary.BigEndian.AppendUint32(head, uint32(len(r.output)))
	head = append(head, r.key...)
	sum := crc32.Checksum(head[4:], castagnoli)
	sum = crc32.Update(sum, castagnoli, r.input)
	sum = crc32.Update(sum, castagnoli, r.output)
	binary.BigEndian.PutUint32(head, sum)
	for _, part := range [][]byte{head, r.input, r.output} {
		if _, err := w.Write(part); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// parseRecord decodes a record that fills data. The result refers to data.
func parseRecord(data []byte) (*record, error) {
	if len(data) < recordHeaderBytes+fixedBytes || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) {
		return nil, errors.Wrap(errBadRecord, "checksum mismatch")
	}
	payload := data[recordHeaderBytes:]
	keyLen, inputLen, outputLen := lengths(payload)
	if int64(len(payload)) != fixedBytes+keyLen+inputLen+outputLen {
		return nil, errors.Wrap(errBadRecord, "lengths do not add up")
	}
	rest := payload[fixedBytes:]
	return &record{
		key:       string(rest[:keyLen]),
		storedAt:  time.UnixMilli(int64(binary.BigEndian.Uint64(payload))),
		retention: time.Duration(binary.BigEndian.Uint64(payload[8:])) * time.Millisecond,
		input:     rest[keyLen : keyLen+inputLen : keyLen+inputLen],
		output:    rest[keyLen+inputLen:],
	}, nil
}

// lengths returns the lengths of the key, the input and the output from the fixed part of a payload.
func lengths(payload []byte) (key, input, output int64) {
	return int64(binary.BigEndian.Uint16(payload[16:])), int64(binary.BigEndian.Uint32(payload[18:])),
		int64(binary.BigEndian.Uint32(payload[22:]))
}

// scanRecords reads records up to the first one that is incomplete or has a wrong checksum, and returns
// the number of bytes before it. It returns an error if r cannot be read. The records passed to found
// are valid until found returns.
func scanRecords(r io.Reader, found func(offset int64, rec *record)) (int64, error) {
	in := bufio.NewReaderSize(r, 256<<10)
	var buf []byte
	var offset int64
	for {
		var header [recordHeaderBytes]byte
		if _, err := io.ReadFull(in, header[:]); err != nil {
			return offset, unlessEOF(err)
		}
		n := int64(binary.BigEndian.Uint32(header[4:]))
		if n < fixedBytes || n > maxPayloadBytes {
			return offset, nil
		}
		if int64(cap(buf)) < recordHeaderBytes+n {
			buf = make([]byte, recordHeaderBytes+n)
		}
		buf = buf[:recordHeaderBytes+n]
		copy(buf, header[:])
		if _, err := io.ReadFull(in, buf[recordHeaderBytes:]); err != nil {
			return offset, unlessEOF(err)
		}
		rec, err := parseRecord(buf)
		if err != nil {
			return offset, nil
		}
		if rec.key != "" {
			found(offset, rec)
		}
		offset += recordHeaderBytes + n
	}
}

func unlessEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.WithStack(err)
}
