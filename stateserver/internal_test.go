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

// termNode is a leader whose term and lease the test sets.
type termNode struct {
	replica.Node
	term    uint64
	noLease bool
}

func (n *termNode) IsLeader(uint32) bool { return !n.noLease }

func (n *termNode) Leader(uint32) (string, uint64) { return "s1", n.term }

var _ = Describe("live entries", func() {
	var (
		node *termNode
		m    *membership
		now  time.Time
	)
	poll := func(entries ...string) {
		for _, e := range entries {
			m.saw(&structs.ConfirmConfig{Incarnation: e, Entry: structs.EntryInfo{ID: e}})
		}
	}
	live := func() []string {
		list, hash := m.live()
		Expect(hash == 0).To(Equal(len(list) == 0))
		return list
	}
	// pass lets time pass as in a running process, with polls of the entries each second.
	pass := func(d time.Duration, entries ...string) {
		for end := now.Add(d); now.Before(end); now = now.Add(membershipTick) {
			m.tick()
			if now.UnixMilli()%1000 == 0 {
				poll(entries...)
			}
		}
	}
	BeforeEach(func() {
		node, now = &termNode{term: 1}, time.Unix(1000, 0)
		m = newMembership(node)
		m.now = func() time.Time { return now }
	})

	// Guards against turns taken over and calls made unknown because the new leader has
	// not heard of their entries yet.
	It("are not told before a new leader can know them all", func() {
		pass(3800*time.Millisecond, "e1", "e2")
		Expect(live()).To(BeEmpty())
		pass(time.Second, "e1", "e2")
		Expect(live()).To(Equal([]string{"e1", "e2"}))
		node.term = 2
		poll("e1")
		Expect(live()).To(BeEmpty())
		pass(3800*time.Millisecond, "e1")
		Expect(live()).To(BeEmpty())
		pass(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
	})

	It("end 4 s after their last poll", func() {
		pass(5*time.Second, "e1", "e2") // the last poll of e2 was 1 s ago
		pass(2800*time.Millisecond, "e1")
		Expect(live()).To(Equal([]string{"e1", "e2"}))
		pass(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
		Expect(m.list()).To(HaveLen(1))
	})

	It("are not told until 4 s after the leader's lease had lapsed", func() {
		pass(5*time.Second, "e1", "e2")
		node.noLease = true
		pass(time.Second, "e1")
		node.noLease = false
		pass(3600*time.Millisecond, "e1")
		Expect(live()).To(BeEmpty())
		pass(time.Second, "e1")
		Expect(live()).To(Equal([]string{"e1"}))
	})

	It("are not told after the process was frozen", func() {
		pass(5*time.Second, "e1", "e2")
		now = now.Add(10 * time.Second)
		poll("e1")
		Expect(live()).To(BeEmpty())
	})
})

var _ = Describe("the read gate", func() {
	// Guards against a query that is answered by a read-index which began before it.
	It("gives a query a read-index that starts after it, and shares it", func() {
		started, finish := make(chan int, 10), make(chan struct{})
		n := 0
		g := newReadGate(func(context.Context) error {
			n++
			started <- n
			<-finish
			return nil
		})
		results := make(chan string, 10)
		wait := func(name string) {
			go func() {
				Expect(g.wait(context.Background())).To(Succeed())
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
