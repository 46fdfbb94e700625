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
})
