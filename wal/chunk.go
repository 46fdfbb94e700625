package wal

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/snapshot"
)

const chunkSuffix = ".chunk"

// chunkRef refers to a chunk file from a snapshot header.
type chunkRef struct {
	Key  string
	Size uint64
}

// chunkHeader is the record at the beginning of a chunk file. The data follows it.
type chunkHeader struct {
	Version uint32
	Size    uint64
	CRC     uint32
}

func chunkFileName(group uint32, key string) string {
	return fmt.Sprintf("%08x-%s%s", group, key, chunkSuffix)
}

func (l *Log) chunkPath(group uint32, key string) string {
	return filepath.Join(l.dir, snapshotDir, chunkFileName(group, key))
}

// saveChunk writes a chunk file unless it exists. An existing file can be relied on: it gets
// its final name only after its content has been synced, and storing the snapshot that refers
// to it syncs the directory again.
func (l *Log) saveChunk(group uint32, c snapshot.Chunk) error {
	if l.hasChunk(group, c.Key) {
		return nil
	}
	h := chunkHeader{Version: formatVersion, Size: uint64(c.Size)}
	for _, p := range c.Parts {
		h.CRC = crc32.Update(h.CRC, castagnoli, p)
	}
	header, err := appendRecord(nil, h)
	if err != nil {
		return err
	}
	return writeFileAtomically(l.fs, l.chunkPath(group, c.Key), append([][]byte{header}, c.Parts...)...)
}

func (l *Log) hasChunk(group uint32, key string) bool {
	_, err := os.Stat(l.chunkPath(group, key))
	return err == nil
}

// removeOldChunks deletes the chunks of a group that none of the snapshots at the given
// indexes refers to.
func (l *Log) removeOldChunks(group uint32, indexes []uint64) error {
	referenced := map[string]bool{}
	for _, index := range indexes {
		h, err := readSnapshotHeader(l.snapshotPath(group, index))
		if err != nil {
			return err
		}
		for _, c := range h.Chunks {
			referenced[chunkFileName(group, c.Key)] = true
		}
	}
	names, err := listFiles(filepath.Join(l.dir, snapshotDir), chunkSuffix)
	if err != nil {
		return err
	}
	prefix := chunkFileName(group, "")
	prefix = prefix[:len(prefix)-len(chunkSuffix)]
	for _, n := range names {
		if referenced[n] || !strings.HasPrefix(n, prefix) {
			continue
		}
		if err := l.fs.Remove(filepath.Join(l.dir, snapshotDir, n)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// appendChunkData reads a chunk file, verifies its size and checksum and appends its content
// to data.
func (l *Log) appendChunkData(data []byte, group uint32, c chunkRef) ([]byte, error) {
	path := l.chunkPath(group, c.Key)
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a chunk of a snapshot; discard the data directory")
	}
	var h chunkHeader
	chunk, err := decodeFile(file, &h, func() (uint64, uint32) { return h.Size, h.CRC })
	if err == nil && h.Size != c.Size {
		err = errBadRecord
	}
	if err != nil {
		return nil, damagedError(path, err)
	}
	return append(data, chunk...), nil
}
