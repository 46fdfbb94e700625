package controller

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// applyCrashes applies a crash report to a state machine at a time of the replicated log.
func applyCrashes(g *WithT, m *documentsm.Machine, now time.Duration, host string, id uint64, digests ...uint64) {
	cmd, err := msgpack.Marshal(&documentsm.Command{Crashes: &documentsm.CrashReport{Host: host, ID: id, Digests: digests}})
	g.Expect(err).NotTo(HaveOccurred())
	m.Apply(1, now, cmd)
}

// documentNode is a leader whose commands are applied to a document at once. While failing is set, they
// are not.
type documentNode struct {
	leadingNode
	document *documentsm.Machine
	failing  bool
}

func (n *documentNode) VoterCount(uint32) int { return 5 }

func (n *documentNode) Propose(_ context.Context, _ uint32, cmd []byte) ([]byte, error) {
	if n.failing {
		return nil, errs.New(errs.Unavailable, "retry", "no quorum")
	}
	return n.document.Apply(1, 0, cmd), nil
}

// Guards against a request that crashes three more targets after each change of the leader, against a
// repeated report that counts twice, and against polls that fail, so that gateways lose their
// configuration, while a crash report cannot be committed.
func TestCrashRecordsSurviveTheLeader(t *testing.T) {
	g := NewWithT(t)
	document := documentsm.New()
	poll := func(s *Server, host string, id uint64, digests ...uint64) *fleet.PollReply {
		reply, err := s.poll(context.Background(), &fleet.PollRequest{Host: host, Kind: fleet.KindStore, CrashReport: id, Crashes: digests})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	blocked := func(s *Server) []uint64 {
		reply := &fleet.PollReply{}
		s.hosts.fillFleetState(&fleet.PollRequest{}, 0, reply)
		return reply.Blocked
	}
	node := &documentNode{document: document}
	first := New(Options{Node: node, Document: document, Log: logr.Discard()})
	poll(first, "g1", 11, 77)
	poll(first, "g1", 11, 77)
	poll(first, "g2", 12, 77, 88)
	g.Expect(blocked(first)).To(BeEmpty(), "two crashes, one of them reported twice")
	node.failing = true
	g.Expect(poll(first, "g3", 13, 77).CrashesNotRecorded).To(BeTrue())
	node.failing = false
	g.Expect(poll(first, "g3", 13, 77).CrashesNotRecorded).To(BeFalse())
	g.Expect(blocked(first)).To(Equal([]uint64{77}))

	data, err := document.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := documentsm.New()
	g.Expect(restored.Restore(data)).To(Succeed())
	second := New(Options{Node: &documentNode{document: restored}, Document: restored, Log: logr.Discard()})
	poll(second, "g1", 0)
	g.Expect(blocked(second)).To(Equal([]uint64{77}), "a new leader blocks the request from its first poll on")
	poll(second, "g2", 14, 88)
	poll(second, "g1", 15, 88)
	g.Expect(blocked(second)).To(Equal([]uint64{77, 88}), "crashes before and after the change add up")
}

// Guards against a request that stays blocked for good, and against records that grow without bound.
func TestCrashRecordsExpire(t *testing.T) {
	g := NewWithT(t)
	m := documentsm.New()
	for i := range uint64(3) {
		applyCrashes(g, m, time.Second, "g1", i+1, 77)
	}
	state := m.Get()
	b := blockedRequests{}
	b.update(0, &state)
	g.Expect(b.digests).To(Equal([]uint64{77}))
	b.update(documentsm.CrashRetention, &state)
	g.Expect(b.digests).To(Equal([]uint64{77}))
	b.update(documentsm.CrashRetention+1, &state)
	g.Expect(b.digests).To(BeEmpty(), "no report within the retention")
	applyCrashes(g, m, 2*time.Second+documentsm.CrashRetention, "g1", 9, 88)
	state = m.Get()
	g.Expect(state.Crashes).To(HaveLen(1), "the expired record is removed by the next report")
	many := make([]uint64, 5000)
	for i := range many {
		many[i] = uint64(1000 + i)
	}
	applyCrashes(g, m, 3*time.Second+documentsm.CrashRetention, "g1", 10, many...)
	g.Expect(len(m.Get().Crashes)).To(Equal(4096))
}
