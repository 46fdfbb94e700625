// Package clock reads the clock by which leases and ages are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted. Unlike the monotonic clock of package time, it
// keeps advancing while the host is suspended, so that anything that expired in the meantime
// is recognised as expired when the host resumes. If the boot clock cannot be read, Now
// returns the time since the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the origin of the times that Now returns if the boot clock cannot be read.
var processStart = time.Now()
