package ledgersm

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/snapshot"
)

// blockBytes is the size from which a block takes no more turns. It is small compared to the
// disk, because one unexpired turn keeps its whole block, and large enough to be worth a chunk
// file of its own.
const blockBytes = 1 << 20

// block holds consecutive turns, each as the encoded Settle command that ended it. A full block
// does not change any more, so all snapshots share it as one chunk until the last of its turns
// expires. The blocks are identical on all members.
type block struct {
	commands  [][]byte
	size      int // of the commands, in bytes
	liveTurns int // turns that have not expired
	chunk     snapshot.Chunk
}

// add appends a command and returns its position.
func (b *block) add(cmd []byte) (offset int) {
	offset = b.size
	b.commands = append(b.commands, cmd)
	b.size += len(cmd)
	b.liveTurns++
	return offset
}

// asChunk returns a full block as a chunk of a snapshot. The chunk is computed once.
func (b *block) asChunk() snapshot.Chunk {
	if b.chunk.Key == "" {
		b.chunk = snapshot.NewChunk(b.commands)
	}
	return b.chunk
}

// appendToBlock appends a command to the last block, or to a new one if that is full, and returns
// the block's id and the command's offset in it.
func (m *Machine) appendToBlock(cmd []byte) (id uint64, offset int) {
	b := m.blocks[m.lastBlock]
	if b == nil || b.size >= blockBytes {
		m.lastBlock++
		b = &block{}
		m.blocks[m.lastBlock] = b
	}
	m.storedBytes += int64(len(cmd))
	return m.lastBlock, b.add(cmd)
}

// releaseTurn records that a turn of a block has expired, and removes the block with its last turn.
func (m *Machine) releaseTurn(id uint64) {
	b := m.blocks[id]
	b.liveTurns--
	if b.liveTurns == 0 {
		m.storedBytes -= int64(b.size)
		delete(m.blocks, id)
	}
}

// index is the part of a snapshot that is encoded anew each time. An encoded state consists of the
// length of the index, the index, the commands of the last block and then the other blocks, which
// are the chunks of the snapshot, in the order of their ids.
type index struct {
	Programs      map[string]*program  `msgpack:"p"`
	Turns         map[string]*turn     `msgpack:"t"`
	Streams       map[string]*stream   `msgpack:"e,omitempty"`
	Logs          map[string]*eventLog `msgpack:"g,omitempty"`
	Blocks        []blockEntry         `msgpack:"b"` // all blocks but the last
	LastBlock     uint64               `msgpack:"l"`
	LastBlockSize int                  `msgpack:"z"`
	LastSweep     time.Duration        `msgpack:"s"`
}

// blockEntry describes a full block in the index.
type blockEntry struct {
	ID   uint64 `msgpack:"i"`
	Size int    `msgpack:"z"`
}

// indexLengthBytes is the size of the length field that precedes the index.
const indexLengthBytes = 8

// ChunkedSnapshot returns the encoded state, with each full block as a chunk.
func (m *Machine) ChunkedSnapshot() (snapshot.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	idx := index{Programs: m.programs, Turns: m.turns, Streams: m.streams, Logs: m.logs, LastBlock: m.lastBlock, LastSweep: m.lastSweep}
	out := snapshot.Snapshot{}
	var open [][]byte
	for _, id := range m.blockIDs() {
		b := m.blocks[id]
		if id == m.lastBlock {
			idx.LastBlockSize, open = b.size, b.commands
			continue
		}
		idx.Blocks = append(idx.Blocks, blockEntry{ID: id, Size: b.size})
		out.Chunks = append(out.Chunks, b.asChunk())
	}
	encoded, err := msgpack.Marshal(&idx)
	if err != nil {
		return snapshot.Snapshot{}, errors.Wrap(err, "encode the ledger")
	}
	out.Head = make([]byte, 0, indexLengthBytes+len(encoded)+idx.LastBlockSize)
	out.Head = binary.BigEndian.AppendUint64(out.Head, uint64(len(encoded)))
	out.Head = append(out.Head, encoded...)
	for _, cmd := range open {
		out.Head = append(out.Head, cmd...)
	}
	return out, nil
}

