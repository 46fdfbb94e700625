package main

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// view is a list of targets, with what the methods derive from it.
type view struct {
	targets []target
	ids     map[int]bool
	weight  float64 // of all targets
	hashes  []uint64
	ring    []point       // built on first use
	table   []int32       // built on first use
	subsets map[int]*view // by gateway
	// ranked caches the targets of highest weighted rank for a key.
	ranked map[int]int
}

func newView(targets []target) *view {
	v := &view{targets: targets, ids: map[int]bool{}, subsets: map[int]*view{}, ranked: map[int]int{}}
	for _, t := range targets {
		v.ids[t.id] = true
		v.weight += t.weight
		v.hashes = append(v.hashes, xxhash.Sum64String("target-"+strconv.Itoa(t.id)))
	}
	return v
}

// request is a request of a key.
type request struct {
	gateway, key int
	excluded     map[int]bool
	// counts holds the keys at each target, as a central observer would know them, and keys their number.
	// at is the present target of the key; -1: none.
	counts   map[int]int
	keys, at int
	// last is the gateway of the key's last request.
	last int
}

// method chooses the target of a key.
type method struct {
	name  string
	place func(v *view, r *request) int
	// remembers is set if a gateway sends a key where it has sent it before while that target is listed.
	// checked is set if it does so only if it has served the key's last request.
	remembers, checked bool
}

func methods() []method {
	return []method{
		{name: "rendezvous", place: rendezvous},
		{name: "weighted rendezvous", place: weightedRendezvous},
		{name: "bounded loads", place: boundedLoads},
		{name: "table", place: lookUp},
		{name: "subset by gateway", place: subset},
		{name: "weighted rendezvous, memory", place: weightedRendezvous, remembers: true},
		{name: "weighted rendezvous, checked memory", place: weightedRendezvous, remembers: true, checked: true},
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// keyHash returns the hash of a key.
func keyHash(key int) uint64 { return mix(uint64(key)*0x9e3779b97f4a7c15 + 1) }

// rendezvous takes the target of the highest hash, whatever its size.
func rendezvous(v *view, r *request) int {
	best, highest := -1, uint64(0)
	for i, t := range v.targets {
		if x := mix(keyHash(r.key) ^ v.hashes[i]); (best < 0 || x > highest) && !r.excluded[t.id] {
			best, highest = t.id, x
		}
	}
	return best
}

// weightedRendezvous takes the target of the highest hash to the power of the inverse of its size.
func weightedRendezvous(v *view, r *request) int {
	if len(r.excluded) == 0 {
		if best, ok := v.ranked[r.key]; ok {
			return best
		}
	}
	best, lowest := -1, math.Inf(1)
	for i, t := range v.targets {
		x := (float64(mix(keyHash(r.key)^v.hashes[i])>>11) + 1) / (1 << 53)
		if cost := -math.Log(x) / t.weight; cost < lowest && !r.excluded[t.id] {
			best, lowest = t.id, cost
		}
	}
	if len(r.excluded) == 0 {
		v.ranked[r.key] = best
	}
	return best
}

const (
	// pointsPerWeight is the number of points of a target on the ring for each unit of its size.
	pointsPerWeight = 8
	// loadBound is the load that a target takes with bounded loads, as a multiple of its part.
	loadBound = 1.25
)

// point is a point of a target on a ring.
type point struct {
	hash   uint64
	target int // index
}

// boundedLoads takes the first target on a ring from the key's hash on that has less than loadBound of its
// part of all keys. The counts are exact, which gateways could not know.
func boundedLoads(v *view, r *request) int {
	if v.ring == nil {
		for i, t := range v.targets {
			for p := range int(t.weight) * pointsPerWeight {
				v.ring = append(v.ring, point{mix(v.hashes[i] + uint64(p)*0x9e3779b97f4a7c15), i})
			}
		}
		slices.SortFunc(v.ring, func(a, b point) int {
			if a.hash < b.hash {
				return -1
			}
			return 1
		})
	}
	start, _ := slices.BinarySearchFunc(v.ring, keyHash(r.key), func(p point, h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	for i := range v.ring {
		t := v.targets[v.ring[(start+i)%len(v.ring)].target]
		if r.excluded[t.id] {
			continue
		}
		others := r.counts[t.id]
		if t.id == r.at {
			others--
		}
		if float64(others) < math.Ceil(loadBound*float64(r.keys)*t.weight/v.weight) {
			return t.id
		}
	}
	return v.targets[0].id
}

// tableSizes are the prime sizes of a look-up table, of which the first with 100 entries for each target is
// used.
var tableSizes = []int{65537, 655373}

// lookUp takes the entry of the key in a table that targets fill in turn, each in an order of its own.
func lookUp(v *view, r *request) int {
	if v.table == nil {
		v.table = fillTable(v)
	}
	for i := uint64(0); ; i++ {
		h := keyHash(r.key)
		if i > 0 {
			h = mix(h + i)
		}
		if t := v.targets[v.table[h%uint64(len(v.table))]]; !r.excluded[t.id] {
			return t.id
		}
	}
}

func fillTable(v *view) []int32 {
	size := tableSizes[0]
	if 100*len(v.targets) > size {
		size = tableSizes[1]
	}
	table := make([]int32, size)
	for i := range table {
		table[i] = -1
	}
	highest := 0.0
	for _, t := range v.targets {
		highest = max(highest, t.weight)
	}
	next := make([]uint64, len(v.targets))
	due := make([]float64, len(v.targets))
	for filled := 0; ; {
		for i, t := range v.targets {
			due[i] += t.weight / highest
			if due[i] < 1 {
				continue
			}
			due[i]--
			offset, skip := v.hashes[i]%uint64(size), mix(v.hashes[i])%uint64(size-1)+1
			for {
				slot := (offset + next[i]*skip) % uint64(size)
				next[i]++
				if table[slot] < 0 {
					table[slot] = int32(i)
					break
				}
			}
			if filled++; filled == size {
				return table
			}
		}
	}
}

// subsetSize is the number of targets that a gateway uses.
const subsetSize = 16

// subset takes the first of the targets that the gateway uses, which rank highest for it.
func subset(v *view, r *request) int {
	s := v.subsets[r.gateway]
	if s == nil {
		type ranked struct {
			t    target
			rank uint64
		}
		var all []ranked
		for i, t := range v.targets {
			all = append(all, ranked{t, mix(xxhash.Sum64String(fmt.Sprint("gateway-", r.gateway)) ^ v.hashes[i])})
		}
		slices.SortFunc(all, func(a, b ranked) int {
			if a.rank > b.rank {
				return -1
			}
			return 1
		})
		var targets []target
		for _, x := range all[:min(subsetSize, len(all))] {
			targets = append(targets, x.t)
		}
		s = newView(targets)
		v.subsets[r.gateway] = s
	}
	return weightedRendezvous(s, r)
}
