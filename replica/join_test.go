package replica

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/figlb/figlb/raft"
)

// Guards against a wiped member that never rejoins. It used to join only if the first message
// of a batch was for its new incarnation, but the first message is often for the old incarnation
// while that is still a voter.
func TestBatchIsAddressedToAnyMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	old := raft.Peer{ID: "state-3", Incarnation: 1}
	fresh := raft.Peer{ID: "state-3", Incarnation: 2}
	b := &batch{Cluster: 1, Messages: []groupMessage{
		{Message: raft.Message{To: old}},
		{Message: raft.Message{To: fresh}},
	}}
	g.Expect(b.isAddressedTo(fresh)).To(gomega.BeTrue())
	g.Expect(b.isAddressedTo(raft.Peer{ID: "state-3", Incarnation: 3})).To(gomega.BeFalse())
	g.Expect((&batch{Cluster: 1}).isAddressedTo(fresh)).To(gomega.BeFalse())
}
