//go:build powerloss

package process

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/powerloss"
	"github.com/figlb/figlb/wal"
)

const (
	// dataDirMode is the mode of a data folder that does not exist yet.
	dataDirMode = 0o755
	// maxSyncTime is the longest time of a sync. The time limits of the soak assume disks that sync within it.
	maxSyncTime = 10 * time.Millisecond
)

// openDisk returns a file system for the data folder that knows what has been synced. At SIGUSR1 the host loses its power:
// the process ends and leaves what may be found on the disk afterwards. It is part of test builds only.
func openDisk(dir string) (wal.FS, error) {
	if dir == "" {
		return wal.OS{}, nil
	}
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return nil, errors.WithStack(err)
	}
	disk, err := powerloss.Open(dir)
	if err != nil {
		return nil, err
	}
	disk.SyncTime = func() time.Duration { return time.Duration(rand.Int64N(int64(maxSyncTime))) }
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		<-signals
		if err := disk.CutPower(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))); err != nil {
			fmt.Fprintln(os.Stderr, "cannot play the loss of power:", err)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}()
	return disk, nil
}
