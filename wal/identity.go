package wal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

const identityFile = "identity"

// Identity identifies the member whose data a directory holds.
type Identity struct {
	Member      string
	Incarnation uint64
	// Cluster is the ID of the cluster that the member belongs to, or 0 until it has joined
	// one.
	Cluster uint64
}

func (l *Log) identityPath() string { return filepath.Join(l.dir, identityFile) }

// ReadIdentity returns the identity stored in a data directory. It returns false if the
// directory has no identity yet.
func ReadIdentity(dir string) (Identity, bool, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if os.IsNotExist(err) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, errors.WithStack(err)
	}
	payload, _, err := nextRecord(data)
	if err != nil {
		return Identity{}, false, errors.Wrapf(err, "identity file in %s; discard the directory", dir)
	}
	var id Identity
	if err := raft.Decode(payload, &id); err != nil {
		return Identity{}, false, errors.Wrapf(err, "identity file in %s; discard the directory", dir)
	}
	return id, true, nil
}

// SetIdentity stores the identity durably.
func (l *Log) SetIdentity(id Identity) error {
	rec, err := appendRecord(nil, id)
	if err != nil {
		return err
	}
	return errors.Wrap(writeFileAtomically(l.fs, l.identityPath(), rec), "store identity")
}

// Reset removes the identity, the log and the snapshots in a data directory, if there are any. The identity goes
// first and durably: a directory without one holds nothing that has been acknowledged, and what is left in it after a
// crash is removed by the next call.
func Reset(dir string, fs FS) error {
	if err := removeFiles(fs, dir, func(name string) bool { return name == identityFile }); err != nil {
		return err
	}
	for _, sub := range []string{segmentDir, snapshotDir} {
		if err := removeFiles(fs, filepath.Join(dir, sub), func(string) bool { return true }); err != nil {
			return err
		}
	}
	return nil
}

// removeFiles durably removes the files of a directory that match. It does nothing if there are none.
func removeFiles(fs FS, dir string, match func(name string) bool) error {
	entries, err := os.ReadDir(dir)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.WithStack(err)
	}
	removed := false
	for _, e := range entries {
		if e.IsDir() || !match(e.Name()) {
			continue
		}
		removed = true
		if err := fs.Remove(filepath.Join(dir, e.Name())); err != nil {
			return errors.WithStack(err)
		}
	}
	if !removed {
		return nil
	}
	return errors.WithStack(fs.SyncDir(dir))
}
