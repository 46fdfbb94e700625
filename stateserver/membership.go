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

// entryTimeout is the time without a poll after which an entry counts as dead. An entry
// stops work 3 s after its last confirmed poll was sent; 1 s is margin.
const entryTimeout = 4 * time.Second

const (
	membershipTick = 200 * time.Millisecond
	// maxTickGap is the longest pause between ticks after which the list still counts. A
	// process that was frozen for longer has missed polls.
	maxTickGap = time.Second
)

// membership is the config leader's list of entries. It belongs to one term: a new
// leader starts with an empty list and knows all entries after entryTimeout.
type membership struct {
	node replica.Node
	now  func() time.Time

	mu    sync.Mutex
	term  uint64
	since time.Time
	polls map[string]poll // by incarnation
	// sorted holds the keys of polls in order, nil when they have changed; hash is its
	// hash.
	sorted []string
	hash   uint64
	// ticked is when the process was last known to run; zero before the first tick.
	ticked time.Time
}

type poll struct {
	info structs.EntryInfo
	at   time.Time
}

func newMembership(node replica.Node) *membership {
	return &membership{node: node, now: time.Now, polls: map[string]poll{}}
}

// saw records a poll.
func (m *membership) saw(c *structs.ConfirmConfig) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTerm()
	info := c.Entry
	info.Revision = c.Revision
	if _, known := m.polls[c.Incarnation]; !known {
		m.sorted = nil
	}
	m.polls[c.Incarnation] = poll{info: info, at: m.now()}
}

// startTerm clears the list when the leadership has changed.
func (m *membership) startTerm() {
	_, term := m.node.Leader(stateclient.ConfigGroup)
	if term != m.term || m.since.IsZero() {
		m.term = term
		m.since = m.now()
		m.polls = map[string]poll{}
		m.sorted = nil
	}
}

// tick tells that the process runs. After a gap, and while this member does not lead,
// all entries get the benefit of the doubt.
func (m *membership) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTerm()
	m.checkGap()
	m.ticked = m.now()
	m.dropDead()
	if !m.node.IsLeader(stateclient.ConfigGroup) {
		// Entries may poll another leader, or fail to poll at all.
		m.since = m.ticked
	}
}

// checkGap gives all entries the benefit of the doubt after the process was frozen.
func (m *membership) checkGap() {
	if !m.ticked.IsZero() && m.now().Sub(m.ticked) > maxTickGap {
		m.since = m.now()
		m.ticked = m.since
	}
}

// live returns the incarnations of live entries in order, and a hash of the list. It
// returns none while this leader is too new to know them all: then no entry may be
// taken for dead.
func (m *membership) live() ([]string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTerm()
	m.checkGap()
	if m.now().Sub(m.since) < entryTimeout {
		return nil, 0
	}
	m.dropDead()
	if m.sorted == nil {
		m.sorted = slices.Sorted(maps.Keys(m.polls))
		m.hash = hashOf(m.sorted)
	}
	return m.sorted, m.hash
}

// hashOf returns a hash of a list, 0 for an empty one.
func hashOf(list []string) uint64 {
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

// list returns the entries that polled lately, in order of their ids.
func (m *membership) list() []structs.EntryInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTerm()
	m.dropDead()
	var out []structs.EntryInfo
	for _, p := range m.polls {
		out = append(out, p.info)
	}
	slices.SortFunc(out, func(a, b structs.EntryInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (m *membership) dropDead() {
	now := m.now()
	for incarnation, p := range m.polls {
		if now.Sub(p.at) >= entryTimeout {
			delete(m.polls, incarnation)
			m.sorted = nil
		}
	}
}
