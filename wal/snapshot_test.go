package wal

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
)

var _ = Describe("A snapshot with chunks", func() {
	a := snapshot.NewChunk([][]byte{[]byte("first "), []byte("chunk ")})
	b := snapshot.NewChunk([][]byte{[]byte("second chunk")})
	whole := "head first chunk second chunk"
	var (
		dir string
		l   *Log
	)
	save := func(index uint64, head string, chunks ...snapshot.Chunk) {
		meta := raft.SnapshotMeta{Index: index, Term: 1}
		Expect(l.SaveSnapshot(1, meta, snapshot.Snapshot{Head: []byte(head), Chunks: chunks})).To(Succeed())
	}
	chunkFiles := func() []string {
		names, err := listFiles(filepath.Join(dir, snapshotDir), chunkSuffix)
		Expect(err).NotTo(HaveOccurred())
		return names
	}
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		l, _ = openLog(dir)
		DeferCleanup(func() { l.Abandon() })
	})

	// Guards against a restart that restores the parts of the state incompletely or in the wrong
	// order.
	It("is loaded as it was saved", func() {
		save(2, "head ", a, b)
		_, data, head, err := l.LoadSnapshot(1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal(whole))
		Expect(head).To(Equal(len("head ")))
	})

	// Guards against a transfer that skips or repeats bytes at the boundary between two files.
	It("is read correctly from any offset with any size", func() {
		save(2, "head ", a, b)
		for offset := range len(whole) + 1 {
			for size := 1; size <= len(whole)+1; size++ {
				data, last, err := l.ReadSnapshot(1, 2, uint64(offset), size)
				Expect(err).NotTo(HaveOccurred())
				end := min(offset+size, len(whole))
				Expect(string(data)).To(Equal(whole[offset:end]))
				Expect(last).To(Equal(end == len(whole)), "offset %d, size %d", offset, size)
			}
		}
	})

	// Guards against storing unchanged data again with each snapshot.
	It("stores shared chunks once", func() {
		s := snapshot.Snapshot{Head: []byte("head "), Chunks: []snapshot.Chunk{a, b}}
		Expect(l.SnapshotWriteBytes(1, s)).To(BeEquivalentTo(len(whole)))
		save(2, "head ", a)
		Expect(l.SnapshotWriteBytes(1, s)).To(Equal(int64(len("head ")) + b.Size))
		file := filepath.Join(dir, snapshotDir, chunkFileName(1, a.Key))
		before, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		save(3, "head ", a, b)
		after, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.SameFile(before, after)).To(BeTrue())
		Expect(after.ModTime()).To(Equal(before.ModTime()))
	})

	// Guards against removing chunks that a retained snapshot or another group still refers to,
	// and against unreferenced chunks that fill the disk.
	It("keeps exactly the referenced chunks", func() {
		save(2, "one ", a)
		Expect(l.SaveSnapshot(2, raft.SnapshotMeta{Index: 2, Term: 1}, snapshot.Snapshot{Chunks: []snapshot.Chunk{a}})).To(Succeed())
		save(3, "two ", a, b)
		save(4, "three ", b)
		Expect(l.RemoveOldSnapshots(1)).To(Succeed())
		Expect(chunkFiles()).To(ConsistOf(chunkFileName(1, a.Key), chunkFileName(1, b.Key), chunkFileName(2, a.Key)))
		save(5, "four ", b)
		Expect(l.RemoveOldSnapshots(1)).To(Succeed())
		Expect(chunkFiles()).To(ConsistOf(chunkFileName(1, b.Key), chunkFileName(2, a.Key)))
		_, data, _, err := l.LoadSnapshot(1, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("three second chunk"))
	})

	// Guards against removing the snapshot that the log refers to, because processes that were killed have left
	// later ones which were not put in force.
	It("keeps the snapshot in force", func() {
		save(2, "one ", a)
		Expect(appendSynced(l, Record{Group: 1, Snapshot: &SnapshotPosition{Index: 2, Term: 1}})).To(Succeed())
		save(3, "two ", b)
		save(4, "three ", b)
		Expect(l.RemoveOldSnapshots(1)).To(Succeed())
		l.Abandon()
		_, groups, err := Open(dir, Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(groups[1].SnapshotData)).To(HavePrefix("one first chunk"))
	})

	// Guards against restoring state from a damaged or missing chunk.
	DescribeTable("is rejected", func(damage func(path string) error, wantError string) {
		save(2, "head ", a, b)
		Expect(damage(l.chunkPath(1, b.Key))).To(Succeed())
		_, _, _, err := l.LoadSnapshot(1, 2)
		Expect(err).To(MatchError(And(ContainSubstring(wantError), ContainSubstring("discard the data directory"))))
	},
		Entry("with a missing chunk", os.Remove, "read a chunk"),
		Entry("with a changed chunk", func(path string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			return os.WriteFile(path, bytes.Replace(data, []byte("second"), []byte("zecond"), 1), fileMode)
		}, "is damaged"),
		Entry("with a truncated chunk", func(path string) error {
			return os.Truncate(path, 20)
		}, "is damaged"),
	)

	// Guards against storing a snapshot that refers to a chunk whose write failed.
	DescribeTable("is not stored after a failed", func(injectFault func(*faultyFS)) {
		fs := &faultyFS{}
		faulty, _, err := Open(GinkgoT().TempDir(), Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		defer faulty.Abandon()
		injectFault(fs)
		s := snapshot.Snapshot{Head: []byte("head "), Chunks: []snapshot.Chunk{a}}
		Expect(faulty.SaveSnapshot(1, raft.SnapshotMeta{Index: 2, Term: 1}, s)).To(MatchError(errDisk))
		Expect(faulty.snapshotPath(1, 2)).NotTo(BeAnExistingFile())
		Expect(faulty.chunkPath(1, a.Key)).NotTo(BeAnExistingFile())
	},
		Entry("write", func(f *faultyFS) { f.failWrite.Store(true) }),
		Entry("sync", func(f *faultyFS) { f.failSync.Store(true) }),
	)
})
