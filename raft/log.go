package raft

import "sort"

// entryLog holds the entries after a base, which is the last compacted entry.
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

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns entries from lo to hi inclusive, cut after maxBytes but with at least one
// entry. The caller must not change them.
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

// put appends entries and drops an old suffix that starts at or after the first of them.
// The entries in use elsewhere are not overwritten.
func (l *entryLog) put(es []Entry) {
	keep := es[0].Index - l.baseIndex - 1
	if keep == uint64(len(l.entries)) {
		l.entries = append(l.entries, es...)
		return
	}
	l.entries = append(l.entries[:keep:keep], es...)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.last() {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, t
}

func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// conflictHint returns the last index at or before max whose term is at most term. Both
// sides skip a whole conflicting term with it, so that the search for the point where two
// logs agree takes a round per term and not one per entry.
func (l *entryLog) conflictHint(max, term uint64) uint64 {
	max = min(max, l.last())
	if max <= l.baseIndex {
		return max
	}
	n := sort.Search(int(max-l.baseIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.baseIndex + uint64(n)
}

// upToDate reports whether a log that ends with the given entry is at least as complete.
func (l *entryLog) upToDate(index, term uint64) bool {
	mine := l.lastTerm()
	return term > mine || (term == mine && index >= l.last())
}
