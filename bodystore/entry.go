package bodystore

import (
	"os"
	"time"
)

// segment is a file of records.
type segment struct {
	seq  uint64
	path string
	file *os.File // for reading
	size int64    // bytes on disk
	live int64    // bytes of records that the index refers to
	// sealed is set if nothing more is appended to the file.
	sealed bool
}

// entry is a body in the index. It is guarded by Store.mu.
type entry struct {
	key                     string
	seg                     *segment
	offset                  int64
	inputBytes, outputBytes int
	checksum                uint64

	retention time.Duration
	// keepUntil is the time before which the body is kept without asking the ledger.
	keepUntil time.Duration
	heapIndex int
	removed   bool
	copies    copyState
}

// Before orders entries by the time at which they may be removed.
func (e *entry) Before(other *entry) bool { return e.keepUntil < other.keepUntil }

// HeapIndex implements indexheap.Item.
func (e *entry) HeapIndex() *int { return &e.heapIndex }

func (e *entry) bytes() int64 { return recordBytes(e.key, e.inputBytes, e.outputBytes) }
