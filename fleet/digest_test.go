package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two faults of digests: a host gets an empty list of blocked requests with every
// poll because its digest of the empty list differs from the leader's, and lists whose strings
// concatenate to the same text have the same digest.
func TestDigests(t *testing.T) {
	g := NewWithT(t)
	h := KnownVersions{Blocked: 7}
	h.Update(&PollReply{BlockedChanged: true})
	g.Expect(h.Blocked).To(BeZero())
	h.Update(&PollReply{BlockedChanged: true, Blocked: []uint64{3, 4}})
	g.Expect(h.Blocked).To(Equal(DigestNumbers([]uint64{3, 4})))
	h.Update(&PollReply{})
	g.Expect(h.Blocked).NotTo(BeZero(), "unchanged")
	g.Expect(DigestStrings([]string{"ab", "c"})).NotTo(Equal(DigestStrings([]string{"a", "bc"})))
	g.Expect(DigestStrings(nil)).NotTo(BeZero())
}
