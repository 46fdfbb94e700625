package replica

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/figlb/figlb/raft"
)

// A wiped member joined only if the first message of a batch was for its new incarnation.
// While the old one was still a voter, the leader's messages for it often came first, and
// the member was never repaired.
func TestBatchAddressesAnyMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	old := raft.Peer{ID: "state-3", Incarnation: 1}
	fresh := raft.Peer{ID: "state-3", Incarnation: 2}
	b := &batch{Cluster: 1, Messages: []groupMessage{
		{Message: raft.Message{To: old}},
		{Message: raft.Message{To: fresh}},
	}}
	g.Expect(b.addresses(fresh)).To(gomega.BeTrue())
	g.Expect(b.addresses(raft.Peer{ID: "state-3", Incarnation: 3})).To(gomega.BeFalse())
	g.Expect((&batch{Cluster: 1}).addresses(fresh)).To(gomega.BeFalse())
}
