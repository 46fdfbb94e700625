// Package indexheap is a heap whose elements know their index, so that any of them can be moved
// or removed with the functions of container/heap.
package indexheap

import "container/heap"

// Outside is the index of an element that is in no heap.
const Outside = -1

// Item is an element of a Heap, usually a pointer.
type Item[T any] interface {
	// Before reports whether the element comes first.
	Before(other T) bool
	// HeapIndex returns where the element keeps its index.
	HeapIndex() *int
}

// Heap holds elements in the order of Before. The zero value is empty.
type Heap[T Item[T]] []T

var _ heap.Interface = (*Heap[none])(nil)

type none struct{}

func (none) Before(none) bool { return false }
func (none) HeapIndex() *int  { return new(int) }

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
	old[last] = zero // lets the element be collected
	*h = old[:last]
	*e.HeapIndex() = Outside
	return e
}
