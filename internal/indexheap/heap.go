// Package indexheap implements a heap whose elements store their own index, so that any of them
// can be reordered or removed with heap.Fix and heap.Remove of package container/heap.
package indexheap

import "container/heap"

// NotInHeap is the index of an element that is not in a heap.
const NotInHeap = -1

// Item is an element of a Heap, usually a pointer.
type Item[T any] interface {
	// Before reports whether the element is ordered before other.
	Before(other T) bool
	// HeapIndex returns a pointer to the field that stores the element's index.
	HeapIndex() *int
}

// Heap is a heap ordered by Before, for use with package container/heap. The zero value is an
// empty heap.
type Heap[T Item[T]] []T

var _ heap.Interface = (*Heap[elementCheck])(nil)

// elementCheck is an element type for the compile-time check that Heap implements
// heap.Interface.
type elementCheck struct{}

func (elementCheck) Before(elementCheck) bool { return false }
func (elementCheck) HeapIndex() *int          { return new(int) }

// Len implements heap.Interface.
func (h Heap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[T]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].HeapIndex(), *h[j].HeapIndex() = i, j
}

// Push implements heap.Interface.
func (h *Heap[T]) Push(x any) {
	e := x.(T)
	*e.HeapIndex() = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *Heap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	var zero T
	old[last] = zero // allows the element to be garbage-collected
	*h = old[:last]
	*e.HeapIndex() = NotInHeap
	return e
}
