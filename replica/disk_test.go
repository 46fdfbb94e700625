package replica

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/statemachine/ledgersm"
)

var _ = Describe("a small disk", func() {
	// Guards against a snapshot that fills the disk because the log and the previous snapshot
	// are still stored. The write fails, and the member stops and fails again at each start.
	It("is not filled by snapshots", func() {
		const disk = 1 << 20
		c := startCluster(1, func(cfg *Config) {
			cfg.SnapshotBytes = 100 << 10
			cfg.SegmentBytes = 64 << 10
			cfg.DiskBytes = disk
		})
		largest := int64(0)
		for i := range 60 {
			c.propose(fmt.Sprint(i, strings.Repeat("x", 10<<10)))
			used, err := directoryBytes(c.nodes[0].dir)
			Expect(err).NotTo(HaveOccurred())
			largest = max(largest, used)
		}
		Expect(largest).To(BeNumerically("<", disk))
		Expect(c.nodes[0].sm.all()).To(HaveLen(60))
	})

	// Guards against a log that fills the disk because no snapshot fits. The state takes half of
	// the disk, and a snapshot that is not chunked would need the same space again.
	It("holds a ledger of half the disk's size under steady load", func() {
		const (
			disk     = 32 << 20
			turn     = 128 << 10
			interval = 50 * time.Millisecond // 2.6 MB/s; turns are kept for 5 to 7 s
			turns    = 300                   // 15 s, 38 MB
		)
		c := startCluster(1, func(cfg *Config) {
			cfg.Groups = map[uint32]StateMachine{testGroup: ledgersm.New()}
			cfg.SnapshotBytes = 1 << 20
			cfg.SegmentBytes = 1 << 20
			cfg.DiskBytes = disk
		})
		input := []byte(strings.Repeat("x", turn))
		largest := int64(0)
		for i := range turns {
			cmd, err := msgpack.Marshal(&ledgersm.Command{Settle: &ledgersm.Settle{
				Org: "acme", Program: "p", Attempt: fmt.Sprint(i), Keep: true, Input: input, Retention: time.Millisecond,
			}})
			Expect(err).NotTo(HaveOccurred())
			c.propose(string(cmd))
			used, err := directoryBytes(c.nodes[0].dir)
			Expect(err).NotTo(HaveOccurred())
			largest = max(largest, used)
			time.Sleep(interval)
		}
		Expect(largest).To(BeNumerically("<", disk))
	})
})
