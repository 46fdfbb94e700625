package configsm_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/configsm"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

func TestConfigSM(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsm")
}

// requestCount is the number of request ids generated so far, across all sites.
var requestCount int

// site is a machine under test. Commands without a request id get a new one.
type site struct {
	*configsm.Machine
	index uint64
	now   time.Duration
}

func newSite() *site { return &site{Machine: configsm.New()} }

// execute applies a command and returns its reply.
func (s *site) execute(c structs.ConfigCommand) configsm.Reply {
	s.index++
	if c.RequestID == "" {
		requestCount++
		c.RequestID = fmt.Sprint("r", requestCount)
	}
	var r configsm.Reply
	Expect(msgpack.Unmarshal(s.Apply(s.index, s.now, reqlog.Encode(&c)), &r)).To(Succeed())
	return r
}

// mustExecute applies a command that must succeed and returns the revision after it.
func (s *site) mustExecute(c structs.ConfigCommand) uint64 {
	r := s.execute(c)
	Expect(r.Err).To(BeNil())
	return r.OK.Revision
}

func declaration(orgs ...string) structs.Declaration {
	d := structs.Declaration{
		Site:   structs.Site{Name: "test"},
		Zones:  []structs.Zone{{Name: "a"}},
		Hosts:  []structs.Host{{Name: "h1", Zone: "a"}},
		Models: []structs.Model{{Name: "m1"}},
		Services: []structs.Service{
			{Name: "chat", Model: "m1"}, {Name: "orders", Prefix: "/orders"},
		},
		Targets: []structs.Target{
			{Name: "t1", Host: "h1", Model: "m1"}, {Name: "o1", Host: "h1", Service: "orders"},
		},
	}
	for _, o := range orgs {
		d.Organisations = append(d.Organisations, structs.Organisation{Name: o})
	}
	return d
}

// withTarget returns the declaration with a further target.
func withTarget(t structs.Target) structs.Declaration {
	d := declaration()
	d.Targets = append(d.Targets, t)
	return d
}

func apply(from uint64, d structs.Declaration) structs.ConfigCommand {
	return structs.ConfigCommand{Apply: &structs.ApplyConfig{PlannedFrom: from, Declaration: d}}
}

func grantKey(id, hash, org string) structs.ConfigCommand {
	return structs.ConfigCommand{GrantKey: &structs.Key{ID: id, Hash: hash, Organisation: org}}
}

func setDrain(scope structs.Kind, name string, on bool) structs.ConfigCommand {
	return structs.ConfigCommand{SetDrain: &structs.SetDrain{Drain: structs.Drain{Scope: scope, Name: name}, On: on}}
}

// drainStep is a drain command for availability zone a.
type drainStep struct {
	on        bool
	order     uint64
	overtaken bool
}

func revokeKey(id string) structs.ConfigCommand {
	return structs.ConfigCommand{RevokeKey: &structs.RevokeKey{ID: id}}
}

func submitOrder(id, target, action string) structs.ConfigCommand {
	return structs.ConfigCommand{SubmitOrder: &structs.EngineOrder{ID: id, Target: target, Action: action}}
}

func acquireIssuer(member string, term uint64) structs.ConfigCommand {
	return structs.ConfigCommand{AcquireIssuer: &structs.AcquireIssuer{Member: member, Term: term}}
}

func updateOrder(id string, fencing uint64, state string) structs.ConfigCommand {
	return structs.ConfigCommand{UpdateOrder: &structs.UpdateOrder{ID: id, Fencing: fencing, State: state}}
}

// newPopulatedSite returns a site at revision 5 with a declaration, the keys k1 and k2 (k2
// revoked), a drain of availability zone a and the pending order o1. Member s2 holds the
// issuer lease in term 4 under fencing number 2.
func newPopulatedSite() *site {
	s := newSite()
	s.mustExecute(apply(0, declaration("acme", "zenith")))
	s.mustExecute(grantKey("k1", "hash1", "acme"))
	s.mustExecute(grantKey("k2", "hash2", "acme"))
	s.mustExecute(revokeKey("k2"))
	s.mustExecute(setDrain(structs.KindZone, "a", true))
	s.mustExecute(submitOrder("o1", "t1", "set_role"))
	s.mustExecute(acquireIssuer("s1", 3))
	s.mustExecute(acquireIssuer("s2", 4))
	return s
}

