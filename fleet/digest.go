package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestStrings returns a digest of texts in their order, which is not 0.
func DigestStrings(texts []string) uint64 {
	h := xxhash.New()
	for _, s := range texts {
		_, _ = h.WriteString(s) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	return nonZero(h.Sum64())
}

// DigestNumbers returns a digest of numbers in their order; 0: there are none.
func DigestNumbers(numbers []uint64) uint64 {
	if len(numbers) == 0 {
		return 0
	}
	h := xxhash.New()
	var b [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:]) // a hash does not fail
	}
	return nonZero(h.Sum64())
}

// nonZero keeps 0 free for hosts that have nothing.
func nonZero(digest uint64) uint64 { return max(digest, 1) }
