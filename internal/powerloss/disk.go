// Package powerloss is a file system for tests that knows what has been synced and plays the loss of power: it makes
// any state in which the files may be found afterwards.
package powerloss

import (
	"bytes"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/figlb/figlb/wal"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
	// maxZeroTail is the number of zero bytes that may follow the last unsynced write.
	maxZeroTail = 64
)

// Disk implements wal.FS on a folder and records what would survive a loss of power. Directories are durable at
// once. It is safe for concurrent use.
type Disk struct {
	root string
	// AfterOperation, if set, is called after each operation that changes the disk or syncs a part of it. It
	// must not use the disk.
	AfterOperation func(s *State)
	// SyncTime, if set, returns how long the next sync of a file takes. It is called concurrently.
	SyncTime func() time.Duration

	mu    sync.Mutex
	state State
}

// State is what a disk holds and what of it is durable.
type State struct {
	root    string
	names   map[string]*node // by path
	durable map[string]*node // names as of the last sync of their directory
}

// node is the content of a file, independent of its name.
type node struct {
	synced []byte
	later  []change // not synced
}

// change is a write, or a truncation if data is nil.
type change struct {
	offset int64
	data   []byte
}

// Open returns a disk on an existing folder, whose files are all durable.
func Open(root string) (*Disk, error) {
	d := &Disk{root: root, state: State{root: root, names: map[string]*node{}, durable: map[string]*node{}}}
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		n := &node{synced: data}
		d.state.names[path], d.state.durable[path] = n, n
		return err
	})
	return d, err
}

// done copies the state for AfterOperation. The caller holds mu.
func (d *Disk) done() {
	if d.AfterOperation != nil {
		d.AfterOperation(d.state.clone())
	}
}

// clone returns a deep copy in which equal nodes stay equal.
func (s *State) clone() *State {
	copies := map[*node]*node{}
	copyAll := func(names map[string]*node) map[string]*node {
		out := make(map[string]*node, len(names))
		for path, n := range names {
			if copies[n] == nil {
				// Synced content and changes are replaced as a whole and never modified.
				copies[n] = &node{synced: n.synced, later: slices.Clone(n.later)}
			}
			out[path] = copies[n]
		}
		return out
	}
	return &State{root: s.root, names: copyAll(s.names), durable: copyAll(s.durable)}
}

// Create implements wal.FS.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := wal.OS{}.Create(path)
	if err != nil {
		return nil, err
	}
	n := &node{}
	d.state.names[path] = n
	d.done()
	return &file{File: f, disk: d, node: n}, nil
}

// Append implements wal.FS.
func (d *Disk) Append(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := wal.OS{}.Append(path)
	if err != nil {
		return nil, err
	}
	n := d.state.names[path]
	return &file{File: f, disk: d, node: n, size: int64(len(n.apply(n.later)))}, nil
}

// CutPower replaces the files by those that a loss of power may leave. Operations that have not ended never do, and the disk
// is of no use afterwards. Each name that is not synced is as it is or as it was, at random.
func (d *Disk) CutPower(rng *rand.Rand) error {
	d.mu.Lock()
	after := d.root + ".after"
	if err := os.RemoveAll(after); err != nil {
		return err
	}
	if err := os.Mkdir(after, dirMode); err != nil {
		return err
	}
	if err := d.state.Restore(after, d.state.Losses(rng, 1)[0], rng); err != nil {
		return err
	}
	if err := os.RemoveAll(d.root); err != nil {
		return err
	}
	return os.Rename(after, d.root)
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.Rename(from, to); err != nil {
		return err
	}
	d.state.names[to] = d.state.names[from]
	delete(d.state.names, from)
	d.done()
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.Remove(path); err != nil {
		return err
	}
	delete(d.state.names, path)
	d.done()
	return nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.state.durable, func(path string, _ *node) bool { return filepath.Dir(path) == dir })
	for path, n := range d.state.names {
		if filepath.Dir(path) == dir {
			d.state.durable[path] = n
		}
	}
	d.done()
	return nil
}

// file is an open file of a disk.
type file struct {
	wal.File
	disk *Disk
	node *node
	size int64
}

