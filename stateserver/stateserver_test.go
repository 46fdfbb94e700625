package stateserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

const groups = 2

func TestStateServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stateserver")
}

// member is a state member that runs in the test process.
type member struct {
	srv    *stateserver.Server
	addr   string
	client *stateclient.Client
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	DeferCleanup(cancel)
	return ctx
}

// startMember starts a member on a local node, which wrap may replace by a wrapper.
func startMember(wrap func(replica.Node) replica.Node) *member {
	machines := stateserver.NewStateMachines(groups)
	var node replica.Node = replica.NewLocal(machines.ByGroup())
	if wrap != nil {
		node = wrap(node)
	}
	w, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	srv := stateserver.New(stateserver.Options{
		Node: node, StateMachines: machines, ID: "local",
		Members:     []settings.Member{{ID: "local", Address: w.Addr()}},
		ProgramIdle: time.Hour, EndedRetention: time.Hour,
		Log: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	srv.Register(w)
	go w.Serve()
	DeferCleanup(w.Close)
	client, err := stateclient.New([]string{w.Addr()}, groups, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return &member{srv: srv, addr: w.Addr(), client: client}
}

var limits = structs.Limits{Revision: 1, Rate: 1000, Burst: 1000, BudgetTokens: 1_000_000, MaxTurns: 100}

func declaration() structs.Declaration {
	return structs.Declaration{
		Site:          structs.Site{Name: "test"},
		Zones:         []structs.Zone{{Name: "a"}},
		Hosts:         []structs.Host{{Name: "h1", Zone: "a"}},
		Organisations: []structs.Organisation{{Name: "acme", Rate: 10, Burst: 10}},
		Models:        []structs.Model{{Name: "m1"}},
		Services:      []structs.Service{{Name: "chat", Model: "m1"}},
		Targets:       []structs.Target{{Name: "t1", Host: "h1", Address: "127.0.0.1:1", Model: "m1"}},
	}
}

var _ = Describe("a member", func() {
	It("runs a program of two turns and returns the history with the second", func() {
		ctx, c := testContext(), startMember(nil).client
		p, err := c.OpenProgram(ctx, "acme", structs.OpenProgram{ID: "p1", Service: "chat", Limits: limits})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Budget).To(Equal(limits.BudgetTokens))
		b, err := c.BeginTurn(ctx, "acme", structs.BeginTurn{
			Program: "p1", Turn: 1, Digest: "d1", Messages: [][]byte{[]byte("q1")}, MaxTokens: 100, Entry: "e1", Limits: limits,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Turn.Attempt).To(Equal(1))
		_, err = c.FinishTurn(ctx, "acme", structs.FinishTurn{
			Program: "p1", Turn: 1, Attempt: 1, Answer: []byte("a1"), UsageKnown: true,
			Usage: structs.Usage{PromptTokens: 5, CompletionTokens: 7}, Targets: []string{"t1"},
		})
		Expect(err).NotTo(HaveOccurred())
		b, err = c.BeginTurn(ctx, "acme", structs.BeginTurn{
			Program: "p1", Digest: "d2", Messages: [][]byte{[]byte("q2")}, MaxTokens: 100, Entry: "e1", Limits: limits,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.History).To(Equal([][]byte{[]byte("q1"), []byte("a1")}))
		Expect(b.Program.ContextTokens).To(BeEquivalentTo(12))
	})

	It("begins a call once and returns its recorded outcome", func() {
		ctx, c := testContext(), startMember(nil).client
		begin := structs.BeginCall{Key: "k1", Service: "orders", Digest: "d", Entry: "e1", Limits: limits}
		first, err := c.BeginCall(ctx, "acme", begin)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Begun).To(BeTrue())
		again, err := c.BeginCall(ctx, "acme", begin)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Begun).To(BeFalse())
		_, err = c.FinishCall(ctx, "acme", structs.FinishCall{Key: "k1", Entry: "e1", State: structs.CallFinished, Status: 201, Body: []byte("ok")})
		Expect(err).NotTo(HaveOccurred())
		again, err = c.BeginCall(ctx, "acme", begin)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Call.Body).To(Equal([]byte("ok")))
	})

	It("sends the list of live entries again only when it has changed", func() {
		ctx, c := testContext(), startMember(nil).client
		confirm := func(incarnation string) *structs.ConfirmReply {
			r, err := c.Confirm(ctx, structs.ConfirmConfig{Incarnation: incarnation})
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		confirm("e1")
		Eventually(func() []string { return confirm("e1").Live }, "8s", "500ms").Should(Equal([]string{"e1"}))
		Expect(*confirm("e1")).To(Satisfy(func(r structs.ConfirmReply) bool { return r.SameLive && len(r.Live) == 1 }))
		Expect(*confirm("e2")).To(Satisfy(func(r structs.ConfirmReply) bool { return !r.SameLive && len(r.Live) == 2 }))
	})

	It("applies, confirms and reads the configuration", func() {
		ctx, c := testContext(), startMember(nil).client
		r, err := c.ApplyConfig(ctx, "op", structs.ApplyConfig{Declaration: declaration()})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Revision).To(BeEquivalentTo(1))
		_, err = c.GrantKey(ctx, "op", structs.Key{ID: "key1", Hash: "h", Organisation: "acme"})
		Expect(err).NotTo(HaveOccurred())
		confirmed, err := c.Confirm(ctx, structs.ConfirmConfig{Incarnation: "i1", Revision: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed.Revision).To(BeEquivalentTo(2))
		Expect(confirmed.Objects).To(HaveLen(1))
		_, err = c.ApplyConfig(ctx, "op", structs.ApplyConfig{PlannedFrom: 1, Declaration: declaration()})
		Expect(errs.Is(err, errs.RevisionConflict)).To(BeTrue(), "%v", err)
		q, err := c.QueryConfig(ctx, structs.ConfigQuery{DeclarationOf: structs.CurrentDeclaration})
		Expect(err).NotTo(HaveOccurred())
		Expect(*q.Declaration).To(Equal(declaration()))
	})
})
