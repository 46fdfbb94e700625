package controller

import (
	"time"

	"github.com/figlb/figlb/fleet"
)

// loadTable sums up the requests that the gateways have in flight at each target of a list.
// The sums are updated with each poll, so that a reply takes one pass over the targets instead
// of one over all gateways and their targets.
type loadTable struct {
	digest uint64         // of the list
	index  map[string]int // position in the list by target id
	counts []int32
}

// reset starts with zero loads for a list unless it is the present one, and reports whether it
// did.
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

// clear sets all loads to zero.
func (l *loadTable) clear() { clear(l.counts) }

// replace replaces the in-flight counts that one gateway reported before by its new ones.
func (l *loadTable) replace(old, next map[string]int32) {
	for id, n := range old {
		l.add(id, -n)
	}
	for id, n := range next {
		l.add(id, n)
	}
}

// add adds n to the load of a target if the list contains it.
func (l *loadTable) add(id string, n int32) {
	if i, listed := l.index[id]; listed {
		l.counts[i] += n
	}
}

// sendInterval returns the minimum time between two replies with loads to the same host.
func (l *loadTable) sendInterval() time.Duration {
	return time.Duration(len(l.counts)) * time.Second / loadBytesPerSecond
}
