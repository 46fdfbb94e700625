package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a limit that gateways take for higher than the target has named it, and against a
// statement that looks newer than it is.
func TestEncodedLimitsRoundDownAndAgesUp(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Limit
		want Limit // PerSecond is the lowest accepted value; the highest is that of in
	}{
		{"no limit", Limit{Index: 3, PerSecond: NoLimit}, Limit{Index: 3, PerSecond: NoLimit}},
		{"no requests", Limit{PerSecond: 0}, Limit{PerSecond: MinRequestLimit}},
		{"a fraction of a request", Limit{PerSecond: 0.5, Age: time.Millisecond}, Limit{PerSecond: 0.47, Age: 100 * time.Millisecond}},
		{"a usual limit", Limit{Index: 2799, PerSecond: 7.4, Age: 250 * time.Millisecond}, Limit{Index: 2799, PerSecond: 7.0, Age: 300 * time.Millisecond}},
		{"a high limit", Limit{Index: maxLimitIndex, PerSecond: 900}, Limit{Index: maxLimitIndex, PerSecond: 860}},
		{"a limit and an age beyond the encoding", Limit{PerSecond: 1e9, Age: time.Hour}, Limit{PerSecond: 10000, Age: 25500 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			out, err := EncodeLimits([]Limit{c.in}).Decode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out).To(HaveLen(1))
			got := out[0]
			g.Expect(got.Index).To(Equal(c.want.Index))
			g.Expect(got.Age).To(Equal(c.want.Age))
			g.Expect(got.PerSecond).To(BeNumerically(">=", c.want.PerSecond-1e-6))
			g.Expect(got.PerSecond).To(BeNumerically("<=", max(c.in.PerSecond, c.want.PerSecond)+1e-6))
			g.Expect(LimitCode(got.PerSecond)).To(Equal(LimitCode(c.in.PerSecond)), "decoded limits keep their code")
		})
	}
}

// Guards against a damaged reply that is applied in part, and against an index that wraps around to
// another target.
func TestEncodedLimitsRejectBadInput(t *testing.T) {
	g := NewWithT(t)
	_, err := EncodedLimits{1, 0, 5}.Decode()
	g.Expect(err).To(MatchError(ContainSubstring("not a multiple of 4")))
	g.Expect(EncodeLimits([]Limit{{Index: maxLimitIndex + 1, PerSecond: 1}})).To(BeEmpty())
}
