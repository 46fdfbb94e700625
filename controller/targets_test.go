package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// electedNode leads in the term that the test sets; with term 0 it does not lead.
type electedNode struct {
	unimplementedReplica
	term atomic.Uint64
}

// unimplementedReplica is embedded in test doubles for the methods that a test does not call.
type unimplementedReplica interface{ Replica }

func (n *electedNode) IsLeader(uint32) bool           { return n.term.Load() != 0 }
func (n *electedNode) Leader(uint32) (string, uint64) { return "", n.term.Load() }

// countingLister returns one target and counts the reads.
type countingLister struct {
	mu    sync.Mutex
	reads int
}

func (l *countingLister) List(context.Context) ([]fleet.Target, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return []fleet.Target{{ID: "t1"}}, nil
}

func (l *countingLister) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Guards against a new leader that reads the list of targets only after the next interval.
// Gateways would then have a configuration but no targets for up to half a second after each
// election, and refuse all requests meanwhile.
func TestTargetListReadAfterElection(t *testing.T) {
	g := NewWithT(t)
	node, lister := &electedNode{}, &countingLister{}
	s := New(Options{Node: node, Document: documentsm.New(), Lister: lister, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	g.Eventually(lister.count, "400ms", "1ms").Should(Equal(1), "one read at the start")
	g.Consistently(lister.count, listInterval+100*time.Millisecond, "20ms").Should(Equal(1), "members that do not lead do not read the list")
	for term := uint64(1); term <= 3; term++ {
		before := lister.count()
		node.term.Store(term)
		g.Eventually(lister.count, 2*leaderCheckInterval+20*time.Millisecond, "1ms").Should(BeNumerically(">", before))
	}
}

// Guards against frequent reads while nothing changes, and against slow reads while targets leave
// in series or the platform does not answer.
func TestTargetListReadInterval(t *testing.T) {
	g := NewWithT(t)
	l := &targetList{}
	at := time.Hour
	l.replace(at, 1, []fleet.Target{{ID: "t1"}})
	g.Expect(l.readInterval()).To(Equal(listInterval), "the first read")
	l.replace(at+listStableAfter, 1, []fleet.Target{{ID: "t1"}})
	g.Expect(l.readInterval()).To(Equal(stableListInterval))
	l.replace(at+listStableAfter+stableListInterval, 1, []fleet.Target{{ID: "t1", Draining: true}})
	g.Expect(l.readInterval()).To(Equal(listInterval), "a change")
	l.replace(at+2*listStableAfter+stableListInterval, 1, []fleet.Target{{ID: "t1", Draining: true}})
	g.Expect(l.readInterval()).To(Equal(stableListInterval))
	l.failing = true
	g.Expect(l.readInterval()).To(Equal(listInterval), "a failed read")
}

// Guards against a leader that hands out a list that it read long before its term: targets that
// have left since then would be used again, and their addresses may belong to other hosts by now.
func TestTargetListFromEarlierTerm(t *testing.T) {
	const unknown = 1 // digest of a list that this member does not know
	readAgo := func(age time.Duration, term uint64, failing bool) *targetList {
		l := &targetList{failing: failing}
		l.replace(clock.Now()-age, term, []fleet.Target{{ID: "t1"}})
		return l
	}
	for _, c := range []struct {
		name string
		list *targetList
		held func(l *targetList) uint64
		want bool
	}{
		{"own term", readAgo(time.Hour, 2, true), nil, true},
		{"just before the term", readAgo(maxInheritedAge/2, 1, false), nil, true},
		{"long before the term", readAgo(2*maxInheritedAge, 1, false), nil, false},
		{"long before the term, to a gateway without a list", readAgo(2*maxInheritedAge, 1, false), func(*targetList) uint64 { return 0 }, false},
		{"last resort: reads fail and the gateway has no list", readAgo(time.Hour, 1, true), func(*targetList) uint64 { return 0 }, true},
		{"the gateway holds the newest list", readAgo(0, 2, false), func(l *targetList) uint64 { return l.history.newest() }, false},
	} {
		held := uint64(unknown)
		if c.held != nil {
			held = c.held(c.list)
		}
		change, err := c.list.changeSince(2, held)
		if got := change != nil; err != nil || got != c.want {
			t.Errorf("%s: list sent: %t, want %t, error %v", c.name, got, c.want, err)
		}
	}
}

// Guards against an entry of an earlier start, or one that hides that its target is draining, in place of the one that
// holds.
func TestOneEntryForEachTarget(t *testing.T) {
	entry := func(born int64, draining bool, slots int) fleet.Target {
		return fleet.Target{ID: "t1", StartedAt: born, Draining: draining, Slots: slots}
	}
	old, young, leaving, later := entry(1, true, 1), entry(2, false, 2), entry(2, true, 3), entry(2, false, 4)
	for _, c := range []struct{ entries, want []fleet.Target }{
		{[]fleet.Target{young, old}, []fleet.Target{young}},
		{[]fleet.Target{old, young}, []fleet.Target{young}},
		{[]fleet.Target{leaving, young}, []fleet.Target{leaving}},
		{[]fleet.Target{young, leaving}, []fleet.Target{leaving}},
		{[]fleet.Target{young, later}, []fleet.Target{later}},
		{[]fleet.Target{{ID: "t2"}, old}, []fleet.Target{old, {ID: "t2"}}},
	} {
		NewWithT(t).Expect(sortUnique(slices.Clone(c.entries))).To(Equal(c.want), "%v", c.entries)
	}
}

// Guards against a log line with an age of a list that has never been read: it named the age of the host.
func TestFailedFirstReadNamesNoAge(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	s := New(Options{Node: &electedNode{}, Lister: failingLister{}, Log: log})
	s.readTargets(context.Background(), 2)
	g.Expect(lines).To(ConsistOf(And(ContainSubstring("none has been read yet"), Not(ContainSubstring("age_ms")))))
}

// Guards against a failed read that discards the list.
func TestTargetListKeptAfterFailedRead(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{Node: &electedNode{}, Lister: failingLister{}, Log: logr.Discard()})
	s.targetList.replace(clock.Now(), 2, []fleet.Target{{ID: "t1"}})
	s.readTargets(context.Background(), 2)
	change, err := s.targetList.changeSince(2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Changed.Decode()).To(HaveLen(1))
}

type failingLister struct{}

func (failingLister) List(context.Context) ([]fleet.Target, error) {
	return nil, errors.New("no answer")
}
