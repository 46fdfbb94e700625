package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an order that puts programs which are already late before those that can still end in
// time, or a less urgent route before a more urgent one.
func TestUrgencyOrder(t *testing.T) {
	g := NewWithT(t)
	left := func(d time.Duration) ProgramTime { return ProgramTime{Known: true, Left: d} }
	order := []int{
		urgency(0, true, left(time.Second)),
		urgency(0, false, left(time.Second)),
		urgency(1, true, left(time.Millisecond)),
		urgency(1, false, ProgramTime{}),
		urgency(2, true, left(time.Second)),
		urgency(2, false, left(time.Second)),
		urgency(0, true, left(0)),
		urgency(2, true, left(-time.Second)),
	}
	g.Expect(slices.IsSorted(order)).To(BeTrue(), "%v", order)
	g.Expect(slices.Compact(slices.Clone(order))).To(HaveLen(len(order)), "%v", order)
	g.Expect(urgency(-3, true, ProgramTime{})).To(Equal(0))
	g.Expect(urgency(99, false, ProgramTime{})).To(BeNumerically("<", overdueUrgency))
}

// queuedTurn is a turn in the model of a target's queue.
type queuedTurn struct {
	arrives, work, deadline int // ms; the deadline is that of the program
	configured              int
	begun                   bool
	program                 int
	turnsLeft               int
}

// serveBurst replays turns of programs at one target with a number of slots, whose queue is ordered by
// priority, and returns the number of programs that end within their objective, by configured priority, and
// the number of those that ended at all.
func serveBurst(turns []queuedTurn, slots int, priority func(q *queuedTurn, now int) int) (inTime map[int]int, ended int) {
	inTime = map[int]int{}
	var waiting, running []*queuedTurn
	next := slices.Clone(turns)
	left := map[*queuedTurn]int{}
	for now := 0; now < 20000; now++ {
		for i := 0; i < len(next); i++ {
			if next[i].arrives == now {
				q := next[i]
				waiting = append(waiting, &q)
			}
		}
		running = slices.DeleteFunc(running, func(q *queuedTurn) bool {
			if left[q]--; left[q] > 0 {
				return false
			}
			if q.turnsLeft == 0 {
				ended++
				if now <= q.deadline {
					inTime[q.configured]++
				}
				return true
			}
			follow := *q
			follow.arrives, follow.begun, follow.turnsLeft = now+20, true, q.turnsLeft-1
			next = append(next, follow)
			return true
		})
		slices.SortStableFunc(waiting, func(a, b *queuedTurn) int { return cmp.Compare(priority(a, now), priority(b, now)) })
		for len(running) < slots && len(waiting) > 0 {
			q := waiting[0]
			waiting = waiting[1:]
			left[q] = q.work
			running = append(running, q)
		}
	}
	return inTime, ended
}

// Guards against a burst after which programs of all kinds end late, although most of them could have ended in
// time in another order: engines of 8 and 16 slots with 1.7 times the turns that they can run for 3 s. The
// order of eb04025, by configured priority alone, is the one to beat; nothing may be starved.
func TestUrgencyInABurst(t *testing.T) {
	g := NewWithT(t)
	const programs, turnsOfProgram, work = 3, 4, 60
	newOrder, oldOrder, endedNew, endedOld := 0, 0, 0, 0
	for _, slots := range []int{8, 16} {
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, uint64(slots)))
			var turns []queuedTurn
			perMs := 1.7 * float64(slots) / work / turnsOfProgram
			for now := range 3000 {
				if rng.Float64() >= perMs {
					continue
				}
				turns = append(turns, queuedTurn{arrives: now, work: work, deadline: now + turnsOfProgram*(work+20)*17/10,
					configured: rng.IntN(programs - 1), program: len(turns), turnsLeft: turnsOfProgram - 1})
			}
			in, ended := serveBurst(turns, slots, func(q *queuedTurn, now int) int {
				return urgency(q.configured, q.begun, ProgramTime{Known: true, Left: time.Duration(q.deadline-now) * time.Millisecond})
			})
			old, oldEnded := serveBurst(turns, slots, func(q *queuedTurn, _ int) int { return q.configured })
			newOrder, endedNew = newOrder+in[0]+in[1], endedNew+ended
			oldOrder, endedOld = oldOrder+old[0]+old[1], endedOld+oldEnded
		}
	}
	t.Logf("programs in time: %d by urgency, %d by configured priority; ended: %d, %d", newOrder, oldOrder, endedNew, endedOld)
	g.Expect(newOrder).To(BeNumerically(">", oldOrder))
	g.Expect(endedNew).To(Equal(endedOld), "late programs end as well")
}
