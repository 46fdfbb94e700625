package e2e_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

// turnDeadline is the time limit for a turn during any single fault. The failure of an entry is
// detected after 4 s.
const turnDeadline = 20 * time.Second

// programLoad runs programs in the background while a test injects faults. Each program checks every
// answer, which depends on the complete history.
type programLoad struct {
	stop  chan struct{}
	wg    sync.WaitGroup
	turns atomic.Int64
	mu    sync.Mutex
	errs  []error
}

// startProgramLoad starts workers that each run one program after the other.
func startProgramLoad(c *caller, addrs []string, workers int) *programLoad {
	l := &programLoad{stop: make(chan struct{})}
	for w := range workers {
		l.wg.Go(func() { l.runWorker(c, randomEntry(addrs, int64(w)), w) })
	}
	return l
}

const turnsPerProgram = 5

func (l *programLoad) runWorker(c *caller, entries func() string, worker int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if err := l.runProgram(c, entries, fmt.Sprintf("worker %d program %d", worker, i)); err != nil {
			l.mu.Lock()
			l.errs = append(l.errs, err)
			l.mu.Unlock()
		}
	}
}

func (l *programLoad) runProgram(c *caller, entries func() string, name string) error {
	var id string
	err := testsite.Within(turnDeadline, func() (err error) {
		id, err = c.openProgram(entries(), map[string]any{"service": "chat"})
		return err
	})
	if err != nil {
		return err
	}
	v := &conversation{program: id}
	for t := range turnsPerProgram {
		start := time.Now()
		if err := v.runTurn(c, entries, fmt.Sprintf("%s turn %d answer_tokens=12", name, t+1), start.Add(turnDeadline)); err != nil {
			return err
		}
		l.turns.Add(1)
	}
	return nil
}

// waitForTurns waits until n more turns have been answered.
func (l *programLoad) waitForTurns(n int64, timeout time.Duration) {
	GinkgoHelper()
	goal := l.turns.Load() + n
	Eventually(l.turns.Load, timeout, 20*time.Millisecond).Should(BeNumerically(">=", goal), "turns answered")
}

// finish stops the load, waits for its workers and returns their errors.
func (l *programLoad) finish() []error {
	close(l.stop)
	l.wg.Wait()
	return l.errs
}

// leaderOf returns the index of the member that leads a group.
func leaderOf(s *testsite.Site, group int) int {
	GinkgoHelper()
	var leader string
	Expect(testsite.Within(10*time.Second, func() error {
		members, err := memberList(s)
		if err != nil {
			return err
		}
		leader = ""
		term := uint64(0)
		for _, m := range members {
			g := m.Groups[group]
			if g.Leader == m.ID && g.Term > term {
				leader, term = m.ID, g.Term
			}
		}
		if leader == "" {
			return fmt.Errorf("group %d has no leader", group)
		}
		return nil
	})).To(Succeed())
	var n int
	_, err := fmt.Sscanf(leader, "state-%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return n - 1
}

// waitForNewLeader waits until a member other than old leads a group, and returns the time since
// from.
func waitForNewLeader(s *testsite.Site, group, old int, from time.Time) time.Duration {
	GinkgoHelper()
	oldID := fmt.Sprintf("state-%d", old+1)
	Expect(testsite.Within(10*time.Second, func() error {
		members, err := memberList(s)
		if err != nil {
			return err
		}
		for _, m := range members {
			if g := m.Groups[group]; m.ID != oldID && g.Leader == m.ID {
				return nil
			}
		}
		return fmt.Errorf("group %d has no new leader", group)
	})).To(Succeed())
	return time.Since(from)
}

type memberView struct {
	ID          string
	Incarnation string
	Groups      []struct {
		Leader       string
		Term         uint64
		Voters       []string
		Learners     []string
		Incarnations map[string]string
	}
}

func memberList(s *testsite.Site) ([]memberView, error) {
	out, err := s.Ctl("member", "list", "-output", "json", "-timeout", "2s")
	if err != nil {
		return nil, err
	}
	var members []memberView
	return members, json.Unmarshal([]byte(out), &members)
}

// waitForVoters waits until n members respond, each group has exactly n voters and no learner, and
// every member knows the current incarnation of all members.
func waitForVoters(s *testsite.Site, n int, timeout time.Duration) {
	GinkgoHelper()
	Expect(testsite.Within(timeout, func() error {
		members, err := memberList(s)
		if err != nil {
			return err
		}
		if len(members) != n {
			return fmt.Errorf("%d members responded, want %d", len(members), n)
		}
		for _, m := range members {
			for g, st := range m.Groups {
				for _, other := range members {
					if st.Incarnations[other.ID] != other.Incarnation {
						return fmt.Errorf("%s reports group %d with an outdated incarnation of %s", m.ID, g, other.ID)
					}
				}
				if len(st.Voters) != n || len(st.Learners) != 0 {
					return fmt.Errorf("%s reports group %d with voters %v and learners %v", m.ID, g, st.Voters, st.Learners)
				}
			}
		}
		return nil
	})).To(Succeed())
}
