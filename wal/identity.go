package wal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
)

// Identity identifies the member whose data a directory holds.
type Identity struct {
	Member      string
	Incarnation uint64
	// Cluster is the ID of the cluster that the member belongs to, or 0 until it has joined
	// one.
	Cluster uint64
}

func (l *Log) identityPath() string { return filepath.Join(l.dir, "identity") }

// ReadIdentity returns the identity stored in a data directory. It returns false if the
// directory has no identity yet.
func ReadIdentity(dir string) (Identity, bool, error) {
	data, err := os.ReadFile(filepath.Join(dir, "identity"))
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
