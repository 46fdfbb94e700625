package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/statemachine/documentsm"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// termNode leads both groups of a state without other replicas, in a term that tests raise as by an election.
type termNode struct {
	*replica.Local
	term    atomic.Uint64
	members []string
}

func (n *termNode) Members() []string              { return n.members }
func (n *termNode) VoterCount(uint32) int          { return 1 }
func (n *termNode) Leader(uint32) (string, uint64) { return "", n.term.Load() }

// peerFeatures holds the features of the members that answer, by address. It implements Peers.
type peerFeatures map[string]uint64

func (p peerFeatures) MemberFeatures(_ context.Context, addr string) (uint64, error) {
	f, answers := p[addr]
	if !answers {
		return 0, errs.New(errs.Unavailable, "retry", "no answer")
	}
	return f, nil
}

// bodySite is a leader with store hosts and gateways that poll it at a simulated time.
type bodySite struct {
	*Server
	node *termNode
	now  time.Duration
	// reports holds the store hosts' reports by name; the address is the name.
	reports map[string]*fleet.StoreReport
	// gateways holds the features of the gateways by name.
	gateways map[string]uint64
	heldView map[string]uint64 // by host
}

func newBodySite(stores int) *bodySite {
	node := &termNode{members: []string{"c1", "c2"}}
	node.term.Store(1)
	doc, ledger := documentsm.New(), ledgersm.New()
	node.Local = replica.NewLocal(map[uint32]replica.StateMachine{fleet.DocumentGroup: doc, fleet.LedgerGroup: ledger})
	b := &bodySite{node: node, now: clock.Now(), reports: map[string]*fleet.StoreReport{}, heldView: map[string]uint64{},
		gateways: map[string]uint64{"g1": fleet.FeatureBodies, "g2": fleet.FeatureBodies}}
	b.Server = New(Options{Node: node, Document: doc, Ledger: ledger, MinVoters: 1, MaxLedgerBytes: 10_000, Copies: 3, Log: logr.Discard(),
		Peers: peerFeatures{"c1": fleet.FeatureBodies, "c2": fleet.FeatureBodies}})
	for i := range stores {
		name := fmt.Sprint("s", i+1)
		b.reports[name] = &fleet.StoreReport{Address: name, Incarnation: "i1", DiskMB: 500, Writable: true}
	}
	return b
}

// run lets time pass while all hosts poll and this member decides.
func (b *bodySite) run(d time.Duration) {
	ctx := context.Background()
	for end := b.now + d; b.now < end; b.now += bodiesInterval {
		for name, f := range b.gateways {
			b.poll(&fleet.PollRequest{Host: name, Kind: fleet.KindGateway, Features: f})
		}
		for name, r := range b.reports {
			r.ViewRevision = b.heldView[name]
			b.poll(&fleet.PollRequest{Host: name, Kind: fleet.KindStore, Store: r})
		}
		b.askFeatures(ctx, b.opts.Node.Members())
		b.decideBodies(ctx, b.now)
		b.hosts.termStart = clock.Now() - time.Hour // all hosts have polled
	}
}

// poll sends one poll at the simulated time.
func (b *bodySite) poll(req *fleet.PollRequest) {
	req.KnownVersions.Stores = b.heldView[req.Host]
	b.hosts.recordPoll(b.node.term.Load(), req)
	b.stores.record(b.now, b.node.term.Load(), req)
	if v := b.stores.changeSince(req.Kind, req.KnownVersions.Stores); v != nil {
		b.heldView[req.Host] = v.Revision
	}
}

