package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a cold target being overloaded by hundreds of gateways that each have an unused
// token for it. All other targets are full, so that every gateway wants to use the target that
// has just started.
func TestColdTargetLimitAcrossGateways(t *testing.T) {
	const (
		perSecond    = 15.0 // requests per second that the cold target tolerates
		maxPerSecond = 27   // requests in any second: 1.5 times perSecond, plus 5
		coldFor      = 6 * time.Second
		start        = 20 * time.Second // when the target appears, counted from the start of the gateways
		step         = 20 * time.Millisecond
		minShare     = 0.25 // of perSecond: the limit must still let a useful number of requests through
	)
	for _, gateways := range []int{6, 74, 259, 370} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			g := NewWithT(t)
			sets := make([]*Set, gateways)
			for i := range sets {
				s := NewSet("a")
				s.Update(0, newTargets(1, 6))
				s.SetColdLimits(map[string]float64{"s": perSecond})
				l := newTargets(2, 6)
				l[1].ColdFor = coldFor
				s.Update(start, l)
				s.SetFleetLoad(gateways, nil, encodeLoadsFor(s, map[string]int32{"t0": 60}))
				sets[i] = s
			}
			var sent []time.Duration
			for at := start; at < start+coldFor; at += step {
				for i, s := range sets {
					target, _ := s.Acquire(at, &Criteria{Service: "s", Affinity: fmt.Sprint(i, at)})
					if target.ID == "t1" {
						sent = append(sent, at)
					}
					s.Release(target)
				}
			}
			window := 0
			for i := range sent {
				for sent[i]-sent[window] >= time.Second {
					window++
				}
				g.Expect(i-window+1).To(BeNumerically("<=", maxPerSecond), "requests in one second")
			}
			g.Expect(float64(len(sent))).To(BeNumerically(">=", minShare*perSecond*coldFor.Seconds()))
		})
	}
}