var _ = DescribeTable("rejected commands",
	func(c structs.ConfigCommand, code errs.Code, text string) {
		s := newPopulatedSite()
		before, _ := s.Objects()
		r := s.execute(c)
		Expect(r.Err).NotTo(BeNil())
		Expect(r.Err.Code).To(Equal(code))
		Expect(r.Err.Error()).To(ContainSubstring(text))
		Expect(r.Err.Remedy).NotTo(BeEmpty())
		after, _ := s.Objects()
		Expect(after).To(Equal(before), "a rejected command must not change any object")
	},
	Entry("an apply planned from another revision", apply(4, declaration()), errs.RevisionConflict, "the current revision is 5"),
	Entry("a rollback planned from another revision",
		structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 1, To: 1}}, errs.RevisionConflict, "revision 5"),
	Entry("a rollback to a revision without a declaration",
		structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 5, To: 2}}, errs.NotFound, "revision 2"),
	Entry("a declaration with a duplicate name", apply(5, declaration("x", "x")), errs.InvalidDeclaration, "twice"),
	Entry("a host in an undeclared availability zone",
		apply(5, structs.Declaration{Hosts: []structs.Host{{Name: "h", Zone: "nowhere"}}}), errs.InvalidDeclaration, "nowhere"),
	Entry("a software version that only one of two targets of a model names",
		apply(5, withTarget(structs.Target{Name: "t2", Host: "h1", Model: "m1", Software: "v2"})), errs.InvalidDeclaration, `"t2" and "t1"`),
	Entry("a key of an unknown organisation", grantKey("k9", "h9", "nobody"), errs.NotFound, "nobody"),
	Entry("a key without a hash", grantKey("k9", "", "acme"), errs.BadRequest, "incomplete"),
	Entry("a revoked key granted again", grantKey("k2", "hash2", "acme"), errs.KeyRevoked, "for ever"),
	Entry("the secret of a revoked key under a new id", grantKey("k9", "hash2", "acme"), errs.BadRequest, "same secret"),
	Entry("a key id in use by another organisation", grantKey("k1", "hash1", "zenith"), errs.BadRequest, "in use"),
	Entry("the revocation of an unknown key", revokeKey("k9"), errs.NotFound, "k9"),
	Entry("a drain of an unknown availability zone", setDrain(structs.KindZone, "b", true), errs.NotFound, "\"b\""),
	Entry("a drain of a model", setDrain(structs.KindModel, "m1", true), errs.BadRequest, "cannot be drained"),
	Entry("a fingerprint without digest", structs.ConfigCommand{AddFingerprint: &structs.Fingerprint{}}, errs.BadRequest, "incomplete"),
	Entry("the lifting of an unknown fingerprint",
		structs.ConfigCommand{LiftFingerprint: &structs.LiftFingerprint{Digest: "d"}}, errs.NotFound, "quarantined"),
	Entry("an issuer of an older term", acquireIssuer("s1", 3), errs.Superseded, "s2"),
	Entry("progress under an older fencing number", updateOrder("o1", 1, configsm.OrderDone), errs.Superseded, "fencing number 1"),
	Entry("progress of an unknown order", updateOrder("o9", 2, configsm.OrderDone), errs.NotFound, "o9"),
	Entry("an order for a target of a plain service", submitOrder("o2", "o1", "set_role"), errs.BadRequest, "not a model engine"),
	Entry("an order for an unknown target", submitOrder("o2", "t9", "set_role"), errs.NotFound, "t9"),
	Entry("an unknown order action", submitOrder("o2", "t1", "explode"), errs.BadRequest, "explode"),
	Entry("an order id in use by a different order", submitOrder("o1", "t1", "load_model"), errs.BadRequest, "in use"),
	Entry("loading a snapshot into a site with a configuration",
		structs.ConfigCommand{Restore: &structs.Restore{}}, errs.BadRequest, "revision 5"),
	Entry("an empty command", structs.ConfigCommand{}, errs.BadRequest, "unknown"),
)