// keep stores a turn of the given size in the ledger.
func (b *bodySite) keep(g *WithT, id string, size int) {
	_, err := b.settle(context.Background(), &ledgersm.Settle{Org: "o", Program: "p", Attempt: id, Keep: true, Input: make([]byte, size), Retention: time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
}

func (b *bodySite) order(host string) (*fleet.RetireReply, error) {
	return b.retire(context.Background(), &fleet.RetireRequest{Host: host, Order: true})
}

func code(err error) errs.Code {
	if err == nil {
		return ""
	}
	return errs.From(err).Code
}

// Guards against bodies on store hosts at sites that do not need it, against a ledger that fills up although
// the store hosts have room, and against a gateway, member or leader that does not understand references
// and gets one.
func TestBodiesGoToStores(t *testing.T) {
	const mostlyFull = 4200 // of 10,000 bytes
	for _, c := range []struct {
		desc    string
		prepare func(b *bodySite)
		bytes   int
		on      bool
	}{
		{"nearly empty ledger", func(*bodySite) {}, 3000, false},
		{"filling ledger", func(*bodySite) {}, mostlyFull, true},
		{"no limit", func(b *bodySite) { b.opts.MaxLedgerBytes = 0 }, mostlyFull, false},
		{"one old gateway", func(b *bodySite) { b.gateways["g2"] = 0 }, mostlyFull, false},
		{"one old member", func(b *bodySite) { b.opts.Peers.(peerFeatures)["c2"] = 0 }, mostlyFull, false},
		{"one silent member", func(b *bodySite) { delete(b.opts.Peers.(peerFeatures), "c2") }, mostlyFull, false},
		{"too few stores", func(b *bodySite) { delete(b.reports, "s1"); delete(b.reports, "s2") }, mostlyFull, false},
		{"too few writable stores", func(b *bodySite) { b.reports["s1"].Writable, b.reports["s2"].Writable = false, false }, mostlyFull, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			b := newBodySite(4)
			c.prepare(b)
			b.keep(g, "1", c.bytes)
			b.run(2 * time.Second)
			g.Expect(b.bodies.toStores.Load()).To(Equal(c.on))
			_, err := b.settle(context.Background(), &ledgersm.Settle{Org: "o", Program: "p", Attempt: "2", Keep: true, Body: &ledgersm.BodyRef{Key: "k"}})
			if !b.membersKnowBodies() {
				g.Expect(code(err)).To(Equal(errs.Unavailable), "the gateway sends the body instead")
				g.Expect(b.opts.Ledger.Parts("o", "2")).To(BeNil())
			}
		})
	}
}

// Guards against a feature that is lost with the leader that has asked for it, while a member that does not
// answer is away, and against one that outlives the return of a member of an older build.
func TestFeaturesAfterAnElection(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	b.keep(g, "1", 4200)
	b.run(2 * time.Second)
	g.Expect(b.bodies.toStores.Load()).To(BeTrue())
	peers := b.opts.Peers.(peerFeatures)
	delete(peers, "c2")
	b.features.answered = nil
	b.node.term.Add(1)
	b.run(200 * time.Millisecond)
	g.Expect(b.bodies.toStores.Load()).To(BeTrue(), "before the store hosts have polled")
	b.run(2 * time.Second)
	g.Expect(b.bodies.toStores.Load()).To(BeTrue())
	peers["c2"] = 0
	b.run(200 * time.Millisecond)
	g.Expect(b.bodies.toStores.Load()).To(BeFalse())
}

// Guards against bodies that alternate between ledger and store hosts with every turn.
func TestThresholds(t *testing.T) {
	g := NewWithT(t)
	gate := bodyGate{}
	decide := func(kept int64) bool {
		return gate.decide(&gateInput{kept: kept, limit: 100, membersReady: true, gatewaysReady: true, settled: true, writable: 3, copies: 3})
	}
	for _, c := range []struct {
		kept int64
		on   bool
	}{{39, false}, {40, true}, {39, true}, {25, true}, {24, false}, {39, false}, {100, true}} {
		g.Expect(decide(c.kept)).To(Equal(c.on), "%d", c.kept)
	}
}

// Guards against a view whose revision repeats or goes back, which hosts would not adopt, against a new
// leader's view without the stores that have not polled it yet, and against a silent store in the view.
func TestViewRevisions(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	var last uint64
	names := func() (out []string) {
		for _, s := range b.stores.view.Stores {
			out = append(out, s.Name)
		}
		return out
	}
	expectNewer := func() {
		t.Helper()
		g.Expect(b.stores.view.Revision).To(BeNumerically(">", last))
		last = b.stores.view.Revision
	}
	b.run(1400 * time.Millisecond)
	g.Expect(b.stores.changeSince(fleet.KindStore, 0)).To(BeNil(), "not all stores may have polled")
	g.Expect(b.stores.changeSince(fleet.KindGateway, b.stores.early.Revision-1)).NotTo(BeNil(), "one more store")
	early := b.stores.changeSince(fleet.KindGateway, 0)
	g.Expect(early.Stores).To(HaveLen(4), "better than none, for a gateway that has just started")
	last = early.Revision
	b.run(500 * time.Millisecond)
	expectNewer()
	g.Expect(names()).To(Equal([]string{"s1", "s2", "s3", "s4"}))
	b.run(time.Second)
	g.Expect(b.stores.changeSince(fleet.KindGateway, last)).To(BeNil(), "nothing has changed")
	b.reports["s2"].Incarnation = "i2"
	b.run(200 * time.Millisecond)
	expectNewer()
	gone := b.reports["s3"]
	delete(b.reports, "s3")
	b.run(1400 * time.Millisecond)
	g.Expect(b.stores.changeSince(fleet.KindGateway, last)).To(BeNil())
	b.run(300 * time.Millisecond)
	expectNewer()
	g.Expect(names()).To(Equal([]string{"s1", "s2", "s4"}))
	b.node.term.Add(1)
	b.reports["s3"] = gone
	b.run(1400 * time.Millisecond)
	g.Expect(b.stores.changeSince(fleet.KindGateway, last)).To(BeNil(), "hosts keep the last view")
	b.run(300 * time.Millisecond)
	expectNewer()
	g.Expect(names()).To(HaveLen(4))
	b.now += 3 * time.Second // this process is suspended
	b.decideBodies(context.Background(), b.now)
	g.Expect(names()).To(HaveLen(4), "the stores could not be heard")
}

// Guards against a retirement that is lost with the leader, has a second effect when it is repeated, or is
// completed while bodies lack a copy or a gateway may still write to the host.
func TestRetirementOverAnElection(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	b.run(2 * time.Second)
	b.reports["s1"].Bodies, b.reports["s1"].Remaining = 5, 5
	b.run(200 * time.Millisecond)
	_, err := b.order("s9")
	g.Expect(code(err)).To(Equal(errs.NotFound))
	reply, err := b.order("s1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Completed).To(BeFalse())
	_, err = b.order("s2")
	g.Expect(code(err)).To(Equal(errs.Superseded), "too few would remain")
	b.run(time.Second)
	b.node.term.Add(1)
	b.run(4 * time.Second)
	g.Expect(b.stores.view.Stores[0].Retiring).To(BeTrue())
	completed := func() bool {
		reply, err := b.order("s1")
		g.Expect(err).NotTo(HaveOccurred())
		return reply.Completed
	}
	g.Expect(completed()).To(BeFalse(), "bodies lack a copy")
	b.reports["s1"].Remaining = 0
	b.heldView["g1"] = 1
	b.stores.retiring["s1"].seenAt = 0
	b.run(100 * time.Millisecond)
	g.Expect(completed()).To(BeFalse(), "a gateway has an older view")
	b.run(retireGrace + time.Second)
	g.Expect(completed()).To(BeTrue())
	b.node.term.Add(1)
	b.run(100 * time.Millisecond)
	g.Expect(completed()).To(BeTrue(), "recorded")
	b.reports["s1"] = &fleet.StoreReport{Address: "s1", Incarnation: "i2", DiskMB: 500, Writable: true}
	b.run(2 * time.Second)
	g.Expect(b.stores.view.Stores[0].Retiring).To(BeFalse(), "a new host")
	_, err = b.retire(context.Background(), &fleet.RetireRequest{Host: "s1"})
	g.Expect(code(err)).To(Equal(errs.NotFound), "not being retired")
}

// Guards against a host that may be removed although it holds bodies: it is reading its disk and polls without
// a report. A host of an earlier build holds none.
func TestRetirementWithoutReport(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	b.run(2 * time.Second)
	b.poll(&fleet.PollRequest{Host: "loading", Kind: fleet.KindStore, Features: fleet.FeatureBodies})
	b.poll(&fleet.PollRequest{Host: "old", Kind: fleet.KindStore})
	_, err := b.order("loading")
	g.Expect(code(err)).To(Equal(errs.Unavailable))
	reply, err := b.order("old")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Completed).To(BeTrue())
}

// Guards against store hosts whose disks fill up until programs that have begun are refused, against retries
// that all come at the same time, and against a refusal of programs that keep no turns.
func TestAdmissionWhileStoresAreNearlyFull(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	b.keep(g, "1", 4200)
	for _, r := range b.reports {
		r.UsedMB = 360
	}
	b.run(2 * time.Second)
	admit := func(program string, keep bool) error {
		_, err := b.reserve(context.Background(), &ledgersm.Reserve{Org: "o", Program: program, Attempt: "x", Tokens: 1, WillKeep: keep})
		return err
	}
	waits := map[time.Duration]bool{}
	for range 20 {
		err := admit("new", true)
		g.Expect(code(err)).To(Equal(errs.Overloaded))
		wait := errs.From(err).RetryAfter
		g.Expect(wait).To(BeNumerically(">=", ledgersm.SweepInterval))
		g.Expect(wait).To(BeNumerically("<", 5*ledgersm.SweepInterval))
		waits[wait.Round(100*time.Millisecond)] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 5))
	g.Expect(admit("p", true)).To(Succeed(), "has begun")
	g.Expect(admit("new", false)).To(Succeed(), "keeps no turns")
	for _, r := range b.reports {
		r.UsedMB = 330
	}
	b.run(200 * time.Millisecond)
	g.Expect(code(admit("other", true))).To(Equal(errs.Overloaded), "too little has been freed")
	for _, r := range b.reports {
		r.UsedMB = 300
	}
	b.run(200 * time.Millisecond)
	g.Expect(admit("other", true)).To(Succeed())
}

