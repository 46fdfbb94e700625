package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// votingNode is a replica whose number of voters the test sets. It counts proposed commands.
type votingNode struct {
	unimplementedReplica
	voters   atomic.Int64
	proposed atomic.Int64
	// duringPropose is called while a command is being committed; nil: not called.
	duringPropose func()
}

func (n *votingNode) VoterCount(uint32) int { return int(n.voters.Load()) }

func (n *votingNode) Propose(context.Context, uint32, []byte) ([]byte, error) {
	n.proposed.Add(1)
	if n.duringPropose != nil {
		n.duringPropose()
	}
	return msgpack.Marshal(&documentsm.Reply{Version: 1})
}

// putDocument stores a document through a server that requires five voters.
func putDocument(n *votingNode) error {
	s := New(Options{Node: n, MinVoters: 5, Log: logr.Discard()})
	_, err := s.put(context.Background(), &fleet.PutRequest{Version: 1})
	return err
}

// Guards against commands that fail, so that turns are refused and outcomes lost, during the short
// time in which a returning member replaces its old incarnation and a voter is missing.
func TestCommandsWaitForVoters(t *testing.T) {
	g := NewWithT(t)
	n := &votingNode{}
	n.voters.Store(4)
	time.AfterFunc(100*time.Millisecond, func() { n.voters.Store(5) })
	g.Expect(putDocument(n)).To(Succeed())
}

// Guards against acknowledging a command with fewer voters than are needed to survive the member
// losses that the site must tolerate.
func TestNoAcknowledgementBelowMinVoters(t *testing.T) {
	g := NewWithT(t)
	n := &votingNode{}
	n.voters.Store(4)
	g.Expect(errs.From(putDocument(n)).Code).To(Equal(errs.Unavailable))
	g.Expect(n.proposed.Load()).To(BeZero())

	n.voters.Store(5)
	n.duringPropose = func() { n.voters.Store(4) }
	g.Expect(errs.From(putDocument(n)).Code).To(Equal(errs.Uncertain), "a voter was removed while the command was being committed")
}