// blockIDs returns the ids of all blocks in ascending order.
func (m *Machine) blockIDs() []uint64 {
	ids := make([]uint64, 0, len(m.blocks))
	for id := range m.blocks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Snapshot returns the encoded state as one slice.
func (m *Machine) Snapshot() ([]byte, error) {
	s, err := m.ChunkedSnapshot()
	return s.Bytes(), err
}

// SplitSnapshot splits an encoded state into the same head and chunks that ChunkedSnapshot
// returned. It does not access the machine's state, so it may be called at any time.
func (m *Machine) SplitSnapshot(encoded []byte) (snapshot.Snapshot, error) {
	idx, rest, err := decodeIndex(encoded)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	head := len(encoded) - len(rest) + idx.LastBlockSize
	s := snapshot.Snapshot{Head: encoded[:head]}
	rest = rest[idx.LastBlockSize:]
	for _, b := range idx.Blocks {
		s.Chunks = append(s.Chunks, snapshot.NewChunk([][]byte{rest[:b.Size]}))
		rest = rest[b.Size:]
	}
	return s, nil
}

// decodeIndex decodes the index of an encoded state and returns the bytes of the blocks that
// follow it.
func decodeIndex(encoded []byte) (idx *index, blocks []byte, err error) {
	if len(encoded) < indexLengthBytes {
		return nil, nil, errors.New("decode the ledger: no index")
	}
	n := binary.BigEndian.Uint64(encoded)
	rest := encoded[indexLengthBytes:]
	if n > uint64(len(rest)) {
		return nil, nil, errors.New("decode the ledger: the index is cut off")
	}
	idx = &index{}
	if err := msgpack.Unmarshal(rest[:n], idx); err != nil {
		return nil, nil, errors.Wrap(err, "decode the ledger")
	}
	rest = rest[n:]
	want := idx.LastBlockSize
	for _, b := range idx.Blocks {
		want += b.Size
	}
	if want != len(rest) {
		return nil, nil, errors.Errorf("decode the ledger: %d bytes of blocks instead of %d", len(rest), want)
	}
	return idx, rest, nil
}

// Restore replaces the state by an encoded one. The machine keeps references to the encoded bytes.
func (m *Machine) Restore(encoded []byte) error {
	idx, rest, err := decodeIndex(encoded)
	if err != nil {
		return err
	}
	restored := New()
	restored.lastBlock, restored.lastSweep = idx.LastBlock, idx.LastSweep
	for _, b := range append([]blockEntry{{ID: idx.LastBlock, Size: idx.LastBlockSize}}, idx.Blocks...) {
		if b.Size > 0 {
			restored.blocks[b.ID] = &block{commands: [][]byte{rest[:b.Size:b.Size]}, size: b.Size}
			restored.storedBytes += int64(b.Size)
		}
		rest = rest[b.Size:]
	}
	for k, p := range idx.Programs {
		if p.Reservations == nil {
			p.Reservations = map[string]int64{}
		}
		restored.programs[k] = p
	}
	if idx.Streams != nil {
		restored.streams = idx.Streams
	}
	restored.restoreLogs(idx.Logs)
	for k, t := range idx.Turns {
		if err := restored.locateCommand(t); err != nil {
			return err
		}
		restored.turns[k] = t
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.programs, m.turns, m.streams, m.blocks = restored.programs, restored.turns, restored.streams, restored.blocks
	m.logs, m.logBytes = restored.logs, restored.logBytes
	m.lastBlock, m.storedBytes, m.lastSweep = restored.lastBlock, restored.storedBytes, restored.lastSweep
	return nil
}

// locateCommand sets the command of a restored turn from its block and counts the turn there.
func (m *Machine) locateCommand(t *turn) error {
	b := m.blocks[t.Block]
	if b == nil || t.Offset < 0 || t.Size < 0 || t.Offset+t.Size > b.size {
		return errors.Errorf("decode the ledger: a turn outside of block %d", t.Block)
	}
	t.command = b.commands[0][t.Offset : t.Offset+t.Size]
	b.liveTurns++
	return nil
}