var _ = Describe("the configuration", func() {
	It("increments the revision for each accepted change but not for repeated commands", func() {
		s := newPopulatedSite()
		for _, c := range []structs.ConfigCommand{
			grantKey("k1", "hash1", "acme"), revokeKey("k2"), setDrain(structs.KindZone, "a", true), submitOrder("o1", "t1", "set_role"), acquireIssuer("s2", 4),
		} {
			Expect(s.mustExecute(c)).To(BeEquivalentTo(5))
		}
		Expect(s.mustExecute(apply(5, declaration("acme")))).To(BeEquivalentTo(6))
	})

	// Guards against a resend after a lost reply that causes a revision conflict or a second
	// change.
	It("returns the first reply to a resent command, also after a snapshot and restore", func() {
		s := newPopulatedSite()
		c := apply(5, declaration("acme"))
		c.RequestID = "lost"
		first := s.execute(c)
		s.mustExecute(grantKey("k7", "hash7", "acme"))
		Expect(s.execute(c)).To(Equal(first))
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := newSite()
		Expect(other.Restore(data)).To(Succeed())
		Expect(other.execute(c)).To(Equal(first))
		Expect(other.Revision()).To(BeEquivalentTo(7))
		again, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data), "the snapshot of a restored machine must be identical")
	})

	It("remembers the replies to at least the last 10,000 requests", func() {
		s := newPopulatedSite()
		c := grantKey("kx", "hashx", "acme")
		c.RequestID = "early"
		first := s.execute(c)
		s.mustExecute(revokeKey("kx"))
		for range 10_000 {
			s.mustExecute(acquireIssuer("s2", 4))
		}
		Expect(s.execute(c)).To(Equal(first))
	})

	It("returns deltas that lead to the same objects as the whole configuration", func() {
		s := newPopulatedSite()
		_, base, full := s.Delta(0)
		Expect(full).To(BeTrue())
		view := map[string]structs.Object{}
		patch := func(objects []structs.Object) {
			for _, o := range objects {
				if view[string(o.Kind)+o.Name] = o; o.Deleted {
					delete(view, string(o.Kind)+o.Name)
				}
			}
		}
		patch(base)
		s.mustExecute(apply(5, declaration("acme", "nadir")))
		s.mustExecute(setDrain(structs.KindZone, "a", false))
		rev, delta, full := s.Delta(5)
		Expect(full).To(BeFalse())
		Expect(rev).To(BeEquivalentTo(7))
		Expect(delta).To(HaveLen(3), "zenith and the drain are removed, nadir is added")
		patch(delta)
		_, all := s.Objects()
		Expect(view).To(HaveLen(len(all)))
		for _, o := range all {
			Expect(view[string(o.Kind)+o.Name]).To(Equal(o))
		}
		_, delta, full = s.Delta(7)
		Expect(delta).To(BeEmpty())
		Expect(full).To(BeFalse())
		_, _, full = s.Delta(99)
		Expect(full).To(BeTrue(), "a revision unknown to this site must yield the whole configuration")
	})

	// Guards against a drain or a return to service that was given up, arrives late and undoes a later
	// one that was acknowledged. The steps are the commands in the sequence in which they are executed.
	DescribeTable("refuses drain commands that were overtaken", func(drained bool, steps ...drainStep) {
		s := newSite()
		s.mustExecute(apply(0, declaration("acme")))
		for i, step := range steps {
			c := setDrain(structs.KindZone, "a", step.on)
			c.SetDrain.Order = step.order
			reply := s.execute(c)
			if step.overtaken {
				Expect(reply.Err).NotTo(BeNil(), "step %d", i)
				Expect(reply.Err.Code).To(Equal(errs.RevisionConflict), "step %d", i)
			} else {
				Expect(reply.Err).To(BeNil(), "step %d", i)
			}
			data, err := s.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Restore(data)).To(Succeed())
		}
		_, ok := s.Object(structs.KindDrain, "zone/a")
		Expect(ok).To(Equal(drained))
	},
		Entry("in sequence", true, drainStep{true, 1, false}, drainStep{false, 2, false}, drainStep{true, 3, false}),
		Entry("repeated", true, drainStep{true, 1, false}, drainStep{true, 1, false}),
		Entry("late return", true, drainStep{true, 1, false}, drainStep{false, 2, false}, drainStep{true, 3, false}, drainStep{false, 2, true}),
		Entry("late return that was never executed", true, drainStep{true, 1, false}, drainStep{true, 2, false}, drainStep{false, 2, true}),
		Entry("late drain", false, drainStep{true, 1, false}, drainStep{false, 2, false}, drainStep{true, 1, true}),
		Entry("without numbers", true, drainStep{true, 0, false}, drainStep{false, 0, false}, drainStep{true, 0, false}),
	)

	It("keeps keys and drains when declarations change and rolls back in a new revision", func() {
		s := newPopulatedSite()
		s.mustExecute(apply(5, declaration("nadir")))
		s.mustExecute(structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 6, To: 1}})
		Expect(s.Revision()).To(BeEquivalentTo(7))
		for _, id := range []struct {
			kind structs.Kind
			name string
		}{{structs.KindKey, "k1"}, {structs.KindDrain, "zone/a"}, {structs.KindOrganisation, "zenith"}} {
			_, ok := s.Object(id.kind, id.name)
			Expect(ok).To(BeTrue(), "%v", id)
		}
		_, ok := s.Object(structs.KindOrganisation, "nadir")
		Expect(ok).To(BeFalse())
	})

	It("keeps the last 200 changes, and also older ones that have a declaration", func() {
		s := newPopulatedSite()
		for i := range 300 {
			s.mustExecute(grantKey(fmt.Sprint("n", i), fmt.Sprint("nh", i), "acme"))
		}
		h := s.History()
		Expect(h).To(HaveLen(201))
		Expect(h[0].Revision).To(BeEquivalentTo(1))
		Expect(h[0].HasDeclaration).To(BeTrue())
		d, err := s.Declaration(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(*d).To(Equal(declaration("acme", "zenith")))
	})

	It("returns the whole configuration to polls from before a pruned tombstone", func() {
		s := newSite()
		var many []string
		for i := range 5000 {
			many = append(many, fmt.Sprint("org", i))
		}
		s.mustExecute(apply(0, declaration(many...)))
		s.mustExecute(apply(1, declaration("org0")))
		_, objects, full := s.Delta(1)
		Expect(full).To(BeTrue())
		for _, o := range objects {
			Expect(o.Deleted).To(BeFalse())
		}
	})

	It("expires quarantines on time and extends but never shortens them", func() {
		s := newPopulatedSite()
		add := func(expires int64) {
			s.mustExecute(structs.ConfigCommand{Now: 1000, AddFingerprint: &structs.Fingerprint{Digest: "d", ExpiresAt: expires}})
		}
		add(0)
		add(2000)
		Expect(s.ExpiredFingerprints(4599)).To(BeEmpty())
		Expect(s.ExpiredFingerprints(4600)).To(Equal([]string{"d"}))
		s.mustExecute(structs.ConfigCommand{LiftFingerprint: &structs.LiftFingerprint{Digest: "d"}})
		Expect(s.ExpiredFingerprints(9999)).To(BeEmpty())
	})

	It("renews the issuer lease under the same fencing number and grants it anew under a higher one", func() {
		s := newPopulatedSite()
		Expect(s.execute(acquireIssuer("s2", 4)).OK.Fencing).To(BeEquivalentTo(2))
		Expect(s.execute(acquireIssuer("s1", 5)).OK.Fencing).To(BeEquivalentTo(3))
		s.mustExecute(updateOrder("o1", 3, configsm.OrderDone))
		Expect(s.execute(updateOrder("o1", 3, configsm.OrderDone)).Err.Code).To(Equal(errs.Superseded))
		Expect(s.Orders()[0].State).To(Equal(configsm.OrderDone))
	})

	It("loads a snapshot of another site although terms start again from 1", func() {
		data, err := newPopulatedSite().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s := newSite()
		s.mustExecute(structs.ConfigCommand{Restore: &structs.Restore{Snapshot: data}})
		Expect(s.Revision()).To(BeEquivalentTo(5))
		Expect(s.execute(acquireIssuer("s1", 1)).OK.Fencing).To(BeEquivalentTo(3))
	})
})
