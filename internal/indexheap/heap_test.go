package indexheap

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

type item struct{ key, index int }

func (i *item) Before(o *item) bool { return i.key < o.key }
func (i *item) HeapIndex() *int     { return &i.index }

// Guards against a stored index that is not updated when other elements move: heap.Remove and
// heap.Fix would then act on the wrong element.
func TestElementIndexesFollowMoves(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var h Heap[*item]
	inHeap := map[*item]bool{}
	for range 2000 {
		switch {
		case len(inHeap) == 0 || rng.IntN(3) > 0:
			e := &item{key: rng.IntN(100), index: NotInHeap}
			heap.Push(&h, e)
			inHeap[e] = true
		case rng.IntN(2) == 0:
			for e := range inHeap {
				heap.Remove(&h, e.index)
				g.Expect(e.index).To(Equal(NotInHeap))
				delete(inHeap, e)
				break
			}
		default:
			e := h[rng.IntN(len(h))]
			e.key = rng.IntN(100)
			heap.Fix(&h, e.index)
		}
		g.Expect(h).To(HaveLen(len(inHeap)))
		for i, e := range h {
			if e.index != i {
				t.Fatalf("element %d has the index %d", i, e.index)
			}
		}
	}
	last := -1
	for len(h) > 0 {
		e := heap.Pop(&h).(*item)
		g.Expect(e.key).To(BeNumerically(">=", last))
		last = e.key
	}
}
