package orgsm_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/orgsm"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

func targetFailure() *errs.Error { return errs.New(errs.TargetFailed, "retry", "the target failed") }

var _ = DescribeTable("rejected commands leave the state unchanged",
	func(make func(g *group) structs.OrgCommand, code errs.Code, run errs.RunState, text string) {
		g := newPopulatedGroup()
		c := make(g)
		other := c.Org == "zenith"
		g.execute(structs.OrgCommand{Org: c.Org, Debit: &structs.Debit{Limits: g.limits}}) // creates the organisation
		before := g.Releases(10)
		state := func() []any {
			var out []any
			for _, id := range []string{"p", "q", "capped", "poor", "failed"} {
				out = append(out, g.program(id))
			}
			for _, k := range []string{"k-run", "k-done", "k-unknown", "k-notrun"} {
				rec, _, err := g.Call("acme", k)
				Expect(err).NotTo(HaveOccurred())
				out = append(out, *rec)
			}
			return out
		}
		want := state()
		r := g.execute(c)
		Expect(r.Err).NotTo(BeNil())
		Expect(r.Err.Code).To(Equal(code))
		Expect(r.Err.Run).To(Equal(run))
		Expect(r.Err.Remedy).NotTo(BeEmpty())
		Expect(r.Err.Error()).To(ContainSubstring(text))
		Expect(state()).To(Equal(want))
		Expect(g.Releases(10)).To(Equal(before))
		if other {
			missing := c
			missing.Org, missing.RequestID = "nobody", ""
			Expect(g.execute(missing).Err).To(Equal(r.Err), "the error must not reveal that another organisation has the record")
		}
	},
	Entry("a turn of an unknown program", func(g *group) structs.OrgCommand { return g.beginTurn("nope", 1, "d") }, errs.UnknownProgram, errs.NotRun, "nope"),
	Entry("a turn of another organisation's program", func(g *group) structs.OrgCommand {
		c := g.beginTurn("p", 3, "d")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("the end of another organisation's program", func(g *group) structs.OrgCommand {
		c := endProgram("p")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("a finish in another organisation's program", func(g *group) structs.OrgCommand {
		c := finishTurn("p", 2, 1)
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("a sub-agent of another organisation's program", func(g *group) structs.OrgCommand {
		c := g.openProgram("sub", "p")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("another organisation's call", func(g *group) structs.OrgCommand {
		c := resolveCall("k-unknown", structs.CallFinished)
		c.Org = "zenith"
		return c
	}, errs.NotFound, errs.NotRun, "k-unknown"),
	Entry("a turn of an ended program", func(g *group) structs.OrgCommand { return g.beginTurn("q", 1, "d") }, errs.ProgramEnded, errs.NotRun, "ended"),
	Entry("a turn too far ahead", func(g *group) structs.OrgCommand { return g.beginTurn("p", 4, "d") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("a negative turn", func(g *group) structs.OrgCommand { return g.beginTurn("p", -1, "d") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("an answered turn with a different request", func(g *group) structs.OrgCommand { return g.beginTurn("p", 1, "dx") }, errs.TurnConflict, errs.NotRun, "turn 1"),
	Entry("a running turn with a different request", func(g *group) structs.OrgCommand { return g.beginTurn("p", 2, "dx") }, errs.TurnConflict, errs.NotRun, "turn 2"),
	Entry("a running turn with a different request after its entry died", func(g *group) structs.OrgCommand {
		return withEntry(g.beginTurn("p", 0, "dx"), "e2", "e2")
	}, errs.TurnConflict, errs.NotRun, "turn 2"),
	Entry("a running turn begun again", func(g *group) structs.OrgCommand { return g.beginTurn("p", 2, "d2") }, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a running turn begun again through another live entry", func(g *group) structs.OrgCommand {
		return withEntry(g.beginTurn("p", 2, "d2"), "e2", "e1", "e2")
	}, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a running turn begun again while the live entries are unknown", func(g *group) structs.OrgCommand {
		return withEntry(g.beginTurn("p", 2, "d2"), "e2")
	}, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("the next turn while one is running", func(g *group) structs.OrgCommand { return g.beginTurn("p", 3, "d3") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("an unnumbered turn while one is running", func(g *group) structs.OrgCommand { return g.beginTurn("p", 0, "d3") }, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a turn beyond the turn cap", func(g *group) structs.OrgCommand { return g.beginTurn("capped", 2, "d") }, errs.TurnCapReached, errs.NotRun, "1 turns"),
	Entry("a turn that exceeds the budget", func(g *group) structs.OrgCommand { return g.beginTurn("poor", 1, "d") }, errs.BudgetExhausted, errs.NotRun, "20 tokens left"),
	Entry("a turn for another service", func(g *group) structs.OrgCommand {
		c := g.beginTurn("failed", 1, "d")
		c.BeginTurn.Service = "planner"
		return c
	}, errs.BadRequest, errs.NotRun, "planner"),
	Entry("a turn without a token limit", func(g *group) structs.OrgCommand {
		c := g.beginTurn("failed", 1, "d")
		c.BeginTurn.MaxTokens = 0
		return c
	}, errs.BadRequest, errs.NotRun, "limit"),
	Entry("a program id in use", func(g *group) structs.OrgCommand { return g.openProgram("p", "") }, errs.BadRequest, errs.NotRun, "in use"),
	Entry("a sub-agent of an ended program", func(g *group) structs.OrgCommand { return g.openProgram("sub", "q") }, errs.ProgramEnded, errs.NotRun, "ended"),
	Entry("a second answer to a turn", func(g *group) structs.OrgCommand { return finishTurn("p", 1, 1) }, errs.Superseded, errs.Ran, "attempt 1"),
	Entry("an answer to a turn that was not begun", func(g *group) structs.OrgCommand { return finishTurn("p", 3, 1) }, errs.BadRequest, errs.NotRun, "not begun"),
	Entry("a finish with neither an answer nor a failure", func(g *group) structs.OrgCommand {
		c := finishTurn("p", 2, 1)
		c.FinishTurn.Answer = nil
		return c
	}, errs.BadRequest, errs.RunUnknown, "neither"),
	Entry("a call key with a different request", func(g *group) structs.OrgCommand { return g.beginCall("k-run", "dx") }, errs.IdempotencyMismatch, errs.NotRun, "k-run"),
	Entry("a call without a key", func(g *group) structs.OrgCommand { return g.beginCall("", "d") }, errs.BadRequest, errs.NotRun, "no key"),
	Entry("a call finished by another entry", func(g *group) structs.OrgCommand {
		return finishCall("k-run", "e2", structs.CallFinished)
	}, errs.Superseded, errs.RunUnknown, "running"),
	Entry("a call finished twice", func(g *group) structs.OrgCommand {
		return finishCall("k-done", "e1", structs.CallNotRun)
	}, errs.Superseded, errs.RunUnknown, "finished"),
	Entry("a call finished with state running", func(g *group) structs.OrgCommand {
		return finishCall("k-run", "e1", structs.CallRunning)
	}, errs.BadRequest, errs.RunUnknown, "running"),
	Entry("finishing a call that does not exist", func(g *group) structs.OrgCommand { return finishCall("nope", "e1", structs.CallFinished) }, errs.NotFound, errs.NotRun, "nope"),
	Entry("resolving a running call", func(g *group) structs.OrgCommand { return resolveCall("k-run", structs.CallNotRun) }, errs.BadRequest, errs.NotRun, "running"),
	Entry("resolving a finished call", func(g *group) structs.OrgCommand { return resolveCall("k-done", structs.CallNotRun) }, errs.BadRequest, errs.NotRun, "finished"),
	Entry("resolving a call as unknown", func(g *group) structs.OrgCommand { return resolveCall("k-unknown", structs.CallUnknown) }, errs.BadRequest, errs.NotRun, "unknown"),
	Entry("loading a snapshot into a group with programs", func(g *group) structs.OrgCommand {
		return structs.OrgCommand{Restore: &structs.Restore{}}
	}, errs.BadRequest, errs.NotRun, "already"),
	Entry("an empty command", func(g *group) structs.OrgCommand { return structs.OrgCommand{} }, errs.BadRequest, errs.NotRun, "unknown"),
)

var _ = Describe("turns", func() {
	It("returns the recorded answer without a debit, even if the bucket is empty", func() {
		g := newPopulatedGroup()
		g.limits = structs.Limits{Revision: 2, Rate: 0, Burst: 0, BudgetTokens: 10_000, MaxTurns: 5}
		Expect(g.execute(structs.OrgCommand{Debit: &structs.Debit{Limits: g.limits}}).Err.Code).To(Equal(errs.RateLimited))
		r := g.mustExecute(g.beginTurn("p", 1, "d1"))
		Expect(r.BeginTurn.Recorded).To(BeTrue())
		Expect(r.BeginTurn.Turn.Answer).To(Equal([]byte("answer1")))
		Expect(g.CheckRateLimit(&structs.OrgCommand{Org: "acme", BeginTurn: g.beginTurn("p", 1, "d1").BeginTurn}, g.now)).To(BeNil())
	})

	It("takes over a turn of a dead entry and rejects that entry's late answer", func() {
		g := newPopulatedGroup()
		before := g.program("p")
		r := g.mustExecute(withEntry(g.beginTurn("p", 2, "d2"), "e2", "e2"))
		Expect(r.BeginTurn.Turn.Attempt).To(Equal(2))
		Expect(r.BeginTurn.Program.Spent).To(Equal(before.Spent+before.Reserved), "the reservation of the first attempt must be charged in full")
		late := finishTurn("p", 2, 1)
		late.FinishTurn.Targets = []string{"t9"}
		Expect(g.execute(late).Err.Code).To(Equal(errs.Superseded))
		Expect(g.program("p").Targets).To(ContainElement("t9"), "the engine holds memory although the answer was rejected")
		g.mustExecute(finishTurn("p", 2, 2))
		Expect(g.program("p").LastAnsweredTurn).To(Equal(2))
	})

	It("begins a failed turn again, also with a different request", func() {
		g := newPopulatedGroup()
		r := g.mustExecute(g.beginTurn("failed", 1, "other"))
		Expect(r.BeginTurn.Turn.Attempt).To(Equal(2))
	})

	It("returns the history after the known turns", func() {
		g := newGroup()
		g.mustExecute(g.openProgram("p", ""))
		for n := 1; n <= 2; n++ {
			g.mustExecute(g.beginTurn("p", n, "d"))
			g.mustExecute(finishTurn("p", n, 1))
		}
		c := g.beginTurn("p", 3, "d")
		c.BeginTurn.KnownTurns = 1
		Expect(g.mustExecute(c).BeginTurn.History).To(Equal([][]byte{[]byte("0123456789"), []byte("answer2")}))
	})

	It("ends an implicit program with its turn, and stores none for a rejected turn", func() {
		g := newGroup()
		c := g.beginTurn("once", 0, "d")
		c.BeginTurn.Implicit = true
		c.BeginTurn.MaxTokens = 0
		Expect(g.execute(c).Err).NotTo(BeNil())
		_, err := g.Program("acme", "once")
		Expect(errs.Is(err, errs.UnknownProgram)).To(BeTrue())
		c.BeginTurn.MaxTokens = 5
		g.mustExecute(c)
		g.mustExecute(finishTurn("once", 1, 1))
		Expect(g.program("once").State).To(Equal(structs.ProgramEnded))
		Expect(g.mustExecute(c).BeginTurn.Recorded).To(BeTrue())
	})

	It("wakes a waiting query when the turn ends", func() {
		g := newPopulatedGroup()
		_, changed, err := g.Turn("acme", "p", 2)
		Expect(err).NotTo(HaveOccurred())
		g.mustExecute(finishTurn("p", 2, 1))
		Expect(changed).To(BeClosed())
	})
})

var _ = DescribeTable("budget",
	func(known bool, usage structs.Usage, spent, context int64) {
		g := newGroup()
		c := g.openProgram("p", "")
		c.OpenProgram.BudgetTokens = 100
		g.mustExecute(c)
		r := g.mustExecute(g.beginTurn("p", 1, "d"))
		Expect(r.BeginTurn.MaxTokens).To(BeEquivalentTo(74), "the budget of 100 less 10 bytes of prompt and 16 tokens of message overhead")
		f := finishTurn("p", 1, 1)
		f.FinishTurn.UsageKnown, f.FinishTurn.Usage = known, usage
		p := g.mustExecute(f).Program
		Expect(p.Spent).To(Equal(spent))
		Expect(p.Reserved).To(BeZero())
		Expect(p.ContextTokens).To(Equal(context))
	},
	Entry("known usage is charged as reported", true, structs.Usage{PromptTokens: 4, CompletionTokens: 6}, int64(10), int64(10)),
	Entry("unknown usage is charged with the whole reservation", false, structs.Usage{}, int64(100), int64(100)),
	Entry("usage above the reservation is charged up to the reservation", true, structs.Usage{PromptTokens: 90, CompletionTokens: 90}, int64(100), int64(180)),
)

var _ = Describe("sub-agents", func() {
	It("share the root's budget and end with it", func() {
		g := newGroup()
		c := g.openProgram("root", "")
		c.OpenProgram.BudgetTokens = 200
		g.mustExecute(c)
		g.mustExecute(g.openProgram("sub", "root"))
		g.mustExecute(g.openProgram("subsub", "sub"))
		g.mustExecute(g.beginTurn("subsub", 1, "d"))
		Expect(g.program("root").Reserved).To(BeEquivalentTo(126))
		r := g.mustExecute(g.beginTurn("root", 1, "d"))
		Expect(r.BeginTurn.MaxTokens).To(BeEquivalentTo(48))
		Expect(g.execute(g.beginTurn("sub", 1, "d")).Err.Code).To(Equal(errs.BudgetExhausted))
		g.mustExecute(endProgram("root"))
		Expect(g.program("subsub").State).To(Equal(structs.ProgramEnded))
		g.mustExecute(finishTurn("subsub", 1, 1))
		Expect(g.program("root").Spent).To(BeEquivalentTo(30))
		Expect(g.Releases(10)).To(HaveLen(1), "the target reported after the end must be released")
	})
})

var _ = Describe("open programs", func() {
	// Guards against an organisation that exhausts the memory by opening programs, to which
	// the rate limit does not apply.
	It("are limited in number, also after a restore", func() {
		g := newGroup()
		for i := range 100_000 {
			c := g.openProgram(fmt.Sprint(i), "")
			c.Org = "acme"
			g.Apply(0, g.now, reqlog.Encode(&c))
		}
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Restore(data)).To(Succeed())
		Expect(g.execute(g.openProgram("more", "")).Err.Code).To(Equal(errs.Overloaded))
		g.mustExecute(endProgram("7"))
		g.mustExecute(g.openProgram("more", ""))
	})
})

var _ = Describe("calls", func() {
	It("become unknown when their entry is presumed dead, and may still be finished by it", func() {
		g := newPopulatedGroup()
		r := g.mustExecute(withEntry(g.beginCall("k-run", "d"), "e2", "e2")).BeginCall
		Expect(r.Begun).To(BeFalse())
		Expect(r.Call.State).To(Equal(structs.CallUnknown))
		Expect(g.mustExecute(finishCall("k-run", "e1", structs.CallFinished)).Call.State).To(Equal(structs.CallFinished))
	})

	It("stay running while the live entries are unknown", func() {
		g := newPopulatedGroup()
		Expect(g.mustExecute(withEntry(g.beginCall("k-run", "d"), "e2")).BeginCall.Call.State).To(Equal(structs.CallRunning))
	})

	It("can be begun again only if they are recorded as not run", func() {
		g := newPopulatedGroup()
		for _, k := range []string{"k-run", "k-done", "k-unknown"} {
			Expect(g.mustExecute(g.beginCall(k, "d")).BeginCall.Begun).To(BeFalse(), k)
		}
		Expect(g.mustExecute(g.beginCall("k-notrun", "d")).BeginCall.Begun).To(BeTrue())
		Expect(g.mustExecute(g.beginCall("k-notrun", "d")).BeginCall.Begun).To(BeFalse())
		g.mustExecute(resolveCall("k-unknown", structs.CallNotRun))
		Expect(g.mustExecute(g.beginCall("k-unknown", "d")).BeginCall.Begun).To(BeTrue())
	})

	// Guards against a third attempt while the second is running: the "not run" outcome of the
	// first attempt arrives twice.
	It("reject a late finish of an older attempt by the same entry", func() {
		g := newGroup()
		late := finishCall("k", "e1", structs.CallNotRun)
		late.FinishCall.Attempt = g.mustExecute(g.beginCall("k", "d")).BeginCall.Call.Attempt
		g.mustExecute(late)
		Expect(g.mustExecute(g.beginCall("k", "d")).BeginCall.Begun).To(BeTrue())
		late.RequestID = ""
		Expect(g.execute(late).Err.Code).To(Equal(errs.Superseded))
		Expect(g.mustExecute(g.beginCall("k", "d")).BeginCall.Begun).To(BeFalse())
	})

	// Guards against a call that stays running, so that an operator cannot resolve it, because
	// its entry died and no caller sends it again.
	It("become unknown after the grace period if their entry is dead", func() {
		for _, c := range []struct {
			age  time.Duration
			live []string
			want structs.CallState
		}{
			{10 * time.Second, []string{"e2"}, structs.CallRunning},
			{20 * time.Second, []string{"e2"}, structs.CallUnknown},
			{20 * time.Second, []string{"e1"}, structs.CallRunning},
			{20 * time.Second, nil, structs.CallRunning},
		} {
			g := newPopulatedGroup()
			g.now += c.age
			Expect(g.NeedsLiveEntries(g.now)).To(Equal(c.age > 15*time.Second))
			e := expire(time.Hour, time.Hour)
			e.Expire.LiveEntries = c.live
			g.mustExecute(e)
			rec, _, err := g.Call("acme", "k-run")
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.State).To(Equal(c.want), "%+v", c)
		}
	})

	It("are kept while unknown and deleted after they have finished", func() {
		g := newPopulatedGroup()
		g.now += 1000 * time.Hour
		g.mustExecute(expire(time.Hour, time.Hour))
		rec, _, err := g.Call("acme", "k-unknown")
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.State).To(Equal(structs.CallUnknown))
		rec, _, err = g.Call("acme", "k-run")
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.State).To(Equal(structs.CallUnknown), "only an unknown call can be resolved by an operator")
		_, _, err = g.Call("acme", "k-done")
		Expect(errs.Is(err, errs.NotFound)).To(BeTrue())
	})
})

var _ = Describe("expiry and releases", func() {
	It("expires idle programs, but not the parent of an active sub-agent", func() {
		g := newGroup()
		g.mustExecute(g.openProgram("idle", ""))
		g.mustExecute(g.openProgram("root", ""))
		g.mustExecute(g.openProgram("sub", "root"))
		g.now += 50 * time.Minute
		g.mustExecute(g.beginTurn("sub", 1, "d"))
		g.now += 50 * time.Minute
		g.mustExecute(expire(time.Hour, time.Hour))
		Expect(g.program("idle").State).To(Equal(structs.ProgramExpired))
		Expect(g.program("root").State).To(Equal(structs.ProgramOpen))
		g.now += 3 * time.Hour
		g.mustExecute(expire(time.Hour, time.Hour))
		Expect(g.program("root").State).To(Equal(structs.ProgramExpired))
		_, err := g.Program("acme", "idle")
		Expect(errs.Is(err, errs.UnknownProgram)).To(BeTrue(), "its record must be deleted")
	})

	It("keeps a release until it is confirmed, and keeps it if it was queued again meanwhile", func() {
		g := newPopulatedGroup()
		g.mustExecute(endProgram("capped"))
		r := g.Releases(10)
		Expect(r).To(HaveLen(1))
		late := finishTurn("capped", 1, 1) // a late outcome means that the engine stored the cache again
		Expect(g.execute(late).Err.Code).To(Equal(errs.Superseded))
		g.mustExecute(structs.OrgCommand{ConfirmReleases: &structs.ConfirmReleases{Releases: []structs.Release{r[0].Release}}})
		again := g.Releases(10)
		Expect(again).To(HaveLen(1))
		g.mustExecute(structs.OrgCommand{ConfirmReleases: &structs.ConfirmReleases{Releases: []structs.Release{again[0].Release}}})
		Expect(g.Releases(10)).To(BeEmpty())
	})

	It("releases a program on all targets of the service after an attempt that reported none", func() {
		g := newPopulatedGroup()
		g.mustExecute(withEntry(g.beginTurn("p", 2, "d2"), "e2", "e2"))
		g.mustExecute(finishTurn("p", 2, 2))
		g.mustExecute(endProgram("p"))
		Expect(g.Releases(10)).To(ContainElement(HaveField("Release.Target", orgsm.AllTargetsOf("chat"))))
	})

	It("settles an abandoned turn of an ended program", func() {
		g := newPopulatedGroup()
		g.mustExecute(endProgram("p"))
		g.now += time.Hour
		g.mustExecute(expire(time.Hour, 2*time.Hour))
		p := g.program("p")
		Expect(p.Reserved).To(BeZero())
		Expect(p.Spent).To(BeEquivalentTo(30 + 156))
		Expect(g.Releases(10)).To(ContainElement(HaveField("Release.Target", orgsm.AllTargetsOf("chat"))))
	})
})

var _ = Describe("rate limit", func() {
	debit := func(g *group) *errs.Error {
		return g.execute(structs.OrgCommand{Debit: &structs.Debit{Limits: g.limits}}).Err
	}
	It("starts with a full bucket, refills exactly and returns the retry delay", func() {
		g := newGroup()
		g.limits.Rate, g.limits.Burst = 3, 2
		Expect(debit(g)).To(BeNil())
		Expect(debit(g)).To(BeNil())
		err := debit(g)
		Expect(err.Code).To(Equal(errs.RateLimited))
		Expect(err.RetryAfter).To(BeNumerically("~", time.Second/3, 5*time.Millisecond))
		g.now += 333_333_333
		Expect(debit(g)).NotTo(BeNil(), "one nanosecond is missing to a third of a second")
		g.now++
		Expect(debit(g)).To(BeNil())
	})

	It("fills the bucket up to the burst after a pause whose refill overflows 64 bits", func() {
		g := newGroup()
		g.limits.Rate, g.limits.Burst = 1e6, 2
		Expect(debit(g)).To(BeNil())
		g.now += 10_000 * time.Hour
		Expect([]bool{debit(g) == nil, debit(g) == nil, debit(g) == nil}).To(Equal([]bool{true, true, false}))
	})

	It("applies the limits of the highest revision seen", func() {
		g := newGroup()
		g.limits = structs.Limits{Revision: 5, Rate: 1, Burst: 1}
		Expect(debit(g)).To(BeNil())
		g.limits = structs.Limits{Revision: 4, Rate: 1e6, Burst: 1000}
		g.now += time.Second
		Expect(debit(g)).To(BeNil())
		Expect(debit(g)).NotTo(BeNil(), "an entry with an older configuration must not raise the rate")
		g.limits.Revision = 6
		g.now += time.Millisecond
		Expect(debit(g)).NotTo(BeNil(), "a larger burst must be filled at the new rate, not at once")
	})

	It("refuses a command before it is proposed only if the bucket is empty", func() {
		g := newGroup()
		g.limits.Rate, g.limits.Burst = 1, 1
		c := g.beginTurn("p", 1, "d")
		c.Org = "acme"
		Expect(g.CheckRateLimit(&c, g.now)).To(BeNil(), "the organisation is not known yet")
		Expect(debit(g)).To(BeNil())
		Expect(g.CheckRateLimit(&c, g.now).Code).To(Equal(errs.RateLimited))
		Expect(g.CheckRateLimit(&c, g.now+time.Second)).To(BeNil())
		c.BeginTurn.Limits.Revision++
		Expect(g.CheckRateLimit(&c, g.now)).To(BeNil(), "newer limits that the log does not contain yet may admit the request")
	})
})

var _ = Describe("resent commands", func() {
	It("return the first reply and change nothing, also after a snapshot and restore", func() {
		g := newPopulatedGroup()
		commands := []structs.OrgCommand{
			g.openProgram("new", ""), g.beginTurn("new", 1, "d"), finishTurn("p", 2, 1), g.beginTurn("p", 3, "d3"),
			g.beginCall("k-new", "d"), g.beginCall("k-done", "d"), finishCall("k-run", "e1", structs.CallFinished),
			g.beginTurn("p", 1, "d1"), g.beginTurn("p", 9, "d"), endProgram("capped"), {Debit: &structs.Debit{Limits: g.limits}},
		}
		var first []structs.OrgReply
		for i := range commands {
			commands[i].RequestID = fmt.Sprint("resend", i)
			first = append(first, g.execute(commands[i]))
		}
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := newGroup()
		Expect(restored.Restore(data)).To(Succeed())
		for _, m := range []*group{g, restored} {
			m.now += time.Minute
			for i, c := range commands {
				Expect(m.execute(c)).To(Equal(first[i]), "command %d", i)
			}
			after, err := m.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(Equal(data))
		}
	})

	It("shifts the times of a snapshot that is loaded into a new site", func() {
		g := newPopulatedGroup()
		g.limits = structs.Limits{Revision: 2, Rate: 1, Burst: 1, BudgetTokens: 10_000, MaxTurns: 5}
		g.mustExecute(structs.OrgCommand{Debit: &structs.Debit{Limits: g.limits}})
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		fresh := newGroup()
		fresh.now, fresh.limits = time.Second, g.limits
		fresh.mustExecute(structs.OrgCommand{Restore: &structs.Restore{Snapshot: data}})
		Expect(fresh.execute(structs.OrgCommand{Debit: &structs.Debit{Limits: g.limits}}).Err).NotTo(BeNil())
		fresh.now += time.Second
		fresh.mustExecute(structs.OrgCommand{Debit: &structs.Debit{Limits: g.limits}})
	})
})
