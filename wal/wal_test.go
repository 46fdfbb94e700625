package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

const testSegmentBytes = 2000 // small, so that a test writes several segments

// testEntry returns an entry whose record takes about 100 bytes.
func testEntry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "%070d", index)}
}

// openLog opens a log with small segments.
func openLog(dir string) (*Log, map[uint32]*GroupState) {
	l, groups, err := Open(dir, Options{SegmentBytes: testSegmentBytes})
	Expect(err).NotTo(HaveOccurred())
	return l, groups
}

func appendSynced(l *Log, rec Record) error { return appendAndWait(l, rec, true) }

func appendAndWait(l *Log, rec Record, sync bool) error {
	done := make(chan error, 1)
	l.Append(&rec, sync, func(err error) { done <- err })
	return <-done
}

// appendEntries appends the entries from first to last one by one, and syncs the last one.
func appendEntries(l *Log, group uint32, first, last uint64) {
	for i := first; i <= last; i++ {
		Expect(appendAndWait(l, Record{Group: group, Entries: []raft.Entry{testEntry(i, 1)}}, i == last)).To(Succeed())
	}
}

func segmentFiles(dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, segmentDir, "*"+segmentSuffix))
	Expect(err).NotTo(HaveOccurred())
	return names
}

// flipBit flips one bit of the byte at an offset; a negative offset counts from the end.
func flipBit(path string, offset int) {
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	data[(offset+len(data))%len(data)] ^= 0x10
	Expect(os.WriteFile(path, data, fileMode)).To(Succeed())
}

func truncateBy(path string, by int64) {
	info, err := os.Stat(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Truncate(path, info.Size()-by)).To(Succeed())
}

