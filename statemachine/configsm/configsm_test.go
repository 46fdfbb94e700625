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

// requests numbers the request ids of all sites.
var requests int

// site drives a machine with commands that get fresh request ids unless they have one.
type site struct {
	*configsm.Machine
	n   uint64
	now time.Duration
}

func newSite() *site { return &site{Machine: configsm.New()} }

func (s *site) do(c structs.ConfigCommand) configsm.Reply {
	s.n++
	if c.RequestID == "" {
		requests++
		c.RequestID = fmt.Sprint("r", requests)
	}
	var r configsm.Reply
	Expect(msgpack.Unmarshal(s.Apply(s.n, s.now, reqlog.Encode(&c)), &r)).To(Succeed())
	return r
}

func (s *site) must(c structs.ConfigCommand) uint64 {
	r := s.do(c)
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

func apply(from uint64, d structs.Declaration) structs.ConfigCommand {
	return structs.ConfigCommand{Apply: &structs.ApplyConfig{PlannedFrom: from, Declaration: d}}
}

func grant(id, hash, org string) structs.ConfigCommand {
	return structs.ConfigCommand{GrantKey: &structs.Key{ID: id, Hash: hash, Organisation: org}}
}

func drain(scope structs.Kind, name string, on bool) structs.ConfigCommand {
	return structs.ConfigCommand{SetDrain: &structs.SetDrain{Drain: structs.Drain{Scope: scope, Name: name}, On: on}}
}

func revoke(id string) structs.ConfigCommand {
	return structs.ConfigCommand{RevokeKey: &structs.RevokeKey{ID: id}}
}

func order(id, target, action string) structs.ConfigCommand {
	return structs.ConfigCommand{SubmitOrder: &structs.EngineOrder{ID: id, Target: target, Action: action}}
}

func issuer(member string, term uint64) structs.ConfigCommand {
	return structs.ConfigCommand{AcquireIssuer: &structs.AcquireIssuer{Member: member, Term: term}}
}

func update(id string, fencing uint64, state string) structs.ConfigCommand {
	return structs.ConfigCommand{UpdateOrder: &structs.UpdateOrder{ID: id, Fencing: fencing, State: state}}
}

// prepared has revision 5: a declaration, two keys (k2 revoked) and a pending order under
// fencing number 2.
func prepared() *site {
	s := newSite()
	s.must(apply(0, declaration("acme", "zenith")))
	s.must(grant("k1", "hash1", "acme"))
	s.must(grant("k2", "hash2", "acme"))
	s.must(revoke("k2"))
	s.must(drain(structs.KindZone, "a", true))
	s.must(order("o1", "t1", "set_role"))
	s.must(issuer("s1", 3))
	s.must(issuer("s2", 4))
	return s
}

var _ = DescribeTable("refusals",
	func(c structs.ConfigCommand, code errs.Code, text string) {
		s := prepared()
		before, _ := s.Objects()
		r := s.do(c)
		Expect(r.Err).NotTo(BeNil())
		Expect(r.Err.Code).To(Equal(code))
		Expect(r.Err.Error()).To(ContainSubstring(text))
		Expect(r.Err.Remedy).NotTo(BeEmpty())
		after, _ := s.Objects()
		Expect(after).To(Equal(before), "a refused command changes nothing")
	},
	Entry("an apply planned from another revision", apply(4, declaration()), errs.RevisionConflict, "the current revision is 5"),
	Entry("a rollback planned from another revision",
		structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 1, To: 1}}, errs.RevisionConflict, "revision 5"),
	Entry("a rollback to a revision without a declaration",
		structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 5, To: 2}}, errs.NotFound, "revision 2"),
	Entry("a declaration with a name twice", apply(5, declaration("x", "x")), errs.InvalidDeclaration, "twice"),
	Entry("a host in an unknown zone",
		apply(5, structs.Declaration{Hosts: []structs.Host{{Name: "h", Zone: "nowhere"}}}), errs.InvalidDeclaration, "nowhere"),
	Entry("a key of an unknown organisation", grant("k9", "h9", "nobody"), errs.NotFound, "nobody"),
	Entry("a key without a hash", grant("k9", "", "acme"), errs.BadRequest, "incomplete"),
	Entry("a revoked key granted again", grant("k2", "hash2", "acme"), errs.KeyRevoked, "for ever"),
	Entry("a revoked secret under a new id", grant("k9", "hash2", "acme"), errs.BadRequest, "same secret"),
	Entry("a key id for another organisation", grant("k1", "hash1", "zenith"), errs.BadRequest, "in use"),
	Entry("the revocation of an unknown key", revoke("k9"), errs.NotFound, "k9"),
	Entry("a drain of an unknown zone", drain(structs.KindZone, "b", true), errs.NotFound, "\"b\""),
	Entry("a drain of a model", drain(structs.KindModel, "m1", true), errs.BadRequest, "cannot be drained"),
	Entry("a fingerprint without digest", structs.ConfigCommand{AddFingerprint: &structs.Fingerprint{}}, errs.BadRequest, "incomplete"),
	Entry("the lifting of an unknown fingerprint",
		structs.ConfigCommand{LiftFingerprint: &structs.LiftFingerprint{Digest: "d"}}, errs.NotFound, "quarantined"),
	Entry("an issuer of an older term", issuer("s1", 3), errs.Superseded, "s2"),
	Entry("progress under an older fencing number", update("o1", 1, configsm.OrderDone), errs.Superseded, "fencing number 1"),
	Entry("progress of an unknown order", update("o9", 2, configsm.OrderDone), errs.NotFound, "o9"),
	Entry("an order to a plain service", order("o2", "o1", "set_role"), errs.BadRequest, "not a model engine"),
	Entry("an order to an unknown target", order("o2", "t9", "set_role"), errs.NotFound, "t9"),
	Entry("an unknown order action", order("o2", "t1", "explode"), errs.BadRequest, "explode"),
	Entry("an order id with another content", order("o1", "t1", "load_model"), errs.BadRequest, "in use"),
	Entry("a snapshot load into a site with a configuration",
		structs.ConfigCommand{Restore: &structs.Restore{}}, errs.BadRequest, "revision 5"),
	Entry("an empty command", structs.ConfigCommand{}, errs.BadRequest, "unknown"),
)

