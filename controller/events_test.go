package controller

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// loggedTurn reserves a turn that is kept and whose stream can be resumed. With resumes set it resumes the
// stream of attempt "a" after event 1.
func loggedTurn(s *Server, attempt string, resumes bool) (*fleet.ReserveReply, error) {
	req := &ledgersm.Reserve{Org: "acme", Program: "p", Attempt: attempt, Tokens: 1, Retention: time.Minute, WillKeep: true,
		Stream: &ledgersm.StreamRecord{Source: ledgersm.StreamSource{Service: "lm", Version: "v1"}, Revision: 1, Keep: time.Minute},
		Log:    &ledgersm.LogRequest{Keep: time.Minute}}
	if resumes {
		req.Stream.Resumes, req.Stream.Origin = true, "a"
		req.Log.Resumes, req.Log.Origin, req.Log.After = true, "a", "1"
	}
	return s.reserve(context.Background(), req)
}

func eventBatch(attempt string, ids ...string) ledgersm.EventBatch {
	b := ledgersm.EventBatch{Org: "acme", Origin: attempt, Attempt: attempt}
	for _, id := range ids {
		b.Events = append(b.Events, ledgersm.Event{ID: id, Text: []byte(id + "\n")})
	}
	return b
}

// Guards against members of an older build, which execute no command with events and whose state would differ,
// and against resumed turns that are kept in part meanwhile.
func TestEventLogsNeedAllMembers(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	b := newBodySite(0)
	peers := b.opts.Peers.(peerFeatures)
	for _, c := range []struct {
		desc string
		set  func()
		used bool
	}{
		{"an older build", func() { peers["c1"] = fleet.KnownFeatures() }, false},
		{"a silent member", func() { delete(peers, "c2") }, false},
		{"all members", func() { peers["c2"] = fleet.KnownFeatures() }, true},
		{"a new leader", func() { b.node.term.Add(1); b.features.answered = nil; delete(peers, "c2") }, true},
	} {
		c.set()
		b.updateFeatures(ctx)
		attempt := "first of " + c.desc
		reply, err := loggedTurn(b.Server, attempt, false)
		g.Expect(err).NotTo(HaveOccurred(), c.desc)
		g.Expect(reply.Log != nil).To(Equal(c.used), c.desc)
		_, err = b.appendEvents(ctx, &ledgersm.AppendEvents{Batches: []ledgersm.EventBatch{eventBatch(attempt, "1")}})
		g.Expect(err == nil).To(Equal(c.used), c.desc)
		reply, err = loggedTurn(b.Server, "resumed at "+c.desc, true)
		if !c.used {
			g.Expect(errs.From(err).Code).To(Equal(errs.StreamNotResumable), c.desc)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), c.desc)
		g.Expect(ledgersm.Verdict(reply.Verdict)).To(Equal(ledgersm.UnknownStream), "attempt a has begun no stream")
	}
}

// Guards against a gateway of an older build that keeps a resumed turn without the events before.
func TestResumedTurnsOfOlderGateways(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(0)
	_, err := loggedTurn(b.Server, "a", false)
	g.Expect(err).NotTo(HaveOccurred())
	for _, keeps := range []bool{false, true} {
		req := &ledgersm.Reserve{Org: "acme", Program: "p", Attempt: fmt.Sprint("b", keeps), Tokens: 1, WillKeep: keeps,
			Stream: &ledgersm.StreamRecord{Resumes: true, Origin: "a", Keep: time.Minute}}
		reply, err := b.reserve(context.Background(), req)
		if keeps {
			g.Expect(errs.From(err).Code).To(Equal(errs.Unavailable))
			g.Expect(errs.From(err).Run).To(Equal(errs.NotRun))
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ledgersm.Verdict(reply.Verdict)).To(Equal(ledgersm.OK))
	}
}

// Guards against a command for each event, and against replies that are given to the wrong call.
func TestEventsOfManyCallsShareCommands(t *testing.T) {
	g := NewWithT(t)
	const calls = 200
	var e eventCombiner
	release, commands := make(chan struct{}), 0
	var proposed atomic.Int64 // batches
	propose := func(cmd *ledgersm.AppendEvents) (*ledgersm.Reply, error) {
		commands++ // commands are proposed one after the other
		proposed.Add(int64(len(cmd.Batches)))
		<-release
		reply := &ledgersm.Reply{Verdict: ledgersm.OK}
		for _, b := range cmd.Batches {
			held, _ := strconv.Atoi(b.Attempt)
			reply.Held = append(reply.Held, held)
		}
		return reply, nil
	}
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			req := &ledgersm.AppendEvents{Batches: []ledgersm.EventBatch{eventBatch(strconv.Itoa(2 * i)), eventBatch(strconv.Itoa(2*i + 1))}}
			reply, err := e.append(context.Background(), req, propose)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Held).To(Equal([]int{2 * i, 2*i + 1}))
		})
	}
	g.Eventually(func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		n := int(proposed.Load())
		for _, c := range e.waiting {
			n += len(c.cmd.Batches)
		}
		return n
	}, "10s").Should(Equal(2*calls), "all calls have joined a command")
	close(release)
	wg.Wait()
	g.Expect(commands).To(BeNumerically("<=", 2), "one for those that came first, one for those that came meanwhile")
}

// Guards against a call that waits for a command after its caller has given up, and against an error that
// reaches some of the calls only.
func TestFailedCommandsWithEvents(t *testing.T) {
	g := NewWithT(t)
	var e eventCombiner
	release := make(chan struct{})
	propose := func(*ledgersm.AppendEvents) (*ledgersm.Reply, error) {
		<-release
		return nil, errs.New(errs.NotLeader, "send the request to the leader", "no leader")
	}
	req := &ledgersm.AppendEvents{Batches: []ledgersm.EventBatch{eventBatch("a", "1")}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := e.append(ctx, req, propose)
	g.Expect(errs.From(err).Code).To(Equal(errs.Uncertain))
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			_, err := e.append(context.Background(), req, propose)
			g.Expect(errs.From(err).Code).To(Equal(errs.NotLeader))
		})
	}
	time.Sleep(20 * time.Millisecond)
	close(release)
	wg.Wait()
}
