package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

// File is the set of file operations that the log uses for writing.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the set of file system operations that the log uses for writing, apart from creating
// directories. Tests replace it to inject faults.
type FS interface {
	// Create opens a new, empty file for writing.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(path string) error
}

// OS implements FS with the file system of the operating system.
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

// writeFileAtomically writes the parts to a temporary file, syncs it, renames it to path and
// syncs the directory. After a crash, path has either its previous content, if any, or the
// complete new content.
func writeFileAtomically(fs FS, path string, parts ...[]byte) error {
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

// MakeDir creates a directory unless it exists, and makes its entry in the parent directory durable. A directory that
// exists may have been made by a process that was killed before it synced the parent; if this process may not read the
// parent, another user has made the directory.
func MakeDir(fs FS, path string) error {
	_, err := os.Stat(path)
	existed := err == nil
	if err := os.MkdirAll(path, dirMode); err != nil {
		return errors.WithStack(err)
	}
	err = fs.SyncDir(filepath.Dir(path))
	if existed && os.IsPermission(err) {
		return nil
	}
	return errors.WithStack(err)
}

// listFiles returns the sorted names of the files in a directory whose extension is suffix.
func listFiles(dir, suffix string) ([]string, error) {
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
