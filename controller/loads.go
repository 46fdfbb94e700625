package controller

import (
	"time"

	"github.com/figlb/figlb/fleet"
)

// loadTable adds up the requests that the gateways have in flight at each target of a list.
// Sums are kept as polls come in, so that an answer costs one pass over the targets instead
// of one over all gateways and their targets.
type loadTable struct {
	digest uint64 // of the list
	index  map[string]int
	counts []int32
}

// reset begins anew for a list unless it is the one at hand, and reports whether it did.
func (l *loadTable) reset(digest uint64, targets []fleet.Target) bool {
	if l.digest == digest {
		return false
	}
	l.digest = digest
	l.counts = make([]int32, len(targets))
	l.index = make(map[string]int, len(targets))
	for i, t := range targets {
		l.index[t.ID] = i
	}
	return true
}

// clear forgets all requests.
func (l *loadTable) clear() { clear(l.counts) }

// replace takes over what one gateway has in flight in place of what it had.
func (l *loadTable) replace(before, now map[string]int32) {
	for id, n := range before {
		l.add(id, -n)
	}
	for id, n := range now {
		l.add(id, n)
	}
}

func (l *loadTable) add(id string, n int32) {
	if i, listed := l.index[id]; listed {
		l.counts[i] += n
	}
}

// interval is the least time between two answers with loads to the same host.
func (l *loadTable) interval() time.Duration {
	return time.Duration(len(l.counts)) * time.Second / loadBytesPerSecond
}
