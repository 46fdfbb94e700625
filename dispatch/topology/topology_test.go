package topology

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/structs"
)

func TestTopology(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "topology")
}

// fakeLeader answers polls with the reply or error set by the test.
type fakeLeader struct {
	reply          *structs.ConfirmReply
	err            error
	polledRevision uint64
}

func (l *fakeLeader) Confirm(_ context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error) {
	l.polledRevision = poll.Revision
	return l.reply, l.err
}

func object(kind structs.Kind, name string, rev uint64, v any) structs.Object {
	data, err := msgpack.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return structs.Object{Kind: kind, Name: name, ModRev: rev, Data: data}
}

var _ = Describe("follower", func() {
	var (
		leader *fakeLeader
		f      *Follower
		now    time.Time
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		leader = &fakeLeader{}
		f = newFollower(leader, logr.Discard())
		f.now = func() time.Time { return now }
	})
	poll := func(reply *structs.ConfirmReply, err error) {
		leader.reply, leader.err = reply, err
		f.poll(context.Background())
	}
	zone := structs.DrainName(structs.KindZone, "a")
	drain := func(rev uint64) structs.Object {
		return object(structs.KindDrain, zone, rev, &structs.Drain{Scope: structs.KindZone, Name: "a"})
	}

	It("has a very high age before the first confirmed poll", func() {
		Expect(f.Age()).To(BeNumerically(">", time.Hour))
	})

	It("applies changes and deletions and polls for those after its revision", func() {
		t := object(structs.KindTarget, "t1", 1, &structs.Target{Name: "t1", Model: "m"})
		poll(&structs.ConfirmReply{Revision: 1, Full: true, Objects: []structs.Object{t}}, nil)
		poll(&structs.ConfirmReply{Revision: 2, Objects: []structs.Object{drain(2)}}, nil)
		Expect(leader.polledRevision).To(BeEquivalentTo(1))
		Expect(f.Topology().Targets).To(HaveLen(1))
		Expect(f.Topology().Drains).To(HaveLen(1))
		poll(&structs.ConfirmReply{Revision: 3, Objects: []structs.Object{{Kind: structs.KindDrain, Name: zone, ModRev: 3, Deleted: true}}}, nil)
		Expect(f.Topology().Drains).To(BeEmpty())
		Expect(f.Topology().Targets).To(HaveLen(1))
	})

	// Guards against a drain that is undone by a reply with an older revision, after which
	// requests would be assigned to targets of the drained availability zone.
	It("ignores replies with an older revision", func() {
		poll(&structs.ConfirmReply{Revision: 5, Full: true, Objects: []structs.Object{drain(5)}}, nil)
		poll(&structs.ConfirmReply{Revision: 4, Full: true}, nil)
		Expect(f.Topology().Drains).To(HaveLen(1))
	})

	// Guards against a member that cannot reach the leader and takes its configuration for newer
	// than it is: the age must count from the time a poll was sent, not from its reply.
	It("measures its age from the time the last confirmed poll was sent", func() {
		poll(&structs.ConfirmReply{Revision: 1, Full: true}, nil)
		now = now.Add(2 * time.Second)
		poll(nil, errors.New("leader is unreachable"))
		Expect(f.Age()).To(Equal(2 * time.Second))
	})

	It("does not know the live entries while the leader does not", func() {
		poll(&structs.ConfirmReply{Revision: 1, Full: true}, nil)
		_, known := f.LiveEntries()
		Expect(known).To(BeFalse())
		poll(&structs.ConfirmReply{Revision: 1, Live: []string{"e1"}}, nil)
		live, known := f.LiveEntries()
		Expect(known).To(BeTrue())
		Expect(live).To(Equal([]string{"e1"}))
	})
})
