package bodystore

import (
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/figlb/figlb/wal"
)

// testDisk is a file system that knows what has been synced, can lose the rest and can fail.
type testDisk struct {
	wal.OS
	trash     string // removed files whose folder has not been synced
	syncDelay time.Duration

	mu      sync.Mutex
	synced  map[string]int64 // bytes by path
	durable map[string]bool  // files whose entry in the folder has been synced
	removed map[string]string
	// Operations that fail with ENOSPC.
	failCreate, failWrite, failSync bool
}

func newTestDisk(trash string) *testDisk {
	return &testDisk{trash: trash, synced: map[string]int64{}, durable: map[string]bool{}, removed: map[string]string{}}
}

func (d *testDisk) fail(create, write, sync bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failCreate, d.failWrite, d.failSync = create, write, sync
}

func (d *testDisk) check(failing *bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *failing {
		return syscall.ENOSPC
	}
	return nil
}

type testFile struct {
	wal.File
	disk *testDisk
	path string
}

func (d *testDisk) Create(path string) (wal.File, error) {
	if err := d.check(&d.failCreate); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(path)
	return &testFile{f, d, path}, err
}

func (d *testDisk) Append(path string) (wal.File, error) {
	f, err := d.OS.Append(path)
	return &testFile{f, d, path}, err
}

func (d *testDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced[to] = d.synced[from]
	d.durable[to] = false
	return d.OS.Rename(from, to)
}

func (d *testDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removed[path] = filepath.Join(d.trash, filepath.Base(path))
	return os.Rename(path, d.removed[path])
}

func (d *testDisk) SyncDir(dir string) error {
	if err := d.check(&d.failSync); err != nil {
		return err
	}
	time.Sleep(d.syncDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	for _, f := range files {
		d.durable[f] = true
	}
	for path := range d.removed {
		if filepath.Dir(path) == dir {
			delete(d.removed, path)
		}
	}
	return err
}

func (f *testFile) Write(p []byte) (int, error) {
	if err := f.disk.check(&f.disk.failWrite); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

// Sync records the size without a real sync, which would take its time from the tests.
func (f *testFile) Sync() error {
	if err := f.disk.check(&f.disk.failSync); err != nil {
		return err
	}
	info, err := os.Stat(f.path)
	if err != nil {
		return err
	}
	time.Sleep(f.disk.syncDelay)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.synced[f.path] = info.Size()
	return nil
}

// afterPowerLoss returns the disk of the next start: what is there is durable.
func afterPowerLoss(trash, dir string) *testDisk {
	d := newTestDisk(trash)
	_ = filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			info, _ := e.Info()
			d.synced[path], d.durable[path] = info.Size(), true
		}
		return err
	})
	return d
}

// losePower takes back removals and files that their folder does not list durably, and cuts off or
// damages what has not been synced.
func (d *testDisk) losePower(dir string, rng *rand.Rand) {
	for path, kept := range d.removed {
		_ = os.Rename(kept, path)
	}
	_ = filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		if !d.durable[path] {
			return os.Remove(path)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		synced := min(d.synced[path], int64(len(data)))
		data = data[:synced+rng.Int64N(int64(len(data))-synced+1)]
		for i := synced; i < int64(len(data)); i += 1 + rng.Int64N(64) {
			data[i] ^= byte(rng.Uint32())
		}
		return os.WriteFile(path, data, 0o644)
	})
}

// unsyncedFS is the file system without syncs, which would only take time.
type unsyncedFS struct{ wal.OS }

type unsyncedFile struct{ wal.File }

func (unsyncedFile) Sync() error { return nil }

func (f unsyncedFS) Create(path string) (wal.File, error) {
	file, err := f.OS.Create(path)
	return unsyncedFile{file}, err
}

func (f unsyncedFS) Append(path string) (wal.File, error) {
	file, err := f.OS.Append(path)
	return unsyncedFile{file}, err
}

func (unsyncedFS) SyncDir(string) error { return nil }
