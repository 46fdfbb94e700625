package orgsm_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/statemachine/orgsm"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

func TestOrgSM(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orgsm")
}

// requests numbers the request ids of all groups.
var requests int

// group drives a machine for one organisation.
type group struct {
	*orgsm.Machine
	now time.Duration
	lim structs.Limits
}

func newGroup() *group {
	return &group{Machine: orgsm.New(), now: time.Hour,
		lim: structs.Limits{Revision: 1, Rate: 1000, Burst: 1000, BudgetTokens: 10_000, MaxTurns: 5}}
}

func (g *group) do(c structs.OrgCommand) structs.OrgReply {
	if c.Org == "" {
		c.Org = "acme"
	}
	if c.RequestID == "" {
		requests++
		c.RequestID = fmt.Sprint("r", requests)
	}
	var r structs.OrgReply
	if err := msgpack.Unmarshal(g.Apply(0, g.now, reqlog.Encode(&c)), &r); err != nil {
		panic(err)
	}
	return r
}

func (g *group) must(c structs.OrgCommand) structs.OrgReply {
	GinkgoHelper()
	r := g.do(c)
	Expect(r.Err).To(BeNil())
	return r
}

func (g *group) open(id, parent string) structs.OrgCommand {
	return structs.OrgCommand{OpenProgram: &structs.OpenProgram{ID: id, Parent: parent, Service: "chat", Limits: g.lim}}
}

// begin asks for turn n of a program with a message of 10 bytes: at most 26 prompt tokens
// after the program's context. The entry is "e1", and "e1" and "e2" are alive.
func (g *group) begin(program string, n int, digest string) structs.OrgCommand {
	return structs.OrgCommand{BeginTurn: &structs.BeginTurn{
		Program: program, Service: "chat", Turn: n, Digest: digest, Messages: [][]byte{[]byte("0123456789")},
		MaxTokens: 100, Entry: "e1", LiveEntries: []string{"e1", "e2"}, Limits: g.lim,
	}}
}

// finish answers a turn with a use of 10 prompt and 20 completion tokens.
func finish(program string, n, attempt int) structs.OrgCommand {
	return structs.OrgCommand{FinishTurn: &structs.FinishTurn{
		Program: program, Turn: n, Attempt: attempt, Answer: []byte(fmt.Sprint("answer", n)), UsageKnown: true,
		Usage: structs.Usage{PromptTokens: 10, CompletionTokens: 20}, Targets: []string{"t1"},
	}}
}

func (g *group) call(key, digest string) structs.OrgCommand {
	return structs.OrgCommand{BeginCall: &structs.BeginCall{
		Key: key, Service: "orders", Digest: digest, Entry: "e1", LiveEntries: []string{"e1", "e2"}, Limits: g.lim,
	}}
}

func finishCall(key, entry string, s structs.CallState) structs.OrgCommand {
	return structs.OrgCommand{FinishCall: &structs.FinishCall{
		Key: key, Entry: entry, State: s, Status: 201, Header: map[string]string{"A": "1", "B": "2"}, Body: []byte("body"),
	}}
}

func resolve(key string, s structs.CallState) structs.OrgCommand {
	return structs.OrgCommand{ResolveCall: &structs.ResolveCall{Key: key, State: s}}
}

func end(id string) structs.OrgCommand {
	return structs.OrgCommand{EndProgram: &structs.EndProgram{ID: id}}
}

func expire(idle, keep time.Duration) structs.OrgCommand {
	return structs.OrgCommand{Expire: &structs.Expire{Idle: idle, Keep: keep}}
}

// by changes the entry and the live entries of a begin.
func by(c structs.OrgCommand, entry string, live ...string) structs.OrgCommand {
	if c.BeginTurn != nil {
		c.BeginTurn.Entry, c.BeginTurn.LiveEntries = entry, live
	}
	if c.BeginCall != nil {
		c.BeginCall.Entry, c.BeginCall.LiveEntries = entry, live
	}
	return c
}

func (g *group) program(id string) structs.Program {
	GinkgoHelper()
	p, err := g.Program("acme", id)
	Expect(err).NotTo(HaveOccurred())
	return *p
}

// prepared has program p with an answered turn 1 (digest d1) and a running turn 2 (d2,
// entry e1); q ended; "capped" at its turn cap; "poor" with a budget of 20; "failed" with
// a failed turn 1; calls k-run (e1), k-done, k-unknown and k-notrun, all with digest d.
func prepared() *group {
	g := newGroup()
	for _, id := range []string{"p", "q", "capped", "poor", "failed"} {
		c := g.open(id, "")
		switch id {
		case "capped":
			c.OpenProgram.MaxTurns = 1
		case "poor":
			c.OpenProgram.BudgetTokens = 20
		}
		g.must(c)
	}
	for _, id := range []string{"p", "capped"} {
		g.must(g.begin(id, 1, "d1"))
		g.must(finish(id, 1, 1))
	}
	g.must(g.begin("p", 2, "d2"))
	g.must(end("q"))
	g.must(g.begin("failed", 1, "d1"))
	failed := finish("failed", 1, 1)
	failed.FinishTurn.Failure = rateFailure()
	g.must(failed)
	for key, s := range map[string]structs.CallState{
		"k-run": "", "k-done": structs.CallFinished, "k-unknown": structs.CallUnknown, "k-notrun": structs.CallNotRun,
	} {
		g.must(g.call(key, "d"))
		if s != "" {
			g.must(finishCall(key, "e1", s))
		}
	}
	return g
}
