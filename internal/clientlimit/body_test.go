package clientlimit

import (
	"bytes"
	"io"
	"math/rand"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// Guards against bodies that change when they are read in pieces, at the sizes where the way of reading
// changes, with and without a known size.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, smallBodyBytes - 1, smallBodyBytes, smallBodyBytes + 1,
		smallBodyBytes + pieceBytes, smallBodyBytes + 3*pieceBytes + 7} {
		g := NewWithT(t)
		text := make([]byte, size)
		_, _ = rand.New(rand.NewSource(int64(size))).Read(text)
		for _, limit := range []int{size, size + 1, 4 << 20} {
			for _, r := range []io.Reader{bytes.NewReader(text), iotest.HalfReader(bytes.NewReader(text)), iotest.DataErrReader(bytes.NewReader(text))} {
				got, err := ReadBody(r, int64(limit))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(got, text)).To(BeTrue(), "%d bytes of at most %d", size, limit)
			}
		}
		_, err := ReadBody(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), int64(size+1))
		g.Expect(err).To(Equal(io.ErrUnexpectedEOF))
	}
}
