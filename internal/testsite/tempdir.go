package testsite

import (
	"os"

	"github.com/pkg/errors"
)

// memoryFS is the mount point of an in-memory file system, where the operating system has one.
const memoryFS = "/dev/shm"

// MakeTempDir makes a directory for the files of a site, in memory where possible. A killed process
// loses nothing that it has written, synced or not, so syncing to a disk would only cost time, and
// the disks of shared test computers stall, for 5.7 s while programs are built. The time limits of these tests assume
// disks that sync within 10 ms. Package wal tests the effect of syncs.
func MakeTempDir(pattern string) (string, error) {
	root := ""
	if _, err := os.Stat(memoryFS); err == nil {
		root = memoryFS
	}
	dir, err := os.MkdirTemp(root, pattern)
	return dir, errors.WithStack(err)
}
