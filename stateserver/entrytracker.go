package stateserver

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

// entryTimeout is the time without a poll after which an entry is considered dead. An
// entry stops working 3 s after it sent its last confirmed poll; 1 s is a safety margin.
const entryTimeout = 4 * time.Second

const (
	// trackerTickPeriod is the interval between calls of entryTracker.tick.
	trackerTickPeriod = 200 * time.Millisecond
	// maxTickGap is the longest interval between ticks after which the list is still
	// considered complete. A process that was frozen for longer may have missed polls.
	maxTickGap = time.Second
)

// entryTracker is the list of entries that poll the leader of the config group. It is
// valid for one term: a new leader starts with an empty list, which is complete after
// entryTimeout, because each live entry has polled by then.
type entryTracker struct {
	node replica.Node
	now  func() time.Time

	mu   sync.Mutex
	term uint64
	// observedSince is the time since which no poll can have been missed.
	observedSince time.Time
	polls         map[string]poll // last poll by incarnation
	// incarnations holds the sorted keys of polls, or nil after they have changed;
	// incarnationsHash is the hash of that list.
	incarnations     []string
	incarnationsHash uint64
	// lastTick is when the process was last known to be running; zero before the first
	// tick.
	lastTick time.Time
}

// poll is the last poll of one entry.
type poll struct {
	info       structs.EntryInfo
	receivedAt time.Time
}

func newEntryTracker(node replica.Node) *entryTracker {
	return &entryTracker{node: node, now: time.Now, polls: map[string]poll{}}
}

// recordPoll records the poll of an entry.
func (t *entryTracker) recordPoll(c *structs.ConfirmConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetOnNewTerm()
	info := c.Entry
	info.Revision = c.Revision
	if _, known := t.polls[c.Incarnation]; !known {
		t.incarnations = nil
	}
	t.polls[c.Incarnation] = poll{info: info, receivedAt: t.now()}
}

// resetOnNewTerm clears the list when the term of the config group has changed.
func (t *entryTracker) resetOnNewTerm() {
	_, term := t.node.Leader(stateclient.ConfigGroup)
	if term != t.term || t.observedSince.IsZero() {
		t.term = term
		t.observedSince = t.now()
		t.polls = map[string]poll{}
		t.incarnations = nil
	}
}

// tick records that the process is running and removes expired entries. After a gap
// between ticks, and while this member is not the leader, the list counts as incomplete
// for another entryTimeout, so that no entry is considered dead by mistake.
func (t *entryTracker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetOnNewTerm()
	t.checkGap()
	t.lastTick = t.now()
	t.removeExpired()
	if !t.node.IsLeader(stateclient.ConfigGroup) {
		// Entries may be polling another leader or be unable to poll.
		t.observedSince = t.lastTick
	}
}

// checkGap marks the list as incomplete if the process was frozen for longer than
// maxTickGap, because polls may have been missed.
func (t *entryTracker) checkGap() {
	if !t.lastTick.IsZero() && t.now().Sub(t.lastTick) > maxTickGap {
		t.observedSince = t.now()
		t.lastTick = t.observedSince
	}
}

// live returns the sorted incarnations of the live entries and a hash of the list. It
// returns nil and 0 while the list may be incomplete; callers must not consider any entry
// dead then.
func (t *entryTracker) live() ([]string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetOnNewTerm()
	t.checkGap()
	if t.now().Sub(t.observedSince) < entryTimeout {
		return nil, 0
	}
	t.removeExpired()
	if t.incarnations == nil {
		t.incarnations = slices.Sorted(maps.Keys(t.polls))
		t.incarnationsHash = hashList(t.incarnations)
	}
	return t.incarnations, t.incarnationsHash
}

// hashList returns a hash of a list of strings. It is 0 only for an empty list.
func hashList(list []string) uint64 {
	if len(list) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, s := range list {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// list returns the entries that polled within entryTimeout, sorted by id.
func (t *entryTracker) list() []structs.EntryInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetOnNewTerm()
	t.removeExpired()
	var out []structs.EntryInfo
	for _, p := range t.polls {
		out = append(out, p.info)
	}
	slices.SortFunc(out, func(a, b structs.EntryInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// removeExpired removes the entries that have not polled for entryTimeout.
func (t *entryTracker) removeExpired() {
	now := t.now()
	for incarnation, p := range t.polls {
		if now.Sub(p.receivedAt) >= entryTimeout {
			delete(t.polls, incarnation)
			t.incarnations = nil
		}
	}
}
