// Package steady reads a clock that neither jumps nor stops while the host is
// suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the host started, suspension included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("steady: CLOCK_BOOTTIME: " + err.Error()) // every kernel since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
