//go:build !powerloss

package process

import "github.com/figlb/figlb/wal"

// openDisk returns the file system for the data folder.
func openDisk(string) (wal.FS, error) { return wal.OS{}, nil }
