package wal_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/powerloss"
	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/snapshot"
	"github.com/figlb/figlb/wal"
)

const (
	lossSegmentBytes = 1200
	// lossesPerCut is the number of subsets of the unsynced names that are tried after each operation.
	lossesPerCut = 16
	lossGroups   = 3
)

// promise is what a log has acknowledged.
type promise struct {
	identity wal.Identity
	last     map[uint32]uint64 // index of the last synced entry of a group
	term     map[uint32]uint64
	position map[uint32]uint64 // of the snapshot in force
}

func (p promise) clone() promise {
	out := promise{p.identity, map[uint32]uint64{}, map[uint32]uint64{}, map[uint32]uint64{}}
	for g := range uint32(lossGroups) {
		out.last[g], out.term[g], out.position[g] = p.last[g], p.term[g], p.position[g]
	}
	return out
}

// cut is a state of the disk and what was acknowledged by then.
type cut struct {
	state    *powerloss.State
	promised promise
}

// member drives a log as a member of a cluster does.
type member struct {
	log  *wal.Log
	dir  string
	rng  *rand.Rand
	mu   sync.Mutex // guards promised and cuts
	made promise
	cuts []cut
}

// openMember opens the log in a folder as a start of the process does, and records a cut after each operation.
func openMember(dir string, made promise, rng *rand.Rand) (*member, error) {
	m := &member{dir: dir, rng: rng, made: made.clone()}
	disk, err := powerloss.Open(dir)
	Expect(err).NotTo(HaveOccurred())
	disk.AfterOperation = func(s *powerloss.State) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.cuts = append(m.cuts, cut{s, m.made.clone()})
	}
	_, known, err := wal.ReadIdentity(dir)
	if err != nil {
		return nil, err
	}
	if !known {
		if err := wal.Reset(dir, disk); err != nil {
			return nil, err
		}
	}
	log, groups, err := wal.Open(dir, wal.Options{SegmentBytes: lossSegmentBytes, FS: disk})
	if err != nil {
		return nil, err
	}
	m.log = log
	return m, checkPromise(dir, groups, made)
}

// checkPromise returns an error if something acknowledged is missing.
func checkPromise(dir string, groups map[uint32]*wal.GroupState, made promise) error {
	id, _, err := wal.ReadIdentity(dir)
	if err != nil {
		return err
	}
	if id.Incarnation < made.identity.Incarnation {
		return fmt.Errorf("identity %v instead of %v", id, made.identity)
	}
	for g := range uint32(lossGroups) {
		st := groups[g]
		if st == nil {
			st = &wal.GroupState{}
		}
		if st.Hard.Term < made.term[g] {
			return fmt.Errorf("group %d: term %d instead of %d", g, st.Hard.Term, made.term[g])
		}
		if st.Snapshot.Index < made.position[g] {
			return fmt.Errorf("group %d: snapshot %d instead of %d", g, st.Snapshot.Index, made.position[g])
		}
		if want := state(g, st.Snapshot.Index); st.Snapshot.Index > 0 && string(st.SnapshotData) != want {
			return fmt.Errorf("group %d: snapshot %q instead of %q", g, st.SnapshotData, want)
		}
		last := st.Snapshot.Index
		for _, e := range st.Entries {
			if e.Index != last+1 || string(e.Data) != entryData(g, e.Index) {
				return fmt.Errorf("group %d: entry %d %q after %d", g, e.Index, e.Data, last)
			}
			last = e.Index
		}
		if last < made.last[g] {
			return fmt.Errorf("group %d ends with %d instead of %d", g, last, made.last[g])
		}
	}
	return nil
}

func entryData(group uint32, index uint64) string { return fmt.Sprintf("%040d of %d", index, group) }

// state returns the content of a snapshot: a head and the chunks of the last two tens of entries.
func state(group uint32, index uint64) string {
	return fmt.Sprintf("head %d of %d;", index, group) + chunkText(index/10) + chunkText(index/10+1)
}