func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	n, err := f.File.Write(p)
	f.node.later = append(f.node.later, change{f.size, bytes.Clone(p[:n])})
	f.size += int64(n)
	f.disk.done()
	return n, err
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	f.node.later = append(f.node.later, change{offset: size})
	f.size = size
	f.disk.done()
	return nil
}

// Sync records the content that was written before as durable. It does not sync the real file.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	written := len(f.node.later)
	f.disk.mu.Unlock()
	if f.disk.SyncTime != nil {
		time.Sleep(f.disk.SyncTime())
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.node.sync(written)
	f.disk.done()
	return nil
}

// sync applies the first changes to the synced content. Appended bytes leave the content that copies of the node share
// as it is; other changes copy it.
func (n *node) sync(changes int) {
	appended := n.synced
	for _, c := range n.later[:changes] {
		if c.data == nil || c.offset != int64(len(appended)) {
			n.synced, n.later = n.apply(n.later[:changes]), slices.Clone(n.later[changes:])
			return
		}
		appended = append(appended, c.data...)
	}
	n.synced, n.later = appended, slices.Clone(n.later[changes:])
}

// apply returns the content after some changes.
func (n *node) apply(changes []change) []byte {
	out := bytes.Clone(n.synced)
	for _, c := range changes {
		if c.data == nil {
			out = out[:min(c.offset, int64(len(out)))]
			continue
		}
		if missing := c.offset - int64(len(out)); missing > 0 {
			out = append(out, make([]byte, missing)...)
		}
		out = append(out[:c.offset], append(bytes.Clone(c.data), out[min(c.offset+int64(len(c.data)), int64(len(out))):]...)...)
	}
	return out
}

// afterLoss returns the content that a file may have after a loss of power: each unsynced change is there, missing
// or torn, and zero bytes may follow.
func (n *node) afterLoss(rng *rand.Rand) []byte {
	var kept []change
	for _, c := range n.later {
		switch rng.IntN(4) {
		case 0, 1:
			kept = append(kept, c)
		case 2:
			if len(c.data) > 0 {
				kept = append(kept, change{c.offset, c.data[:rng.IntN(len(c.data))+1]})
			}
		}
	}
	out := n.apply(kept)
	if len(n.later) > 0 && rng.IntN(2) == 0 {
		out = append(out, make([]byte, rng.IntN(maxZeroTail+1))...)
	}
	return out
}

// unsynced returns the sorted paths whose directory has not been synced since they were created, renamed or
// removed.
func (s *State) unsynced() []string {
	var out []string
	for path, n := range s.names {
		if s.durable[path] != n {
			out = append(out, path)
		}
	}
	for path := range s.durable {
		if s.names[path] == nil {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out
}

// Losses returns the sets of unsynced paths of which each may be as it was at the last sync, all subsets or, if there
// are more than limit, that many at random.
func (s *State) Losses(rng *rand.Rand, limit int) [][]string {
	paths := s.unsynced()
	all := len(paths) < 63 && 1<<len(paths) <= limit
	count := limit
	if all {
		count = 1 << len(paths)
	}
	out := make([][]string, count)
	for i := range out {
		for bit, path := range paths {
			if (all && i>>bit&1 == 1) || (!all && rng.IntN(2) == 1) {
				out[i] = append(out[i], path)
			}
		}
	}
	return out
}

// Restore writes the files to an empty folder as they may be found after a loss of power, with the unsynced names in
// lost as they were at the last sync of their directory.
func (s *State) Restore(root string, lost []string, rng *rand.Rand) error {
	names := maps.Clone(s.names)
	for _, path := range lost {
		delete(names, path)
		if n := s.durable[path]; n != nil {
			names[path] = n
		}
	}
	contents := map[*node][]byte{}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		n := names[path]
		if contents[n] == nil {
			contents[n] = n.afterLoss(rng)
		}
		rel, err := filepath.Rel(s.root, path)
		if err != nil {
			return err
		}
		to := filepath.Join(root, rel)
		if err := os.MkdirAll(filepath.Dir(to), dirMode); err != nil {
			return err
		}
		if err := os.WriteFile(to, contents[n], fileMode); err != nil {
			return err
		}
	}
	return nil
}
