// Package bootclock reads the clock that goes on while the machine is
// suspended. What may be used only for some time since it was confirmed is
// measured with it, because the steady clock stands still in a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock a confirmation can have any age; the process
		// must not go on with one that it cannot measure.
		panic("the boot clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
