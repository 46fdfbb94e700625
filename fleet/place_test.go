package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// storeView returns a view of stores with equal disks, spread over zones in turn.
func storeView(stores, zones int) *StoreView {
	v := &StoreView{Copies: 3}
	for i := range stores {
		v.Stores = append(v.Stores, Store{Name: fmt.Sprintf("store-%d", i), Zone: fmt.Sprintf("z%d", i%zones), DiskMB: 260, Writable: true})
	}
	return v
}

const placedBodies = 20000

// holders returns the names of the stores that hold a body.
func holders(body int, v *StoreView) map[string]bool {
	out := map[string]bool{}
	for _, s := range PlaceBody(BodyKey("org", fmt.Sprintf("attempt-%d", body)), v)[:v.Copies] {
		out[s.Name] = true
	}
	return out
}

// Guards against copies in the same zone while other zones have room, a retiring store among the first
// places, and gateways and stores that disagree on the order.
func TestPlaceBodyOrder(t *testing.T) {
	g := NewWithT(t)
	v := storeView(8, 4)
	v.Stores[2].Retiring = true
	other := storeView(8, 4)
	other.Stores[2].Retiring = true
	other.Revision = 7
	other.Stores[5].Address, other.Stores[5].Incarnation, other.Stores[5].Writable = "elsewhere", "new", false
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		places := PlaceBody(key, v)
		g.Expect(places).To(HaveLen(8))
		g.Expect(places[7].Name).To(Equal("store-2"))
		zones := map[string]bool{}
		for _, s := range places[:4] {
			zones[s.Zone] = true
		}
		g.Expect(zones).To(HaveLen(4))
		for rank, s := range PlaceBody(key, other) {
			g.Expect(s.Name).To(Equal(places[rank].Name), "address, incarnation and writability do not move bodies")
		}
	}
	g.Expect(Writers(PlaceBody("key", other))).To(HaveLen(6))
}

// Guards against shares that do not follow the disks, which would fill the smaller ones first.
func TestPlaceBodyShares(t *testing.T) {
	g := NewWithT(t)
	v := storeView(6, 6)
	v.Copies = 1
	v.Stores[0].DiskMB *= 3
	counts := map[string]int{}
	for i := range placedBodies {
		for name := range holders(i, v) {
			counts[name]++
		}
	}
	g.Expect(float64(counts["store-0"]) / placedBodies).To(BeNumerically("~", 3.0/8, 0.02))
	for i := 1; i < 6; i++ {
		g.Expect(float64(counts[v.Stores[i].Name]) / placedBodies).To(BeNumerically("~", 1.0/8, 0.02))
	}
}

// Guards against moves beyond the least possible number when one of six stores leaves or, seen the other
// way, is added: only the copies on that store move.
func TestPlaceBodyMoves(t *testing.T) {
	for _, zones := range []int{1, 3, 6} {
		g := NewWithT(t)
		before, after := storeView(6, zones), storeView(6, zones)
		after.Stores = after.Stores[:5]
		moved, lost := 0, 0
		for i := range placedBodies {
			old, now := holders(i, before), holders(i, after)
			if old["store-5"] {
				lost++
			}
			for name := range now {
				if !old[name] {
					moved++
				}
			}
		}
		g.Expect(lost).To(BeNumerically("~", placedBodies/2, placedBodies/50), "half of the bodies have one of three copies on one of six stores")
		g.Expect(moved).To(Equal(lost), "with %d zones, each lost copy moves once and nothing else does", zones)
	}
}
