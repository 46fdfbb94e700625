package replica

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cluster without faults", func() {
	It("replicates commands to members that joined (guards against lost or reordered commands)", func() {
		c := startCluster(3, nil)
		var want []string
		for i := range 50 {
			cmd := fmt.Sprint(i)
			c.propose(cmd)
			want = append(want, cmd)
		}
		for _, nd := range c.nodes {
			Eventually(nd.sm.all, 3*time.Second).Should(Equal(want))
		}
	})

	It("transfers leadership to the preferred leader without losing commands (guards against one member that leads all groups)", func() {
		c := startCluster(3, func(cfg *Config) { cfg.SpreadAfter = 500 * time.Millisecond })
		want := c.proposeMany("a", 5)
		Eventually(func() *node { return c.leader() }, 5*time.Second).Should(BeIdenticalTo(c.nodes[testGroup]))
		want = append(want, c.proposeMany("b", 5)...)
		Consistently(func() *node { return c.leader() }, time.Second).Should(BeIdenticalTo(c.nodes[testGroup]))
		c.expectAll(want, c.nodes...)
	})
})
