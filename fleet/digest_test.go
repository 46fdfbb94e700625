package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a host that is sent an empty list of blocked requests with each poll, because its
// digest of nothing differs from the leader's, and against texts that are told apart by their
// joints alone.
func TestDigests(t *testing.T) {
	g := NewWithT(t)
	h := Holds{Blocked: 7}
	h.Learn(&PollReply{BlockedChanged: true})
	g.Expect(h.Blocked).To(BeZero())
	h.Learn(&PollReply{BlockedChanged: true, Blocked: []uint64{3, 4}})
	g.Expect(h.Blocked).To(Equal(DigestNumbers([]uint64{3, 4})))
	h.Learn(&PollReply{})
	g.Expect(h.Blocked).NotTo(BeZero(), "unchanged")
	g.Expect(DigestStrings([]string{"ab", "c"})).NotTo(Equal(DigestStrings([]string{"a", "bc"})))
	g.Expect(DigestStrings(nil)).NotTo(BeZero())
}
