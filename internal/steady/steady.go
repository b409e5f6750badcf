// Package steady reads a monotonic clock that keeps running while the host is
// suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including time suspended. It panics
// if the kernel has no CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("steady: CLOCK_BOOTTIME: " + err.Error()) // every kernel since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
