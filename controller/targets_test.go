package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
)

// electedNode leads in a term that the test sets; 0: it does not lead.
type electedNode struct {
	otherMethods
	term atomic.Uint64
}

type otherMethods interface{ Members }

func (n *electedNode) IsLeader(uint32) bool           { return n.term.Load() != 0 }
func (n *electedNode) Leader(uint32) (string, uint64) { return "", n.term.Load() }

// countingLister returns one target and counts its reads.
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

// Guards against gateways that have a configuration and no target for up to half a second
// after each election, and refuse what arrives meanwhile.
func TestListAtElection(t *testing.T) {
	g := NewWithT(t)
	node, lister := &electedNode{}, &countingLister{}
	s := New(Options{Node: node, Lister: lister, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	g.Eventually(lister.count, "400ms", "1ms").Should(Equal(1), "a read at the start")
	g.Consistently(lister.count, listInterval+100*time.Millisecond, "20ms").Should(Equal(1), "members that do not lead do not read")
	for term := uint64(1); term <= 3; term++ {
		before := lister.count()
		node.term.Store(term)
		g.Eventually(lister.count, 2*leaderCheckInterval+20*time.Millisecond, "1ms").Should(BeNumerically(">", before))
	}
}

// Guards against reads that go on at full pace while nothing changes, and against slow ones while
// targets leave in series or the platform does not answer.
func TestIntervalOfReads(t *testing.T) {
	g := NewWithT(t)
	l := &targetList{}
	at := time.Hour
	l.replace(at, 1, []fleet.Target{{ID: "t1"}})
	g.Expect(l.interval()).To(Equal(listInterval), "the first read")
	l.replace(at+calmAfter, 1, []fleet.Target{{ID: "t1"}})
	g.Expect(l.interval()).To(Equal(calmInterval))
	l.replace(at+calmAfter+calmInterval, 1, []fleet.Target{{ID: "t1", Draining: true}})
	g.Expect(l.interval()).To(Equal(listInterval), "a change")
	l.replace(at+2*calmAfter+calmInterval, 1, []fleet.Target{{ID: "t1", Draining: true}})
	g.Expect(l.interval()).To(Equal(calmInterval))
	l.failing = true
	g.Expect(l.interval()).To(Equal(listInterval), "a failed read")
}

// Guards against a leader that gives out the list of an earlier time: targets that have left
// since then would be used again, and their addresses may belong to others.
func TestListOfAnEarlierTerm(t *testing.T) {
	const unknown = 1 // digest of a list that this member has not read
	row := func(read time.Duration, term uint64, failing bool) *targetList {
		l := &targetList{failing: failing}
		l.replace(clock.Now()-read, term, []fleet.Target{{ID: "t1"}})
		return l
	}
	for _, c := range []struct {
		name  string
		list  *targetList
		held  func(l *targetList) uint64
		given bool
	}{
		{"own term", row(time.Hour, 2, true), nil, true},
		{"just before the term", row(maxInheritedAge/2, 1, false), nil, true},
		{"long before the term", row(2*maxInheritedAge, 1, false), nil, false},
		{"long before the term, to a gateway without any", row(2*maxInheritedAge, 1, false), func(*targetList) uint64 { return 0 }, false},
		{"the only one there is", row(time.Hour, 1, true), func(*targetList) uint64 { return 0 }, true},
		{"not newer", row(0, 2, false), func(l *targetList) uint64 { return l.history.newest() }, false},
	} {
		held := uint64(unknown)
		if c.held != nil {
			held = c.held(c.list)
		}
		change, err := c.list.since(2, held)
		if given := change != nil; err != nil || given != c.given {
			t.Errorf("%s: given %t, want %t, error %v", c.name, given, c.given, err)
		}
	}
}

// Guards against a failed read that drops the list.
func TestListSurvivesAFailedRead(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{Node: &electedNode{}, Lister: failingLister{}, Log: logr.Discard()})
	s.list.replace(clock.Now(), 2, []fleet.Target{{ID: "t1"}})
	s.readTargets(context.Background(), 2)
	change, err := s.list.since(2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Changed.Decode()).To(HaveLen(1))
}

type failingLister struct{}

func (failingLister) List(context.Context) ([]fleet.Target, error) {
	return nil, errors.New("no answer")
}
