package stateserver_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/command"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

var _ command.API = (*stateclient.Client)(nil)

// faultyNode injects faults into proposals and can lose its leadership.
type faultyNode struct {
	replica.Node
	proposals atomic.Int64
	follower  atomic.Bool
	// lossy makes some proposals fail without being applied, fail after they were applied,
	// or fail and be applied later.
	lossy bool
	// stuck applies proposals and does not return before the context ends.
	stuck atomic.Bool
}

func (n *faultyNode) IsLeader(g uint32) bool { return !n.follower.Load() && n.Node.IsLeader(g) }

func (n *faultyNode) Propose(ctx context.Context, group uint32, cmd []byte) ([]byte, error) {
	n.proposals.Add(1)
	if n.stuck.Load() {
		_, _ = n.Node.Propose(ctx, group, cmd)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !n.lossy {
		return n.Node.Propose(ctx, group, cmd)
	}
	uncertain := errs.New(errs.Uncertain, "send it again", "injected").WithRun(errs.RunUnknown)
	switch rand.IntN(6) {
	case 0:
		return nil, errs.New(errs.NotLeader, "call the leader", "injected")
	case 1:
		_, _ = n.Node.Propose(ctx, group, cmd)
		return nil, uncertain
	case 2:
		go func() {
			time.Sleep(rand.N(30 * time.Millisecond))
			_, _ = n.Node.Propose(context.Background(), group, cmd)
		}()
		return nil, uncertain
	}
	return n.Node.Propose(ctx, group, cmd)
}

func startFaultyMember(lossy bool) (*member, *faultyNode) {
	n := &faultyNode{lossy: lossy}
	m := startMember(func(inner replica.Node) replica.Node {
		n.Node = inner
		return n
	})
	return m, n
}

func newClient(addrs ...string) *stateclient.Client {
	c, err := stateclient.New(addrs, groups, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// silentAddress returns the address of a listener that accepts connections and never
// answers.
func silentAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String()
}

func openProgram(ctx context.Context, c *stateclient.Client, id string) error {
	_, err := c.OpenProgram(ctx, "acme", structs.OpenProgram{ID: id, Service: "chat", Limits: limits})
	return err
}

var _ = Describe("the client", func() {
	It("moves on from a silent member within 1 s and avoids it in later calls", func() {
		m := startMember(nil)
		c := newClient(silentAddress(), silentAddress(), m.addr)
		ctx := testContext()
		start := time.Now()
		Expect(openProgram(ctx, c, "p1")).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically("<", 2500*time.Millisecond), "at most 1 s for each of the two silent members")
		start = time.Now()
		Expect(openProgram(ctx, c, "p2")).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("detects a member that stops answering during a waiting query", func() {
		m := startMember(nil)
		relay, err := testsite.NewRelay(m.addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		ctx := testContext()
		Expect(openProgram(ctx, m.client, "p")).To(Succeed())
		_, err = m.client.BeginTurn(ctx, "acme", structs.BeginTurn{Program: "p", MaxTokens: 10, Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		c := newClient(relay.Addr(), m.addr)
		leader, _ := c.LeaderAddress(ctx, c.OrgGroup("acme"))
		if leader != relay.Addr() {
			c.ReportLeaderFailure(c.OrgGroup("acme"), leader, relay.Addr())
		}
		result := make(chan structs.TurnState, 1)
		go func() {
			t, err := c.GetTurn(ctx, structs.TurnQuery{Org: "acme", Program: "p", Turn: 1, Wait: 20 * time.Second})
			if err == nil {
				result <- t.State
			}
		}()
		time.Sleep(200 * time.Millisecond)
		relay.Cut(true)
		start := time.Now()
		_, err = m.client.FinishTurn(ctx, "acme", structs.FinishTurn{Program: "p", Turn: 1, Attempt: 1, Answer: []byte("a")})
		Expect(err).NotTo(HaveOccurred())
		Eventually(result, "10s").Should(Receive(Equal(structs.TurnAnswered)))
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against reporting a command as not run although it is in the log.
	It("reports an uncertain outcome if the context ends when the command may be committed", func() {
		m, n := startFaultyMember(false)
		n.stuck.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		err := openProgram(stateclient.WithRequestID(ctx, "r1"), m.client, "p")
		Expect(errs.Is(err, errs.Uncertain)).To(BeTrue(), "%v", err)
		Expect(errs.From(err).Run).To(Equal(errs.RunUnknown))
		n.stuck.Store(false)
		Expect(openProgram(stateclient.WithResend(testContext(), "r1"), m.client, "p")).To(Succeed(), "the resend gets the first reply")
	})

	It("reports a command as not run if no member could be reached", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_ = ln.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		e := errs.From(openProgram(ctx, newClient(ln.Addr().String()), "p"))
		Expect(e.Code).To(Equal(errs.Unavailable))
		Expect(e.Run).To(Equal(errs.NotRun))
	})

	It("saves the groups of a site and loads them into a new site, where a resend changes nothing", func() {
		ctx := testContext()
		m, fresh := startMember(nil), startMember(nil)
		_, err := m.client.ApplyConfig(ctx, "op", structs.ApplyConfig{Declaration: declaration()})
		Expect(err).NotTo(HaveOccurred())
		Expect(openProgram(ctx, m.client, "p")).To(Succeed())
		data, err := m.client.SaveSnapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh.client.LoadSnapshot(ctx, data)).To(Succeed())
		Expect(fresh.client.LoadSnapshot(ctx, data)).To(Succeed(), "a resend after a lost reply")
		_, err = fresh.client.GetProgram(ctx, structs.ProgramQuery{Org: "acme", Program: "p"})
		Expect(err).NotTo(HaveOccurred())
		q, err := fresh.client.QueryConfig(ctx, structs.ConfigQuery{})
		Expect(err).NotTo(HaveOccurred())
		Expect(q.Revision).To(BeEquivalentTo(1))
		Expect(m.client.LoadSnapshot(ctx, append(data, 0))).NotTo(Succeed(), "the site is not empty")
	})
})

var _ = Describe("the server", func() {
	// Guards against an organisation that fills the log by exceeding its rate, and against
	// refusing a resend as not run although its first copy is in the log.
	It("refuses a command over the rate without a proposal, except for a resend", func() {
		ctx := testContext()
		m, n := startFaultyMember(false)
		slow := structs.Debit{Limits: structs.Limits{Revision: 1, Rate: 0.001, Burst: 1}}
		Expect(m.client.Debit(stateclient.WithRequestID(ctx, "r1"), "acme", slow)).To(Succeed())
		before := n.proposals.Load()
		err := errs.From(m.client.Debit(ctx, "acme", slow))
		Expect(err.Code).To(Equal(errs.RateLimited))
		Expect(err.Run).To(Equal(errs.NotRun))
		Expect(err.RetryAfter).To(BeNumerically("~", 1000*time.Second, 10*time.Second))
		Expect(n.proposals.Load()).To(Equal(before))
		Expect(m.client.Debit(stateclient.WithResend(ctx, "r1"), "acme", slow)).To(Succeed())
	})

	It("ends a waiting query when it stops leading, so that the client looks for the new leader", func() {
		m, n := startFaultyMember(false)
		ctx := testContext()
		_, err := m.client.BeginCall(ctx, "acme", structs.BeginCall{Key: "k", Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		n.follower.Store(true)
		_, err = m.client.GetCall(ctx, structs.CallQuery{Org: "acme", Key: "k", Wait: 20 * time.Second})
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "%v", err)
	})
})
