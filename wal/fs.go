package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

// File is the part of a file that the log writes through.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS creates files and makes directory entries durable. Tests replace it to inject faults.
type FS interface {
	// Create opens a new, empty file for writing.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error
}

// OS is the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// writeDurably writes a file under a temporary name, syncs it, gives it its name and syncs
// the directory, so that the name stands for a complete file or for none.
func writeDurably(fs FS, path string, parts ...[]byte) error {
	tmp := path + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, p := range parts {
		if _, err := f.Write(p); err != nil {
			_ = f.Close()
			return errors.WithStack(err)
		}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.WithStack(err)
	}
	if err := f.Close(); err != nil {
		return errors.WithStack(err)
	}
	if err := fs.Rename(tmp, path); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(fs.SyncDir(filepath.Dir(path)))
}

// makeDir creates a directory and makes its entry in the parent durable.
func makeDir(fs FS, path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(fs.SyncDir(filepath.Dir(path)))
}

// list returns the sorted names in a directory that end with a suffix.
func list(dir, suffix string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out []string
	for _, e := range entries {
		if filepath.Ext(e.Name()) == suffix {
			out = append(out, e.Name())
		}
	}
	sort.Strings(out)
	return out, nil
}
