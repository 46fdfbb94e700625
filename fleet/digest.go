package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestStrings returns a digest of strings in their order. It is never 0, also for no strings.
func DigestStrings(values []string) uint64 {
	h := xxhash.New()
	for _, s := range values {
		_, _ = h.WriteString(s) // writes to a hash do not fail
		_, _ = h.Write([]byte{0})
	}
	return nonZero(h.Sum64())
}

// DigestNumbers returns a digest of numbers in their order, 0 if there are none.
func DigestNumbers(numbers []uint64) uint64 {
	if len(numbers) == 0 {
		return 0
	}
	h := xxhash.New()
	var b [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:]) // writes to a hash do not fail
	}
	return nonZero(h.Sum64())
}

// nonZero replaces 0 by 1, as 0 is the digest of a host that holds nothing yet.
func nonZero(digest uint64) uint64 { return max(digest, 1) }