var _ = Describe("Reopening a log", func() {
	var dir string
	BeforeEach(func() { dir = GinkgoT().TempDir() })

	It("restores the entries and hard state of all groups and the identity (guards against lost votes)", func() {
		l, _ := openLog(dir)
		Expect(l.SetIdentity(Identity{Member: "m", Incarnation: 7, Cluster: 9})).To(Succeed())
		appendEntries(l, 1, 1, 40)
		hard := raft.HardState{Term: 3, Vote: raft.Peer{ID: "x", Incarnation: 5}, Commit: 4}
		Expect(appendSynced(l, Record{Group: 2, Hard: &hard})).To(Succeed())
		Expect(appendSynced(l, Record{Group: 1, Entries: []raft.Entry{testEntry(30, 2)}})).To(Succeed())
		l.Abandon()
		l, groups := openLog(dir)
		defer l.Abandon()
		Expect(groups[1].Entries).To(HaveLen(30))
		Expect(groups[1].Entries[29].Term).To(BeEquivalentTo(2), "the entry replaces the earlier ones from its index on")
		Expect(groups[2].Hard).To(Equal(hard))
		id, known, err := ReadIdentity(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(BeTrue())
		Expect(id).To(Equal(Identity{Member: "m", Incarnation: 7, Cluster: 9}))
	})

	It("keeps the state of groups whose segments have been removed (guards against data loss by compaction)", func() {
		l, _ := openLog(dir)
		hard := raft.HardState{Term: 3}
		Expect(appendSynced(l, Record{Group: 2, Hard: &hard})).To(Succeed())
		appendEntries(l, 1, 1, 100)
		meta := raft.SnapshotMeta{Index: 90, Term: 1}
		Expect(l.SaveSnapshot(1, meta, snapshot.Snapshot{Head: []byte("state")})).To(Succeed())
		Expect(appendSynced(l, Record{Group: 1, Snapshot: &SnapshotPosition{Index: 90, Term: 1}})).To(Succeed())
		before := len(segmentFiles(dir))
		appendEntries(l, 1, 101, 130)
		Expect(len(segmentFiles(dir))).To(BeNumerically("<", before))
		l.Abandon()
		l, groups := openLog(dir)
		defer l.Abandon()
		Expect(groups[1].Snapshot).To(Equal(meta))
		Expect(string(groups[1].SnapshotData)).To(Equal("state"))
		Expect(groups[1].Entries).To(HaveLen(40))
		Expect(groups[2].Hard).To(Equal(hard))
	})

	DescribeTable("after damage", func(damage func(), wantLast int, wantError string) {
		l, _ := openLog(dir)
		Expect(l.SetIdentity(Identity{Member: "m", Incarnation: 7})).To(Succeed())
		Expect(l.SaveSnapshot(1, raft.SnapshotMeta{Index: 2, Term: 1}, snapshot.Snapshot{Head: []byte("state")})).To(Succeed())
		appendEntries(l, 1, 1, 50)
		Expect(appendSynced(l, Record{Group: 1, Snapshot: &SnapshotPosition{Index: 2, Term: 1}})).To(Succeed())
		l.Abandon()
		Expect(len(segmentFiles(dir))).To(BeNumerically(">=", 3))
		damage()
		l, _, err := Open(dir, Options{SegmentBytes: testSegmentBytes})
		if wantError != "" {
			Expect(err).To(MatchError(And(ContainSubstring(wantError), ContainSubstring("discard the data directory"))))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		appendEntries(l, 1, uint64(wantLast)+1, uint64(wantLast)+1)
		l.Abandon()
		l, groups := openLog(dir)
		defer l.Abandon()
		Expect(groups[1].Entries[len(groups[1].Entries)-1].Index).To(BeEquivalentTo(wantLast + 1))
	},
		Entry("torn snapshot position: truncated", func() { truncateBy(lastSegmentFile(dir), 1) }, 50, ""),
		Entry("torn entry: truncated", func() { truncateBy(lastSegmentFile(dir), 60) }, 49, ""),
		Entry("torn record header: truncated", func() { truncateBy(lastSegmentFile(dir), 10) }, 50, ""),
		Entry("bit flipped in the last entry: truncated", func() { flipBit(lastSegmentFile(dir), -60) }, 49, ""),
		Entry("empty new segment: created again", func() {
			Expect(os.WriteFile(nextSegmentFile(dir), nil, fileMode)).To(Succeed())
		}, 50, ""),
		Entry("incomplete header of a new segment: created again", func() {
			Expect(os.WriteFile(nextSegmentFile(dir), []byte{0, 0, 0, 40, 1}, fileMode)).To(Succeed())
		}, 50, ""),
		Entry("bit flipped in an earlier segment", func() { flipBit(segmentFiles(dir)[1], 700) }, 0, "is damaged"),
		Entry("truncated earlier segment", func() { truncateBy(segmentFiles(dir)[0], 10) }, 0, "is damaged"),
		Entry("missing segment", func() { Expect(os.Remove(segmentFiles(dir)[1])).To(Succeed()) }, 0, "segment is missing"),
		Entry("missing first segment", func() { Expect(os.Remove(segmentFiles(dir)[0])).To(Succeed()) }, 0, "follows entry"),
		Entry("missing snapshot", func() {
			Expect(os.Remove(filepath.Join(dir, snapshotDir, snapshotFileName(1, 2)))).To(Succeed())
		}, 0, "read snapshot"),
		Entry("bit flipped in the snapshot", func() { flipBit(filepath.Join(dir, snapshotDir, snapshotFileName(1, 2)), -1) }, 0, "is damaged"),
		Entry("bit flipped in the identity", func() {
			flipBit(filepath.Join(dir, "identity"), -1)
			_, _, err := ReadIdentity(dir)
			Expect(err).To(HaveOccurred())
		}, 50, ""),
	)
})

var _ = Describe("A log without its first segments", func() {
	// Guards against a lost segment that is taken for a removed one, because the group that needs it has no
	// entry in those that are left.
	It("is damaged if it ends before an entry that was committed", func() {
		dir := GinkgoT().TempDir()
		l, _ := openLog(dir)
		appendEntries(l, 2, 1, 3)
		Expect(appendSynced(l, Record{Group: 2, Hard: &raft.HardState{Term: 1, Commit: 3}})).To(Succeed())
		Expect(l.SaveSnapshot(1, raft.SnapshotMeta{Index: 40, Term: 1}, snapshot.Snapshot{Head: []byte("state")})).To(Succeed())
		appendEntries(l, 1, 1, 60)
		Expect(appendSynced(l, Record{Group: 1, Snapshot: &SnapshotPosition{Index: 40, Term: 1}})).To(Succeed())
		l.Abandon()
		Expect(os.Remove(segmentFiles(dir)[0])).To(Succeed())
		_, _, err := Open(dir, Options{SegmentBytes: testSegmentBytes})
		Expect(err).To(MatchError(And(ContainSubstring("segment is missing"), ContainSubstring("discard the data directory"))))
	})
})

func lastSegmentFile(dir string) string {
	s := segmentFiles(dir)
	return s[len(s)-1]
}

func nextSegmentFile(dir string) string {
	return filepath.Join(dir, segmentDir, fmt.Sprintf("%016x%s", len(segmentFiles(dir))+1, segmentSuffix))
}

// faultyFS returns errDisk from the operations whose flag is set.
type faultyFS struct {
	OS
	failWrite, failSync, failSyncDir atomic.Bool
}

var errDisk = errors.New("disk error")

func (f *faultyFS) Create(path string) (File, error) { return f.wrap(f.OS.Create(path)) }
func (f *faultyFS) Append(path string) (File, error) { return f.wrap(f.OS.Append(path)) }

func (f *faultyFS) wrap(file File, err error) (File, error) {
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFS) SyncDir(path string) error {
	if f.failSyncDir.Load() {
		return errDisk
	}
	return f.OS.SyncDir(path)
}

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.fs.failWrite.Load() {
		return 0, errDisk
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.fs.failSync.Load() {
		return errDisk
	}
	return f.File.Sync()
}

var _ = Describe("A disk failure", func() {
	DescribeTable("makes all later appends fail (guards against acknowledging lost writes)", func(setFault func(*faultyFS, bool), appends int) {
		fs := &faultyFS{}
		l, _, err := Open(GinkgoT().TempDir(), Options{SegmentBytes: testSegmentBytes, FS: fs})
		Expect(err).NotTo(HaveOccurred())
		setFault(fs, true)
		failed := 0
		for i := range appends {
			if appendSynced(l, Record{Group: 1, Entries: []raft.Entry{testEntry(uint64(i)+1, 1)}}) != nil {
				failed++
			}
		}
		Expect(failed).To(BeNumerically(">", 0))
		setFault(fs, false)
		Expect(appendSynced(l, Record{Group: 1, Entries: []raft.Entry{testEntry(uint64(appends)+1, 1)}})).To(MatchError(errDisk))
		Expect(l.Close()).To(MatchError(errDisk))
	},
		Entry("write", func(f *faultyFS, v bool) { f.failWrite.Store(v) }, 1),
		Entry("sync", func(f *faultyFS, v bool) { f.failSync.Store(v) }, 1),
		Entry("sync of the directory of a new segment", func(f *faultyFS, v bool) { f.failSyncDir.Store(v) }, 30),
	)

	DescribeTable("leaves no snapshot file under its final name", func(setFault func(*faultyFS)) {
		fs := &faultyFS{}
		dir := GinkgoT().TempDir()
		l, _, err := Open(dir, Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		defer l.Abandon()
		setFault(fs)
		Expect(l.SaveSnapshot(1, raft.SnapshotMeta{Index: 2, Term: 1}, snapshot.Snapshot{Head: []byte("state")})).To(MatchError(errDisk))
		Expect(filepath.Join(dir, snapshotDir, snapshotFileName(1, 2))).NotTo(BeAnExistingFile())
	},
		Entry("write", func(f *faultyFS) { f.failWrite.Store(true) }),
		Entry("sync", func(f *faultyFS) { f.failSync.Store(true) }),
	)
})

// slowFS takes a time for each sync of a file.
type slowFS struct {
	OS
	sync time.Duration
}

type slowFile struct {
	File
	sync time.Duration
}

func (f slowFS) Create(path string) (File, error) {
	file, err := f.OS.Create(path)
	return slowFile{file, f.sync}, err
}

func (f slowFile) Sync() error {
	time.Sleep(f.sync)
	return f.File.Sync()
}

var _ = Describe("A slow sync", func() {
	// Guards against a slow disk that the logs don't tell from a group without a leader.
	It("is reported", func() {
		var reported atomic.Int64
		l, _, err := Open(GinkgoT().TempDir(), Options{FS: slowFS{sync: slowSync}, OnSlowSync: func(took time.Duration) { reported.Store(int64(took)) }})
		Expect(err).NotTo(HaveOccurred())
		defer l.Abandon()
		Expect(appendSynced(l, Record{Group: 1, Entries: []raft.Entry{testEntry(1, 1)}})).To(Succeed())
		Expect(reported.Load()).To(BeNumerically(">=", slowSync))
	})
})

var _ = Describe("Concurrent appends", func() {
	It("share syncs (guards against one sync per command)", func() {
		l, _ := openLog(GinkgoT().TempDir())
		defer l.Abandon()
		const writers, appendsPerWriter = 64, 20
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range uint64(appendsPerWriter) {
					Expect(appendSynced(l, Record{Group: uint32(w), Entries: []raft.Entry{testEntry(i+1, 1)}})).To(Succeed())
				}
			})
		}
		wg.Wait()
		st := l.Stats()
		Expect(st.Records).To(BeEquivalentTo(writers * appendsPerWriter))
		Expect(st.Syncs).To(BeNumerically("<", st.Records/4))
	})
})