func chunkText(n uint64) string { return fmt.Sprintf("chunk %d;", n) }

func chunk(n uint64) snapshot.Chunk {
	text := chunkText(n)
	return snapshot.Chunk{Key: fmt.Sprintf("%016x", n), Size: int64(len(text)), Parts: [][]byte{[]byte(text)}}
}

func (m *member) append(rec wal.Record, sync bool) error {
	done := make(chan error, 1)
	m.log.Append(&rec, sync, func(err error) { done <- err })
	return <-done
}

// promised changes what has been acknowledged.
func (m *member) promised(change func(p *promise)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.made)
}

// work appends entries, some unsynced, stores snapshots and removes old ones. Group 2 has few entries, so that the
// segments before its snapshots are removed together.
func (m *member) work(steps int) {
	written := m.made.clone().last
	for range steps {
		g := uint32(m.rng.IntN(lossGroups - 1))
		if m.rng.IntN(40) == 0 {
			g = lossGroups - 1
		}
		written[g]++
		index, sync := written[g], m.rng.IntN(3) > 0
		rec := wal.Record{Group: g, Hard: &raft.HardState{Term: index, Commit: m.made.last[g]},
			Entries: []raft.Entry{{Index: index, Term: 1, Kind: raft.EntryCommand, Data: []byte(entryData(g, index))}}}
		Expect(m.append(rec, sync)).To(Succeed())
		if sync {
			m.promised(func(p *promise) {
				for g, last := range written { // records before a synced one are synced with it
					p.last[g], p.term[g] = last, last
				}
			})
		}
		switch m.rng.IntN(25) {
		case 0:
			m.snapshot(g)
		case 1:
			m.snapshot(lossGroups - 1)
		case 2:
			id := wal.Identity{Member: "m", Incarnation: m.made.identity.Incarnation + 1, Cluster: 1}
			Expect(m.log.SetIdentity(id)).To(Succeed())
			m.promised(func(p *promise) { p.identity = id })
		}
	}
}

// snapshot stores a snapshot at the last synced entry of a group and puts it in force, unless the power is about to be
// lost in between.
func (m *member) snapshot(g uint32) {
	index := m.made.last[g]
	if index <= m.made.position[g] {
		return
	}
	s := snapshot.Snapshot{Head: fmt.Appendf(nil, "head %d of %d;", index, g), Chunks: []snapshot.Chunk{chunk(index / 10), chunk(index/10 + 1)}}
	Expect(m.log.SaveSnapshot(g, raft.SnapshotMeta{Index: index, Term: 1}, s)).To(Succeed())
	Expect(m.append(wal.Record{Group: g, Snapshot: &wal.SnapshotPosition{Index: index, Term: 1}}, true)).To(Succeed())
	m.promised(func(p *promise) { p.position[g] = index })
	Expect(m.log.RemoveOldSnapshots(g)).To(Succeed())
}

// firstMember returns a member of a new cluster in an empty folder, whose log has been created and identified.
func firstMember(dir string, rng *rand.Rand) *member {
	m, err := openMember(dir, promise{}, rng)
	Expect(err).NotTo(HaveOccurred())
	id := wal.Identity{Member: "m", Incarnation: 1, Cluster: 1}
	Expect(m.log.SetIdentity(id)).To(Succeed())
	m.promised(func(p *promise) { p.identity = id })
	return m
}

