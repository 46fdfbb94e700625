package stateserver

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/structs"
)

// termNode is a node whose term and leader lease are set by the test.
type termNode struct {
	replica.Node
	term    uint64
	noLease bool
}

func (n *termNode) IsLeader(uint32) bool { return !n.noLease }

func (n *termNode) Leader(uint32) (string, uint64) { return "s1", n.term }

var _ = Describe("the list of live entries", func() {
	var (
		node    *termNode
		tracker *entryTracker
		now     time.Time
	)
	recordPolls := func(entries ...string) {
		for _, e := range entries {
			tracker.recordPoll(&structs.ConfirmConfig{Incarnation: e, Entry: structs.EntryInfo{ID: e}})
		}
	}
	live := func() []string {
		list, hash := tracker.live()
		Expect(hash == 0).To(Equal(len(list) == 0))
		return list
	}
	// advance moves the clock forward with the ticks of a running process, while the given
	// entries poll once a second.
	advance := func(d time.Duration, entries ...string) {
		for end := now.Add(d); now.Before(end); now = now.Add(trackerTickPeriod) {
			tracker.tick()
			if now.UnixMilli()%1000 == 0 {
				recordPolls(entries...)
			}
		}
	}
	BeforeEach(func() {
		node, now = &termNode{term: 1}, time.Unix(1000, 0)
		tracker = newEntryTracker(node)
		tracker.now = func() time.Time { return now }
	})

	// Guards against taking over turns and marking calls as unknown because a new leader
	// has not received polls of their entries yet.
	It("is empty until a new leader must have received a poll of each entry", func() {
		advance(3800*time.Millisecond, "e1", "e2")
		Expect(live()).To(BeEmpty())
		advance(time.Second, "e1", "e2")
		Expect(live()).To(Equal([]string{"e1", "e2"}))
		node.term = 2
		recordPolls("e1")
		Expect(live()).To(BeEmpty())
		advance(3800*time.Millisecond, "e1")
		Expect(live()).To(BeEmpty())
		advance(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
	})

	It("omits an entry 4 s after its last poll", func() {
		advance(5*time.Second, "e1", "e2") // the last poll of e2 was 1 s ago
		advance(2800*time.Millisecond, "e1")
		Expect(live()).To(Equal([]string{"e1", "e2"}))
		advance(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
		Expect(tracker.list()).To(HaveLen(1))
	})

	It("is empty until 4 s after the leader's lease was interrupted", func() {
		advance(5*time.Second, "e1", "e2")
		node.noLease = true
		advance(time.Second, "e1")
		node.noLease = false
		advance(3600*time.Millisecond, "e1")
		Expect(live()).To(BeEmpty())
		advance(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
	})

	It("is empty after the process was frozen", func() {
		advance(5*time.Second, "e1", "e2")
		now = now.Add(10 * time.Second)
		recordPolls("e1")
		Expect(live()).To(BeEmpty())
	})
})

var _ = Describe("the read batcher", func() {
	// Guards against answering a query after a read-index that began before the query.
	It("makes queries share a read-index that starts after all of them", func() {
		started, finish := make(chan int, 10), make(chan struct{})
		n := 0
		batcher := newReadBatcher(func(context.Context) error {
			n++
			started <- n
			<-finish
			return nil
		})
		results := make(chan string, 10)
		wait := func(name string) {
			go func() {
				Expect(batcher.wait(context.Background())).To(Succeed())
				results <- name
			}()
		}
		wait("first")
		Eventually(started).Should(Receive(Equal(1)))
		for i := range 5 {
			wait(fmt.Sprint("later", i))
		}
		time.Sleep(20 * time.Millisecond)
		finish <- struct{}{}
		Eventually(results).Should(Receive(Equal("first")))
		Eventually(started).Should(Receive(Equal(2)))
		Consistently(results, "50ms").ShouldNot(Receive())
		finish <- struct{}{}
		for range 5 {
			Eventually(results).Should(Receive(HavePrefix("later")))
		}
		Expect(started).NotTo(Receive(), "five queries share one read-index")
	})
})