// Guards against a wrong history, or a 404, at a gateway that does not understand references.
func TestHistoryOfOldGateways(t *testing.T) {
	g := NewWithT(t)
	b := newBodySite(4)
	b.run(2 * time.Second)
	b.keep(g, "1", 10)
	ref := &ledgersm.BodyRef{Key: "o\x002\x00aa", Size: 3, Checksum: 1}
	_, err := b.settle(context.Background(), &ledgersm.Settle{Org: "o", Program: "p", Attempt: "2", Previous: "1", Keep: true, Body: ref, Retention: time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
	req := &ledgersm.Reserve{Org: "o", Program: "p", Attempt: "3", Previous: "2", Tokens: 1}
	_, err = b.reserve(context.Background(), req)
	g.Expect(code(err)).To(Equal(errs.Unavailable))
	req.AcceptsParts = true
	reply, err := b.reserve(context.Background(), req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.History).To(BeEmpty())
	g.Expect(reply.Parts).To(Equal([]fleet.HistoryPart{{Inline: make([]byte, 10)}, {Ref: ref}}))
	req.Attempt, req.Previous, req.AcceptsParts = "4", "1", false
	reply, err = b.reserve(context.Background(), req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.History).To(HaveLen(10))
	known, err := b.knownBodies(context.Background(), &fleet.KnownRequest{Keys: []string{ref.Key, "o\x001\x00aa"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known.Known).To(Equal([]bool{true, false}))
}
