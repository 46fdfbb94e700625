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

func rateFailure() *errs.Error { return errs.New(errs.TargetFailed, "retry", "the target failed") }

var _ = DescribeTable("refusals that change nothing",
	func(make func(g *group) structs.OrgCommand, code errs.Code, run errs.RunState, text string) {
		g := prepared()
		c := make(g)
		other := c.Org == "zenith"
		g.do(structs.OrgCommand{Org: c.Org, Debit: &structs.Debit{Limits: g.lim}}) // the organisation is known
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
		r := g.do(c)
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
			Expect(g.do(missing).Err).To(Equal(r.Err), "another organisation sees what a stranger sees")
		}
	},
	Entry("a turn of an unknown program", func(g *group) structs.OrgCommand { return g.begin("nope", 1, "d") }, errs.UnknownProgram, errs.NotRun, "nope"),
	Entry("a turn of another organisation's program", func(g *group) structs.OrgCommand {
		c := g.begin("p", 3, "d")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("the end of another organisation's program", func(g *group) structs.OrgCommand {
		c := end("p")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("a finish in another organisation's program", func(g *group) structs.OrgCommand {
		c := finish("p", 2, 1)
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("a sub-agent of another organisation's program", func(g *group) structs.OrgCommand {
		c := g.open("sub", "p")
		c.Org = "zenith"
		return c
	}, errs.UnknownProgram, errs.NotRun, "\"p\""),
	Entry("another organisation's call", func(g *group) structs.OrgCommand {
		c := resolve("k-unknown", structs.CallFinished)
		c.Org = "zenith"
		return c
	}, errs.NotFound, errs.NotRun, "k-unknown"),
	Entry("a turn of an ended program", func(g *group) structs.OrgCommand { return g.begin("q", 1, "d") }, errs.ProgramEnded, errs.NotRun, "ended"),
	Entry("a turn too far ahead", func(g *group) structs.OrgCommand { return g.begin("p", 4, "d") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("a negative turn", func(g *group) structs.OrgCommand { return g.begin("p", -1, "d") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("an answered turn with another request", func(g *group) structs.OrgCommand { return g.begin("p", 1, "dx") }, errs.TurnConflict, errs.NotRun, "turn 1"),
	Entry("a running turn with another request", func(g *group) structs.OrgCommand { return g.begin("p", 2, "dx") }, errs.TurnConflict, errs.NotRun, "turn 2"),
	Entry("a running turn with another request after its entry died", func(g *group) structs.OrgCommand {
		return by(g.begin("p", 0, "dx"), "e2", "e2")
	}, errs.TurnConflict, errs.NotRun, "turn 2"),
	Entry("a running turn again", func(g *group) structs.OrgCommand { return g.begin("p", 2, "d2") }, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a running turn again through another entry", func(g *group) structs.OrgCommand {
		return by(g.begin("p", 2, "d2"), "e2", "e1", "e2")
	}, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a running turn while the live entries are not known", func(g *group) structs.OrgCommand {
		return by(g.begin("p", 2, "d2"), "e2")
	}, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("the next turn while one is running", func(g *group) structs.OrgCommand { return g.begin("p", 3, "d3") }, errs.TurnOutOfOrder, errs.NotRun, "expects turn 2"),
	Entry("an unnumbered turn while one is running", func(g *group) structs.OrgCommand { return g.begin("p", 0, "d3") }, errs.TurnInProgress, errs.NotRun, "turn 2"),
	Entry("a turn over the cap", func(g *group) structs.OrgCommand { return g.begin("capped", 2, "d") }, errs.TurnCapReached, errs.NotRun, "1 turns"),
	Entry("a turn over the budget", func(g *group) structs.OrgCommand { return g.begin("poor", 1, "d") }, errs.BudgetExhausted, errs.NotRun, "20 tokens left"),
	Entry("a turn for another service", func(g *group) structs.OrgCommand {
		c := g.begin("failed", 1, "d")
		c.BeginTurn.Service = "planner"
		return c
	}, errs.BadRequest, errs.NotRun, "planner"),
	Entry("a turn without a token limit", func(g *group) structs.OrgCommand {
		c := g.begin("failed", 1, "d")
		c.BeginTurn.MaxTokens = 0
		return c
	}, errs.BadRequest, errs.NotRun, "limit"),
	Entry("a program id in use", func(g *group) structs.OrgCommand { return g.open("p", "") }, errs.BadRequest, errs.NotRun, "in use"),
	Entry("a sub-agent of an ended program", func(g *group) structs.OrgCommand { return g.open("sub", "q") }, errs.ProgramEnded, errs.NotRun, "ended"),
	Entry("a second answer", func(g *group) structs.OrgCommand { return finish("p", 1, 1) }, errs.Superseded, errs.Ran, "attempt 1"),
	Entry("an answer to a turn that was not begun", func(g *group) structs.OrgCommand { return finish("p", 3, 1) }, errs.BadRequest, errs.NotRun, "not begun"),
	Entry("a finish without answer and failure", func(g *group) structs.OrgCommand {
		c := finish("p", 2, 1)
		c.FinishTurn.Answer = nil
		return c
	}, errs.BadRequest, errs.RunUnknown, "neither"),
	Entry("a call key with another request", func(g *group) structs.OrgCommand { return g.call("k-run", "dx") }, errs.IdempotencyMismatch, errs.NotRun, "k-run"),
	Entry("a call without key", func(g *group) structs.OrgCommand { return g.call("", "d") }, errs.BadRequest, errs.NotRun, "no key"),
	Entry("a call finished by another entry", func(g *group) structs.OrgCommand {
		return finishCall("k-run", "e2", structs.CallFinished)
	}, errs.Superseded, errs.RunUnknown, "running"),
	Entry("a call finished twice", func(g *group) structs.OrgCommand {
		return finishCall("k-done", "e1", structs.CallNotRun)
	}, errs.Superseded, errs.RunUnknown, "finished"),
	Entry("a call finished as running", func(g *group) structs.OrgCommand {
		return finishCall("k-run", "e1", structs.CallRunning)
	}, errs.BadRequest, errs.RunUnknown, "running"),
	Entry("an unknown call finished", func(g *group) structs.OrgCommand { return finishCall("nope", "e1", structs.CallFinished) }, errs.NotFound, errs.NotRun, "nope"),
	Entry("a running call resolved", func(g *group) structs.OrgCommand { return resolve("k-run", structs.CallNotRun) }, errs.BadRequest, errs.NotRun, "running"),
	Entry("a finished call resolved", func(g *group) structs.OrgCommand { return resolve("k-done", structs.CallNotRun) }, errs.BadRequest, errs.NotRun, "finished"),
	Entry("a call resolved as unknown", func(g *group) structs.OrgCommand { return resolve("k-unknown", structs.CallUnknown) }, errs.BadRequest, errs.NotRun, "unknown"),
	Entry("a snapshot load into a group with programs", func(g *group) structs.OrgCommand {
		return structs.OrgCommand{Restore: &structs.Restore{}}
	}, errs.BadRequest, errs.NotRun, "already"),
	Entry("an empty command", func(g *group) structs.OrgCommand { return structs.OrgCommand{} }, errs.BadRequest, errs.NotRun, "unknown"),
)

var _ = Describe("turns", func() {
	It("returns the recorded answer and debits nothing, even with an empty bucket", func() {
		g := prepared()
		g.lim = structs.Limits{Revision: 2, Rate: 0, Burst: 0, BudgetTokens: 10_000, MaxTurns: 5}
		Expect(g.do(structs.OrgCommand{Debit: &structs.Debit{Limits: g.lim}}).Err.Code).To(Equal(errs.RateLimited))
		r := g.must(g.begin("p", 1, "d1"))
		Expect(r.BeginTurn.Recorded).To(BeTrue())
		Expect(r.BeginTurn.Turn.Answer).To(Equal([]byte("answer1")))
		Expect(g.Refuse(&structs.OrgCommand{Org: "acme", BeginTurn: g.begin("p", 1, "d1").BeginTurn}, g.now)).To(BeNil())
	})

	It("takes over a turn of a dead entry and refuses its late answer", func() {
		g := prepared()
		before := g.program("p")
		r := g.must(by(g.begin("p", 2, "d2"), "e2", "e2"))
		Expect(r.BeginTurn.Turn.Attempt).To(Equal(2))
		Expect(r.BeginTurn.Program.Spent).To(Equal(before.Spent+before.Reserved), "the old reservation counts in full")
		late := finish("p", 2, 1)
		late.FinishTurn.Targets = []string{"t9"}
		Expect(g.do(late).Err.Code).To(Equal(errs.Superseded))
		Expect(g.program("p").Targets).To(ContainElement("t9"), "the engine holds memory all the same")
		g.must(finish("p", 2, 2))
		Expect(g.program("p").Answered).To(Equal(2))
	})

	It("begins a failed turn again, with another request too", func() {
		g := prepared()
		r := g.must(g.begin("failed", 1, "other"))
		Expect(r.BeginTurn.Turn.Attempt).To(Equal(2))
	})

	It("sends the history after the known turns", func() {
		g := newGroup()
		g.must(g.open("p", ""))
		for n := 1; n <= 2; n++ {
			g.must(g.begin("p", n, "d"))
			g.must(finish("p", n, 1))
		}
		c := g.begin("p", 3, "d")
		c.BeginTurn.KnownTurns = 1
		Expect(g.must(c).BeginTurn.History).To(Equal([][]byte{[]byte("0123456789"), []byte("answer2")}))
	})

	It("ends an implicit program with its turn, and stores none for a refused one", func() {
		g := newGroup()
		c := g.begin("once", 0, "d")
		c.BeginTurn.Implicit = true
		c.BeginTurn.MaxTokens = 0
		Expect(g.do(c).Err).NotTo(BeNil())
		_, err := g.Program("acme", "once")
		Expect(errs.Is(err, errs.UnknownProgram)).To(BeTrue())
		c.BeginTurn.MaxTokens = 5
		g.must(c)
		g.must(finish("once", 1, 1))
		Expect(g.program("once").State).To(Equal(structs.ProgramEnded))
		Expect(g.must(c).BeginTurn.Recorded).To(BeTrue())
	})

	It("wakes a waiting query when the turn ends", func() {
		g := prepared()
		_, changed, err := g.Turn("acme", "p", 2)
		Expect(err).NotTo(HaveOccurred())
		g.must(finish("p", 2, 1))
		Expect(changed).To(BeClosed())
	})
})

var _ = DescribeTable("budget",
	func(known bool, usage structs.Usage, spent, context int64) {
		g := newGroup()
		c := g.open("p", "")
		c.OpenProgram.BudgetTokens = 100
		g.must(c)
		r := g.must(g.begin("p", 1, "d"))
		Expect(r.BeginTurn.MaxTokens).To(BeEquivalentTo(74), "100 without a prompt of 10 bytes and one message")
		f := finish("p", 1, 1)
		f.FinishTurn.UsageKnown, f.FinishTurn.Usage = known, usage
		p := g.must(f).Program
		Expect(p.Spent).To(Equal(spent))
		Expect(p.Reserved).To(BeZero())
		Expect(p.ContextTokens).To(Equal(context))
	},
	Entry("known use counts as it is", true, structs.Usage{PromptTokens: 4, CompletionTokens: 6}, int64(10), int64(10)),
	Entry("unknown use counts in full", false, structs.Usage{}, int64(100), int64(100)),
	Entry("use over the reservation does not exceed the budget", true, structs.Usage{PromptTokens: 90, CompletionTokens: 90}, int64(100), int64(180)),
)

var _ = Describe("sub-agents", func() {
	It("share the root's budget and end with it", func() {
		g := newGroup()
		c := g.open("root", "")
		c.OpenProgram.BudgetTokens = 200
		g.must(c)
		g.must(g.open("sub", "root"))
		g.must(g.open("subsub", "sub"))
		g.must(g.begin("subsub", 1, "d"))
		Expect(g.program("root").Reserved).To(BeEquivalentTo(126))
		r := g.must(g.begin("root", 1, "d"))
		Expect(r.BeginTurn.MaxTokens).To(BeEquivalentTo(48))
		Expect(g.do(g.begin("sub", 1, "d")).Err.Code).To(Equal(errs.BudgetExhausted))
		g.must(end("root"))
		Expect(g.program("subsub").State).To(Equal(structs.ProgramEnded))
		g.must(finish("subsub", 1, 1))
		Expect(g.program("root").Spent).To(BeEquivalentTo(30))
		Expect(g.Releases(10)).To(HaveLen(1), "the late target is released")
	})
})

var _ = Describe("open programs", func() {
	// Guards against an organisation that fills the memory without using its rate.
	It("are bounded, also after a restore", func() {
		g := newGroup()
		for i := range 100_000 {
			c := g.open(fmt.Sprint(i), "")
			c.Org = "acme"
			g.Apply(0, g.now, reqlog.Encode(&c))
		}
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Restore(data)).To(Succeed())
		Expect(g.do(g.open("more", "")).Err.Code).To(Equal(errs.Overloaded))
		g.must(end("7"))
		g.must(g.open("more", ""))
	})
})

var _ = Describe("calls", func() {
	It("become unknown when their entry dies, and may be finished by it after all", func() {
		g := prepared()
		r := g.must(by(g.call("k-run", "d"), "e2", "e2")).BeginCall
		Expect(r.Begun).To(BeFalse())
		Expect(r.Call.State).To(Equal(structs.CallUnknown))
		Expect(g.must(finishCall("k-run", "e1", structs.CallFinished)).Call.State).To(Equal(structs.CallFinished))
	})

	It("stay running while the live entries are not known", func() {
		g := prepared()
		Expect(g.must(by(g.call("k-run", "d"), "e2")).BeginCall.Call.State).To(Equal(structs.CallRunning))
	})

	It("may be begun again only where they are proved not run", func() {
		g := prepared()
		for _, k := range []string{"k-run", "k-done", "k-unknown"} {
			Expect(g.must(g.call(k, "d")).BeginCall.Begun).To(BeFalse(), k)
		}
		Expect(g.must(g.call("k-notrun", "d")).BeginCall.Begun).To(BeTrue())
		Expect(g.must(g.call("k-notrun", "d")).BeginCall.Begun).To(BeFalse())
		g.must(resolve("k-unknown", structs.CallNotRun))
		Expect(g.must(g.call("k-unknown", "d")).BeginCall.Begun).To(BeTrue())
	})

	// Guards against a third attempt beside the second: the first one's "not run" arrives twice.
	It("refuse a late finish of an older attempt of the same entry", func() {
		g := newGroup()
		late := finishCall("k", "e1", structs.CallNotRun)
		late.FinishCall.Attempt = g.must(g.call("k", "d")).BeginCall.Call.Attempt
		g.must(late)
		Expect(g.must(g.call("k", "d")).BeginCall.Begun).To(BeTrue())
		late.RequestID = ""
		Expect(g.do(late).Err.Code).To(Equal(errs.Superseded))
		Expect(g.must(g.call("k", "d")).BeginCall.Begun).To(BeFalse())
	})

	// Guards against a call that an operator cannot resolve because nobody sends it again.
	It("become unknown soon after their entry died, but not if they are young", func() {
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
			g := prepared()
			g.now += c.age
			Expect(g.NeedsLive(g.now)).To(Equal(c.age > 15*time.Second))
			e := expire(time.Hour, time.Hour)
			e.Expire.LiveEntries = c.live
			g.must(e)
			rec, _, err := g.Call("acme", "k-run")
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.State).To(Equal(c.want), "%+v", c)
		}
	})

	It("stay unknown for ever", func() {
		g := prepared()
		g.now += 1000 * time.Hour
		g.must(expire(time.Hour, time.Hour))
		rec, _, err := g.Call("acme", "k-unknown")
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.State).To(Equal(structs.CallUnknown))
		rec, _, err = g.Call("acme", "k-run")
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.State).To(Equal(structs.CallUnknown), "an operator can resolve it")
		_, _, err = g.Call("acme", "k-done")
		Expect(errs.Is(err, errs.NotFound)).To(BeTrue())
	})
})

var _ = Describe("expiry and releases", func() {
	It("expires idle programs, but not the parent of an active sub-agent", func() {
		g := newGroup()
		g.must(g.open("idle", ""))
		g.must(g.open("root", ""))
		g.must(g.open("sub", "root"))
		g.now += 50 * time.Minute
		g.must(g.begin("sub", 1, "d"))
		g.now += 50 * time.Minute
		g.must(expire(time.Hour, time.Hour))
		Expect(g.program("idle").State).To(Equal(structs.ProgramExpired))
		Expect(g.program("root").State).To(Equal(structs.ProgramOpen))
		g.now += 3 * time.Hour
		g.must(expire(time.Hour, time.Hour))
		Expect(g.program("root").State).To(Equal(structs.ProgramExpired))
		_, err := g.Program("acme", "idle")
		Expect(errs.Is(err, errs.UnknownProgram)).To(BeTrue(), "its record is dropped")
	})

	It("keeps a release until it is confirmed, and a newer one beyond that", func() {
		g := prepared()
		g.must(end("capped"))
		r := g.Releases(10)
		Expect(r).To(HaveLen(1))
		late := finish("capped", 1, 1) // a late outcome: the engine stored the cache again
		Expect(g.do(late).Err.Code).To(Equal(errs.Superseded))
		g.must(structs.OrgCommand{Released: &structs.Released{Releases: []structs.Release{r[0].Release}}})
		again := g.Releases(10)
		Expect(again).To(HaveLen(1))
		g.must(structs.OrgCommand{Released: &structs.Released{Releases: []structs.Release{again[0].Release}}})
		Expect(g.Releases(10)).To(BeEmpty())
	})

	It("releases all targets of the service after an attempt that named none", func() {
		g := prepared()
		g.must(by(g.begin("p", 2, "d2"), "e2", "e2"))
		g.must(finish("p", 2, 2))
		g.must(end("p"))
		Expect(g.Releases(10)).To(ContainElement(HaveField("Release.Target", orgsm.AnyTargetOf("chat"))))
	})

	It("settles a turn of an ended program whose outcome never arrives", func() {
		g := prepared()
		g.must(end("p"))
		g.now += time.Hour
		g.must(expire(time.Hour, 2*time.Hour))
		p := g.program("p")
		Expect(p.Reserved).To(BeZero())
		Expect(p.Spent).To(BeEquivalentTo(30 + 156))
		Expect(g.Releases(10)).To(ContainElement(HaveField("Release.Target", orgsm.AnyTargetOf("chat"))))
	})
})

var _ = Describe("rate", func() {
	debit := func(g *group) *errs.Error {
		return g.do(structs.OrgCommand{Debit: &structs.Debit{Limits: g.lim}}).Err
	}
	It("starts full, refills exactly and names the time to wait", func() {
		g := newGroup()
		g.lim.Rate, g.lim.Burst = 3, 2
		Expect(debit(g)).To(BeNil())
		Expect(debit(g)).To(BeNil())
		err := debit(g)
		Expect(err.Code).To(Equal(errs.RateLimited))
		Expect(err.RetryAfter).To(BeNumerically("~", time.Second/3, 5*time.Millisecond))
		g.now += 333_333_333
		Expect(debit(g)).NotTo(BeNil(), "a third of a second is one nanosecond longer")
		g.now++
		Expect(debit(g)).To(BeNil())
	})

	It("is full, and no more, after a time that overflows 64 bits", func() {
		g := newGroup()
		g.lim.Rate, g.lim.Burst = 1e6, 2
		Expect(debit(g)).To(BeNil())
		g.now += 10_000 * time.Hour
		Expect([]bool{debit(g) == nil, debit(g) == nil, debit(g) == nil}).To(Equal([]bool{true, true, false}))
	})

	It("takes the limits of the highest revision seen", func() {
		g := newGroup()
		g.lim = structs.Limits{Revision: 5, Rate: 1, Burst: 1}
		Expect(debit(g)).To(BeNil())
		g.lim = structs.Limits{Revision: 4, Rate: 1e6, Burst: 1000}
		g.now += time.Second
		Expect(debit(g)).To(BeNil())
		Expect(debit(g)).NotTo(BeNil(), "an entry with an old configuration does not raise the rate")
		g.lim.Revision = 6
		g.now += time.Millisecond
		Expect(debit(g)).NotTo(BeNil(), "a larger burst fills at the new rate, not at once")
	})

	It("refuses early only what is clearly over the rate", func() {
		g := newGroup()
		g.lim.Rate, g.lim.Burst = 1, 1
		c := g.begin("p", 1, "d")
		c.Org = "acme"
		Expect(g.Refuse(&c, g.now)).To(BeNil(), "first sight")
		Expect(debit(g)).To(BeNil())
		Expect(g.Refuse(&c, g.now).Code).To(Equal(errs.RateLimited))
		Expect(g.Refuse(&c, g.now+time.Second)).To(BeNil())
		c.BeginTurn.Limits.Revision++
		Expect(g.Refuse(&c, g.now)).To(BeNil(), "limits that the log has not seen may allow it")
	})
})

var _ = Describe("resends", func() {
	It("return the first reply and change nothing, also after snapshot and restore", func() {
		g := prepared()
		commands := []structs.OrgCommand{
			g.open("new", ""), g.begin("new", 1, "d"), finish("p", 2, 1), g.begin("p", 3, "d3"),
			g.call("k-new", "d"), g.call("k-done", "d"), finishCall("k-run", "e1", structs.CallFinished),
			g.begin("p", 1, "d1"), g.begin("p", 9, "d"), end("capped"), {Debit: &structs.Debit{Limits: g.lim}},
		}
		var first []structs.OrgReply
		for i := range commands {
			commands[i].RequestID = fmt.Sprint("resend", i)
			first = append(first, g.do(commands[i]))
		}
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := newGroup()
		Expect(restored.Restore(data)).To(Succeed())
		for _, m := range []*group{g, restored} {
			m.now += time.Minute
			for i, c := range commands {
				Expect(m.do(c)).To(Equal(first[i]), "command %d", i)
			}
			after, err := m.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(Equal(data))
		}
	})

	It("moves the times of a snapshot that is loaded into a new site", func() {
		g := prepared()
		g.lim = structs.Limits{Revision: 2, Rate: 1, Burst: 1, BudgetTokens: 10_000, MaxTurns: 5}
		g.must(structs.OrgCommand{Debit: &structs.Debit{Limits: g.lim}})
		data, err := g.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		fresh := newGroup()
		fresh.now, fresh.lim = time.Second, g.lim
		fresh.must(structs.OrgCommand{Restore: &structs.Restore{Snapshot: data}})
		Expect(fresh.do(structs.OrgCommand{Debit: &structs.Debit{Limits: g.lim}}).Err).NotTo(BeNil())
		fresh.now += time.Second
		fresh.must(structs.OrgCommand{Debit: &structs.Debit{Limits: g.lim}})
	})
})
