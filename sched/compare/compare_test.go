package compare

import (
	"reflect"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCompare(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sched/compare")
}

var _ = ginkgo.Describe("simulation of a site", func() {
	site := Sites[1]
	run := func(contender int) *Result {
		return simulate(site, Contenders[contender], orgRates(Capacity(site)/2), 1)
	}

	ginkgo.It("gives the same result for the same seed", func() {
		a, b := run(0), run(0)
		Expect(reflect.DeepEqual(a, b)).To(BeTrue())
	})

	// Guards against a policy change that makes less use of the engines' prefix caches.
	ginkgo.It("recomputes at most a quarter as many tokens with the fair policy as with least-outstanding", func() {
		fair, baseline := run(0), run(1)
		Expect(fair.Unfinished).To(BeZero())
		Expect(fair.Refused).To(BeZero())
		Expect(fair.Recomputed).To(BeNumerically("<=", baseline.Recomputed/4))
	})

	// Guards against an organisation that takes service from the others by exceeding its rate.
	ginkgo.It("leaves the other organisations 0.95 of their service while one sends at eight times its rate", func() {
		f := measureFlood(site, Contenders[0], orgRates(0.8*Capacity(site)), []uint64{1})
		Expect(f.WorstService).To(BeNumerically(">=", 0.95))
		Expect(f.RefusedOthers).To(BeZero())
	})
})
