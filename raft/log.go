package raft

import "sort"

// entryLog is the in-memory log: the entries after the base, which is the last compacted
// entry.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index. It returns false if the index is before the
// base or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the log is known to hold an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi inclusive, limited to maxBytes of data but at least
// one entry. The result shares memory with the log; the caller must not modify it.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi || lo <= l.baseIndex {
		return nil
	}
	es := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	size := 0
	for i := range es {
		size += len(es[i].Data)
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

// replaceSuffix drops the entries from the index of es[0] on and appends es. Dropped entries
// are not overwritten in memory, because slices returned earlier may refer to them.
func (l *entryLog) replaceSuffix(es []Entry) {
	keep := es[0].Index - l.baseIndex - 1
	if keep == uint64(len(l.entries)) {
		l.entries = append(l.entries, es...)
		return
	}
	l.entries = append(l.entries[:keep:keep], es...)
}

// compact drops the entries up to index, which becomes the base. It does nothing if the log
// does not hold the entry at index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.last() {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, t
}

// reset empties the log and sets its base.
func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// conflictHint returns the last index at or before max whose entry has at most the given term.
// Leader and follower both use it to skip all entries of a conflicting term, so that finding
// the point at which their logs agree takes one round trip per term instead of one per entry.
func (l *entryLog) conflictHint(max, term uint64) uint64 {
	max = min(max, l.last())
	if max <= l.baseIndex {
		return max
	}
	n := sort.Search(int(max-l.baseIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.baseIndex + uint64(n)
}

// upToDate reports whether a log that ends with the given entry is at least as up to date as
// this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || (term == ownTerm && index >= l.last())
}
