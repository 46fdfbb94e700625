package fleet

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlaceBody returns the stores of a view in the order in which they are to hold a body; the first
// view.Copies of them hold it. The result is deterministic. Stores that are not writable keep their
// rank, because they may hold the body already; a writer passes over them. Retiring stores come last:
// they are only read from.
//
// The order is that of weighted rendezvous hashing, in which a change of one store moves only the
// bodies that this store gains or loses, and shares are proportional to the size of the disks. Of
// stores in the same zone, all but the first follow the first stores of the other zones, and so on.
func PlaceBody(key string, view *StoreView) []Store {
	ranked := make([]rankedStore, len(view.Stores))
	h := xxhash.Sum64String(key)
	for i := range view.Stores {
		ranked[i] = rankedStore{store: &view.Stores[i], cost: placementCost(h, &view.Stores[i])}
	}
	slices.SortFunc(ranked, func(a, b rankedStore) int { return a.compare(&b) })
	spreadZones(ranked)
	slices.SortStableFunc(ranked, func(a, b rankedStore) int { return a.round - b.round })
	out := make([]Store, len(ranked))
	for i := range ranked {
		out[i] = *ranked[i].store
	}
	return out
}

// retiringRound is higher than the round of any store that is not retiring.
const retiringRound = math.MaxInt32

type rankedStore struct {
	store *Store
	cost  float64
	round int // number of better stores in the same zone
}

func (r *rankedStore) compare(other *rankedStore) int {
	switch {
	case r.cost < other.cost:
		return -1
	case r.cost > other.cost:
		return 1
	case r.store.Name < other.store.Name:
		return -1
	case r.store.Name > other.store.Name:
		return 1
	}
	return 0
}

// spreadZones sets the round of each store from the order of costs.
func spreadZones(ranked []rankedStore) {
	for i := range ranked {
		if ranked[i].store.Retiring {
			ranked[i].round = retiringRound
			continue
		}
		for j := range i {
			if !ranked[j].store.Retiring && ranked[j].store.Zone == ranked[i].store.Zone {
				ranked[i].round++
			}
		}
	}
}

// placementCost returns an exponentially distributed cost with the disk size as its rate: the store
// with the lowest cost is a given one with a probability proportional to its disk size.
func placementCost(key uint64, s *Store) float64 {
	h := mix64(key ^ xxhash.Sum64String(s.Name))
	u := (float64(h>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -math.Log(u) / float64(max(s.DiskMB, 1))
}

// mix64 is the finalizer of splitmix64. Without it the costs of one store for keys whose hashes
// differ in few bits would be correlated.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Find returns the store with a name, or nil.
func (v *StoreView) Find(name string) *Store {
	if v == nil {
		return nil
	}
	for i := range v.Stores {
		if v.Stores[i].Name == name {
			return &v.Stores[i]
		}
	}
	return nil
}

// Writers returns the stores of a placement that take a body now, in order.
func Writers(places []Store) []Store {
	out := make([]Store, 0, len(places))
	for _, s := range places {
		if s.Writable && !s.Retiring {
			out = append(out, s)
		}
	}
	return out
}

// Digest identifies the content of the view, whatever its revision.
func (v *StoreView) Digest() uint64 {
	d := xxhash.New()
	writeNumbers(d, uint64(v.Copies))
	for i := range v.Stores {
		s := &v.Stores[i]
		for _, text := range []string{s.Name, s.Address, s.Zone, s.Incarnation} {
			writeNumbers(d, uint64(len(text)))
			_, _ = d.WriteString(text)
		}
		writeNumbers(d, uint64(s.DiskMB), flag(s.Writable), flag(s.Retiring))
	}
	return d.Sum64()
}

func writeNumbers(d *xxhash.Digest, numbers ...uint64) {
	var buf []byte
	for _, n := range numbers {
		buf = binary.BigEndian.AppendUint64(buf, n)
	}
	_, _ = d.Write(buf)
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
