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

// requestCount is the number of request ids generated so far, across all groups.
var requestCount int

// group is a machine under test. Its helpers create commands of the organisation acme.
type group struct {
	*orgsm.Machine
	now    time.Duration
	limits structs.Limits
}

func newGroup() *group {
	return &group{Machine: orgsm.New(), now: time.Hour,
		limits: structs.Limits{Revision: 1, Rate: 1000, Burst: 1000, BudgetTokens: 10_000, MaxTurns: 5}}
}

// execute applies a command and returns its reply. A command without an organisation or
// request id gets acme and a new id.
func (g *group) execute(c structs.OrgCommand) structs.OrgReply {
	if c.Org == "" {
		c.Org = "acme"
	}
	if c.RequestID == "" {
		requestCount++
		c.RequestID = fmt.Sprint("r", requestCount)
	}
	var r structs.OrgReply
	if err := msgpack.Unmarshal(g.Apply(0, g.now, reqlog.Encode(&c)), &r); err != nil {
		panic(err)
	}
	return r
}

// mustExecute applies a command that must succeed.
func (g *group) mustExecute(c structs.OrgCommand) structs.OrgReply {
	GinkgoHelper()
	r := g.execute(c)
	Expect(r.Err).To(BeNil())
	return r
}

func (g *group) openProgram(id, parent string) structs.OrgCommand {
	return structs.OrgCommand{OpenProgram: &structs.OpenProgram{ID: id, Parent: parent, Service: "chat", Limits: g.limits}}
}

// beginTurn returns a command that begins turn n of a program with a message of 10 bytes,
// which counts as 26 prompt tokens on top of the program's context. The entry is "e1"; the
// entries "e1" and "e2" are alive.
func (g *group) beginTurn(program string, n int, digest string) structs.OrgCommand {
	return structs.OrgCommand{BeginTurn: &structs.BeginTurn{
		Program: program, Service: "chat", Turn: n, Digest: digest, Messages: [][]byte{[]byte("0123456789")},
		MaxTokens: 100, Entry: "e1", LiveEntries: []string{"e1", "e2"}, Limits: g.limits,
	}}
}

// finishTurn returns a command that answers a turn with 10 prompt and 20 completion tokens
// used on target t1.
func finishTurn(program string, n, attempt int) structs.OrgCommand {
	return structs.OrgCommand{FinishTurn: &structs.FinishTurn{
		Program: program, Turn: n, Attempt: attempt, Answer: []byte(fmt.Sprint("answer", n)), UsageKnown: true,
		Usage: structs.Usage{PromptTokens: 10, CompletionTokens: 20}, Targets: []string{"t1"},
	}}
}

func (g *group) beginCall(key, digest string) structs.OrgCommand {
	return structs.OrgCommand{BeginCall: &structs.BeginCall{
		Key: key, Service: "orders", Digest: digest, Entry: "e1", LiveEntries: []string{"e1", "e2"}, Limits: g.limits,
	}}
}

func finishCall(key, entry string, s structs.CallState) structs.OrgCommand {
	return structs.OrgCommand{FinishCall: &structs.FinishCall{
		Key: key, Entry: entry, State: s, Status: 201, Header: map[string]string{"A": "1", "B": "2"}, Body: []byte("body"),
	}}
}

func resolveCall(key string, s structs.CallState) structs.OrgCommand {
	return structs.OrgCommand{ResolveCall: &structs.ResolveCall{Key: key, State: s}}
}

func endProgram(id string) structs.OrgCommand {
	return structs.OrgCommand{EndProgram: &structs.EndProgram{ID: id}}
}

func expire(idle, keep time.Duration) structs.OrgCommand {
	return structs.OrgCommand{Expire: &structs.Expire{Idle: idle, Keep: keep}}
}

// withEntry returns c, a begin of a turn or call, with another entry and other live entries.
func withEntry(c structs.OrgCommand, entry string, live ...string) structs.OrgCommand {
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

// newPopulatedGroup returns a group with these programs:
//   - p: turn 1 answered (digest d1), turn 2 running (digest d2, entry e1)
//   - q: ended
//   - capped: at its turn cap
//   - poor: a budget of 20 tokens
//   - failed: turn 1 failed
//
// and with the calls k-run (running, entry e1), k-done, k-unknown and k-notrun, all with
// digest d.
func newPopulatedGroup() *group {
	g := newGroup()
	for _, id := range []string{"p", "q", "capped", "poor", "failed"} {
		c := g.openProgram(id, "")
		switch id {
		case "capped":
			c.OpenProgram.MaxTurns = 1
		case "poor":
			c.OpenProgram.BudgetTokens = 20
		}
		g.mustExecute(c)
	}
	for _, id := range []string{"p", "capped"} {
		g.mustExecute(g.beginTurn(id, 1, "d1"))
		g.mustExecute(finishTurn(id, 1, 1))
	}
	g.mustExecute(g.beginTurn("p", 2, "d2"))
	g.mustExecute(endProgram("q"))
	g.mustExecute(g.beginTurn("failed", 1, "d1"))
	failed := finishTurn("failed", 1, 1)
	failed.FinishTurn.Failure = targetFailure()
	g.mustExecute(failed)
	for key, s := range map[string]structs.CallState{
		"k-run": "", "k-done": structs.CallFinished, "k-unknown": structs.CallUnknown, "k-notrun": structs.CallNotRun,
	} {
		g.mustExecute(g.beginCall(key, "d"))
		if s != "" {
			g.mustExecute(finishCall(key, "e1", s))
		}
	}
	return g
}