// Guards against members that never start again, or have lost what they acknowledged, after a loss of power that
// undoes some of the creations, renames and removals since the last sync of their directory.
var _ = Describe("After a loss of power", func() {
	// restart plays a loss of power at a cut, with some names lost, and starts the member on what is left.
	restart := func(c cut, lost []string, rng *rand.Rand) (*member, error) {
		dir, err := os.MkdirTemp(GinkgoT().TempDir(), "")
		Expect(err).NotTo(HaveOccurred())
		dir = filepath.Join(dir, "data")
		Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
		Expect(c.state.Restore(dir, lost, rng)).To(Succeed())
		return openMember(dir, c.promised, rng)
	}

	DescribeTable("a log starts with all that it acknowledged", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := firstMember(GinkgoT().TempDir(), rng)
		m.work(100)
		Expect(m.log.Close()).To(Succeed())
		for i, c := range m.cuts {
			for _, lost := range c.state.Losses(rng, lossesPerCut) {
				again, err := restart(c, lost, rng)
				Expect(err).NotTo(HaveOccurred(), "cut %d of %d, lost %v", i, len(m.cuts), lost)
				again.log.Abandon()
			}
		}
	},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)),
	)

	DescribeTable("a log starts after several losses, also during a start", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := firstMember(GinkgoT().TempDir(), rng)
		for range 40 {
			m.work(rng.IntN(60))
			m.log.Abandon()
			c := m.cuts[rng.IntN(len(m.cuts))]
			losses := c.state.Losses(rng, lossesPerCut)
			var err error
			m, err = restart(c, losses[rng.IntN(len(losses))], rng)
			Expect(err).NotTo(HaveOccurred())
		}
		m.log.Abandon()
	},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)),
	)

	// Guards against a start that takes the rest of a directory that was being discarded for a log.
	It("a directory that was being discarded starts empty", func() {
		rng := rand.New(rand.NewPCG(5, 2))
		m := firstMember(GinkgoT().TempDir(), rng)
		m.work(300)
		Expect(m.log.Close()).To(Succeed())
		disk, err := powerloss.Open(m.dir)
		Expect(err).NotTo(HaveOccurred())
		var cuts []cut
		disk.AfterOperation = func(s *powerloss.State) { cuts = append(cuts, cut{s, promise{}}) }
		Expect(wal.Reset(m.dir, disk)).To(Succeed())
		Expect(len(cuts)).To(BeNumerically(">", 10))
		for i, c := range cuts[1:] { // after the first one the identity may be back
			for _, lost := range c.state.Losses(rng, lossesPerCut) {
				again, err := restart(c, lost, rng)
				Expect(err).NotTo(HaveOccurred(), "cut %d, lost %v", i+1, lost)
				_, known, err := wal.ReadIdentity(again.dir)
				Expect(err).NotTo(HaveOccurred())
				Expect(known).To(BeFalse())
				again.log.Abandon()
			}
		}
	})

	// Guards against directories that are lost with all files in them: a process that was killed after it made
	// them has not synced their parent.
	It("a log syncs the directories that an earlier process made", func() {
		parent := GinkgoT().TempDir()
		dir := filepath.Join(parent, "data")
		Expect(os.MkdirAll(filepath.Join(dir, "log"), 0o755)).To(Succeed())
		Expect(os.MkdirAll(filepath.Join(dir, "snapshots"), 0o755)).To(Succeed())
		fs := &syncedDirs{}
		log, _, err := wal.Open(dir, wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		log.Abandon()
		Expect(fs.dirs).To(ContainElements(parent, dir, filepath.Join(dir, "log")))
	})

	// Guards against a member that does not start in a directory that was made for it, below one that it may not
	// read.
	It("a log opens below a directory that can't be read", func() {
		parent := GinkgoT().TempDir()
		fs := &syncedDirs{denied: parent}
		_, _, err := wal.Open(filepath.Join(parent, "new"), wal.Options{FS: fs})
		Expect(err).To(MatchError(os.ErrPermission), "its own directory would not be durable")
		dir := filepath.Join(parent, "data")
		Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
		log, _, err := wal.Open(dir, wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		log.Abandon()
	})
})

// syncedDirs records the directories that are synced. Those in denied may not be read.
type syncedDirs struct {
	wal.OS
	dirs   []string
	denied string
}

func (f *syncedDirs) SyncDir(path string) error {
	if path == f.denied {
		return os.ErrPermission
	}
	f.dirs = append(f.dirs, path)
	return f.OS.SyncDir(path)
}
