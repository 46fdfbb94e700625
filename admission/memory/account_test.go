package memory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// open returns a holder of n bytes that records its eviction.
func open(a *Account, began time.Duration, c Class, n int64, evicted *[]string, name string) *Holder {
	h := a.Open(began, c, func() { *evicted = append(*evicted, name) })
	h.Grow(began, n)
	return h
}

// Guards against ordinary requests that pay for unruly ones: a crowd of bodies that stop keeps the account
// full, and a new request must get what it needs from the one that has held the most for the longest.
func TestTheLargestHolderPays(t *testing.T) {
	g := NewWithT(t)
	var evicted []string
	a := New(100)
	big := open(a, 0, Fresh, 60, &evicted, "big")
	open(a, 0, Fresh, 30, &evicted, "small")
	h := a.Open(time.Second, Fresh, func() {})
	g.Expect(h.Grow(time.Second, 10)).To(Equal(Granted), "it fits")
	g.Expect(h.Grow(time.Second, 30)).To(Equal(Wait), "the evicted holder still has its memory")
	g.Expect(evicted).To(Equal([]string{"big"}))
	g.Expect(big.Evicted()).To(BeTrue())
	big.Close()
	big.Close()
	g.Expect(h.Grow(time.Second, 30)).To(Equal(Granted))
	g.Expect(a.Stats()).To(Equal(Stats{Limit: 100, Used: 70, Evicted: 1}))
}

// Guards against evictions in favour of a request that is itself the largest.
func TestTheLargestHolderIsRefused(t *testing.T) {
	g := NewWithT(t)
	var evicted []string
	a := New(100)
	open(a, time.Second, Fresh, 20, &evicted, "small")
	big := open(a, 0, Fresh, 80, &evicted, "big")
	g.Expect(big.Grow(2*time.Second, 10)).To(Equal(Refused))
	g.Expect(evicted).To(BeEmpty())
	g.Expect(a.Stats().Refused).To(Equal(int64(1)))
}

// Guards against the eviction of requests that may run already, and against classes without effect.
func TestWhoMayBeEvicted(t *testing.T) {
	g := NewWithT(t)
	var evicted []string
	a := New(100)
	settled := open(a, 0, Unknown, 50, &evicted, "settled")
	g.Expect(settled.Settle()).To(BeTrue())
	open(a, time.Second, Begun, 25, &evicted, "begun")
	open(a, time.Second, Unknown, 20, &evicted, "unknown")
	h := a.Open(2*time.Second, Fresh, func() {})
	g.Expect(h.Grow(2*time.Second, 10)).To(Equal(Granted))
	g.Expect(evicted).To(Equal([]string{"unknown"}))
}

// Guards against processes without a limit that fail.
func TestNoAccount(t *testing.T) {
	g := NewWithT(t)
	var a *Account
	h := a.Open(0, Fresh, nil)
	g.Expect(h.Grow(0, 1<<40)).To(Equal(Granted))
	g.Expect(h.Settle()).To(BeTrue())
	h.Shrink(1)
	h.Close()
}
