package replica

import (
	"fmt"
	"os"
	"path/filepath"
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

var _ = Describe("a directory without an identity", func() {
	// Guards against a member that never starts again, or that takes over foreign entries, after a loss of power
	// while it discarded its directory: some of the files are back, the identity is gone.
	It("starts as an empty one", func() {
		c := startCluster(1, func(cfg *Config) { cfg.SegmentBytes = 2 << 10 })
		for i := range 100 {
			c.propose(fmt.Sprint(i, strings.Repeat("x", 200)))
		}
		nd := c.nodes[0]
		nd.stop()
		segments, err := filepath.Glob(filepath.Join(nd.dir, "log", "*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(segments)).To(BeNumerically(">", 3))
		Expect(os.Remove(segments[1])).To(Succeed())
		Expect(os.Remove(filepath.Join(nd.dir, "identity"))).To(Succeed())
		nd.start()
		c.waitVoters(1)
		c.propose("first")
		Expect(nd.sm.all()).To(Equal([]string{"first"}))
	})
})
