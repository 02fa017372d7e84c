// Package boottime tells the time by a clock that goes on while the machine is
// suspended and is never set. Go's monotonic time stands still meanwhile, so that
// a lease read from it outlives its real end; the time of day jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time. It may be
// compared with other values of Now on the same machine only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux has this clock; without it no lease can be trusted
	}
	return time.Unix(0, ts.Nano())
}
