package replica

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/wal"
)

// proposeBatch proposes n commands with a number of concurrent callers and returns the
// sorted latencies.
func proposeBatch(nd *node, n, callers int) []time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	for w := range callers {
		wg.Go(func() {
			defer GinkgoRecover()
			for i := w; i < n; i += callers {
				startedAt := time.Now()
				_, err := nd.r.Propose(context.Background(), testGroup, fmt.Appendf(nil, "%0100d", i))
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				all = append(all, time.Since(startedAt))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

var _ = Describe("measurements", func() {
	It("latency and throughput of durable commands with three members", func() {
		c := startCluster(3, func(cfg *Config) { cfg.FS = wal.OS{} })
		nd := c.waitLeader(maxElectionTime)
		for _, callers := range []int{1, 16, 256} {
			n := 50 * callers
			before := nd.r.incarnation().wal.Stats()
			startedAt := time.Now()
			lat := proposeBatch(nd, n, callers)
			took := time.Since(startedAt)
			after := nd.r.incarnation().wal.Stats()
			GinkgoWriter.Printf("callers %d: median %v, p95 %v, %.0f commands/s, %d syncs for %d commands\n",
				callers, lat[n/2], lat[n*95/100], float64(n)/took.Seconds(), after.Syncs-before.Syncs, n)
		}
	})

	DescribeTable("restart of a member (guards against restarts that take longer with each change)", func(n int) {
		c := startCluster(3, nil)
		nd := c.waitLeader(maxElectionTime)
		proposeBatch(nd, n, 256)
		nd = c.others(nd)[0]
		Eventually(nd.sm.all, maxRepairTime).Should(HaveLen(n))
		nd.kill()
		startedAt := time.Now()
		nd.start()
		opened := time.Since(startedAt)
		Eventually(func() int { return len(nd.sm.all()) }, maxRepairTime, time.Millisecond).Should(Equal(n))
		took := time.Since(startedAt)
		GinkgoWriter.Printf("restart after %d commands: opened in %v, all applied after %v\n", n, opened, took)
		Expect(took).To(BeNumerically("<", time.Second))
	},
		Entry("1,000 commands", 1000),
		Entry("10,000 commands", 10000),
	)
})