var _ = Describe("the configuration", func() {
	It("counts each accepted change once and no repetition", func() {
		s := prepared()
		for _, c := range []structs.ConfigCommand{
			grant("k1", "hash1", "acme"), revoke("k2"), drain(structs.KindZone, "a", true), order("o1", "t1", "set_role"), issuer("s2", 4),
		} {
			Expect(s.must(c)).To(BeEquivalentTo(5))
		}
		Expect(s.must(apply(5, declaration("acme")))).To(BeEquivalentTo(6))
	})

	// Guards against a lost answer making an operator's resend a conflict or a second change.
	It("answers a resend with the first reply, after a snapshot too", func() {
		s := prepared()
		c := apply(5, declaration("acme"))
		c.RequestID = "lost"
		first := s.do(c)
		s.must(grant("k7", "hash7", "acme"))
		Expect(s.do(c)).To(Equal(first))
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := newSite()
		Expect(other.Restore(data)).To(Succeed())
		Expect(other.do(c)).To(Equal(first))
		Expect(other.Revision()).To(BeEquivalentTo(7))
		again, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data), "a restored machine is the same")
	})

	It("remembers the last 10,000 requests", func() {
		s := prepared()
		c := grant("kx", "hashx", "acme")
		c.RequestID = "early"
		first := s.do(c)
		s.must(revoke("kx"))
		for range 10_000 {
			s.must(issuer("s2", 4))
		}
		Expect(s.do(c)).To(Equal(first))
	})

	It("gives deltas that lead to the same objects as the whole", func() {
		s := prepared()
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
		s.must(apply(5, declaration("acme", "nadir")))
		s.must(drain(structs.KindZone, "a", false))
		rev, delta, full := s.Delta(5)
		Expect(full).To(BeFalse())
		Expect(rev).To(BeEquivalentTo(7))
		Expect(delta).To(HaveLen(3), "zenith and the drain removed, nadir added")
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
		Expect(full).To(BeTrue(), "a revision of another site gets the whole")
	})

	It("keeps keys and drains across applies and rolls back as a new revision", func() {
		s := prepared()
		s.must(apply(5, declaration("nadir")))
		s.must(structs.ConfigCommand{Rollback: &structs.RollbackConfig{PlannedFrom: 6, To: 1}})
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

	It("keeps 200 changes, and declarations beyond them", func() {
		s := prepared()
		for i := range 300 {
			s.must(grant(fmt.Sprint("n", i), fmt.Sprint("nh", i), "acme"))
		}
		h := s.History()
		Expect(h).To(HaveLen(201))
		Expect(h[0].Revision).To(BeEquivalentTo(1))
		Expect(h[0].HasDeclaration).To(BeTrue())
		d, err := s.Declaration(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(*d).To(Equal(declaration("acme", "zenith")))
	})

	It("forgets old deletions without losing them for late polls", func() {
		s := newSite()
		var many []string
		for i := range 5000 {
			many = append(many, fmt.Sprint("org", i))
		}
		s.must(apply(0, declaration(many...)))
		s.must(apply(1, declaration("org0")))
		_, objects, full := s.Delta(1)
		Expect(full).To(BeTrue())
		for _, o := range objects {
			Expect(o.Deleted).To(BeFalse())
		}
	})

	It("ends quarantines by time and never earlier than promised", func() {
		s := prepared()
		add := func(expires int64) {
			s.must(structs.ConfigCommand{Now: 1000, AddFingerprint: &structs.Fingerprint{Digest: "d", ExpiresAt: expires}})
		}
		add(0)
		add(2000)
		Expect(s.ExpiredFingerprints(4599)).To(BeEmpty())
		Expect(s.ExpiredFingerprints(4600)).To(Equal([]string{"d"}))
		s.must(structs.ConfigCommand{LiftFingerprint: &structs.LiftFingerprint{Digest: "d"}})
		Expect(s.ExpiredFingerprints(9999)).To(BeEmpty())
	})

	It("renews an issuer under its number and replaces it under a higher one", func() {
		s := prepared()
		Expect(s.do(issuer("s2", 4)).OK.Fencing).To(BeEquivalentTo(2))
		Expect(s.do(issuer("s1", 5)).OK.Fencing).To(BeEquivalentTo(3))
		s.must(update("o1", 3, configsm.OrderDone))
		Expect(s.do(update("o1", 3, configsm.OrderDone)).Err.Code).To(Equal(errs.Superseded))
		Expect(s.Orders()[0].State).To(Equal(configsm.OrderDone))
	})

	It("loads a snapshot of another site, where terms start again", func() {
		data, err := prepared().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s := newSite()
		s.must(structs.ConfigCommand{Restore: &structs.Restore{Snapshot: data}})
		Expect(s.Revision()).To(BeEquivalentTo(5))
		Expect(s.do(issuer("s1", 1)).OK.Fencing).To(BeEquivalentTo(3))
	})
})
